"""When a stream leaves its replica: not before a load of weights; before its weights expire."""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    Script,
    ScriptedReplica,
    answering,
    chunk,
    event,
    never_answering,
    signed,
    stream_head,
)
from tests.stream_case import full
from winchfork.core.routing import RouteKind
from winchfork.core.start_margin import START_MARGIN_S
from winchfork.core.weight_rollout import VersionHistory
from winchfork.router.attempt_runner import MIN_SILENCE_S
from winchfork.router.peer_messages import WeightsEntry, WeightsProgress
from winchfork.router.weights_exchange import WeightsExchange

#: Headers of a prompt of 100 tokens with 1000 output tokens.
LONG_ANSWER = "X-Model: m\r\nX-Token-Usage: 100,1000\r\nX-Prefix-Hash: aa:60,bb:40\r\n"


class SlowStream:
    """A replica's stream that pauses after two events until ``resume`` is set."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.resume = asyncio.Event()

    async def __call__(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(stream_head(request) + chunk(event(1) + event(2)) + chunk(b"id: 3\nda"))
        await writer.drain()
        self.started.set()
        await self.resume.wait()
        writer.write(chunk(b"ta: piece-3\n\n") + chunk(event(4)) + b"0\r\n\r\n")
        return True


def rest(request: ReceivedRequest) -> bytes:
    """Return the stream after the last event that the caller has received."""
    after = int(request.headers.get("last-event-id", "0"))
    pieces = b"".join(chunk(event(number)) for number in range(after + 1, 5))
    return stream_head(request) + pieces + b"0\r\n\r\n"


async def begins_and_ends_after_the_expiry(
    request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    writer.write(stream_head(request) + chunk(event(1)))
    await asyncio.sleep(START_MARGIN_S + 0.6)
    writer.write(chunk(event(2)) + b"0\r\n\r\n")
    await writer.drain()
    return True


async def answers_after_the_expiry(
    request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    await asyncio.sleep(START_MARGIN_S + 0.6)
    writer.write(signed(request, b"done"))
    await writer.drain()
    return True


class WithdrawalTest(RelayTestCase):
    """Guards against a stream that begins on expired weights, behind prompts of other daemons."""

    def setUp(self) -> None:
        self.script: Script = never_answering

    async def ask(self, **route: object) -> tuple[ReceivedAnswer, ScriptedReplica]:
        queueing = self.queueing = ScriptedReplica(self.script)
        current = ScriptedReplica(answering(rest))
        relay = await self.relay(queueing, current, **{"kind": RouteKind.STREAMING, **route})
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        self.expires_at_s = relay.state.clock() + START_MARGIN_S + 0.3
        history.add(2, self.expires_at_s - bound_s)
        for replica in relay.state.fleet.replicas():
            if replica.listing.address == current.address:
                replica.versions["m"] = 2
                replica.loading_until_s = relay.state.clock() + 0.2
        answer = await relay.ask(method="POST", extra=LONG_ANSWER)
        self.assertEqual(len(queueing.received), 1)
        return answer, current

    async def test_a_stream_that_has_not_begun_before_its_weights_expire_is_moved(self) -> None:
        answer, current = await self.ask(resumable=True, timeout_s=2.0)
        self.assertEqual((answer.status, len(current.received)), (200, 1))

    async def test_a_stream_that_cannot_be_moved_is_cancelled_before_its_weights_expire(
        self,
    ) -> None:
        cases: tuple[dict[str, object], ...] = (
            {"resumable": False},
            {"resumable": True, "max_attempts": 1},
        )
        for route in cases:
            with self.subTest(route=route):
                answer, current = await self.ask(timeout_s=5.0, **route)
                self.assertEqual((answer.status, len(current.received)), (502, 0))
                self.assertNotIn("x-server-signature", answer.headers)
                await asyncio.wait_for(self.queueing.closed_by_router.wait(), 1.0)
                self.assertLess(asyncio.get_running_loop().time(), self.expires_at_s)

    async def test_a_buffered_answer_is_not_cancelled(self) -> None:
        """Nothing shows whether its run has begun."""
        self.script = answers_after_the_expiry
        answer, current = await self.ask(
            kind=RouteKind.SAFE, max_attempts=1, resumable=False, timeout_s=5.0
        )
        self.assertEqual((answer.status, len(current.received)), (200, 0))

    async def test_a_stream_that_has_begun_is_not_cancelled(self) -> None:
        self.script = begins_and_ends_after_the_expiry
        answer, current = await self.ask(resumable=False, timeout_s=5.0)
        self.assertEqual((answer.status, answer.whole, len(current.received)), (200, True, 0))
        self.assertGreater(asyncio.get_running_loop().time(), self.expires_at_s)


class StreamMoveTest(RelayTestCase):
    async def start_stream(
        self, replicas: list[ScriptedReplica], stream: SlowStream, **route: object
    ) -> tuple[RelayUnderTest, asyncio.Task[ReceivedAnswer]]:
        relay = await self.relay(*replicas, kind=RouteKind.STREAMING, **route)
        answering_task = asyncio.create_task(relay.ask(method="POST", extra=LONG_ANSWER))
        await stream.started.wait()
        await asyncio.sleep(0.05)
        return relay, answering_task

    def hold(self, relay: RelayUnderTest, replica_id: str) -> None:
        """Apply a rollout leader's message that a replica loads weights next."""
        replica = relay.state.fleet.get(replica_id)
        assert replica is not None
        entry = WeightsEntry(replica_id, replica.incarnation_hash, "m", 1, 1500, 0)
        exchange = WeightsExchange(relay.state, unittest.mock.Mock())
        exchange.handle_weights(WeightsProgress("n2", 1, (entry,)))
        self.assertGreater(replica.loading_until_s, relay.state.clock())

    def assert_whole(self, answer: ReceivedAnswer) -> None:
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, 5)))

    async def test_a_resumable_stream_stays_at_a_held_replica(self) -> None:
        """Guards against ending a sound run, which no estimate of another replica justifies."""
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, answering_task = await self.start_stream(replicas, stream, resumable=True)
        self.hold(relay, "i-0")
        await asyncio.sleep(0.1)
        self.assertFalse(replicas[0].closed_by_router.is_set())
        stream.resume.set()
        self.assert_whole(await answering_task)
        self.assertEqual(replicas[1].received, [])
        former = relay.state.fleet.get("i-0")
        assert former is not None
        self.assertEqual((former.in_flight, former.consecutive_failures), (0, 0))

    async def test_a_stream_at_a_held_replica_outlives_a_refusal_elsewhere(self) -> None:
        """Guards against a sound run that is ended before another replica has begun."""
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(full))]
        relay, answering_task = await self.start_stream(replicas, stream, resumable=True)
        self.hold(relay, "i-0")
        await asyncio.sleep(0.1)
        stream.resume.set()
        self.assert_whole(await answering_task)

    async def test_a_stream_at_an_unreachable_replica_outlives_a_refusal_elsewhere(self) -> None:
        """Guards against a run that is ended on suspicion before another replica has begun."""
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(full))]
        relay, answering_task = await self.start_stream(replicas, stream, resumable=True)
        await asyncio.sleep(MIN_SILENCE_S)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        while not replicas[1].received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        stream.resume.set()
        self.assert_whole(await answering_task)
        self.assertEqual(len(replicas[1].received), 1)

    async def test_a_stream_that_cannot_be_resumed_stays(self) -> None:
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, answering_task = await self.start_stream(replicas, stream, resumable=False)
        self.hold(relay, "i-0")
        stream.resume.set()
        self.assert_whole(await answering_task)
        self.assertEqual(replicas[1].received, [])

    async def test_a_stopping_daemon_moves_nothing(self) -> None:
        """Guards against a move to a replica that refuses the stream, which truncates it."""
        stream = SlowStream()
        replicas = [ScriptedReplica(stream), ScriptedReplica(answering(rest))]
        relay, answering_task = await self.start_stream(replicas, stream, resumable=True)
        relay.state.stopping = True
        self.hold(relay, "i-0")
        stream.resume.set()
        self.assert_whole(await answering_task)
        self.assertEqual(replicas[1].received, [])

    async def test_a_stream_without_another_replica_stays(self) -> None:
        stream = SlowStream()
        relay, answering_task = await self.start_stream(
            [ScriptedReplica(stream)], stream, resumable=True
        )
        self.hold(relay, "i-0")
        stream.resume.set()
        self.assert_whole(await answering_task)
