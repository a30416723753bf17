"""The search for the next replica of a request whose first run has ended, in virtual time."""

from __future__ import annotations

import asyncio
import math
import unittest

from tests.relay_support import RelayUnderTest, ScriptedReplica
from tests.virtual_loop import run_virtually
from winchfork.core.placement_request import RelayDecision
from winchfork.core.prompt_parts import Prompt, PromptPart
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.request_limit import LimitPosition
from winchfork.core.routing import RouteKind
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.platform.headers import PlatformHeaderCodec
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.attempted_replicas import AttemptedReplicas
from winchfork.router.header_codec import RequestFields
from winchfork.router.http_types import (
    CallerDisconnected,
    IncomingRequest,
    RequestEvent,
    TimerFired,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import StopCause, Stopped
from winchfork.router.replica_search import DEADLINE, POLL_INTERVAL_S, ReplicaSearch
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_guard import RequestGuard
from winchfork.router.request_record import RequestRecord
from winchfork.router.request_retries import RequestRetries

#: The replica of the first run.
FIRST = "i-0"
OTHER = "i-1"
#: Requests per second that a limited replica accepts.
PER_S = 2.0
#: Duration of a first run in seconds; longer than a request may queue for a permit.
RUN_S = 3.4
TIMEOUT_S = 10.0


class SearchUnderTest:
    """The search of one request that was sent to no replica yet; its replicas are only listed."""

    def __init__(self, *, output_tokens: int = 20, **route: object) -> None:
        self.relay = RelayUnderTest(**route)
        self.relay.configure()
        self.state = self.relay.state
        self.inbox: Inbox[RequestEvent] = Inbox()
        now_s = self.state.clock()
        prompt = Prompt("m", (PromptPart("aa", 60), PromptPart("bb", 40)), 100, output_tokens)
        fields = RequestFields("id-1", None, None, prompt, None)
        admitted = AdmittedRequest(self.relay.route, None, fields, b"digest")
        request = IncomingRequest(b"POST", b"/p/x", [], b"", False, True, now_s)
        planner = AttemptPlanner(self.state, PlatformHeaderCodec(), request, admitted, "s")
        self.record = RequestRecord(
            self.state, "id-1", b"digest", admitted.route, now_s, self.state.clock
        )
        ends_at_s = now_s + admitted.route.timeout_s
        retries = RequestRetries(self.state, "s", admitted.route, self.record, ends_at_s)
        self._attempted = AttemptedReplicas(self.relay.route.max_attempts)
        #: How often the search asked for a placement.
        self.placements = 0
        place = planner.place

        def counting_place(excluded: set[str]) -> RelayDecision | None:
            self.placements += 1
            return place(excluded)

        planner.place = counting_place  # type: ignore[method-assign]
        guard = RequestGuard(self.state.crashes, admitted)
        self._search = ReplicaSearch(
            self.state, planner, retries, admitted, self._attempted, self.inbox, guard
        )
        loop = asyncio.get_running_loop()
        loop.call_at(ends_at_s, self.inbox.put, TimerFired(DEADLINE))

    def add(self, replica_id: str) -> RelayReplica:
        """List a replica."""
        replica = ScriptedReplica()
        replica.address = f"{replica_id}.example:1"
        self.relay.add(replica, replica_id, versions={"m": 1})
        listed = self.state.fleet.get(replica_id)
        assert listed is not None
        return listed

    def add_limited(self, replica_id: str) -> RelayReplica:
        """List a replica that has a request limit and was just sent a request."""
        replica = self.add(replica_id)
        replica.notice.limit.update(PER_S, self.state.clock())
        replica.notice.limit.record_sent(self.state.clock())
        return replica

    async def run_first(self, *, events: bool) -> None:
        """Let the first run take ``RUN_S``; ``events``: the caller received some of its stream."""
        self.record.mark_sent()
        self._attempted.add(FIRST)
        await asyncio.sleep(RUN_S)
        if events:
            self.record.mark_events()

    async def find(self, ran: RunState) -> RelayDecision | Failure | Stopped:
        """Search for a replica."""
        return await self._search.find(lambda: ran)


class SearchTestCase(unittest.TestCase):
    def assert_found(self, found: RelayDecision | Failure | Stopped, replica_id: str) -> None:
        self.assertIsInstance(found, RelayDecision)
        assert isinstance(found, RelayDecision)
        self.assertEqual(found.replica.replica_id, replica_id)

    def assert_refused(self, found: RelayDecision | Failure | Stopped) -> None:
        self.assertIsInstance(found, Failure)
        assert isinstance(found, Failure)
        self.assertIs(found.kind, FailureKind.NO_REPLICA)
        assert found.retry_after_s is not None
        self.assertGreater(found.retry_after_s, 0.0)


class PermitWaitTest(SearchTestCase):
    async def search_limited(self, ran: RunState) -> RelayDecision | Failure | Stopped:
        """Search where the only other replica grants its next permit within the usual wait."""
        search = SearchUnderTest(kind=RouteKind.SAFE, timeout_s=TIMEOUT_S, target_latency_s=1.0)
        search.add(FIRST)
        await search.run_first(events=False)
        search.add_limited(OTHER)
        return await search.find(ran)

    def test_the_time_of_a_run_is_not_counted_as_a_wait_for_a_permit(self) -> None:
        async def scenario() -> None:
            self.assert_found(await self.search_limited(RunState.UNKNOWN), OTHER)

        run_virtually(scenario())

    def test_a_request_that_was_refused_late_is_not_queued_again(self) -> None:
        async def scenario() -> None:
            self.assert_refused(await self.search_limited(RunState.NOT_RUN))

        run_virtually(scenario())


class BegunStreamTest(SearchTestCase):
    """Guards against breaking off an answer that has begun while a replica may still take it."""

    async def stream(self, *, events: bool = True) -> SearchUnderTest:
        """Return the search of a stream after its first run.

        The whole run is expected to take longer than the time that is left.
        """
        search = SearchUnderTest(
            output_tokens=1000, kind=RouteKind.STREAMING, resumable=True, timeout_s=TIMEOUT_S
        )
        search.add(FIRST)
        await search.run_first(events=events)
        return search

    def test_a_begun_stream_is_not_broken_off_for_the_expected_time_of_its_whole_run(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            search.add(OTHER).loading_until_s = search.state.clock() + 0.4
            self.assert_found(await search.find(RunState.UNKNOWN), OTHER)

        run_virtually(scenario())

    def test_a_stream_without_events_is_refused_if_its_run_would_end_too_late(self) -> None:
        async def scenario() -> None:
            search = await self.stream(events=False)
            search.add(OTHER).loading_until_s = search.state.clock() + 0.4
            self.assert_refused(await search.find(RunState.UNKNOWN))

        run_virtually(scenario())

    def test_a_begun_stream_queues_for_a_permit_beyond_the_wait_of_new_requests(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            search.add_limited(OTHER)
            queue = search.state.permit_queues["s"]
            urgent = [queue.join(0) for _ in range(4)]
            for ticket in urgent:
                asyncio.get_running_loop().call_later(2.0, queue.leave, ticket)
            self.assert_found(await search.find(RunState.UNKNOWN), OTHER)

        run_virtually(scenario())

    def test_a_begun_stream_waits_for_a_replica_while_no_other_is_listed(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            asyncio.get_running_loop().call_later(2.0, search.add, OTHER)
            self.assert_found(await search.find(RunState.UNKNOWN), OTHER)

        run_virtually(scenario())

    def test_a_begun_stream_waits_for_a_replica_that_only_other_daemons_may_use_now(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            limit = search.add_limited(OTHER).notice.limit
            limit.set_position(LimitPosition(rank=5, daemons=6), 0.0)
            ends_s = search.state.clock() + 2.0
            asyncio.get_running_loop().call_at(ends_s, limit.clear, ends_s)
            self.assert_found(await search.find(RunState.UNKNOWN), OTHER)

        run_virtually(scenario())

    def test_a_begun_stream_without_any_replica_polls_until_its_deadline(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            began_s = search.state.clock()
            found = await search.find(RunState.UNKNOWN)
            self.assertEqual(found, Stopped(StopCause.DEADLINE))
            waited_s = search.state.clock() - began_s
            self.assertAlmostEqual(waited_s, TIMEOUT_S - RUN_S)
            self.assertLessEqual(search.placements, math.ceil(waited_s / POLL_INTERVAL_S) + 1)

        run_virtually(scenario())

    def test_a_begun_stream_that_waits_ends_when_its_caller_disconnects(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            asyncio.get_running_loop().call_later(1.0, search.inbox.put, CallerDisconnected())
            stopped = Stopped(StopCause.CALLER_DISCONNECTED)
            self.assertEqual(await search.find(RunState.UNKNOWN), stopped)

        run_virtually(scenario())

    def test_a_begun_stream_that_waits_ends_when_its_request_is_barred(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            history = search.state.crashes.history
            until_s = search.state.clock() + 60.0
            asyncio.get_running_loop().call_later(1.0, history.refuse, b"digest", 1, until_s)
            found = await search.find(RunState.UNKNOWN)
            assert isinstance(found, Failure)
            self.assertIs(found.kind, FailureKind.CRASHES_REPLICAS)

        run_virtually(scenario())

    def test_a_begun_stream_without_a_permit_in_time_holds_back_no_new_request(self) -> None:
        async def scenario() -> None:
            search = await self.stream()
            limit = search.add_limited(OTHER).notice.limit
            limit.set_position(LimitPosition(rank=5, daemons=6), 0.0)
            searching = asyncio.create_task(search.find(RunState.UNKNOWN))
            await asyncio.sleep(1.0)
            self.assertFalse(searching.done())
            self.assertEqual(len(search.state.permit_queues["s"]), 0)
            searching.cancel()

        run_virtually(scenario())


class NewRequestTest(SearchTestCase):
    """Guards against a run that is begun although its caller will have left before its end."""

    def new_request(self) -> SearchUnderTest:
        """Return the search of a stream that is expected to run for 4 s of its 10 s."""
        search = SearchUnderTest(output_tokens=500, kind=RouteKind.STREAMING, timeout_s=TIMEOUT_S)
        search.state.run_s_per_token = 0.008
        return search

    def test_a_run_that_is_expected_to_take_longer_after_a_wait_is_not_begun(self) -> None:
        async def scenario() -> None:
            search = self.new_request()
            available_at_s = search.state.clock() + 5.0
            search.add(OTHER).loading_until_s = available_at_s
            searching = asyncio.create_task(search.find(RunState.NOT_RUN))
            await asyncio.sleep(5.0 - 0.5 * POLL_INTERVAL_S)
            search.state.run_s_per_token *= 2.0
            self.assert_refused(await searching)
            self.assertGreaterEqual(search.state.clock(), available_at_s)

        run_virtually(scenario())

    def test_no_run_is_begun_if_the_connection_after_a_wait_took_too_long(self) -> None:
        async def scenario() -> None:
            search = self.new_request()
            search.add(OTHER).loading_until_s = search.state.clock() + 5.0
            self.assert_found(await search.find(RunState.NOT_RUN), OTHER)
            await asyncio.sleep(1.5)
            self.assert_refused(await search.find(RunState.NOT_RUN))

        run_virtually(scenario())

    def test_a_request_that_did_not_wait_is_placed_whatever_its_expected_run(self) -> None:
        async def scenario() -> None:
            search = self.new_request()
            search.state.run_s_per_token *= 10.0
            search.add(OTHER)
            self.assert_found(await search.find(RunState.NOT_RUN), OTHER)

        run_virtually(scenario())


class PollTest(SearchTestCase):
    def test_no_timer_of_a_search_reaches_the_next_attempt(self) -> None:
        """Guards against an attempt that takes a late poll for the deadline."""

        async def scenario() -> None:
            search = SearchUnderTest(kind=RouteKind.STREAMING, timeout_s=TIMEOUT_S)
            search.add(OTHER).loading_until_s = search.state.clock() + 0.4
            search.inbox.put(TimerFired("other"))
            self.assert_found(await search.find(RunState.NOT_RUN), OTHER)
            await asyncio.sleep(2.0 * POLL_INTERVAL_S)
            self.assertEqual(len(search.inbox), 0)

        run_virtually(scenario())
