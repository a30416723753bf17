"""Replicas that leave or want a pause, as daemons hear of it from each other. Virtual time.

Fifteen routers before four replicas of which one asked for rest: each router sent it a request of
its own first, and 21 and 28 callers were turned away in 12 s. At 420 daemons nearly every request
to such a replica is its daemon's first, and the pause that it asks for is none.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.limit_fleet import LimitedReplica
from tests.peer_support import Daemon, Network, run_with_daemons
from winchfork.core.peer_reports import MAX_REMEMBERED, PeerReports
from winchfork.core.replica_notice import UNCONFIRMED_DRAINING_S, AnswerNotice

TOLD_WITHIN_S = 0.5
PAUSE_S = 3.0


class ToldPausesTest(unittest.TestCase):
    def taking(self, replica: LimitedReplica) -> int:
        """Return how many daemons would send it a request now."""
        return sum(
            replica.replica_at(daemon).accepts_requests(daemon.state.clock())
            for daemon in replica.daemons
        )

    def test_one_refusal_teaches_all_for_as_long_as_it_asks(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            asked = AnswerNotice(backoff_s=PAUSE_S)
            first.state.notices.record(replica.replica_at(first), asked)
            await asyncio.sleep(TOLD_WITHIN_S)
            self.assertEqual(self.taking(replica), 0)
            await asyncio.sleep(PAUSE_S * 0.8)
            self.assertEqual(self.taking(replica), 0)
            await asyncio.sleep(PAUSE_S * 0.5)
            self.assertEqual(self.taking(replica), len(daemons))

        for count in (3, 15, 42):
            run_with_daemons(count, scenario)

    def test_one_that_leaves_is_left_alone_by_all_and_tried_if_it_does_not(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(draining=True))
            await asyncio.sleep(TOLD_WITHIN_S)
            self.assertEqual(self.taking(replica), 0)
            await asyncio.sleep(UNCONFIRMED_DRAINING_S + 10.0)
            self.assertEqual(self.taking(replica), len(daemons) - 1)

        run_with_daemons(15, scenario)

    def test_a_short_pause_is_between_the_replica_and_who_was_refused(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(backoff_s=1.0))
            await asyncio.sleep(TOLD_WITHIN_S)
            self.assertEqual(self.taking(replica), len(daemons) - 1)

        run_with_daemons(7, scenario)

    def test_what_was_told_is_not_told_on(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(backoff_s=2.0))
            await asyncio.sleep(1.0)
            first.kill(network)
            replica.daemons = daemons[1:]
            await asyncio.sleep(1.5)
            self.assertEqual(self.taking(replica), len(daemons) - 1)

        run_with_daemons(7, scenario)


class HearsayTest(unittest.TestCase):
    def test_one_peer_counts_for_half_and_two_for_all(self) -> None:
        hearsay = PeerReports()
        self.assertTrue(hearsay.accept(1, "n2", set(), 4))
        self.assertTrue(hearsay.accept(2, "n2", {1}, 4))
        self.assertFalse(hearsay.accept(3, "n2", {1, 2}, 4))
        self.assertTrue(hearsay.accept(3, "n3", {1, 2}, 4))
        self.assertTrue(hearsay.accept(1, "n2", {1, 2, 3}, 4))

    def test_what_was_heard_itself_does_not_count_against_the_half(self) -> None:
        hearsay = PeerReports()
        self.assertTrue(hearsay.accept(3, "n2", {1, 2}, 4))
        hearsay.forget(3)
        self.assertTrue(hearsay.accept(4, "n2", {1, 2, 3}, 4))

    def test_the_only_replica_of_a_service_needs_two(self) -> None:
        hearsay = PeerReports()
        self.assertFalse(hearsay.accept(1, "n2", set(), 1))
        self.assertFalse(hearsay.accept(1, "n2", set(), 1))
        self.assertTrue(hearsay.accept(1, "n3", set(), 1))

    def test_its_memory_is_bounded(self) -> None:
        hearsay = PeerReports()
        for number in range(MAX_REMEMBERED + 100):
            hearsay.accept(number, "n2", set(), 1)
        self.assertEqual(len(hearsay._reporters), MAX_REMEMBERED)
