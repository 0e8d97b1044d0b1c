"""Tests that the injected faults stay within those that the system tolerates."""

import asyncio
import unittest

from .cluster import Sizes
from .faults import Faults
from .history import History
from .planned_faults import PlannedFaults


class FakeNode:
    def __init__(self, cluster, program, number):
        self.cluster = cluster
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

    async def stop(self):
        await asyncio.sleep(0)


class FakeCluster:
    def __init__(self, sizes=None):
        self.sizes = sizes or Sizes()
        self.history = History()
        self.power = asyncio.Event()
        self.power.set()
        self.nodes = [FakeNode(self, program, number)
                      for program in ("directory", "turn-store", "forwarder")
                      for number in range(self.sizes.of(program))]

    def nodes_of(self, program):
        return [node for node in self.nodes if node.program == program]

    async def lose_power(self, lost_disks, _outage_seconds, _generator):
        for node in lost_disks:
            node.wipe()


async def no_pause(_least, _most):
    await asyncio.sleep(0)


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

    def test_no_more_disk_machines_are_stopped_than_may_be_lost(self):
        """A stopped machine counts as lost until it has caught up after its return."""

        async def play(seed, losses_borne):
            cluster = FakeCluster(Sizes(5, 5, 3, losses_borne))
            faults = Faults(cluster, [], lambda: 100.0, seed)
            faults.pause_between = no_pause
            planned = PlannedFaults(faults, None)
            await asyncio.gather(*(planned.stop_disk_machines() for _ in range(10)))
            await planned.stop_disk_machines()
            return len(cluster.history.fault_intervals)

        for losses_borne in (1, 2):
            self.assertEqual({losses_borne},
                             {asyncio.run(play(seed, losses_borne)) for seed in range(20)})

    def test_a_rolling_stop_leaves_a_forwarder(self):
        async def play(seed):
            cluster = FakeCluster(Sizes(forwarders=4))
            faults = Faults(cluster, [], lambda: 100.0, seed)
            faults.pause_between = no_pause
            await PlannedFaults(faults, None).overlapping_stops()
            intervals = cluster.history.fault_intervals
            self.assertTrue(all(interval.planned for interval in intervals))
            return len(intervals)

        self.assertEqual({2, 3}, {asyncio.run(play(seed)) for seed in range(20)})

    def test_the_final_fault_loses_no_more_disks_than_may_be_lost(self):
        async def play(seed):
            cluster = FakeCluster(Sizes(5, 7, 3, 2))
            faults = Faults(cluster, [], lambda: 100.0, seed)
            await faults.close(lose_disks=True)
            return sum(node.wiped for node in cluster.nodes)

        self.assertEqual({0, 1, 2}, {asyncio.run(play(seed)) for seed in range(50)})


if __name__ == "__main__":
    unittest.main()
