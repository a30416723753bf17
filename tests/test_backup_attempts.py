"""An attempt at a replica reported as unreachable, and its backup: each order of their events."""

from __future__ import annotations

import asyncio

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    signed,
)
from tests.stream_case import EVENTS, BackupTestCase, StepwiseStream, full
from winchfork.core.request_limit import LimitPosition
from winchfork.router.attempt_runner import MIN_SILENCE_S
from winchfork.router.http_types import BackupReady


class BackupAttemptTest(BackupTestCase):
    async def test_the_backup_takes_over_once_it_has_begun(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        await second.asked.wait()
        await asyncio.sleep(0.05)
        self.assertFalse(self.first.closed_by_router.is_set())
        await second.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received[0].headers["last-event-id"], "2")
        await self.assert_nothing_in_progress(relay)

    async def test_the_first_attempt_is_abandoned_when_the_backup_has_begun(self) -> None:
        """Guards against one request that runs at two replicas."""
        first, second = StepwiseStream(), StepwiseStream()
        relay, answer = await self.start(first, ScriptedReplica(second))
        self.report_unreachable(relay)
        await second.allow(3)
        # The script notices the closed connection when it has written all it has.
        await asyncio.sleep(0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        self.assertEqual(replica.in_flight, 0)
        await first.allow(EVENTS)
        await self.assert_closed(self.first)
        await second.allow(EVENTS)
        self.assert_whole(await answer)

    async def test_the_backup_is_dropped_when_the_first_attempt_goes_on(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        await second.asked.wait()
        await first.allow(3)
        await second.allow(EVENTS)
        await self.assert_closed(backup)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        await self.assert_nothing_in_progress(relay)

    async def test_a_refused_backup_leaves_the_first_attempt(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(answering(full))
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        while not backup.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertEqual(len(backup.received), 1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        await self.assert_nothing_in_progress(relay)

    async def test_a_crashed_backup_leaves_the_first_attempt(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        relay, answer = await self.start(first, ScriptedReplica(second))
        self.report_unreachable(relay)
        await second.asked.wait()
        await second.crash()
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        await self.assert_nothing_in_progress(relay)

    async def test_a_replica_that_refuses_connections_leaves_the_first_attempt(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream())
        relay, answer = await self.start(first, backup)
        await backup.stop()
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        await self.assert_nothing_in_progress(relay)

    async def test_the_backup_takes_over_when_the_first_replica_crashes(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        await second.asked.wait()
        await first.crash()
        await asyncio.sleep(0.1)
        await second.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(len(backup.received), 1)
        await self.assert_nothing_in_progress(relay)

    async def test_a_crash_while_the_backup_connects_waits_for_it(self) -> None:
        first, second = StepwiseStream(), StepwiseStream(EVENTS)
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup)
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        await first.crash()
        await asyncio.sleep(0.1)
        self.assertEqual((answer.done(), backup.received), (False, []))
        connected.set()
        self.assert_whole(await answer)
        self.assertEqual(len(backup.received), 1)
        await self.assert_nothing_in_progress(relay)

    async def test_a_backup_that_connects_too_late_is_not_sent(self) -> None:
        """Guards against a request that a replica gets after its first attempt has gone on."""
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup)
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        await asyncio.sleep(0.05)
        await first.allow(3)
        await asyncio.sleep(0.05)
        connected.set()
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received, [])
        await self.assert_nothing_in_progress(relay)

    async def test_a_crash_ends_the_answer_if_the_backup_cannot_connect(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup, max_attempts=2)
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        await first.crash()
        await backup.stop()
        connected.set()
        self.assertFalse((await answer).whole)
        await self.assert_nothing_in_progress(relay)

    async def test_a_caller_that_leaves_ends_both_attempts(self) -> None:
        """Guards against a backup that goes on without a caller."""
        first, second = StepwiseStream(), StepwiseStream()
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup)
        self.report_unreachable(relay)
        await second.asked.wait()
        answer.cancel()
        self.writer.close()
        await self.assert_nothing_in_progress(relay)
        await first.allow(EVENTS)
        await second.allow(EVENTS)
        await self.assert_closed(self.first)
        await self.assert_closed(backup)

    async def test_the_deadline_ends_both_attempts(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        backup = ScriptedReplica(second)
        relay, answer = await self.start(first, backup, timeout_s=1.0)
        self.report_unreachable(relay)
        self.assertFalse((await answer).whole)
        await self.assert_nothing_in_progress(relay)
        await first.allow(EVENTS)
        await second.allow(EVENTS)
        await self.assert_closed(self.first)
        await self.assert_closed(backup)

    async def test_one_backup_whatever_is_reported(self) -> None:
        first, second, third = StepwiseStream(), StepwiseStream(), StepwiseStream()
        others = [ScriptedReplica(second), ScriptedReplica(third)]
        relay, answer = await self.start(first, *others, max_attempts=3)
        for _ in range(100):
            relay.state.retry_budget.record_request("s", relay.state.clock())
        for _ in range(3):
            self.report_unreachable(relay)
            await asyncio.sleep(0.05)
        self.assertEqual(sum(len(other.received) for other in others), 1)
        await second.allow(EVENTS)
        await third.allow(EVENTS)
        self.assert_whole(await answer)

    async def test_a_route_with_one_attempt_gets_no_backup(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup, max_attempts=1)
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received, [])

    async def test_a_backup_spends_the_retry_budget(self) -> None:
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup)
        budget = relay.state.retry_budget
        while budget.try_spend("s", relay.state.daemon_count, relay.state.clock()):
            pass
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received, [])

    async def test_a_backup_takes_no_permit_of_a_replica_with_a_request_limit(self) -> None:
        """Guards against overtaking the requests that queue for a permit."""
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup)
        other = relay.state.fleet.get("i-1")
        assert other is not None
        other.notice.limit.update(1000.0, relay.state.clock() - 60.0)
        other.notice.limit.set_position(LimitPosition(rank=0, daemons=1), 0.0)
        self.assertIn(other, relay.state.replica_selector.candidates("s", {"i-0"}))
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        await first.allow(EVENTS)
        self.assert_whole(await answer)
        self.assertEqual(backup.received, [])

    async def test_a_late_event_of_a_dropped_backup_does_not_end_the_next(self) -> None:
        first, second = StepwiseStream(), StepwiseStream(EVENTS)
        relay, answer = await self.start(first, ScriptedReplica(second))
        connected = self.delay_connections(relay)
        self.report_unreachable(relay)
        (request,) = relay.service._tasks.values()
        request._inbox.put(BackupReady(opening=object()))
        await asyncio.sleep(0.05)
        connected.set()
        self.assert_whole(await answer)

    async def test_a_silence_under_backpressure_gets_no_backup(self) -> None:
        """Guards against taking a replica that is not read from for a silent one."""
        first = StepwiseStream()
        backup = ScriptedReplica(StepwiseStream(EVENTS))
        relay, answer = await self.start(first, backup)
        (request,) = relay.service._tasks.values()
        request.set_backpressure(True)
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        request.set_backpressure(False)
        self.report_unreachable(relay)
        await asyncio.sleep(0.1)
        self.assertEqual(backup.received, [])
        await first.allow(EVENTS)
        self.assert_whole(await answer)

    async def test_a_backup_under_backpressure_is_not_read(self) -> None:
        first, second = StepwiseStream(), StepwiseStream(EVENTS)
        relay, answer = await self.start(first, ScriptedReplica(second))
        (request,) = relay.service._tasks.values()
        self.report_unreachable(relay)
        request.set_backpressure(True)
        await second.asked.wait()
        await asyncio.sleep(0.1)
        self.assertEqual(request._answer.events, 2)
        request.set_backpressure(False)
        self.assert_whole(await answer)

    async def test_a_daemon_that_stops_keeps_a_backup_that_is_in_progress(self) -> None:
        first, second = StepwiseStream(), StepwiseStream()
        relay, answer = await self.start(first, ScriptedReplica(second))
        self.report_unreachable(relay)
        await second.asked.wait()
        relay.state.stopping = True
        await second.allow(EVENTS)
        self.assert_whole(await answer)


class SafeRequestTest(RelayTestCase):
    async def ask(self, relay: RelayUnderTest) -> asyncio.Task[ReceivedAnswer]:
        answer = asyncio.create_task(relay.ask())
        while not relay.service.active_requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MIN_SILENCE_S + 0.1)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        return answer

    def delayed(self, released: asyncio.Event, body: bytes) -> ScriptedReplica:
        async def script(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await released.wait()
            writer.write(signed(request, body))
            return True

        return ScriptedReplica(script)

    async def test_a_whole_answer_of_the_backup_is_delivered(self) -> None:
        never = asyncio.Event()
        replicas = [
            self.delayed(never, b"first"),
            ScriptedReplica(answering(lambda request: signed(request, b"backup"))),
        ]
        answer = await self.ask(await self.relay(*replicas))
        self.assertEqual((await answer).body, b"backup")

    async def test_a_late_answer_of_the_first_attempt_is_delivered_after_a_refusal(self) -> None:
        """Guards against a 502 for a request whose replica answers after all."""
        released = asyncio.Event()
        replicas = [self.delayed(released, b"first"), ScriptedReplica(answering(full))]
        answer = await self.ask(await self.relay(*replicas))
        await asyncio.sleep(0.1)
        released.set()
        self.assertEqual((await answer).body, b"first")
