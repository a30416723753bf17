"""Proofs of connections through peers, and what proofs cost."""

from __future__ import annotations

import asyncio

from standins.replica_links import LinkFault
from tests.returned_replicas_case import CALM_S, NEW, STREAMS_PER_S, ReturnedReplicasTestCase

#: Streams sent to learn what proofs cost.
STREAMS = 200


class RelayedReturnTest(ReturnedReplicasTestCase):
    routers = 4
    simulate_links = True

    async def test_streams_keep_to_their_version_through_peers(self) -> None:
        """Guards against a peer whose connection leads to a replica that has returned."""

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            assert self.deployment.links is not None
            for index in (0, 1):
                self.deployment.links.set_fault(index, LinkFault.RESET)
            await asyncio.sleep(CALM_S)
            for replica in self.replicas[1::2]:
                await self.return_as(replica, NEW)

        self.truncate_streams()
        await self.send_streams(replace())
        self.check_streams()


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
