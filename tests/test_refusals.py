"""Waits for a replica that becomes available before the deadline, and refusals otherwise."""

from __future__ import annotations

import random
import unittest

from tests.relay_support import ReceivedAnswer, RelayUnderTest, ScriptedReplica, answering, signed
from winchfork.errors import FailureKind
from winchfork.router.refusals import MIN_JITTER_S, refusal_answer


def retry_after_s(answer: ReceivedAnswer) -> float:
    """Return the answer's Retry-After in seconds."""
    return float(answer.headers["retry-after"])


class WaitTest(unittest.IsolatedAsyncioTestCase):
    async def _relay(self, *replicas: ScriptedReplica) -> RelayUnderTest:
        relay = RelayUnderTest()
        relay.configure()
        for number, replica in enumerate(replicas):
            await replica.start()
            relay.add(replica, f"i-{number}")
            self.addAsyncCleanup(replica.stop)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        return relay

    async def test_a_replica_that_is_available_before_the_deadline_is_waited_for(self) -> None:
        """The wait may exceed the route's latency target."""
        replica = ScriptedReplica(answering(lambda r: signed(r, b"late")))
        relay = await self._relay(replica)
        held = relay.state.fleet.get("i-0")
        assert held is not None
        held.loading_until_s = relay.state.clock() + 1.2 * relay.route.target_latency_s
        answer = await relay.ask()
        self.assertEqual((answer.status, answer.body), (200, b"late"))

    async def test_a_replica_that_is_available_too_late_is_not_waited_for(self) -> None:
        replica = ScriptedReplica(answering(lambda r: signed(r, b"never")))
        relay = await self._relay(replica)
        held = relay.state.fleet.get("i-0")
        assert held is not None
        held.loading_until_s = relay.state.clock() + 30.0
        started_at_s = relay.state.clock()
        answer = await relay.ask()
        self.assertLess(relay.state.clock() - started_at_s, 1.0)
        self.assertEqual(answer.status, 503)
        self.assertGreater(retry_after_s(answer), 29.0)
        self.assertEqual(replica.received, [])

    async def test_without_any_replica_retry_after_is_at_least_a_heartbeat(self) -> None:
        relay = await self._relay()
        answer = await relay.ask()
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(retry_after_s(answer), relay.state.settings.bounds.heartbeat_s)


class RetryAfterTest(unittest.TestCase):
    def test_jitter_is_proportional_to_the_wait(self) -> None:
        generator = random.Random(1)
        for wait_s, max_jitter_s in ((0.01, MIN_JITTER_S), (4.0, 2.0)):
            failure = FailureKind.NO_REPLICA.because("none", retry_after_s=wait_s)
            waits = [
                float(dict(refusal_answer(failure, None, generator).headers)[b"Retry-After"])
                for _ in range(300)
            ]
            self.assertGreaterEqual(min(waits), wait_s - 0.01)
            self.assertGreater(max(waits) - min(waits), 0.8 * max_jitter_s)
            self.assertLessEqual(max(waits), wait_s + max_jitter_s + 0.01)
