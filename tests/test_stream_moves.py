"""Streams that can be resumed leave a replica that loads weights next, and nothing else does."""

from __future__ import annotations

import asyncio
import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    chunk,
    event,
    never_answering,
    stream_head,
)
from winchfork.core.prompt_cost import worth_moving
from winchfork.core.routing import RouteKind
from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget
from winchfork.core.weight_rollout import VersionHistory
from winchfork.router.replica_selector import START_MARGIN_S

#: A prompt of 100 tokens whose answer may have a thousand.
LONG_ANSWER = "X-Model: m\r\nX-Token-Usage: 100,1000\r\nX-Prefix-Hash: aa:60,bb:40\r\n"


class SlowStream:
    """A replica's stream that stops after two events until it is let go on or is left."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()

    async def __call__(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(stream_head(request) + chunk(event(1) + event(2)) + chunk(b"id: 3\nda"))
        await writer.drain()
        self.begun.set()
        await self.go_on.wait()
        writer.write(chunk(b"ta: piece-3\n\n") + chunk(event(4)) + b"0\r\n\r\n")
        return True


def rest(request: ReceivedRequest) -> bytes:
    """Return the stream from behind the last event that the caller has."""
    after = int(request.headers.get("last-event-id", "0"))
    pieces = b"".join(chunk(event(number)) for number in range(after + 1, 5))
    return stream_head(request) + pieces + b"0\r\n\r\n"


class UnbegunTest(RelayTestCase):
    """A prompt of 17,739 tokens was expected to begin 1.6 s after it was sent to a replica whose
    weights were allowed for 2.4 s more; it began 2.75 s later, behind prompts that other daemons
    had sent at the same time (`weights_left_s=2.38 cost_s=1.62 first_event_s=2.81`). However long a
    margin is, what has not begun when the weights' time ends has to go on elsewhere.
    """

    async def ask(self, **route: object) -> tuple[ReceivedAnswer, ScriptedReplica]:
        late = ScriptedReplica(never_answering)
        sound = ScriptedReplica(answering(rest))
        relay = await self.relay(late, sound, kind=RouteKind.STREAMING, **route)
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        history.add(2, relay.state.clock() - bound_s + START_MARGIN_S + 0.3)
        for replica in relay.state.fleet.replicas():
            if replica.listing.address == sound.address:
                replica.versions["m"] = 2
                replica.loading_until_s = relay.state.clock() + 0.2
        answer = await relay.ask(method="POST", extra=LONG_ANSWER)
        self.assertEqual(len(late.received), 1)
        return answer, sound

    async def test_a_stream_that_has_not_begun_when_its_weights_end_goes_on_elsewhere(self) -> None:
        answer, sound = await self.ask(resumable=True, timeout_s=2.0)
        self.assertEqual((answer.status, len(sound.received)), (200, 1))

    async def test_one_that_may_not_be_repeated_waits(self) -> None:
        answer, sound = await self.ask(resumable=False, timeout_s=2.0)
        self.assertEqual((answer.status, len(sound.received)), (504, 0))


class StreamMoveTest(RelayTestCase):
    async def begin(
        self, replicas: list[ScriptedReplica], stream: SlowStream, **route: object
    ) -> tuple[RelayUnderTest, asyncio.Task[ReceivedAnswer]]:
        relay = await self.relay(*replicas, kind=RouteKind.STREAMING, **route)
        asked = asyncio.create_task(relay.ask(method="POST", extra=LONG_ANSWER))
        await stream.begun.wait()
        await asyncio.sleep(0.05)
        return relay, asked

    def hold(self, relay: RelayUnderTest, replica_id: str) -> None:
        replica = relay.state.fleet.get(replica_id)
        assert replica is not None
        replica.loading_until_s = relay.state.clock() + 1.5
        relay.state.on_replica_hold(replica)

    def assert_whole(self, answer: ReceivedAnswer) -> None:
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, 5)))

    async def test_a_resumable_stream_goes_on_elsewhere_within_its_one_answer(self) -> None:
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, asked = await self.begin(replicas, stream, resumable=True)
        self.hold(relay, "i-0")
        self.assert_whole(await asked)
        self.assertEqual(replicas[1].received[0].headers["last-event-id"], "2")
        left = relay.state.fleet.get("i-0")
        assert left is not None
        self.assertEqual((left.in_flight, left.failures_in_row), (0, 0))

    async def test_a_stream_that_cannot_be_resumed_ends_where_it_is(self) -> None:
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, asked = await self.begin(replicas, stream, resumable=False)
        self.hold(relay, "i-0")
        stream.go_on.set()
        self.assert_whole(await asked)
        self.assertEqual(replicas[1].received, [])

    async def test_a_daemon_that_stops_moves_nothing(self) -> None:
        """A stream was moved in a planned stop, the next replica refused it, and it was cut."""
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, asked = await self.begin(replicas, stream, resumable=True)
        relay.state.stopping = True
        self.hold(relay, "i-0")
        stream.go_on.set()
        self.assert_whole(await asked)
        self.assertEqual(replicas[1].received, [])

    async def test_with_no_other_replica_it_ends_where_it_is(self) -> None:
        stream = SlowStream()
        relay, asked = await self.begin([ScriptedReplica(stream)], stream, resumable=True)
        self.hold(relay, "i-0")
        stream.go_on.set()
        self.assert_whole(await asked)

    async def test_the_budget_that_failures_need_is_left(self) -> None:
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, asked = await self.begin(replicas, stream, resumable=True)
        now_s = relay.state.clock()
        while relay.state.retry_budget.try_spend("s", relay.state.daemon_count, now_s, 0.5):
            pass
        self.assertTrue(
            relay.state.retry_budget.remaining("s", relay.state.daemon_count, now_s) >= 1.0
        )
        self.hold(relay, "i-0")
        stream.go_on.set()
        self.assert_whole(await asked)
        self.assertEqual(replicas[1].received, [])


class WorthMovingTest(unittest.TestCase):
    def test_a_run_that_is_nearly_over_stays(self) -> None:
        self.assertFalse(worth_moving(2.0, 1.95, 0.1))

    def test_a_run_with_more_left_than_a_second_reading_takes_goes(self) -> None:
        self.assertTrue(worth_moving(2.0, 1.0, 0.1))

    def test_a_large_prompt_is_not_read_again_for_a_short_answer(self) -> None:
        """Proof reviews of hyt-kathmandu, read again elsewhere, made others late: 0.04 of a day."""
        self.assertFalse(worth_moving(0.6, 0.1, 0.2))


class ReserveTest(unittest.TestCase):
    def test_a_reserve_is_a_share_of_the_whole_allowance(self) -> None:
        budget = SlidingRetryBudget(RetryAllowance(0.0, 50.0, 10.0), started_at_s=-20.0)
        taken = sum(budget.try_spend("app", 1, 1.0, reserve=0.5) for _ in range(50))
        self.assertEqual(taken, 20)
        self.assertTrue(budget.try_spend("app", 1, 1.0))
