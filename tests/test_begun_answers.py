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
    stream_head,
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


class BegunSoftwareTest(StreamTestCase):
    async def stream_relay(
        self, *replicas: tuple[ScriptedReplica, str], **route: object
    ) -> RelayUnderTest:
        """Relay streams to replicas with these versions of their software."""
        route = {"kind": RouteKind.STREAMING, "resumable": True, "max_attempts": 3, **route}
        relay = await self.relay(*(replica for replica, _ in replicas), **route)
        for number, (replica, software) in enumerate(replicas):
            zone = "z1" if number == 0 else "z2"
            relay.add(replica, f"i-{number}", versions={"m": 1}, zone=zone, software=software)
        return relay

    async def ask(self, relay: RelayUnderTest) -> ReceivedAnswer:
        return await relay.ask(method="POST", extra=PROMPT_HEADERS)

    async def test_a_broken_stream_goes_on_at_its_version_only(self) -> None:
        """Guards against a retry inside an answer at a replica of another version."""
        others = [ScriptedReplica(answering(rest)) for _ in range(3)]
        relay = await self.stream_relay(
            (ScriptedReplica(resetting(begun)), "v1"),
            (others[0], "v1.1"),
            (others[1], "v1"),
            (others[2], "v1.1"),
        )
        self.assert_whole(await self.ask(relay))
        self.assertEqual([len(replica.received) for replica in others], [0, 1, 0])

    async def test_a_broken_stream_ends_at_once_without_a_replica_of_its_version(self) -> None:
        """Guards against a begun answer that waits for what will not come."""
        other = ScriptedReplica(answering(rest))
        relay = await self.stream_relay(
            (ScriptedReplica(resetting(begun)), "v1"), (other, "v1.1"), timeout_s=4.0
        )
        answer = await asyncio.wait_for(self.ask(relay), 2.0)
        self.assertFalse(answer.whole)
        self.assertEqual(other.received, [])
        self.assertEqual(relay.state.metrics.mixed_streams.value, 0)

    async def test_a_request_without_events_may_go_to_another_version(self) -> None:
        other = ScriptedReplica(answering(rest))
        first = ScriptedReplica(resetting(lambda request: stream_head(request)))
        relay = await self.stream_relay((first, "v1"), (other, "v1.1"))
        self.assert_whole(await self.ask(relay))
        self.assertEqual(len(other.received), 1)
