"""Complete routers on a store that is restored from a backup a few seconds old."""

from __future__ import annotations

import asyncio

from standins.store_server import StoreBackup
from tests.loopback_case import LoopbackTestCase

BACKUP_AGE_S = 2.0
OUTAGE_S = 1.0
#: Irrelevant changes after the backup, so that the restored store's revisions are lower.
LOST_CHANGES = 60
EARLIER_KEY, NEW_KEY = "school-key-2", "school-key-3"
MAX_PROPAGATION_S = 1.0


class StoreRestoreWholeTest(LoopbackTestCase):
    """Guards against routers that ignore all updates after the store was restored."""

    async def _lose_recent_writes(self) -> None:
        """Restore the store from a backup, which loses the writes of the last seconds."""
        store = self.deployment.store
        backup: StoreBackup = store.back_up()
        sending = asyncio.create_task(self.send_for(BACKUP_AGE_S + OUTAGE_S))
        await asyncio.sleep(BACKUP_AGE_S / 2)
        for number in range(LOST_CHANGES):
            store.put("operators/note", number)
        self.deployment.add_api_key(EARLIER_KEY)
        for replica in self.deployment.model_replicas:
            replica.announce("ready")
        await asyncio.sleep(BACKUP_AGE_S / 2)
        store.down = True
        await asyncio.sleep(OUTAGE_S)
        store.restore(backup)
        store.down = False
        await sending

    def _routers_know_key(self) -> list[bool]:
        tables = [router.state.routing_table for router in self.deployment.routers]
        return [table is not None and table.tenant_of(NEW_KEY) is not None for table in tables]

    async def test_a_key_a_draining_replica_and_weights_reach_all_routers_after_a_restore(
        self,
    ) -> None:
        await self._lose_recent_writes()
        deployment = self.deployment
        leaving = self.models_by_requests()[0]
        deployment.add_api_key(NEW_KEY)
        leaving.announce("draining")
        deployment.publish_weights(2)
        await asyncio.sleep(MAX_PROPAGATION_S)
        self.assertEqual(self._routers_know_key(), [True] * self.routers)
        before = len(leaving.notices.arrivals)
        await self.send_for(6.0)
        self.assertEqual(len(leaving.notices.arrivals), before)
        loaded = {
            model.weights_version for model in deployment.model_replicas if model is not leaving
        }
        self.assertEqual(loaded, {2})
        self.assertEqual(set(self.statuses), {200})
