"""An answer that has begun is over only at its deadline or when all attempts are used."""

from __future__ import annotations

import asyncio

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    resetting,
    signed,
)
from tests.stream_case import StreamTestCase, begun, full, rest
from winchfork.core.routing import RouteKind


class BegunAnswerTest(StreamTestCase):
    async def stream_relay(self, *replicas: ScriptedReplica, **route: object) -> RelayUnderTest:
        route = {"kind": RouteKind.STREAMING, "resumable": True, **route}
        return await self.relay(*replicas, **route)

    async def ask(self, relay: RelayUnderTest) -> ReceivedAnswer:
        return await relay.ask(method="POST", extra=PROMPT_HEADERS)

    async def test_a_broken_stream_waits_for_a_replica_that_accepts_later(self) -> None:
        """Guards against a begun answer that ends because no replica accepts at that moment."""
        replicas = [ScriptedReplica(resetting(begun)), ScriptedReplica(answering(rest))]
        relay = await self.stream_relay(*replicas)
        other = relay.state.fleet.get("i-1")
        assert other is not None
        other.loading_until_s = relay.state.clock() + 0.5
        self.assert_whole(await self.ask(relay))

    async def test_a_broken_stream_asks_a_replica_that_was_full_again(self) -> None:
        """Guards against a begun answer that ends with the first refusal of another replica."""
        other = ScriptedReplica(answering(full), answering(full), answering(rest))
        relay = await self.stream_relay(ScriptedReplica(resetting(begun)), other)
        self.assert_whole(await self.ask(relay))
        self.assertEqual(len(other.received), 3)

    async def test_no_further_replica_is_asked_than_the_route_allows(self) -> None:
        refusing = [ScriptedReplica(answering(full)) for _ in range(3)]
        relay = await self.stream_relay(
            ScriptedReplica(resetting(begun)), *refusing, timeout_s=1.5, max_attempts=2
        )
        answer = await self.ask(relay)
        self.assertFalse(answer.whole)
        asked = [replica for replica in refusing if replica.received]
        self.assertEqual(len(asked), 1)
        # A replica that was full is left alone for a while after each refusal.
        self.assertLessEqual(len(asked[0].received), 5)

    async def test_repeated_refusals_spend_the_retry_budget(self) -> None:
        other = ScriptedReplica(answering(full))
        relay = await self.stream_relay(ScriptedReplica(resetting(begun)), other, timeout_s=3.0)
        budget = relay.state.retry_budget
        while budget.remaining("s", relay.state.daemon_count, relay.state.clock()) >= 3.0:
            budget.record_retry("s", relay.state.clock())
        self.assertFalse((await self.ask(relay)).whole)
        self.assertLessEqual(len(other.received), 3)

    async def test_a_request_without_an_answer_is_refused_as_before(self) -> None:
        replicas = [ScriptedReplica(answering(full)) for _ in range(3)]
        relay = await self.stream_relay(*replicas)
        answer = await self.ask(relay)
        self.assert_not_run(answer)
        self.assertEqual(sum(len(replica.received) for replica in replicas), 2)


class FailedAnswerTest(RelayTestCase):
    async def test_a_failure_is_passed_on_if_no_other_replica_takes_the_request(self) -> None:
        """Guards against a replica's own answer that is replaced by an unknown outcome."""
        failing = ScriptedReplica(
            answering(lambda request: signed(request, b"broken", "500 Internal Server Error"))
        )
        relay = await self.relay(failing, ScriptedReplica(answering(full)))
        answer = await relay.ask()
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
        self.assertEqual(answer.headers["x-server-signature"], "sig")

    async def test_a_failure_is_passed_on_at_the_deadline(self) -> None:
        failing = ScriptedReplica(
            answering(lambda request: signed(request, b"broken", "500 Internal Server Error"))
        )

        async def silent(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(60)
            return False

        relay = await self.relay(failing, ScriptedReplica(silent), timeout_s=0.5)
        answer = await relay.ask()
        self.assertEqual((answer.status, answer.body), (500, b"broken"))
