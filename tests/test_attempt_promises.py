"""What the attempts of one request promise: their number, charges, deadlines and log lines."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    event,
    never_answering,
    resetting,
    signed,
)
from tests.stream_case import EVENTS, begun, full, rest
from winchfork.cli.log_reading import read_events
from winchfork.core.routing import RouteKind
from winchfork.core.start_margin import START_MARGIN_S
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure, FailureKind
from winchfork.logs import configure_logs
from winchfork.router.attempt_runner import MIN_SILENCE_S
from winchfork.router.replica_connection import ReplicaConnection


def delayed(released: asyncio.Event, data: bytes, status: str = "200 OK") -> ScriptedReplica:
    async def script(
        request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        await released.wait()
        writer.write(full(request) if status == "503" else signed(request, data, status))
        return True

    return ScriptedReplica(script)


class LateAnswerOfFirstTest(RelayTestCase):
    async def start_backup(
        self, relay: RelayUnderTest, backup: ScriptedReplica
    ) -> asyncio.Task[ReceivedAnswer]:
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        while not backup.received:
            await asyncio.sleep(0.01)
        return answer

    async def test_a_final_answer_of_the_first_attempt_is_passed_on_at_once(self) -> None:
        """Guards against a wait for a silent backup when the answer is known."""
        answers = asyncio.Event()
        backup = ScriptedReplica(never_answering)
        first = delayed(answers, b"no such item", "404 Not Found")
        relay = await self.relay(first, backup, timeout_s=4.0)
        answer = await self.start_backup(relay, backup)
        answers.set()
        received = await asyncio.wait_for(answer, 2.0)
        self.assertEqual((received.status, received.body), (404, b"no such item"))

    async def test_a_first_attempt_that_is_refused_late_is_not_charged(self) -> None:
        """Guards against two charges for the one run of the backup."""
        refuses, answers = asyncio.Event(), asyncio.Event()
        backup = delayed(answers, b"backup")
        relay = await self.relay(delayed(refuses, b"", "503"), backup)
        charge = mock.Mock()
        with mock.patch.object(relay.service._quota_gate, "admit", return_value=charge):
            answer = await self.start_backup(relay, backup)
        refuses.set()
        await asyncio.sleep(0.1)
        answers.set()
        self.assertEqual((await answer).status, 200)
        self.assertEqual(charge.charge_again.call_count - charge.refund.call_count, 0)


class BegunAnswerTest(RelayTestCase):
    def assert_whole(self, answer: ReceivedAnswer) -> None:
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, EVENTS + 1)))

    async def test_a_refusal_uses_up_no_replica_of_the_route(self) -> None:
        """Guards against a begun answer cut after two of the three replicas that it may use."""
        twice = ScriptedReplica(answering(full), resetting(begun))
        third = ScriptedReplica(answering(rest))
        relay = await self.relay(
            ScriptedReplica(resetting(begun)),
            twice,
            third,
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=3,
            timeout_s=4.0,
        )
        listed = relay.state.fleet.get("i-2")
        assert listed is not None
        listed.loading_until_s = relay.state.clock() + 60.0
        answer = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        while len(twice.received) < 2 and not answer.done():
            await asyncio.sleep(0.002)
        self.assertEqual(len(twice.received), 2)
        listed.loading_until_s = 0.0
        self.assert_whole(await answer)

    async def test_a_continuation_whose_weights_expire_waits_for_the_next_replica(self) -> None:
        """Guards against a begun answer cut since no replica accepts at that very moment."""
        third = ScriptedReplica(answering(rest))
        relay = await self.relay(
            ScriptedReplica(resetting(begun)),
            ScriptedReplica(never_answering),
            third,
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=3,
            timeout_s=5.0,
        )
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        expires_at_s = relay.state.clock() + START_MARGIN_S + 0.6
        history.add(2, expires_at_s - bound_s)
        listed = relay.state.fleet.get("i-2")
        assert listed is not None
        listed.versions["m"] = 2
        listed.loading_until_s = expires_at_s + 0.3
        self.assert_whole(await relay.ask(method="POST", extra=PROMPT_HEADERS))

    async def test_a_continuation_whose_weights_expire_during_a_stop_goes_elsewhere(self) -> None:
        """Guards against a begun answer cut in a stop although a replica accepts it in time."""
        relay = await self.relay(
            ScriptedReplica(resetting(begun)),
            ScriptedReplica(never_answering),
            ScriptedReplica(answering(rest)),
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=3,
            timeout_s=5.0,
        )
        history = relay.state.weights_versions["m"] = VersionHistory()
        bound_s = relay.state.settings.bounds.weights_s
        expires_at_s = relay.state.clock() + START_MARGIN_S + 0.6
        history.add(2, expires_at_s - bound_s)
        listed = relay.state.fleet.get("i-2")
        assert listed is not None
        listed.versions["m"] = 2
        listed.loading_until_s = expires_at_s - 0.4
        relay.state.stopping = True
        self.assert_whole(await relay.ask(method="POST", extra=PROMPT_HEADERS))

    async def test_an_answer_that_no_listed_replica_may_continue_is_ended(self) -> None:
        """Guards against a wait to the deadline for replicas that are gone for good."""
        refusing = ScriptedReplica(answering(full))
        relay = await self.relay(
            ScriptedReplica(resetting(begun)),
            refusing,
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=2,
            timeout_s=4.0,
        )
        answer = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        while not refusing.received:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        for replica in list(relay.state.fleet.replicas()):
            relay.state.fleet.remove(replica.replica_id)
        self.assertFalse((await asyncio.wait_for(answer, 2.0)).whole)


class ConnectPastDeadlineTest(RelayTestCase):
    async def test_no_further_connection_is_opened_after_the_deadline(self) -> None:
        """Guards against an answer late by a connect timeout for each replica."""
        relay = await self.relay(
            *(ScriptedReplica(never_answering) for _ in range(6)), timeout_s=0.5
        )
        asked: list[float] = []

        async def time_out(address: str, limit: int) -> ReplicaConnection | Failure:
            asked.append(relay.state.clock())
            await asyncio.sleep(0.6)
            return FailureKind.BACKEND_UNREACHABLE.because("timed out")

        with mock.patch.object(relay.pool, "open_new", time_out):
            began_s = relay.state.clock()
            self.assert_not_run(await relay.ask())
        late = [at_s - began_s for at_s in asked if at_s - began_s > 0.55]
        self.assertEqual(late, [])

    async def test_a_caller_that_left_while_connections_fail_is_not_searched_for(self) -> None:
        """Guards against connections for a gone caller, and a line that says it was refused."""
        lines: list[str] = []
        configure_logs("info", lines.append)
        self.addCleanup(configure_logs, "error")
        relay = await self.relay(*(ScriptedReplica(never_answering) for _ in range(4)))
        asked = 0

        async def time_out(address: str, limit: int) -> ReplicaConnection | Failure:
            nonlocal asked
            asked += 1
            await asyncio.sleep(0.2)
            return FailureKind.BACKEND_UNREACHABLE.because("timed out")

        with mock.patch.object(relay.pool, "open_new", time_out):
            _, writer = await relay.connect()
            writer.write(caller_request())
            while not asked:
                await asyncio.sleep(0.01)
            writer.close()
            while relay.service.active_requests:
                await asyncio.sleep(0.01)
        (done,) = [item for item in read_events("n1", lines) if item.name == "request_done"]
        self.assertEqual((asked, done.field("outcome")), (1, "caller_left"))


class BackupLineTest(RelayTestCase):
    async def test_a_backup_that_is_not_sent_is_logged_as_dropped(self) -> None:
        """Guards against a log that says that a request got a backup which was never sent."""
        lines: list[str] = []
        configure_logs("info", lines.append)
        self.addCleanup(configure_logs, "error")
        answers = asyncio.Event()
        backup = ScriptedReplica(never_answering)
        relay = await self.relay(delayed(answers, b"first"), backup)
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        with mock.patch.object(relay.state.retry_budget, "try_spend", return_value=False):
            relay.state.on_unresponsive(replica)
            await asyncio.sleep(0.1)
        answers.set()
        self.assertEqual((await answer).body, b"first")
        self.assertEqual(backup.received, [])
        names = [item.name for item in read_events("n1", lines)]
        self.assertEqual(names.count("backup_opened"), names.count("backup_dropped"))


class BackupPlacementTest(RelayTestCase):
    async def test_a_backup_on_a_kept_connection_asks_once_more_for_availability(self) -> None:
        """Guards against a request to a replica that announced its end or a load meanwhile."""
        answers = asyncio.Event()
        backup = ScriptedReplica(answering(lambda request: signed(request, b"backup")))
        relay = await self.relay(delayed(answers, b"first"), backup)
        kept = await relay.pool.acquire(backup.address, 4)
        assert isinstance(kept, ReplicaConnection)
        relay.pool.release(backup.address, kept)
        other = relay.state.fleet.get("i-1")
        first = relay.state.fleet.get("i-0")
        assert first is not None and other is not None
        other.loading_until_s = relay.state.clock() + 0.2
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        relay.state.on_unresponsive(first)
        # What a peer's message in the same turn of the loop says.
        other.loading_until_s = relay.state.clock() + 60.0
        await asyncio.sleep(0.1)
        answers.set()
        self.assertEqual((await answer).body, b"first")
        self.assertEqual(backup.received, [])


class UnprovenRefusalTest(RelayTestCase):
    """Failure answers without the replica's proof that it did not run the request."""

    async def ask_once(self, status: str, extra: str = "") -> ReceivedAnswer:
        def answer(request: ReceivedRequest) -> bytes:
            return signed(request, b"busy", status, extra)

        replicas = [ScriptedReplica(answering(answer)) for _ in range(2)]
        relay = await self.relay(*replicas, kind=RouteKind.UNSAFE, max_attempts=2)
        answer_received = await relay.ask(method="POST")
        if not extra:
            self.assertEqual(sum(len(replica.received) for replica in replicas), 1)
        return answer_received

    async def test_a_refusal_of_a_run_that_may_have_happened_is_no_promise(self) -> None:
        """Guards against callers who send a command again that has run."""
        for status in ("503 Busy", "429 Slow Down", "408 Too Late"):
            with self.subTest(status=status):
                answer = await self.ask_once(status)
                self.assertEqual(answer.status, 502)
                self.assertNotIn("x-server-signature", answer.headers)
                self.assertIn(b'"ran": "unknown"', answer.body)

    async def test_other_failures_are_passed_on_unchanged(self) -> None:
        for status in ("500 Broken", "404 No Such Item", "504 Late"):
            with self.subTest(status=status):
                answer = await self.ask_once(status)
                self.assertEqual((answer.status, answer.body), (int(status[:3]), b"busy"))
                self.assertEqual(answer.headers["x-server-signature"], "sig")

    async def test_a_proven_refusal_stays_a_promise(self) -> None:
        self.assert_not_run(await self.ask_once("503 Busy", "X-Not-Executed: 1\r\n"))
