"""Replicas that announce draining or a backoff in their answers only, end to end."""

from __future__ import annotations

from standins.notice_checks import DRAINING_GRACE_S, check_notices, reached_during_backoff
from tests.loopback_case import LoopbackTestCase

BACKOFF_S = 3.0


class NoticesWholeTest(LoopbackTestCase):
    def _check_notices(self) -> list[str]:
        models = self.deployment.model_replicas
        return check_notices(((item.replica_id, item.notices) for item in models), self.senders)

    async def test_a_replica_that_announces_draining_gets_no_more_requests(self) -> None:
        await self.send_for(1.0)
        replica = self.models_by_requests()[0]
        replica.notices.draining = True
        await self.send_for(DRAINING_GRACE_S + 3.0)
        self.assertGreater(len(replica.notices.draining_answers), 0)
        self.assertEqual(self._check_notices(), [])

    async def test_a_replica_gets_no_requests_during_its_backoff(self) -> None:
        await self.send_for(1.0)
        replica = self.models_by_requests()[0]
        for proves_not_run in (True, False):
            replica.notices.backoff_s = BACKOFF_S
            replica.notices.proves_not_run = proves_not_run
            await self.send_for(BACKOFF_S + 1.0)
            replica.notices.backoff_s = None
            await self.send_for(0.5)
        counts = reached_during_backoff(replica.notices, self.senders)
        self.assertGreater(len(counts), 0)
        self.assertEqual(sum(counts.values()), 0)
