"""The lines on attempts without a whole answer, and on answers that were broken off."""

from __future__ import annotations

import asyncio
import math
from unittest import mock

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    HANG_TIMEOUT_S,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    never_answering,
    resetting,
)
from tests.stream_case import begun, full
from winchfork.cli.log_reading import LoggedEvent, read_events
from winchfork.core.routing import RouteKind
from winchfork.logs import configure_logs
from winchfork.router.outcome_recorder import REFUSAL_COOLDOWN_S


class TruncatedAnswerLinesTest(RelayTestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        configure_logs("info", self.lines.append)
        self.addCleanup(configure_logs, "error")

    def logged(self, name: str) -> list[LoggedEvent]:
        return [item for item in read_events("n1", self.lines) if item.name == name]

    def events_sent(self, relay: RelayUnderTest) -> int:
        """Return how many events the callers of requests in progress have received."""
        return sum(request._answer.events for request in relay.service._tasks.values())

    def assert_truncated_by(self, relay: RelayUnderTest, outcome: str, by: str) -> None:
        (done,) = self.logged("request_done")
        self.assertEqual(
            (done.field("outcome"), done.field("truncated_by"), done.field("ran")),
            (outcome, by, "unknown"),
        )
        self.assertEqual(relay.state.metrics.truncated_answers.labels(by).value, 1)

    async def test_an_answer_cut_by_its_replica(self) -> None:
        replica = ScriptedReplica(resetting(begun))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1)
        answer = await relay.ask(method="POST")
        self.assertFalse(answer.whole)
        self.assert_truncated_by(relay, "outcome_unknown", "replica")
        (ended,) = self.logged("attempt_ended")
        self.assertEqual((ended.field("ending"), ended.field("events")), ("may_have_run", "2"))

    async def test_an_answer_cut_because_the_next_replica_refused(self) -> None:
        replicas = [ScriptedReplica(resetting(begun)), ScriptedReplica(answering(full))]
        route = {"kind": RouteKind.STREAMING, "resumable": True}
        relay = await self.relay(*replicas, **route)
        answer = await relay.ask(method="POST")
        self.assertFalse(answer.whole)
        self.assert_truncated_by(relay, "overloaded", "router")
        endings = [item.field("ending") for item in self.logged("attempt_ended")]
        self.assertEqual(endings[:2], ["may_have_run", "not_run"])
        # The replica is asked again until the retry budget is spent.
        self.assertEqual(set(endings[2:]), {"not_run"})
        self.assertLessEqual(len(endings), 1 + math.ceil(HANG_TIMEOUT_S / REFUSAL_COOLDOWN_S))

    async def test_an_answer_cut_at_the_deadline(self) -> None:
        relay = await self.relay(
            ScriptedReplica(answering(begun)), kind=RouteKind.STREAMING, timeout_s=0.5
        )
        answer = await relay.ask(method="POST")
        self.assertFalse(answer.whole)
        self.assert_truncated_by(relay, "deadline_exceeded", "deadline")

    async def test_an_answer_that_its_caller_left(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(begun)), kind=RouteKind.STREAMING)
        reader, writer = await relay.connect()
        writer.write(caller_request(method="POST"))
        await reader.readuntil(b"piece-2")
        writer.close()
        while not self.logged("request_done"):
            await asyncio.sleep(0.01)
        self.assert_truncated_by(relay, "caller_left", "caller")

    async def test_an_answer_cut_at_the_end_of_a_stop(self) -> None:
        """Guards against a line and a quota refund that say that a cut request did not run."""
        relay = await self.relay(ScriptedReplica(answering(begun)), kind=RouteKind.STREAMING)
        charge = mock.Mock()
        with mock.patch.object(relay.service._quota_gate, "admit", return_value=charge):
            answer = asyncio.create_task(relay.ask(method="POST"))
            while not self.events_sent(relay):
                await asyncio.sleep(0.01)
        self.assertEqual(await relay.service.cut_requests(), 1)
        self.assertFalse((await answer).whole)
        self.assert_truncated_by(relay, "stopping", "router")
        charge.refund.assert_not_called()

    async def test_a_request_without_an_answer_is_told_of_the_end_of_a_stop(self) -> None:
        """Guards against a connection that is closed without an answer."""
        replica = ScriptedReplica(never_answering)
        relay = await self.relay(replica, kind=RouteKind.STREAMING)
        listed = relay.state.fleet.get("i-0")
        assert listed is not None
        for sent, status, ran in ((False, 503, "not_run"), (True, 502, "unknown")):
            with self.subTest(sent=sent):
                self.lines.clear()
                now_s = relay.state.clock()
                listed.loading_until_s = now_s if sent else now_s + 1.0
                answer = asyncio.create_task(relay.ask(method="POST"))
                while not (replica.received if sent else relay.service.active_requests):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                self.assertEqual(await relay.service.cut_requests(), 1)
                self.assertEqual((await answer).status, status)
                (done,) = self.logged("request_done")
                self.assertEqual((done.field("outcome"), done.field("ran")), ("stopping", ran))

    async def test_a_refusal_and_a_whole_answer_are_not_truncated(self) -> None:
        replica = ScriptedReplica(
            answering(lambda request: begun(request) + b"0\r\n\r\n"),
            answering(full),
            never_answering,
        )
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1, timeout_s=0.5)
        statuses = [(await relay.ask(f"id-{number}", "POST")).status for number in range(3)]
        self.assertEqual(statuses[:2], [200, 503])
        fields = [done.field("truncated_by") for done in self.logged("request_done")]
        self.assertEqual(fields, ["", "", ""])
