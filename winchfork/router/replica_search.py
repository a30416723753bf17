"""The search for a replica for one request.

A request waits for a replica that will accept it before its deadline and is refused at once if none
will. If every replica has a request limit, requests wait for permits in a queue. A stream whose
answer has begun cannot be refused any more. It waits until its deadline, unless its attempts leave
no replica that could continue it, or only replicas of other versions of the software accept.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from winchfork.core.permit_queue import (
    PermitOpening,
    PermitTicket,
    max_permit_wait_s,
    permit_in_s,
)
from winchfork.core.placement_request import RelayDecision
from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.attempted_replicas import AttemptedReplicas
from winchfork.router.http_types import CallerDisconnected, RequestEvent, TimerFired
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import StopCause, Stopped
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_guard import RequestGuard
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState

#: Seconds between checks for an available replica.
POLL_INTERVAL_S = 0.03
#: Name of the timer that ends a request.
DEADLINE = "deadline"


class _Availability(msgspec.Struct, frozen=True):
    """Seconds until a replica is expected to accept the request, infinite if none will.

    ``max_wait_s`` bounds how many seconds the request may wait from now.
    """

    in_s: float
    max_wait_s: float

    @property
    def is_in_time(self) -> bool:
        return self.in_s <= self.max_wait_s


class ReplicaSearch:
    """Searches for one request."""

    def __init__(
        self,
        state: RouterState,
        planner: AttemptPlanner,
        retries: RequestRetries,
        admitted: AdmittedRequest,
        attempted: AttemptedReplicas,
        inbox: Inbox[RequestEvent],
        guard: RequestGuard,
    ) -> None:
        self._state = state
        self._guard = guard
        self._planner = planner
        self._retries = retries
        self._admitted = admitted
        self._attempted = attempted
        self._inbox = inbox
        self._queue = state.permit_queues[planner.service]
        self._ticket: PermitTicket | None = None
        self._wait_counted = False
        #: Whether the request has waited for a replica, in this search or an earlier one.
        self._has_waited = False
        #: When the request began to wait, on the state's clock.
        self._waiting_since_s = 0.0

    async def find(
        self, ran: Callable[[], RunState], *, pause: bool = False
    ) -> RelayDecision | Failure | Stopped:
        """Return a placement, after a wait if a replica is expected to accept in time.

        ``ran`` returns whether the request may have run. ``pause``: wait for one poll interval
        first, since the last placement failed at once and may be found again.
        """
        self._waiting_since_s = self._wait_start_s(ran())
        try:
            stopped = await self._wait() if pause else None
            return stopped or await self._find(ran)
        finally:
            self._leave_queue()

    def _wait_start_s(self, ran: RunState) -> float:
        """Return when the request began to wait; the time of a run that has ended is no wait."""
        if ran is RunState.NOT_RUN:
            return self._retries.last_sent_at_s
        return self._state.clock()

    def excluded(self) -> set[str]:
        """Return those excluded by attempts, and those reserved for another suspect request."""
        replicas = self._state.fleet.of_service(self._planner.service)
        reserved = self._guard.excluded_replicas(replicas)
        return self.excluded_by_attempts() | reserved

    def _is_exhausted(self) -> bool:
        replicas = self._planner.listed_replicas()
        return self._attempted.is_exhausted(replica.replica_id for replica in replicas)

    def _cannot_continue(self) -> bool:
        """Whether no replica is left that may continue a begun answer."""
        return self._is_exhausted() or self._planner.is_version_gone(self.excluded_by_attempts())

    def excluded_by_attempts(self) -> set[str]:
        """Return the replicas excluded by attempts."""
        replicas = self._state.fleet.of_service(self._planner.service)
        listed = (replica.replica_id for replica in replicas)
        answer_begun = self._retries.answer_begun
        excluded = self._attempted.excluded(listed, answer_begun=answer_begun)
        return excluded | self._excluded_for_want_of_proof(excluded, answer_begun=answer_begun)

    def _excluded_for_want_of_proof(self, excluded: set[str], *, answer_begun: bool) -> set[str]:
        """Return the replicas that are not asked again because which of them answers is not known.

        If no others are left, a begun answer asks them again, and a new stream begins there.
        """
        unproven = self._attempted.unproven - excluded
        if not unproven or (self._planner.bound_to is not None and not answer_begun):
            return unproven
        listed = {item.replica_id for item in self._planner.listed_replicas() if item.accepting}
        return unproven if listed - excluded - unproven else set()

    def has_proven_others(self, replica: RelayReplica) -> bool:
        """Whether a replica may be asked beside this one and those that could not be proven."""
        excluded = self.excluded() | self._attempted.unproven | {replica.replica_id}
        return self._planner.has_candidates(excluded)

    async def _find(self, ran: Callable[[], RunState]) -> RelayDecision | Failure | Stopped:
        while True:
            refusal = self._guard.refusal(ran()) or self._tenancy_refusal(ran())
            if refusal is not None:
                return refusal
            found = self._check()
            if isinstance(found, RelayDecision):
                return found
            if not found.is_in_time:
                if not self._retries.answer_begun or self._cannot_continue():
                    return self._no_replica(found.in_s, ran())
                # A ticket without a permit in prospect would hold back the requests behind it.
                self._leave_queue()
            self._has_waited = True
            self._count_wait()
            stopped = await self._wait()
            if stopped is not None:
                return stopped

    def _tenancy_refusal(self, ran: RunState) -> Failure | None:
        """Return why a request that has not run yet must not begin in its tenant's name."""
        return self._planner.tenancy.refusal() if ran is RunState.NOT_RUN else None

    async def _wait(self) -> Stopped | None:
        """Wait for the next poll or event; return why the search ends, or None if it goes on.

        The poll is no event of the inbox, where a later attempt might receive it.
        """
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                item = await self._inbox.get()
        except TimeoutError:
            return None
        if isinstance(item, CallerDisconnected):
            return Stopped(StopCause.CALLER_DISCONNECTED)
        if isinstance(item, TimerFired) and item.name == DEADLINE:
            return Stopped(StopCause.DEADLINE)
        return None

    def _check(self) -> RelayDecision | _Availability:
        """Return a placement whose run can end in time, or when one is expected."""
        max_wait_s = self._max_wait_s()
        found = self._find_available(max_wait_s)
        if isinstance(found, RelayDecision) and self._has_waited and max_wait_s < 0.0:
            return _Availability(0.0, max_wait_s)
        return found

    def _find_available(self, max_wait_s: float) -> RelayDecision | _Availability:
        """Return a placement for now, or when one is expected."""
        if not self._guard.may_run():
            return _Availability(POLL_INTERVAL_S, max_wait_s)
        excluded_by_attempts = self.excluded_by_attempts()
        excluded = self.excluded()
        decision = self._planner.place(excluded)
        if decision is not None and not self._state.replica_selector.is_rationed(decision.replica):
            # No queue is needed: skip the search for permits.
            return decision
        permits = self._planner.permit_openings(excluded_by_attempts)
        if permits is not None:
            return self._check_queue(decision, permits, max_wait_s)
        self._leave_queue()
        if decision is not None:
            return decision
        if excluded != excluded_by_attempts:
            return _Availability(POLL_INTERVAL_S, max_wait_s)
        available_in_s = self._planner.next_available_in_s(excluded_by_attempts)
        return _Availability(math.inf if available_in_s is None else available_in_s, max_wait_s)

    def _max_wait_s(self) -> float:
        """Return how many seconds the request may wait before its run begins.

        Once events were delivered, only the deadline counts: most of the run may be over, waiting
        occupies no replica, and an answer that was broken off cannot be completed.
        """
        expected_run_s = 0.0 if self._retries.answer_begun else self._planner.min_run_s()
        return self._retries.latest_start_in_s(expected_run_s)

    def _check_queue(
        self, decision: RelayDecision | None, permits: list[PermitOpening], max_wait_s: float
    ) -> RelayDecision | _Availability:
        """Return ``decision`` if this request is next for a permit, or when it will be."""
        if self._ticket is None:
            self._ticket = self._queue.join(self._admitted.priority)
        in_s = permit_in_s(permits, self._queue.ahead(self._ticket))
        if decision is not None and in_s <= 0.0:
            return decision
        if not self._retries.answer_begun:
            queueing_limit_s = max_permit_wait_s(permits, self._admitted.route.target_latency_s)
            waited_s = self._state.clock() - self._waiting_since_s
            max_wait_s = min(max_wait_s, queueing_limit_s - waited_s)
        return _Availability(max(in_s, POLL_INTERVAL_S), max_wait_s)

    def _count_wait(self) -> None:
        """Count, once per request, that it waits for a permit."""
        if self._ticket is not None and not self._wait_counted:
            self._wait_counted = True
            self._state.metrics.limit_effects.labels("waited").inc()

    def _leave_queue(self) -> None:
        if self._ticket is not None:
            self._queue.leave(self._ticket)
            self._ticket = None

    def _no_replica(self, available_in_s: float, ran: RunState) -> Failure:
        """Return the failure with the reason and the expected time until a replica is available."""
        service = self._planner.service
        reason = f"no replica of {self._planner.describe_target()} accepts requests in time"
        details = self._state.replica_selector.describe_unavailable(service)
        if self._ticket is not None:
            self._state.metrics.limit_effects.labels("refused").inc()
        retry_after_s: float | None = available_in_s
        if math.isinf(available_in_s):
            retry_after_s = self._state.replica_selector.fleet_permit_interval_s(service)
        return FailureKind.NO_REPLICA.because(
            f"{reason}: {details}" if details else reason,
            ran=ran,
            retry_after_s=retry_after_s or self._state.settings.bounds.heartbeat_s,
        )
