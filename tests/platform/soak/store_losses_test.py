"""Tests that stores are lost one at a time, and that a store which is behind is noticed."""

import asyncio
import unittest

from . import store_losses
from .checks import members_hold_what_they_missed
from .faults import Faults
from .faults_test import FakeCluster, FakeNode, no_pause
from .history import History, MemberState
from .store_losses import StoreLosses, parse_gauges


class GrowingCluster(FakeCluster):
    """Adds and removes stores, and notes in which order."""

    def __init__(self):
        super().__init__()
        self.events = []

    async def add_store(self):
        node = FakeNode(self, "turn-store", 9)
        self.nodes.append(node)
        self.events.append("successor starts")
        return node

    def remove(self, node):
        self.nodes.remove(node)
        self.events.append(f"{node.events[-1]} and removal")


class StoreLossesTest(unittest.TestCase):
    def play(self, kind):
        cluster = GrowingCluster()
        faults = Faults(cluster, [], lambda: 100.0, 1)
        faults.pause_between = no_pause
        losses = StoreLosses(faults)

        async def catch_up():
            cluster.events.append("catch-up time begins")

        losses.catch_up = catch_up
        lead, store_losses.SUCCESSOR_LEAD_SECONDS = store_losses.SUCCESSOR_LEAD_SECONDS, 0.01
        try:
            asyncio.run(getattr(losses, kind)())
        finally:
            store_losses.SUCCESSOR_LEAD_SECONDS = lead
        self.assertEqual(3, len(cluster.nodes_of("turn-store")))
        return cluster

    def test_a_planned_successor_starts_first_and_its_time_to_catch_up_counts_from_then(self):
        self.assertEqual(["successor starts", "catch-up time begins", "stop and removal"],
                         self.play("replace_by_plan").events)

    def test_a_successor_after_a_failure_starts_later(self):
        self.assertEqual(["kill and removal", "successor starts", "catch-up time begins"],
                         self.play("replace_after_failure").events)

    def test_one_disk_is_lost(self):
        cluster = self.play("lose_store_disk")
        self.assertEqual(1, sum(node.wiped for node in cluster.nodes))

    def test_a_store_that_is_behind_or_does_not_tell_is_noticed(self):
        history = History()
        history.member_states = [MemberState("a", 1.0, 0.0, 1.2), MemberState("b", 1.0, 3.0, 1.0),
                                 MemberState("c", 1.0, 0.0, 9.0), MemberState("d", 1.0, None, None)]
        count, wrong = members_hold_what_they_missed(history)
        self.assertEqual(4, count)
        self.assertEqual(["b", "c", "d"], [text[0] for text in wrong])

    def test_both_gauges_are_read(self):
        text = ("# HELP x\ntallyfold_store_missing_requests 2\n"
                "tallyfold_store_oldest_comparison_seconds 0.5\n")
        self.assertEqual((2.0, 0.5), parse_gauges(text))
        self.assertIsNone(parse_gauges("tallyfold_store_missing_requests 2\n"))


if __name__ == "__main__":
    unittest.main()
