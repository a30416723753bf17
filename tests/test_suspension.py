"""A machine that was suspended: what is believed has aged by the time that it was asleep.

The clock that event loops read by default does not count a suspension: a daemon that wakes after
five seconds would act as the leader, admit keys and begin requests on replaced weights as if no
time had passed.
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

#: Seconds of sleep: within every bound, at the edge of them, beyond all.
SLEEPS_S = (1.0, 5.0, 30.0)


class LoopClockTest(unittest.TestCase):
    def test_timers_that_were_due_while_asleep_act_at_once(self) -> None:
        asleep_s = 0.0
        read = time.clock_gettime

        def clock_gettime(clock: int) -> float:
            counts = clock == time.CLOCK_BOOTTIME
            return read(clock) + (asleep_s if counts else 0.0)

        async def scenario() -> tuple[float, bool]:
            nonlocal asleep_s
            loop = asyncio.get_running_loop()
            acted = asyncio.Event()
            loop.call_later(20.0, acted.set)
            before_s = loop.time()
            asleep_s = 30.0
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return loop.time() - before_s, acted.is_set()

        with (
            mock.patch("time.clock_gettime", clock_gettime),
            asyncio.Runner(loop_factory=BootClockLoop) as runner,
        ):
            passed_s, acted = runner.run(scenario())
        self.assertGreaterEqual(passed_s, 30.0)
        self.assertTrue(acted)

    def test_a_router_process_runs_on_that_loop(self) -> None:
        factories: list[object] = []

        class Seen(Exception):
            """Ends the run as soon as the loop is chosen."""

        def runner(*, loop_factory: object = None) -> None:
            factories.append(loop_factory)
            raise Seen

        settings = mock.Mock()
        with (
            mock.patch.object(process, "LogOutput"),
            mock.patch.object(process, "configure_logs"),
            mock.patch("asyncio.Runner", runner),
            self.assertRaises(Seen),
        ):
            process.run_router(settings, mock.Mock(), lambda: settings, 0.0)
        self.assertEqual(factories, [BootClockLoop])


def asleep(scenario: Callable[[float], Awaitable[None]]) -> None:
    """Run a scenario for each length of sleep."""
    for seconds in SLEEPS_S:
        run_virtually(scenario(seconds))  # type: ignore[arg-type]


class BeliefTest(unittest.TestCase):
    """One test for each belief; the first decision after waking has to know its age."""

    def test_a_leader_that_slept_beyond_its_turn_gives_no_order(self) -> None:
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

        asleep(scenario)

    def test_a_pause_that_a_replica_asked_for_passes_in_sleep(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            listing = ReplicaListing("i-1", "s", "127.0.0.1:1", "z1", 8, True)
            replica = relay.state.fleet.install(listing)
            relay.state.notices.record(replica, AnswerNotice(backoff_s=3.0))
            stall_loop(seconds)
            woken_s = relay.state.clock()
            self.assertEqual(replica.notice.is_backing_off(woken_s), seconds < 3.0)
            relay.state.notices.record(replica, AnswerNotice(draining=True))
            stall_loop(seconds)
            self.assertFalse(replica.accepting)

        asleep(scenario)

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

        asleep(scenario)

    def test_replaced_weights_are_not_begun_after_their_bound(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            relay.configure()
            state = relay.state
            history = state.weights_versions.setdefault("m", VersionHistory())
            history.add(1, state.clock() - 100.0)
            history.add(2, state.clock())
            bound_s = state.settings.bounds.weights_s
            stall_loop(seconds)
            over = state.replica_selector.weights_expire_at_s("m", 1) <= state.clock()
            self.assertEqual(over, seconds >= bound_s)

        asleep(scenario)

    def test_a_bucket_holds_no_more_than_its_burst(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            quotas = relay.state.quotas
            limit = TenantLimit(10.0, 20.0, QuotaUnit.REQUESTS, 1.0)
            quotas.install({"school": limit}, relay.state.clock())
            stall_loop(seconds)
            left = quotas.remaining(relay.state.clock())["school"]
            self.assertLessEqual(left, 20.0)

        asleep(scenario)

    def test_a_suspect_elsewhere_has_ended_by_its_time(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            crashes = relay.state.crashes
            crashes.handle_crash_report(1, [b"d"])
            until_s = relay.state.clock() + 4.0
            crashes.handle_suspect_run("n2", b"d", SuspectRun(7, until_s, is_exclusive=True))
            stall_loop(seconds)
            self.assertEqual(crashes.may_run(b"d"), seconds >= 4.0)

        asleep(scenario)

    def test_a_refusal_lasts_by_the_time_that_has_passed(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            ledger = relay.state.crashes.ledger
            ledger.refuse(b"d", 1, relay.state.clock() + 4.0)
            stall_loop(seconds)
            refused = relay.state.crashes.refusal(b"d") is not None
            self.assertEqual(refused, seconds < 4.0)

        asleep(scenario)

    def test_the_sleep_is_noticed_as_a_standstill(self) -> None:
        async def scenario(seconds: float) -> None:
            relay = RelayUnderTest()
            watch = relay.state.stall_detector
            watch.tick(relay.state.clock())
            proven_s = relay.state.clock()
            stall_loop(seconds)
            self.assertFalse(watch.ran_since(proven_s, relay.state.clock()))

        asleep(scenario)

    def test_the_loop_of_these_tests_moves_its_time_as_a_suspension_does(self) -> None:
        async def scenario(seconds: float) -> None:
            loop = asyncio.get_running_loop()
            self.assertIsInstance(loop, VirtualLoop)
            before_s = loop.time()
            stall_loop(seconds)
            self.assertEqual(loop.time() - before_s, seconds)

        asleep(scenario)


class UnderWayTest(unittest.IsolatedAsyncioTestCase):
    """What was under way when the machine fell asleep, over real sockets; the clock is given in."""

    def setUp(self) -> None:
        self.asleep_s = 0.0

    def sleep(self, seconds: float) -> None:
        """Let the loop's clock jump, as the one that counts suspensions does."""
        loop = asyncio.get_running_loop()
        read = loop.time
        self.asleep_s = seconds
        loop.time = lambda: read() + seconds  # type: ignore[method-assign]

    async def test_a_stream_whose_time_was_over_asleep_is_ended_at_once(self) -> None:
        for seconds in SLEEPS_S:
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
                # Not bounded by a timer, which would sleep along.
                asked = asyncio.create_task(read_answer(reader))
                await begun.wait()
                await asyncio.sleep(0.05)
                self.sleep(seconds)
                over = seconds > 4.0
                done, _ = await asyncio.wait([asked], timeout=1.0 if over else 0.2)
                self.assertEqual(bool(done), over)
                if over:
                    self.assertFalse(asked.result().whole)
                asked.cancel()
                writer.close()
                await relay.stop()
                await replica.stop()

    async def test_an_order_is_not_sent_after_a_sleep_beyond_the_turn(self) -> None:
        """The connection for an order comes up after the sleep: its first byte may not leave."""
        for seconds in SLEEPS_S:
            with self.subTest(seconds=seconds):
                replica = ScriptedReplica(answering(lambda request: signed(request, b"{}")))
                await replica.start()
                loop = asyncio.get_running_loop()
                leader = Leadership(MemoryStore(), "n1", 3.0, loop.time, random.Random(1), 1.0)
                leader.fence, leader._valid_until_s = 7, loop.time() + VALIDITY_S
                self.assertTrue(leader.may_act())
                pool = ConnectionPool()
                caller = PooledHttpClient(pool)
                self.sleep(seconds)
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
