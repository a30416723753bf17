"""After a suspension of the machine, all state has aged by the time that it lasted.

Guards against event loops whose clock does not count a suspension: a daemon that resumes would act
as leader, admit API keys and start requests on replaced weights as if no time had passed.
"""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.relay_support import (
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    chunk,
    event,
    read_answer,
    signed,
    stream_head,
)
from tests.virtual_loop import VirtualLoop, run_virtually, stall_loop
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.routing import RouteKind
from winchfork.core.suspect_runs import SuspectRun
from winchfork.core.tenant_quota import QuotaUnit, TenantLimit
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure, FailureKind
from winchfork.router import process
from winchfork.router.boot_clock import BootClockLoop
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.header_codec import RequestFields
from winchfork.router.http_types import IncomingRequest
from winchfork.router.leadership import VALIDITY_S, Leadership
from winchfork.router.pooled_http_client import PooledHttpClient
from winchfork.router.request_admission import RequestAdmission

#: Durations of a suspension: within all bounds, at the edge of them, and beyond all.
SUSPENSIONS_S = (1.0, 5.0, 30.0)


class LoopClockTest(unittest.TestCase):
    def test_timers_that_came_due_during_a_suspension_fire_at_once(self) -> None:
        suspended_s = 0.0
        read = time.clock_gettime

        def clock_gettime(clock: int) -> float:
            counts = clock == time.CLOCK_BOOTTIME
            return read(clock) + (suspended_s if counts else 0.0)

        async def scenario() -> tuple[float, bool]:
            nonlocal suspended_s
            loop = asyncio.get_running_loop()
            fired = asyncio.Event()
            loop.call_later(20.0, fired.set)
            before_s = loop.time()
            suspended_s = 30.0
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return loop.time() - before_s, fired.is_set()

        with (
            mock.patch("time.clock_gettime", clock_gettime),
            asyncio.Runner(loop_factory=BootClockLoop) as runner,
        ):
            passed_s, fired = runner.run(scenario())
        self.assertGreaterEqual(passed_s, 30.0)
        self.assertTrue(fired)

    def test_a_router_process_uses_this_loop(self) -> None:
        factories: list[object] = []

        class LoopChosen(Exception):
            """Ends the process as soon as its loop is chosen."""

        def runner(*, loop_factory: object = None) -> None:
            factories.append(loop_factory)
            raise LoopChosen

        settings = mock.Mock()
        with (
            mock.patch.object(process, "LogOutput"),
            mock.patch.object(process, "configure_logs"),
            mock.patch("asyncio.Runner", runner),
            self.assertRaises(LoopChosen),
        ):
            process.run_router(settings, mock.Mock(), lambda: settings, 0.0)
        self.assertEqual(factories, [BootClockLoop])


def for_each_duration(scenario: Callable[[float], Awaitable[None]]) -> None:
    """Run a scenario for each duration of a suspension."""
    for seconds in SUSPENSIONS_S:
        run_virtually(scenario(seconds))  # type: ignore[arg-type]


class StateAgeTest(unittest.TestCase):
    """Checks for each kind of state that its age is right at the first use after a suspension."""

    def test_a_leader_gives_no_order_after_its_lease_may_have_expired(self) -> None:
        async def scenario(seconds: float) -> None:
            network = Network()
            daemon = Daemon(network, 1, store=MemoryStore())
            daemon.follow()
            while not daemon.leadership.may_act():
                await asyncio.sleep(0.05)
            stall_loop(seconds)
            self.assertFalse(daemon.leadership.authorize_order())
            self.assertFalse(daemon.leadership.leads())
            daemon.kill(network)

        for_each_duration(scenario)

    def test_a_replicas_backoff_elapses_during_a_suspension(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            listing = ReplicaListing("i-1", "s", "127.0.0.1:1", "z1", 8, True)
            replica = relay.state.fleet.install(listing)
            relay.state.notices.record(replica, AnswerNotice(backoff_s=3.0))
            stall_loop(seconds)
            resumed_s = relay.state.clock()
            self.assertEqual(replica.notice.is_backing_off(resumed_s), seconds < 3.0)
            relay.state.notices.record(replica, AnswerNotice(draining=True))
            stall_loop(seconds)
            self.assertFalse(replica.accepting)

        for_each_duration(scenario)

    def test_a_key_that_may_have_been_revoked_is_not_admitted(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            relay.configure()
            relay.state.freshness = type(relay.state.freshness)()
            relay.state.freshness.prove(relay.state.clock())
            stall_loop(seconds)
            request = IncomingRequest(
                b"GET", b"/p/x", [(b"Host", b"a.example")], b"", False, True, relay.state.clock()
            )
            fields = RequestFields("id", None, "key-of-the-school", None, None)
            admitted = RequestAdmission(relay.state).admit(request, fields)
            may_be_revoked = seconds >= relay.state.settings.bounds.revoke_s
            self.assertEqual(isinstance(admitted, Failure), may_be_revoked)
            if isinstance(admitted, Failure):
                self.assertIs(admitted.kind, FailureKind.CONFIGURATION_STALE)

        for_each_duration(scenario)

    def test_replaced_weights_expire_by_their_bound(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            relay.configure()
            state = relay.state
            history = state.weights_versions.setdefault("m", VersionHistory())
            history.add(1, state.clock() - 100.0)
            history.add(2, state.clock())
            bound_s = state.settings.bounds.weights_s
            stall_loop(seconds)
            expired = state.replica_selector.weights_expire_at_s("m", 1) <= state.clock()
            self.assertEqual(expired, seconds >= bound_s)

        for_each_duration(scenario)

    def test_a_token_bucket_holds_no_more_than_its_burst(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            quotas = relay.state.quotas
            limit = TenantLimit(10.0, 20.0, QuotaUnit.REQUESTS, 1.0)
            quotas.install({"school": limit}, relay.state.clock())
            stall_loop(seconds)
            remaining = quotas.remaining(relay.state.clock())["school"]
            self.assertLessEqual(remaining, 20.0)

        for_each_duration(scenario)

    def test_a_peers_run_of_a_suspect_request_ends_at_its_deadline(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            crashes = relay.state.crashes
            crashes.handle_crash_report(1, [b"d"])
            until_s = relay.state.clock() + 4.0
            crashes.handle_suspect_run("n2", b"d", SuspectRun(7, until_s, is_exclusive=True))
            stall_loop(seconds)
            self.assertEqual(crashes.may_run(b"d"), seconds >= 4.0)

        for_each_duration(scenario)

    def test_a_refusal_expires_during_a_suspension(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            history = relay.state.crashes.history
            history.refuse(b"d", 1, relay.state.clock() + 4.0)
            stall_loop(seconds)
            refused = relay.state.crashes.refusal(b"d") is not None
            self.assertEqual(refused, seconds < 4.0)

        for_each_duration(scenario)

    def test_a_suspension_is_detected_as_a_stall(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            detector = relay.state.stall_detector
            detector.tick(relay.state.clock())
            proven_s = relay.state.clock()
            stall_loop(seconds)
            self.assertFalse(detector.ran_since(proven_s, relay.state.clock()))

        for_each_duration(scenario)

    def test_stall_loop_advances_the_time_of_the_virtual_loop(self) -> None:
        async def scenario(seconds: float) -> None:
            loop = asyncio.get_running_loop()
            self.assertIsInstance(loop, VirtualLoop)
            before_s = loop.time()
            stall_loop(seconds)
            self.assertEqual(loop.time() - before_s, seconds)

        for_each_duration(scenario)


class RunningCallsTest(unittest.IsolatedAsyncioTestCase):
    """Calls that run when the machine is suspended. Uses real sockets; the clock is simulated."""

    def setUp(self) -> None:
        self.suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Advance the loop's clock like a suspension does."""
        loop = asyncio.get_running_loop()
        read = loop.time
        self.suspended_s = seconds
        loop.time = lambda: read() + seconds  # type: ignore[method-assign]

    async def test_a_stream_whose_deadline_passed_during_a_suspension_is_aborted(self) -> None:
        for seconds in SUSPENSIONS_S:
            with self.subTest(seconds=seconds):
                begun = asyncio.Event()

                async def first_event_only(
                    request: ReceivedRequest,
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    begun: asyncio.Event = begun,
                ) -> bool:
                    writer.write(stream_head(request) + chunk(event(1)))
                    begun.set()
                    await reader.read()
                    return False

                replica = ScriptedReplica(first_event_only)
                await replica.start()
                relay = RelayUnderTest(kind=RouteKind.STREAMING, max_attempts=1)
                relay.configure()
                relay.add(replica, "i-0", versions={"m": 1})
                await relay.start()
                reader, writer = await relay.connect()
                writer.write(caller_request())
                # Not limited by a timer, which the jump of the clock would fire.
                answer = asyncio.create_task(read_answer(reader))
                await begun.wait()
                await asyncio.sleep(0.05)
                self.suspend(seconds)
                is_expired = seconds > 4.0
                done, _ = await asyncio.wait([answer], timeout=1.0 if is_expired else 0.2)
                self.assertEqual(bool(done), is_expired)
                if is_expired:
                    self.assertFalse(answer.result().whole)
                answer.cancel()
                writer.close()
                await relay.stop()
                await replica.stop()

    async def test_an_order_is_not_sent_when_the_leader_was_suspended_before_it(self) -> None:
        """The connection opens after the suspension, when the leader may no longer act."""
        for seconds in SUSPENSIONS_S:
            with self.subTest(seconds=seconds):
                replica = ScriptedReplica(answering(lambda request: signed(request, b"{}")))
                await replica.start()
                loop = asyncio.get_running_loop()
                leader = Leadership(MemoryStore(), "n1", 3.0, loop.time, random.Random(1), 1.0)
                leader.fence, leader._valid_until_s = 7, loop.time() + VALIDITY_S
                self.assertTrue(leader.may_act())
                pool = ConnectionPool()
                caller = PooledHttpClient(pool)
                self.suspend(seconds)
                leader._clock = loop.time
                reply = await caller.call(
                    replica.address,
                    b"POST",
                    b"/order",
                    b"{}",
                    1.0,
                    label="order",
                    is_still_allowed=leader.authorize_order,
                )
                self.assertIsInstance(reply, Failure)
                self.assertEqual(replica.received, [])
                pool.close()
                await replica.stop()
