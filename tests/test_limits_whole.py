"""Request limits that replicas announce in their answers, end to end.

Guards against routers that together send a replica more requests than it announced.
"""

from __future__ import annotations

from standins.limit_checks import LIMIT_PROPAGATION_S, WINDOW_S, check_limits, worst_window
from tests.loopback_case import LoopbackTestCase


class LimitsWholeTest(LoopbackTestCase):
    async def _check_with_limits(self, replicas: int, per_s: float) -> None:
        """Let the busiest replicas announce a limit, and check the windows after it."""
        await self.send_for(1.0)
        limited = self.models_by_requests()[:replicas]
        for replica in limited:
            replica.notices.set_limit(per_s)
        await self.send_for(LIMIT_PROPAGATION_S + WINDOW_S + 1.0)
        announced = [(replica.replica_id, replica.notices) for replica in limited]
        for _, notices in announced:
            self.assertIsNotNone(worst_window(notices, self.senders))
        self.assertEqual(check_limits(announced, self.senders), [])

    async def test_two_replicas_get_no_more_than_their_limits_and_no_request_fails(self) -> None:
        await self._check_with_limits(2, per_s=2.0)
        self.assertEqual(set(self.statuses), {200})

    async def test_a_limit_of_zero_is_respected_and_no_request_fails(self) -> None:
        await self._check_with_limits(1, per_s=0.0)
        self.assertEqual(set(self.statuses), {200})
