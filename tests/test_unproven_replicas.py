"""Streams beside replicas whose reports are late, fail or prove nothing; the cost of reports."""

from __future__ import annotations

import asyncio

from standins.resuming_callers import check_versions
from tests.returned_replicas_case import CALM_S, NEW, STREAMS_PER_S, ReturnedReplicasTestCase

#: Streams sent to learn what proofs cost.
STREAMS = 200


class UnansweredReportTest(ReturnedReplicasTestCase):
    async def test_streams_go_on_beside_replicas_without_reports(self) -> None:
        """Guards against begun streams that wait for a report, or go on without one."""

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            self.replicas[0].report_delay_s = 2.0
            await self.return_as(self.replicas[1], NEW)

        self.truncate_streams()
        await self.send_streams(replace())
        self.check_streams()

    async def test_streams_begin_at_replicas_whose_reports_fail(self) -> None:
        """Guards against a service that begins no stream because no report is answered."""
        for replica in self.replicas:
            replica.report_status = 500
        for replica in self.replicas[1::2]:
            await self.return_as(replica, NEW)
        self.truncate_streams()
        await self.send_streams()
        self.assertEqual(check_versions(self.streams), [])
        begun = sum(bool(stream.attempts[0].events) for stream in self.streams)
        self.assertGreater(begun, 0.9 * len(self.streams))

    async def test_streams_go_on_at_replicas_that_state_no_start(self) -> None:
        """Guards against a replica that is out of use because it proves nothing."""
        for replica in self.replicas:
            (await replica.crash()).lapse()
            replica.states_start = False
            await replica.restart()
        await asyncio.sleep(0.5)
        self.truncate_streams()
        await self.send_streams()
        self.check_streams()
        begun = sum(bool(stream.attempts[0].events) for stream in self.streams)
        self.assertGreater(begun, 0.9 * len(self.streams))


class ReportCostTest(ReturnedReplicasTestCase):
    async def test_a_new_connection_costs_at_most_about_one_report(self) -> None:
        """Guards against a report for each request."""

        def opened() -> int:
            return sum(router._replica_pool.counters.opened for router in self.deployment.routers)

        before = opened()
        reports = sum(replica.reports for replica in self.replicas)
        await self.send_streams(seconds=STREAMS / STREAMS_PER_S)
        connections = opened() - before
        reports = sum(replica.reports for replica in self.replicas) - reports
        figures = f"{len(self.streams)} streams, {connections} connections, {reports} reports"
        self.assertLessEqual(reports, connections, figures)
        self.assertLess(connections, len(self.streams), figures)
        self.check_streams()
