"""Losses of stores, one at a time, each one as soon as the last one's machine has caught up."""

import asyncio
import re

from .cluster import METRICS_PORT
from .faults import CATCH_UP_SECONDS
from .history import MemberState

#: Time between the start of a successor and the end of its predecessor, or the reverse, in seconds.
SUCCESSOR_LEAD_SECONDS = 1.0
#: How long a store is away, in seconds.
AWAY_SECONDS = (0.2, 2.5)
#: Time limit of a read of a store's gauges, in seconds, and the number of reads.
READ_TIMEOUT, READS = 0.25, 4
GAUGE = re.compile(r"^tallyfold_store_(missing_requests|oldest_comparison_seconds) (\S+)$",
                   re.MULTILINE)


def parse_gauges(text):
    """Returns (requests missing, age of the oldest comparison in seconds); None when either lacks."""
    found = dict(GAUGE.findall(text))
    if len(found) < 2:
        return None
    return float(found["missing_requests"]), float(found["oldest_comparison_seconds"])


async def read_gauges(node):
    """Returns what parse_gauges() does, or None when the store doesn't answer."""
    writer = None
    try:
        async with asyncio.timeout(READ_TIMEOUT):
            reader, writer = await asyncio.open_connection(node.own, METRICS_PORT)
            writer.write(b"GET /metrics HTTP/1.0\r\nHost: m\r\n\r\n")
            return parse_gauges((await reader.read()).decode())
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class StoreLosses:
    """Restarts, cuts off, replaces and wipes stores until `stopping` is set.

    No other fault may hit a machine with a disk meanwhile.
    """

    def __init__(self, faults):
        self.faults = faults
        self.cluster = faults.cluster
        self.random = faults.random
        self.kinds = [self.restart_store, self.cut_off_store, self.replace_by_plan,
                      self.replace_after_failure, self.lose_store_disk]
        self.stopping = False

    async def run(self):
        while not self.stopping:
            await self.random.choice(self.kinds)()
            await self.read_members()

    def draw_store(self, kind):
        node = self.random.choice(self.cluster.nodes_of("turn-store"))
        self.faults.note(kind, node.name)
        return node

    async def catch_up(self):
        """Waits until the last machine to come back doesn't count as lost any more."""
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def restart_store(self):
        node = self.draw_store("restart_store")
        with self.faults.recording_fault(node, planned=True):
            await node.stop()
            await self.faults.pause_between(*AWAY_SECONDS)
            await node.start()
        await self.catch_up()

    async def cut_off_store(self):
        node = self.draw_store("cut_off_store")
        with self.faults.recording_fault(node):
            node.link.cut()
            await self.faults.pause_between(*AWAY_SECONDS)
            node.link.heal()
        await self.catch_up()

    async def replace_by_plan(self):
        """The successor starts first, then the store gets SIGTERM and is gone with its disk."""
        node = self.draw_store("replace_by_plan")
        with self.faults.recording_fault(node, planned=True):
            successor = await self.cluster.add_store()
            caught_up = asyncio.ensure_future(self.catch_up())
            await asyncio.sleep(SUCCESSOR_LEAD_SECONDS)
            await node.stop()
            self.cluster.remove(node)
        self.faults.note("successor", successor.name)
        await caught_up

    async def replace_after_failure(self):
        """A store is gone with its disk; its successor starts a second later."""
        node = self.draw_store("replace_after_failure")
        with self.faults.recording_fault(node):
            await node.kill()
            self.cluster.remove(node)
            await asyncio.sleep(SUCCESSOR_LEAD_SECONDS)
            successor = await self.cluster.add_store()
        self.faults.note("successor", successor.name)
        await self.catch_up()

    async def lose_store_disk(self):
        node = self.draw_store("lose_store_disk")
        with self.faults.recording_fault(node):
            await node.kill()
            node.wipe()
            await self.faults.pause_between(*AWAY_SECONDS)
            await node.start()
        await self.catch_up()

    async def read_members(self):
        """Records what each store says of the requests that it missed."""
        for node in list(self.cluster.nodes_of("turn-store")):
            gauges = None
            for _ in range(READS):
                gauges = gauges or await read_gauges(node)
            missing, age = gauges or (None, None)
            self.cluster.history.member_states.append(
                MemberState(node.name, self.faults.clock(), missing, age))
