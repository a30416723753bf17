"""Whole routers before a store that comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio

from standins.store_server import StoreCopy
from tests.loopback_case import LoopbackTestCase

COPY_AGE_S = 2.0
AWAY_S = 1.0
#: Changes before the store goes away, which keep its revisions lower afterwards.
LOST_CHANGES = 60
EARLIER_KEY, NEW_KEY = "school-key-2", "school-key-3"
KNOWN_WITHIN_S = 1.0


class StoreCopiesWholeTest(LoopbackTestCase):
    """All routers went on without configurations, leaves and loads, for good."""

    async def _lose(self) -> None:
        """Have the store come back without what it took in the last seconds."""
        store = self.deployment.store
        copy: StoreCopy = store.copy()
        sending = asyncio.create_task(self.send_for(COPY_AGE_S + AWAY_S))
        await asyncio.sleep(COPY_AGE_S / 2)
        for number in range(LOST_CHANGES):
            store.put("operators/note", number)
        self.deployment.add_api_key(EARLIER_KEY)
        for replica in self.deployment.model_replicas:
            replica.announce("ready")
        await asyncio.sleep(COPY_AGE_S / 2)
        store.down = True
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.down = False
        await sending

    def _know_key(self) -> list[bool]:
        tables = [router.state.routing_table for router in self.deployment.routers]
        return [table is not None and table.tenant_of(NEW_KEY) is not None for table in tables]

    async def test_a_key_a_leave_and_weights_reach_all_routers_after_the_stores_return(
        self,
    ) -> None:
        await self._lose()
        deployment = self.deployment
        leaving = self.models_by_requests()[0]
        deployment.add_api_key(NEW_KEY)
        leaving.announce("draining")
        deployment.publish_weights(2)
        await asyncio.sleep(KNOWN_WITHIN_S)
        self.assertEqual(self._know_key(), [True] * self.routers)
        before = len(leaving.notices.arrivals)
        await self.send_for(6.0)
        self.assertEqual(len(leaving.notices.arrivals), before)
        held = {
            model.weights_version for model in deployment.model_replicas if model is not leaving
        }
        self.assertEqual(held, {2})
        self.assertEqual(set(self.statuses), {200})
