"""Streams beside replicas whose reports are late, fail or prove nothing."""

from __future__ import annotations

import asyncio

from standins.resuming_callers import check_versions
from tests.returned_replicas_case import CALM_S, NEW, SENDING_S, ReturnedReplicasTestCase


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

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            for replica in self.replicas:
                replica.report_status = 500
            for replica in self.replicas[1::2]:
                await self.return_as(replica, NEW)
            await asyncio.sleep(SENDING_S / 2)
            for replica in self.replicas:
                replica.report_status = 200

        self.truncate_streams()
        await self.send_streams(replace())
        self.assertEqual(check_versions(self.streams), [])
        begun = sum(bool(stream.attempts[0].events) for stream in self.streams)
        self.assertGreater(begun, 0.9 * len(self.streams))

    async def test_streams_avoid_returned_replicas_whose_reports_fail(self) -> None:
        """Guards against streams that begin where nobody can continue them."""

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            for replica in self.replicas[1::2]:
                replica.report_status = 500
                await self.return_as(replica, NEW)

        self.truncate_streams()
        await self.send_streams(replace())
        self.check_streams()

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
