"""Faults of the directory nodes that dispatch calls to engines."""

import asyncio
import signal

from .history import DispatcherLoss

#: Time for which a restart waits until calls wait for a slot, in seconds.
WAIT_FOR_WAITING_SECONDS = 2.0


class DispatchFaults:
    """Faults of the node that dispatches, and of all directory nodes, whose kinds `Faults` draws."""

    def __init__(self, faults, watch):
        self.faults = faults
        self.cluster = faults.cluster
        self.watch = watch
        self.random = faults.random
        self.kinds = [self.kill_decider, self.pause_decider, self.cut_decider,
                      self.cut_decider_one_way, self.restart_decider, self.kill_all_deciders,
                      self.pause_all_deciders, self.cut_all_deciders]

    async def on_nodes(self, kind, nodes, lose, regain, least, most):
        """Takes nodes away for a time between `least` and `most` seconds."""
        self.faults.busy.update(node.name for node in nodes)
        self.faults.note(kind, " ".join(node.name for node in nodes))
        with self.faults.recording_fault(*nodes):
            # A call that is asked for while the loss takes effect may still get its answer.
            await asyncio.gather(*(lose(node) for node in nodes))
            began = self.faults.clock()
            await self.faults.pause_between(least, most)
            self.cluster.history.dispatcher_losses += [
                DispatcherLoss(node.name, began, self.faults.clock()) for node in nodes]
            await asyncio.gather(*(regain(node) for node in nodes))

    def draw_decider(self):
        """Returns [the node that dispatches], or [] when it has another fault."""
        node = self.watch.decider
        free = (node is not None and node.running and node.name not in self.faults.busy
                and not self.faults.sparing_disks)
        return [node] if free else []

    def draw_all(self):
        """Returns all directory nodes now and then, when none has another fault; else []."""
        nodes = self.cluster.nodes_of("directory")
        free = (not self.faults.sparing_disks
                and all(node.running and node.name not in self.faults.busy for node in nodes))
        return nodes if free and self.random.random() < 0.5 else []

    async def on_drawn(self, kind, nodes, lose, regain, least, most):
        if nodes:
            await self.on_nodes(kind, nodes, lose, regain, least, most)

    @staticmethod
    async def stop_running(node):
        node.send(signal.SIGSTOP)

    @staticmethod
    async def continue_running(node):
        node.send(signal.SIGCONT)

    @staticmethod
    async def cut_link(node):
        node.link.cut()

    @staticmethod
    async def heal_link(node):
        node.link.heal()

    async def kill_decider(self):
        await self.on_drawn("kill_decider", self.draw_decider(), lambda node: node.kill(),
                            lambda node: node.start(), 0.1, 2.0)

    async def pause_decider(self):
        await self.on_drawn("pause_decider", self.draw_decider(), self.stop_running,
                            self.continue_running, 0.3, 4.0)

    async def cut_decider(self):
        await self.on_drawn("cut_decider", self.draw_decider(), self.cut_link, self.heal_link,
                            0.5, 4.0)

    async def cut_decider_one_way(self):
        inward = self.random.random() < 0.5

        async def cut(node):
            node.link.cut(inward, not inward)
        await self.on_drawn("cut_decider_one_way", self.draw_decider(), cut, self.heal_link,
                            0.5, 4.0)

    async def restart_decider(self):
        """Stops the node with SIGTERM and starts it at once, while calls wait if any do."""
        until = self.faults.clock() + WAIT_FOR_WAITING_SECONDS
        while self.watch.waiting == 0 and self.faults.clock() < until:
            await asyncio.sleep(0.05)
        await self.on_drawn("restart_decider", self.draw_decider(), lambda node: node.stop(),
                            lambda node: node.start(), 0.0, 0.1)

    async def kill_all_deciders(self):
        await self.on_drawn("kill_all_deciders", self.draw_all(), lambda node: node.kill(),
                            lambda node: node.start(), 0.1, 1.0)

    async def pause_all_deciders(self):
        await self.on_drawn("pause_all_deciders", self.draw_all(), self.stop_running,
                            self.continue_running, 0.3, 2.0)

    async def cut_all_deciders(self):
        await self.on_drawn("cut_all_deciders", self.draw_all(), self.cut_link, self.heal_link,
                            0.5, 2.0)
