"""Rolling upgrades and downgrades: restarts one node after the other with another build."""

import asyncio
import pathlib
import random

#: Range of the pause between two replacements, in seconds: long enough for a process to reconnect,
#: so that configuration changes are checked while the builds are mixed.
GAP = (3.5, 4.5)
#: Time in seconds after which a process that hasn't logged its start is assumed to have been killed
#: by a fault.
STARTED_SECONDS = 10.0
#: Order in which a step for all programs replaces them.
ORDER = ("turn-store", "directory", "forwarder")


def parse_plan(text):
    """Parses steps like "up", "down:forwarder", "up:any" into (newer build, programs, shuffled)."""
    steps = []
    for step in text.split(","):
        direction, _, programs = step.partition(":")
        if direction not in ("up", "down"):
            raise ValueError(f"upgrade step must be up or down, not '{direction}'")
        if programs not in ("", "any", *ORDER):
            raise ValueError(f"unknown program '{programs}' in the upgrade plan")
        named = (programs,) if programs in ORDER else ORDER
        steps.append((direction == "up", named, programs == "any"))
    return steps


class Upgrade:
    """Executes an upgrade plan: stops each process with SIGTERM and starts it from the other build."""

    def __init__(self, cluster, older, faults, seed):
        self.cluster = cluster
        self.builds = {False: pathlib.Path(older), True: cluster.build}
        self.faults = faults
        self.random = random.Random(seed)

    async def play(self, plan, with_faults):
        for newer, programs, mixed in parse_plan(plan):
            nodes = [node for program in programs for node in self.cluster.nodes_of(program)]
            if mixed:
                self.random.shuffle(nodes)
            began = self.cluster.clock()
            for node in nodes:
                await self.replace(node, newer)
                await asyncio.sleep(self.random.uniform(*GAP))
            if not with_faults:
                self.cluster.history.rolling_replacements.append((began, self.cluster.clock()))

    async def replace(self, node, newer):
        """Restarts a node from the other build, once no fault affects it and its process has started:
        a process that gets SIGTERM before it handles the signal doesn't exit with 0."""
        waited = 0.0
        while (node.name in self.faults.busy
               or (not node.has_started and waited < STARTED_SECONDS)):
            await asyncio.sleep(0.1)
            waited += 0.1
        self.faults.busy.add(node.name)
        self.faults.note("upgrade" if newer else "downgrade", node.name)
        with self.faults.recording_fault(node):
            await node.stop()
            node.build = self.builds[newer]
            await node.start()
        if node.program == "forwarder":
            earlier = self.cluster.history.earlier_forwarders
            (earlier.discard if newer else earlier.add)(node.own)
