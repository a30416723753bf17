"""Rare orders of the events of one request's attempts, connections and charges."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    never_answering,
    resetting,
    signed,
)
from tests.stream_case import (
    EVENTS,
    BackupTestCase,
    StepwiseStream,
    StreamTestCase,
    begun,
    full,
    rest,
)
from winchfork.cli.log_reading import LoggedEvent, read_events
from winchfork.core.routing import RouteKind
from winchfork.core.start_margin import START_MARGIN_S
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure, FailureKind
from winchfork.logs import configure_logs
from winchfork.router.attempt_runner import MIN_SILENCE_S
from winchfork.router.caller_connection import CallerConnection
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.replica_connection import ReplicaConnection


class BegunAnswerTest(StreamTestCase):
    async def stream_relay(self, *replicas: ScriptedReplica, **route: object) -> RelayUnderTest:
        route = {"kind": RouteKind.STREAMING, "resumable": True, **route}
        return await self.relay(*replicas, **route)

    async def ask(self, relay: RelayUnderTest) -> ReceivedAnswer:
        return await relay.ask(method="POST", extra=PROMPT_HEADERS)

    async def test_a_replica_without_free_connections_is_not_asked_in_a_busy_loop(self) -> None:
        """Guards against a router that serves nobody until the deadline of one request."""
        other = ScriptedReplica(answering(full), answering(rest))
        relay = await self.stream_relay(
            ScriptedReplica(resetting(begun)), other, max_attempts=2, timeout_s=1.5
        )
        open_new = relay.pool.open_new
        refused = 0

        async def open_few(address: str, limit: int) -> ReplicaConnection | Failure:
            nonlocal refused
            if address != other.address or not other.received:
                return await open_new(address, limit)
            refused += 1
            if refused > 500:
                raise RuntimeError("asked for a connection 500 times")
            # What the pool returns, without suspending, while all connections are in use.
            return FailureKind.OVERLOADED.because("all 2 connections are in use")

        pop_idle = relay.pool.pop_idle

        def pop_no_idle(address: str) -> ReplicaConnection | None:
            return None if address == other.address else pop_idle(address)

        with (
            mock.patch.object(relay.pool, "open_new", open_few),
            mock.patch.object(relay.pool, "pop_idle", pop_no_idle),
        ):
            await self.ask(relay)
        self.assertLess(refused, 100)

    async def test_a_replica_without_free_connections_is_asked_later(self) -> None:
        """Guards against a wait for other replicas while the only one left was never asked."""
        other = ScriptedReplica(answering(rest))
        relay = await self.stream_relay(ScriptedReplica(resetting(begun)), other, timeout_s=2.0)
        open_new = relay.pool.open_new
        refused = 0

        async def open_later(address: str, limit: int) -> ReplicaConnection | Failure:
            nonlocal refused
            if address == other.address and not refused:
                refused += 1
                return FailureKind.OVERLOADED.because("all 2 connections are in use")
            return await open_new(address, limit)

        with mock.patch.object(relay.pool, "open_new", open_later):
            self.assert_whole(await self.ask(relay))

    async def test_a_replica_that_was_full_is_asked_again_if_attempts_are_left(self) -> None:
        """Guards against a wait for a further replica where there is none."""
        other = ScriptedReplica(answering(full), answering(rest))
        relay = await self.stream_relay(
            ScriptedReplica(resetting(begun)), other, max_attempts=3, timeout_s=2.0
        )
        self.assert_whole(await self.ask(relay))

    async def test_every_replica_that_was_full_is_asked_again(self) -> None:
        """Guards against asking only the last one that refused."""
        refusing = [
            ScriptedReplica(answering(full), answering(rest)),
            ScriptedReplica(answering(full), answering(rest)),
        ]
        relay = await self.stream_relay(
            ScriptedReplica(resetting(begun)), *refusing, max_attempts=3, timeout_s=2.0
        )
        answer = asyncio.create_task(self.ask(relay))
        listed = [relay.state.fleet.get("i-1"), relay.state.fleet.get("i-2")]
        while not all(item and item.loading_until_s for item in listed):
            await asyncio.sleep(0.005)
        # The one that refused last accepts nothing any more.
        last = max(filter(None, listed), key=lambda item: item.loading_until_s)
        last.loading_until_s = relay.state.clock() + 60.0
        self.assert_whole(await answer)

    async def test_a_replica_that_refused_before_the_answer_began_is_asked_again(self) -> None:
        """Guards against a begun answer that ends although all but one attempt were refused."""
        first = ScriptedReplica(answering(full), answering(rest))
        relay = await self.stream_relay(first, ScriptedReplica(resetting(begun)))
        self.assert_whole(await self.ask(relay))
        self.assertEqual(len(first.received), 2)

    async def test_refusals_are_not_charged_to_the_tenant(self) -> None:
        other = ScriptedReplica(answering(full), answering(full), answering(full), answering(rest))
        relay = await self.stream_relay(ScriptedReplica(resetting(begun)), other)
        charge = mock.Mock()
        with mock.patch.object(relay.service._quota_gate, "admit", return_value=charge):
            self.assert_whole(await self.ask(relay))
        # Two replicas have run it, and three attempts were refused as not run.
        charged = charge.charge_again.call_count - charge.refund.call_count
        self.assertEqual(charged, 1)


class BackupTest(BackupTestCase):
    async def test_a_refused_backup_is_asked_again_when_the_first_attempt_crashes(self) -> None:
        """Guards against a begun answer that ends although a replica that refused accepts again."""
        first = StepwiseStream()
        backup = ScriptedReplica(answering(full), answering(rest))
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        while not backup.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        await first.crash()
        self.assert_whole(await answer)

    async def test_a_daemon_that_stops_while_the_backup_connects_does_not_send_it(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup)
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        await asyncio.sleep(0.05)
        relay.state.stopping = True
        connected.set()
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received, [])

    async def test_a_backup_of_a_suspect_counts_as_running_after_the_first_ended(self) -> None:
        """Guards against a request that may crash replicas and runs at two at a time."""
        first, second = StepwiseStream(), StepwiseStream()
        relay, answer = await self.start(first, ScriptedReplica(second))
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        await asyncio.sleep(0.05)
        (request,) = relay.service._tasks.values()
        digest = request._admitted.digest
        # A peer reports that the same request, of another caller, has crashed a replica.
        relay.state.crashes.handle_crash_report(12345, [digest])
        connected.set()
        try:
            await asyncio.wait_for(second.asked.wait(), 0.5)
        except TimeoutError:
            return  # It is sound not to send it.
        finally:
            await first.crash()
            await asyncio.sleep(0.1)
            may_run = relay.state.crashes.may_run(digest)
            await second.allow(EVENTS)
            await answer
        self.assertFalse(may_run)

    async def test_a_request_that_both_replicas_refuse_is_not_charged(self) -> None:
        """Guards against a quota charge for a request that has not run."""
        refuses = asyncio.Event()

        async def refuse_late(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await refuses.wait()
            writer.write(full(request))
            return True

        backup = ScriptedReplica(answering(full))
        relay = await self.relay(ScriptedReplica(refuse_late), backup)
        charge = mock.Mock()
        with mock.patch.object(relay.service._quota_gate, "admit", return_value=charge):
            answer = asyncio.create_task(relay.ask())
            await asyncio.sleep(MIN_SILENCE_S + 0.1)
        self.report_unreachable(relay)
        while not backup.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        refuses.set()
        self.assert_not_run(await answer)
        # The refund covers the charge of the admission only.
        self.assertEqual(charge.refund.call_count, 1 + charge.charge_again.call_count)

    async def test_an_attempt_that_ended_silently_opens_no_backup_for_itself(self) -> None:
        """Guards against a line that says that the first attempt goes on."""
        lines: list[str] = []
        configure_logs("info", lines.append)
        self.addCleanup(configure_logs, "error")
        first = StepwiseStream()
        relay, answer = await self.start(first, ScriptedReplica(answering(rest)))
        (request,) = relay.service._tasks.values()
        running = request.runner._first
        assert running is not None
        running._connection._fail("timed out", silent=True)
        self.assert_whole(await answer)
        names = [item.name for item in _logged(lines)]
        self.assertNotIn("backup_opened", names)


def _logged(lines: list[str]) -> list[LoggedEvent]:
    return list(read_events("n1", lines))


class LateAnswerTest(RelayTestCase):
    def delayed(self, released: asyncio.Event, data: bytes | None = None) -> ScriptedReplica:
        async def script(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await released.wait()
            writer.write(full(request) if data is None else signed(request, data))
            return True

        return ScriptedReplica(script)

    async def test_a_late_refusal_of_the_first_attempt_leaves_the_backup(self) -> None:
        """Guards against a sound backup that is dropped for the head of a refusal."""
        refuses, answers = asyncio.Event(), asyncio.Event()
        backup = self.delayed(answers, b"backup")
        relay = await self.relay(self.delayed(refuses), backup)
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        while not backup.received:
            await asyncio.sleep(0.01)
        refuses.set()
        await asyncio.sleep(0.1)
        answers.set()
        received = await answer
        self.assertEqual((received.status, received.body), (200, b"backup"))

    async def test_a_final_answer_of_the_backup_is_passed_on_at_once(self) -> None:
        """Guards against a wait until the deadline for an answer that is known."""
        backup = ScriptedReplica(
            answering(lambda request: signed(request, b"no such item", "404 Not Found"))
        )
        relay = await self.relay(self.delayed(asyncio.Event()), backup, timeout_s=4.0)
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        received = await asyncio.wait_for(answer, 2.0)
        self.assertEqual((received.status, received.body), (404, b"no such item"))


class WithdrawnPairTest(RelayTestCase):
    async def test_two_attempts_whose_weights_expire_at_once_are_not_both_withdrawn(self) -> None:
        """Guards against a third attempt on a route that allows two, free of the retry budget."""
        queueing = [ScriptedReplica(never_answering) for _ in range(2)]
        current = ScriptedReplica(answering(rest))
        relay = await self.relay(
            *queueing,
            current,
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=2,
            timeout_s=3.0,
        )
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        expires_at_s = relay.state.clock() + START_MARGIN_S + 1.0
        history.add(2, expires_at_s - bound_s)
        third = relay.state.fleet.get("i-2")
        assert third is not None
        third.versions["m"] = 2
        third.loading_until_s = expires_at_s - 0.35
        answer = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        (sent,) = [number for number in (0, 1) if queueing[number].received]
        replica = relay.state.fleet.get(f"i-{sent}")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        await answer
        self.assertEqual([len(item.received) for item in queueing], [1, 1])
        self.assertEqual(current.received, [])


class ExpiredContinuationTest(RelayTestCase):
    async def test_an_answer_cut_because_weights_expire_is_not_cut_by_its_replica(self) -> None:
        lines: list[str] = []
        configure_logs("info", lines.append)
        self.addCleanup(configure_logs, "error")
        replicas = [ScriptedReplica(resetting(begun)), ScriptedReplica(never_answering)]
        relay = await self.relay(
            *replicas, kind=RouteKind.STREAMING, resumable=True, max_attempts=2, timeout_s=3.0
        )
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        history.add(2, relay.state.clock() + START_MARGIN_S + 0.6 - bound_s)
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertFalse(answer.whole)
        names = [item.name for item in _logged(lines)]
        self.assertIn("stream_cancelled", names)
        (done,) = [item for item in _logged(lines) if item.name == "request_done"]
        self.assertEqual(done.field("truncated_by"), "router")


class GoneCallerTest(RelayTestCase):
    async def test_a_caller_that_leaves_while_a_connection_opens_is_not_served(self) -> None:
        """Guards against requests that reach a replica long after their caller has left."""
        replica = ScriptedReplica(answering(rest))
        relay = await self.relay(replica, kind=RouteKind.STREAMING)
        open_new = relay.pool.open_new

        async def open_late(address: str, limit: int) -> ReplicaConnection | Failure:
            await asyncio.sleep(0.3)
            return await open_new(address, limit)

        with mock.patch.object(relay.pool, "open_new", open_late):
            _, writer = await relay.connect()
            writer.write(caller_request(method="POST"))
            while not relay.service.active_requests:
                await asyncio.sleep(0.01)
            writer.close()
            while relay.service.active_requests:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.assertEqual(replica.received, [])


class PausedConnectionTest(RelayTestCase):
    async def test_a_connection_is_read_again_after_an_answer_to_a_slow_caller(self) -> None:
        """Guards against a request that gets a pooled connection on which nothing is read."""
        replica = ScriptedReplica(answering(rest))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, timeout_s=1.0)
        write_body = CallerConnection.write_body

        def write_to_slow_caller(connection: CallerConnection, data: bytes) -> None:
            write_body(connection, data)
            # As the transport does beyond its high-water mark, and when the caller has read.
            connection.pause_writing()
            asyncio.get_running_loop().call_later(0.05, connection.resume_writing)

        with mock.patch.object(CallerConnection, "write_body", write_to_slow_caller):
            self.assertTrue((await relay.ask("id-1", "POST")).whole)
            await asyncio.sleep(0.1)
        answer = await relay.ask("id-2", "POST")
        self.assertEqual((answer.status, answer.whole), (200, True))


class CancelledConnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connect_that_is_cancelled_as_it_succeeds_is_counted_once(self) -> None:
        """Guards against more open connections to a replica than its limit."""
        replica = ScriptedReplica(answering(rest))
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        pool = ConnectionPool()
        kept = await pool.acquire(replica.address, 4)
        assert isinstance(kept, ReplicaConnection)
        task = asyncio.create_task(pool.acquire(replica.address, 4))
        made = ReplicaConnection.connection_made

        def make_and_cancel(
            connection: ReplicaConnection, transport: asyncio.BaseTransport
        ) -> None:
            made(connection, transport)
            task.cancel()

        with mock.patch.object(ReplicaConnection, "connection_made", make_and_cancel):
            await asyncio.wait([task])
        await asyncio.sleep(0.05)
        self.assertTrue(task.cancelled())
        self.assertEqual(pool._open_counts.get(replica.address), 1)
        kept.close()
