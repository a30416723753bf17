"""Streams of scripted replicas, and a test case of a stream that gets a backup attempt."""

from __future__ import annotations

import asyncio
import unittest.mock

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    HANG_TIMEOUT_S,
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    caller_request,
    chunk,
    event,
    read_answer,
    signed,
    stream_head,
)
from winchfork.core.routing import RouteKind
from winchfork.errors import Failure
from winchfork.router.attempt_runner import MIN_SILENCE_S
from winchfork.router.replica_connection import ReplicaConnection

#: Events of a whole stream.
EVENTS = 6
#: Headers of a prompt of 100 tokens with 1000 output tokens.
PROMPT = "X-Model: m\r\nX-Token-Usage: 100,1000\r\nX-Prefix-Hash: aa:60,bb:40\r\n"


class StepwiseStream:
    """A stream whose events up to ``allow(number)`` are sent; the last one ends the answer.

    It begins after the last event that the caller has.
    """

    def __init__(self, allowed: int = 0) -> None:
        self.asked = asyncio.Event()
        self._allowed = allowed
        self._changed = asyncio.Condition()
        self._reset = False

    async def allow(self, number: int) -> None:
        async with self._changed:
            self._allowed = number
            self._changed.notify_all()

    async def crash(self) -> None:
        async with self._changed:
            self._reset = True
            self._changed.notify_all()

    async def _wait_for(self, number: int) -> None:
        async with self._changed:
            await self._changed.wait_for(lambda: self._allowed >= number or self._reset)

    async def __call__(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.asked.set()
        number = int(request.headers.get("last-event-id", "0")) + 1
        head = stream_head(request)
        while number <= EVENTS:
            await self._wait_for(number)
            if self._reset:
                writer.transport.abort()
                return False
            writer.write(head + chunk(event(number)))
            head = b""
            number += 1
        writer.write(b"0\r\n\r\n")
        return True


def full(request: ReceivedRequest) -> bytes:
    """Return a refusal as not run."""
    return signed(request, b"", "503 Full", "X-Not-Executed: true\r\n")


def begun(request: ReceivedRequest) -> bytes:
    """Return the first two events of a stream."""
    return stream_head(request) + chunk(event(1) + event(2))


def rest(request: ReceivedRequest) -> bytes:
    """Return the stream after the last event that the caller has received."""
    after = int(request.headers.get("last-event-id", "0"))
    pieces = b"".join(chunk(event(number)) for number in range(after + 1, EVENTS + 1))
    return stream_head(request) + pieces + b"0\r\n\r\n"


class StreamTestCase(RelayTestCase):
    def assert_whole(self, answer: ReceivedAnswer) -> None:
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, EVENTS + 1)))
        self.assertTrue(answer.whole)


class BackupTestCase(StreamTestCase):
    async def start(
        self, first: StepwiseStream, *others: ScriptedReplica, **route: object
    ) -> tuple[RelayUnderTest, asyncio.Task[ReceivedAnswer]]:
        """Relay a stream that has delivered two events and then falls silent."""
        self.first = ScriptedReplica(first)
        route = {"kind": RouteKind.STREAMING, "resumable": True, **route}
        relay = await self.relay(self.first, *others, **route)
        await first.allow(2)
        reader, self.writer = await relay.connect()
        self.writer.write(caller_request(method="POST", extra=PROMPT))
        answer = asyncio.create_task(asyncio.wait_for(read_answer(reader), HANG_TIMEOUT_S))
        await asyncio.wait_for(first.asked.wait(), HANG_TIMEOUT_S)
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        return relay, answer

    def report_unreachable(self, relay: RelayUnderTest) -> None:
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)

    def delay_connections(self, relay: RelayUnderTest) -> asyncio.Event:
        """Hold back new connections to replicas until the returned event is set."""
        connected = asyncio.Event()
        open_new = relay.pool.open_new

        async def open_late(address: str, limit: int) -> ReplicaConnection | Failure:
            await connected.wait()
            return await open_new(address, limit)

        patch = unittest.mock.patch.object(relay.pool, "open_new", open_late)
        patch.start()
        self.addCleanup(patch.stop)
        return connected

    async def assert_nothing_in_progress(self, relay: RelayUnderTest) -> None:
        while relay.service.active_requests:
            await asyncio.sleep(0.01)
        for replica in relay.state.fleet.replicas():
            self.assertEqual((replica.in_flight, replica.queued_prefill_tokens), (0, 0))

    async def assert_closed(self, replica: ScriptedReplica) -> None:
        await asyncio.wait_for(replica.closed_by_router.wait(), HANG_TIMEOUT_S)
