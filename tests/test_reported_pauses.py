"""Reports between daemons of replicas that drain or back off, in virtual time.

Guards against each daemon sending such a replica a request of its own before it pauses.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.limit_fleet import LimitedReplica
from tests.peer_support import Daemon, Network, run_with_daemons
from winchfork.core.peer_reports import MAX_REMEMBERED, PeerReports
from winchfork.core.replica_notice import UNCONFIRMED_DRAINING_S, AnswerNotice

REPORT_DELAY_S = 0.5
BACKOFF_S = 3.0


class ReportedPauseTest(unittest.TestCase):
    def count_accepting(self, replica: LimitedReplica) -> int:
        """Return how many daemons may send the replica a request now."""
        return sum(
            replica.replica_at(daemon).accepts_requests(daemon.state.clock())
            for daemon in replica.daemons
        )

    def test_a_backoff_reported_to_one_daemon_applies_to_all_until_it_ends(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            notice = AnswerNotice(backoff_s=BACKOFF_S)
            first.state.notices.record(replica.replica_at(first), notice)
            await asyncio.sleep(REPORT_DELAY_S)
            self.assertEqual(self.count_accepting(replica), 0)
            await asyncio.sleep(BACKOFF_S * 0.8)
            self.assertEqual(self.count_accepting(replica), 0)
            await asyncio.sleep(BACKOFF_S * 0.5)
            self.assertEqual(self.count_accepting(replica), len(daemons))

        for count in (3, 15, 42):
            run_with_daemons(count, scenario)

    def test_a_draining_replica_is_paused_by_all_and_retried_after_a_while(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(draining=True))
            await asyncio.sleep(REPORT_DELAY_S)
            self.assertEqual(self.count_accepting(replica), 0)
            await asyncio.sleep(UNCONFIRMED_DRAINING_S + 10.0)
            self.assertEqual(self.count_accepting(replica), len(daemons) - 1)

        run_with_daemons(15, scenario)

    def test_a_short_backoff_applies_only_to_the_refused_daemon(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(backoff_s=1.0))
            await asyncio.sleep(REPORT_DELAY_S)
            self.assertEqual(self.count_accepting(replica), len(daemons) - 1)

        run_with_daemons(7, scenario)

    def test_a_peer_report_is_not_forwarded(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons)
            first = daemons[0]
            first.state.notices.record(replica.replica_at(first), AnswerNotice(backoff_s=2.0))
            await asyncio.sleep(1.0)
            first.kill(network)
            replica.daemons = daemons[1:]
            await asyncio.sleep(1.5)
            self.assertEqual(self.count_accepting(replica), len(daemons) - 1)

        run_with_daemons(7, scenario)


class PeerReportsTest(unittest.TestCase):
    def test_one_peer_is_accepted_for_half_of_the_replicas_and_two_for_all(self) -> None:
        reports = PeerReports()
        self.assertTrue(reports.accept(1, "n2", set(), 4))
        self.assertTrue(reports.accept(2, "n2", {1}, 4))
        self.assertFalse(reports.accept(3, "n2", {1, 2}, 4))
        self.assertTrue(reports.accept(3, "n3", {1, 2}, 4))
        self.assertTrue(reports.accept(1, "n2", {1, 2, 3}, 4))

    def test_a_replica_that_reported_to_this_daemon_does_not_count_towards_the_half(self) -> None:
        reports = PeerReports()
        self.assertTrue(reports.accept(3, "n2", {1, 2}, 4))
        reports.forget(3)
        self.assertTrue(reports.accept(4, "n2", {1, 2, 3}, 4))

    def test_the_only_replica_of_a_service_needs_two_reports(self) -> None:
        reports = PeerReports()
        self.assertFalse(reports.accept(1, "n2", set(), 1))
        self.assertFalse(reports.accept(1, "n2", set(), 1))
        self.assertTrue(reports.accept(1, "n3", set(), 1))

    def test_remembered_replicas_are_bounded(self) -> None:
        reports = PeerReports()
        for number in range(MAX_REMEMBERED + 100):
            reports.accept(number, "n2", set(), 1)
        self.assertEqual(len(reports._reporters), MAX_REMEMBERED)
