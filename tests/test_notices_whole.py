"""Whole routers before replicas that leave or rest by their answers alone.

The store cannot be reached, or says nothing of it: the answers are the only news. What happened and
which lines settled it stands in `test_replica_notices`.
"""

from __future__ import annotations

from standins.notice_checks import DRAINING_GRACE_S, check_notices, reached_during_backoff
from tests.loopback_case import LoopbackTestCase

REST_S = 3.0


class NoticesWholeTest(LoopbackTestCase):
    def _judge(self) -> list[str]:
        models = self.deployment.model_replicas
        return check_notices(((item.replica_id, item.notices) for item in models), self.senders)

    async def test_a_replica_that_leaves_by_its_answers_alone_is_left_alone(self) -> None:
        await self.send_for(1.0)
        leaving = self.models_by_requests()[0]
        leaving.notices.draining = True
        await self.send_for(DRAINING_GRACE_S + 3.0)
        self.assertGreater(len(leaving.notices.draining_answers), 0)
        self.assertEqual(self._judge(), [])

    async def test_replicas_that_rest_are_left_alone_for_so_long(self) -> None:
        await self.send_for(1.0)
        resting = self.models_by_requests()[0]
        for proves_not_run in (True, False):
            resting.notices.backoff_s = REST_S
            resting.notices.proves_not_run = proves_not_run
            await self.send_for(REST_S + 1.0)
            resting.notices.backoff_s = None
            await self.send_for(0.5)
        counts = reached_during_backoff(resting.notices, self.senders)
        self.assertGreater(len(counts), 0)
        self.assertEqual(sum(counts.values()), 0)
