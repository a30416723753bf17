"""Whole routers before replicas that name how many requests a second they take from all together.

Two replicas, one in need of 2.5 requests a second and one of 1.3, named that in their answers from
second 8 on. They got 13 and 5 a second before, and 13 and 5 a second after, from every router: 45
and 20 in four seconds, where 20 and 13 were allowed. Every one was a first attempt
(`request_sent ... attempt=1`), and one router alone sent 29 of the 45. No line said anything of the
limit, since nobody read the header.

A limit is for all machines together. So a few daemons share it, in an order that all agree on, and
the others send elsewhere; who has an answer with a limit tells the rest, and who has the first
without one tells them too. On these stand-ins two replicas that name 2 a second got 38 and 34
requests in 4 s before, where 17 are allowed.
"""

from __future__ import annotations

from standins.limit_checks import LIMIT_PROPAGATION_S, WINDOW_S, check_limits, worst_window
from tests.loopback_case import LoopbackTestCase


class LimitsWholeTest(LoopbackTestCase):
    async def _name(self, replicas: int, per_s: float) -> None:
        """Let the busiest replicas name a limit, and send for long enough to judge."""
        await self.send_for(1.0)
        struck = self.models_by_requests()[:replicas]
        for replica in struck:
            replica.notices.set_limit(per_s)
        await self.send_for(LIMIT_PROPAGATION_S + WINDOW_S + 1.0)
        spoken = [(replica.replica_id, replica.notices) for replica in struck]
        for _, notices in spoken:
            self.assertIsNotNone(worst_window(notices, self.senders))
        self.assertEqual(check_limits(spoken, self.senders), [])

    async def test_two_replicas_get_no_more_than_they_named_and_callers_lose_nothing(self) -> None:
        await self._name(2, per_s=2.0)
        self.assertEqual(set(self.statuses), {200})

    async def test_one_that_takes_nothing_is_asked_now_and_then(self) -> None:
        await self._name(1, per_s=0.0)
        self.assertEqual(set(self.statuses), {200})
