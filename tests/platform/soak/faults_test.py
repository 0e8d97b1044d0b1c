"""Tests that the injected faults stay within those that the system tolerates."""

import asyncio
import unittest

from .cluster import Sizes
from .faults import Faults
from .history import History


class FakeNode:
    def __init__(self, program, number):
        self.program = program
        self.name = f"{program}-{number}"
        self.running = True
        self.wiped = 0

    async def kill(self):
        pass

    async def start(self):
        pass

    def wipe(self):
        self.wiped += 1


class FakeCluster:
    def __init__(self, sizes=None):
        self.sizes = sizes or Sizes()
        self.history = History()
        self.power = asyncio.Event()
        self.power.set()
        self.nodes = [FakeNode(program, number)
                      for program in ("directory", "turn-store") for number in range(3)]

    def nodes_of(self, program):
        return [node for node in self.nodes if node.program == program]

    async def lose_power(self, lost_disks, _outage_seconds, _generator):
        for node in lost_disks:
            node.wipe()


class FaultsTest(unittest.TestCase):
    def test_no_second_disk_is_lost_before_the_first_could_be_copied(self):
        """Losing two directory disks before the first is copied removes two of three voters, after
        which the directory cannot elect a leader."""

        async def play(seed):
            cluster = FakeCluster()
            now = 100.0
            faults = Faults(cluster, [], lambda: now, seed)

            async def no_pause(_least, _most):
                pass

            faults.pause_between = no_pause
            await faults.lose_all_power()
            now += 1.0
            await faults.wipe()
            return sum(node.wiped for node in cluster.nodes)

        self.assertEqual({1}, {asyncio.run(play(seed)) for seed in range(50)})


if __name__ == "__main__":
    unittest.main()
