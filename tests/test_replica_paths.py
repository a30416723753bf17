"""Which direct paths to replicas are lost, and which peers reach the replicas."""

from __future__ import annotations

import unittest

from winchfork.core.replica_paths import (
    CHECK_PERIOD_S,
    FAILURE_TTL_S,
    MAX_CHECKS,
    PROOF_TTL_S,
    ReplicaPaths,
)


class ReplicaPathsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = ReplicaPaths()

    def test_a_path_is_lost_from_a_peers_proof_to_a_direct_connection(self) -> None:
        self.assertTrue(self.paths.record_reached_by_peer("a:1", "n2", 10.0))
        self.assertFalse(self.paths.record_reached_by_peer("a:1", "n3", 10.1))
        self.assertTrue(self.paths.is_lost("a:1"))
        self.assertTrue(self.paths.record_restored("a:1"))
        self.assertFalse(self.paths.is_lost("a:1"))
        self.assertFalse(self.paths.record_restored("a:1"))

    def test_a_proof_expires_unless_it_is_renewed(self) -> None:
        for peer_id in ("n2", "n3"):
            self.paths.record_reached_by_peer("a:1", peer_id, 10.0)
        self.paths.renew_proof("a:1", "n3", 12.0)
        self.assertEqual(self.paths.relay_peers("a:1", 11.0 + PROOF_TTL_S), ["n3"])

    def test_a_peer_that_failed_is_not_asked_for_a_while(self) -> None:
        self.paths.record_reached_by_peer("a:1", "n2", 10.0)
        self.paths.record_peer_failure("a:1", "n2", 11.0)
        self.assertEqual(self.paths.relay_peers("a:1", 11.0), [])
        self.assertTrue(self.paths.has_failed("a:1", "n2", 11.0))
        self.assertFalse(self.paths.has_failed("a:1", "n2", 11.1 + FAILURE_TTL_S))
        self.assertFalse(self.paths.has_failed("b:1", "n2", 11.0))

    def test_few_paths_are_checked_at_a_time_and_each_in_its_turn(self) -> None:
        """Guards against a burst of connections after the loss of hundreds of paths."""
        for number in range(40):
            self.paths.record_reached_by_peer(f"a:{number}", "n2", 10.0)
        self.assertEqual(self.paths.take_due_checks(10.5), [])
        checked = [address for _ in range(3) for address in self.paths.take_due_checks(11.0)]
        self.assertEqual(len(checked), 40)
        self.assertEqual(len(set(checked)), 40)
        self.assertEqual(len(self.paths.take_due_checks(11.0 + CHECK_PERIOD_S)), MAX_CHECKS)

    def test_paths_that_were_lost_just_now_are_not_counted_as_a_partition(self) -> None:
        """Guards against a leader that resigns for a silence of a second."""
        self.paths.record_reached_by_peer("a:1", "n2", 10.0)
        self.assertEqual(self.paths.count_lost_for(1.5, 11.0), 0)
        self.assertEqual(self.paths.count_lost_for(1.5, 11.5), 1)
