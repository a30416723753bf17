"""Requests that crash replicas, on the request path of one router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from unittest import mock

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    never_answering,
    resetting,
    signed,
)
from winchfork.core.broken_runs import EVIDENCE_WINDOW_S
from winchfork.core.crash_history import CRASHES_TO_REFUSE
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.replica_notice import UNCONFIRMED_DRAINING_S, ReportedPause
from winchfork.core.request_digest import request_digest
from winchfork.core.routing import RouteKind
from winchfork.core.suspect_runs import SuspectRun
from winchfork.router import crash_tracker

#: The digest of what :meth:`RelayUnderTest.ask` sends by default.
ASKED = request_digest("school", b"GET", "a.example", b"/p/x?q=1", b"")


def empty_answer(request: ReceivedRequest) -> bytes:
    """Return an empty answer."""
    return b""


class CrashingReplica(ScriptedReplica):
    """Crashes under the first request that it runs: its port is closed and its connections end."""

    def __init__(self) -> None:
        super().__init__(self._crash)
        self.before_crash: Callable[[], object] = lambda: None
        #: Whether its other connections are closed as well.
        self.closes_connections = True

    async def _crash(
        self, request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        self.before_crash()
        if self.closes_connections:
            await self.stop()
        elif self._server is not None:
            self._server.close()
        return False


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after 5 s."""
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def report_draining(relay: RelayUnderTest, replica: RelayReplica) -> None:
    """Let two peers report that a replica drains, which confirms it."""
    for peer in ("n2", "n3"):
        relay.state.notices.handle_peer_report(
            peer, replica, ReportedPause(draining=True, backoff_s=0.0)
        )


class PathTest(RelayTestCase):
    async def test_lost_answers_of_running_replicas_cause_no_suspicion(self) -> None:
        replica = ScriptedReplica(resetting(empty_answer))
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        for number in range(2 * CRASHES_TO_REFUSE):
            answer = await relay.ask(f"id-{number}", method="GET")
            self.assertEqual(answer.status, 502)
            await asyncio.sleep(0.06)
            # The probe of the broken run, which shows that the replica still runs, may be late.
            await until(lambda: relay.state.crashes.crash_count(ASKED) == 0)
        self.assertEqual(len(replica.received), 2 * CRASHES_TO_REFUSE)

    async def test_one_request_is_sent_to_no_replica_after_two_crashes(self) -> None:
        replicas = [CrashingReplica() for _ in range(4)]
        relay = await self.relay(*replicas, max_attempts=4)
        answer = await relay.ask()
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(replica.received) for replica in replicas), 2)

    async def test_lost_answers_of_two_running_replicas_do_not_end_the_retries(self) -> None:
        """Guards against counting lost answers as crashes until the replicas have been probed."""
        losing = [ScriptedReplica(answering(empty_answer, keep_open=False)) for _ in range(2)]
        healthy = ScriptedReplica(answering(lambda request: signed(request, b"ok")))
        relay = await self.relay(*losing, healthy, max_attempts=3)
        # Gives this daemon the whole retry budget, since eight retries are made at once.
        relay.state.daemon_count = 1
        answers = await asyncio.gather(*(relay.ask(f"id-{number}") for number in range(4)))
        self.assertEqual([answer.status for answer in answers], [200] * 4)

    async def test_no_request_waits_beyond_its_deadline_for_unconfirmed_crashes(self) -> None:
        """The outcome only decides on a retry, for which no time is left."""
        breaking = ScriptedReplica(resetting(empty_answer))
        for last in (ScriptedReplica(never_answering), breaking):
            relay = await self.relay(last, timeout_s=0.3)
            crashes = relay.state.crashes
            crashes.on_connection_broken = lambda replica: None
            for number in range(2):
                removed = ReplicaListing(f"i-removed-{number}", "s", "127.0.0.9:9", "z1", 8, False)
                crashes.record_broken_run(
                    RelayReplica(removed, {}, removed.incarnation), ASKED, silent=False
                )
            with mock.patch.object(crash_tracker, "MAX_RESOLVE_WAIT_S", 2 * EVIDENCE_WINDOW_S):
                answer = await asyncio.wait_for(relay.ask(), EVIDENCE_WINDOW_S / 2)
            self.assertGreaterEqual(answer.status, 500)

    async def test_after_three_crashes_a_request_is_refused_without_reaching_a_replica(
        self,
    ) -> None:
        replicas = [CrashingReplica() for _ in range(5)]
        relay = await self.relay(*replicas, kind=RouteKind.UNSAFE, max_attempts=1)
        for number in range(CRASHES_TO_REFUSE):
            await relay.ask(f"id-{number}")
            await until(
                lambda count=number + 1: (
                    relay.state.crashes.history.crash_count(ASKED, 0.0) == count
                )  # type: ignore[misc]
            )
        answer = await relay.ask("id-last")
        self.assertEqual(answer.status, 500)
        self.assertIn(b"ends_replicas", answer.body)
        self.assertNotIn("retry-after", answer.headers)
        self.assertEqual(sum(len(replica.received) for replica in replicas), CRASHES_TO_REFUSE)

    async def test_a_successful_run_clears_the_request(self) -> None:
        healthy = ScriptedReplica(answering(lambda request: signed(request, b"ok")))
        relay = await self.relay(CrashingReplica(), healthy)
        self.assertEqual((await relay.ask()).status, 200)
        await until(lambda: not relay.state.crashes.crash_count(ASKED))
        self.assertEqual(relay.state.crashes.history.suspected_count, 0)

    async def test_a_crash_is_detected_also_after_a_lost_answer(self) -> None:
        """The replica answers the probe after the first break, but not after the second one."""
        replica = CrashingReplica()
        replica.scripts.insert(0, resetting(empty_answer))
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        await relay.ask("id-1")
        await asyncio.sleep(0.06)
        self.assertEqual(relay.state.crashes.crash_count(ASKED), 0)
        await relay.ask("id-2")
        await until(lambda: relay.state.crashes.history.crash_count(ASKED, 0.0) == 1)

    async def test_connections_broken_by_a_draining_replica_cause_no_suspicion(self) -> None:
        replica = CrashingReplica()
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        replica.before_crash = lambda: relay.state.fleet.install(
            ReplicaListing("i-0", "s", replica.address, "z1", 8, False, {"m": 1})
        )
        self.assertEqual((await relay.ask()).status, 502)
        await asyncio.sleep(0.1)
        self.assertEqual(relay.state.crashes.history.suspected_count, 0)
        self.assertEqual(len(replica.received), 1)

    async def test_a_replica_that_a_peer_reported_as_draining_causes_no_suspicion_at_its_end(
        self,
    ) -> None:
        """Guards against counting announced ends as crashes where only a peer was told of them."""
        replica = CrashingReplica()
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        listed = relay.state.fleet.of_service("s")[0]
        replica.before_crash = lambda: report_draining(relay, listed)
        self.assertEqual((await relay.ask()).status, 502)
        await asyncio.sleep(0.1)
        self.assertEqual(relay.state.crashes.history.suspected_count, 0)
        self.assertEqual(len(replica.received), 1)

    async def test_an_end_is_announced_also_if_the_report_arrives_after_the_break(self) -> None:
        replica = CrashingReplica()
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        listed = relay.state.fleet.of_service("s")[0]
        self.assertEqual((await relay.ask()).status, 502)
        report_draining(relay, listed)
        await asyncio.sleep(0.1)
        self.assertEqual(relay.state.crashes.history.suspected_count, 0)

    async def test_a_crash_counts_after_a_reported_draining_has_expired(self) -> None:
        replica = CrashingReplica()
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        listed = relay.state.fleet.of_service("s")[0]
        now_s = relay.state.clock()
        listed.notice.apply_peer_pause(
            ReportedPause(draining=True, backoff_s=0.0), now_s - UNCONFIRMED_DRAINING_S
        )
        await relay.ask()
        await until(lambda: relay.state.crashes.history.crash_count(ASKED, 0.0) == 1)

    async def test_an_idle_connection_does_not_count_as_a_reached_replica(self) -> None:
        """The replica's port is closed, but the pool has not seen the end of its connection yet."""
        replica = CrashingReplica()
        both_received = asyncio.Barrier(2)

        async def answer(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await both_received.wait()
            writer.write(signed(request, b"ok"))
            return True

        replica.scripts[:0] = [answer, answer]
        replica.closes_connections = False
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, max_attempts=1)
        await asyncio.gather(
            *(relay.ask(f"id-{name}", method="POST", body=name.encode()) for name in "ab")
        )
        await relay.ask("id-3")
        await until(lambda: relay.state.crashes.history.crash_count(ASKED, 0.0) == 1)

    async def test_a_suspect_waits_while_another_daemon_runs_it(self) -> None:
        replica = ScriptedReplica(answering(lambda request: signed(request, b"ok")))
        relay = await self.relay(replica)
        crashes = relay.state.crashes
        crashes.handle_crash_report(1, [ASKED])
        until_s = relay.state.clock() + 60.0
        crashes.handle_suspect_run("n2", ASKED, SuspectRun(7, until_s, is_exclusive=False))
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(0.15)
        self.assertEqual(replica.received, [])
        crashes.handle_suspect_run("n2", ASKED, None)
        self.assertEqual((await answer).status, 200)

    async def test_a_suspect_of_two_crashes_shares_no_replica_with_another(self) -> None:
        replicas = [
            ScriptedReplica(answering(lambda request: signed(request, b"ok"))) for _ in range(2)
        ]
        relay = await self.relay(*replicas)
        crashes = relay.state.crashes
        first, second = relay.state.fleet.of_service("s")
        for digest in (ASKED, b"other suspect   "):
            crashes.handle_crash_report(1, [digest])
            crashes.handle_crash_report(2, [digest])
        until_s = relay.state.clock() + 60.0
        crashes.handle_suspect_run(
            "n2", ASKED, SuspectRun(second.incarnation_hash, until_s, is_exclusive=True)
        )
        crashes.handle_suspect_run(
            "n2",
            b"other suspect   ",
            SuspectRun(first.incarnation_hash, until_s, is_exclusive=True),
        )
        answer = asyncio.create_task(relay.ask())
        await asyncio.sleep(0.15)
        self.assertEqual([len(replica.received) for replica in replicas], [0, 0])
        crashes.handle_suspect_run("n2", ASKED, None)
        self.assertEqual((await answer).status, 200)
        self.assertEqual([len(replica.received) for replica in replicas], [0, 1])
