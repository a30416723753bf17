"""The search for a replica that one request may be sent to now, or will be in time.

A request waits for a replica that will take work before its time is up, and is refused at once
where none will. Where every replica has named a limit, requests wait for places in a queue.
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
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.http_types import CallerDisconnected, TimerFired
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import StopCause, Stopped
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState

#: Pause between looks for a replica while none is available.
POLL_INTERVAL_S = 0.03
#: Names of the times that a waiting request is told of.
DEADLINE = "deadline"
_POLL = "look_again"


class _Availability(msgspec.Struct, frozen=True):
    """When a replica will take the request, infinite if none will, and until when it waits."""

    in_s: float
    max_wait_s: float

    @property
    def is_in_time(self) -> bool:
        return self.in_s <= self.max_wait_s


class ReplicaSearch:
    """Searches for one request; ``tried`` holds the replicas that it was sent to before."""

    def __init__(
        self,
        state: RouterState,
        planner: AttemptPlanner,
        retries: RequestRetries,
        admitted: AdmittedRequest,
        attempted: set[str],
        inbox: Inbox,
    ) -> None:
        self._state = state
        self._crashes = state.crashes
        self._planner = planner
        self._retries = retries
        self._admitted = admitted
        self._attempted = attempted
        self._inbox = inbox
        self._queue = state.permit_queues[planner.service]
        self._ticket: PermitTicket | None = None
        self._waits_for_permit = False

    async def find(self, ran: Callable[[], RunState]) -> RelayDecision | Failure | Stopped:
        """Choose a replica; wait for one that will take work in time, and for no other.

        ``ran`` says whether the request may have run.
        """
        try:
            return await self._find(ran)
        finally:
            self._leave_queue()

    def excluded(self) -> set[str]:
        """Return the replicas that were tried, or that another suspected request has to itself."""
        replicas = self._state.fleet.of_service(self._planner.service)
        return self._attempted | self._crashes.excluded_replicas(self._admitted.digest, replicas)

    async def _find(self, ran: Callable[[], RunState]) -> RelayDecision | Failure | Stopped:
        loop = asyncio.get_running_loop()
        while True:
            refusal = self._crashes.refusal(self._admitted.digest, ran())
            if refusal is not None:
                return refusal
            found = self._check()
            if isinstance(found, RelayDecision):
                return found
            if not found.is_in_time:
                return self._no_replica(found.in_s, ran())
            self._count_wait()
            loop.call_later(POLL_INTERVAL_S, self._inbox.put, TimerFired(_POLL))
            item = await self._inbox.get()
            if isinstance(item, CallerDisconnected):
                return Stopped(StopCause.CALLER_DISCONNECTED)
            if isinstance(item, TimerFired) and item.name == DEADLINE:
                return Stopped(StopCause.DEADLINE)

    def _check(self) -> RelayDecision | _Availability:
        """Return a replica that takes the request now, or when one will."""
        most_s = self._retries.latest_start_in_s(self._planner.min_run_s())
        if not self._crashes.may_run(self._admitted.digest):
            return _Availability(POLL_INTERVAL_S, most_s)
        barred = self.excluded()
        decision = self._planner.place(barred)
        if decision is not None and decision.replica.notice.limit.per_s is None:
            # Places are not scarce: nearly every request is spared another look at all replicas.
            return decision
        places = self._planner.permit_openings(self._attempted)
        if places is not None:
            return self._check_queue(decision, places, most_s)
        self._leave_queue()
        if decision is not None:
            return decision
        if barred != self._attempted:
            return _Availability(POLL_INTERVAL_S, most_s)
        opening_s = self._planner.next_available_in_s(self._attempted)
        return _Availability(math.inf if opening_s is None else opening_s, most_s)

    def _check_queue(
        self, decision: RelayDecision | None, permits: list[PermitOpening], max_wait_s: float
    ) -> RelayDecision | _Availability:
        """Return a replica if its place is this request's, or when one will be."""
        if self._ticket is None:
            self._ticket = self._queue.join(self._admitted.priority)
        opens_s = permit_in_s(permits, self._queue.ahead(self._ticket))
        if decision is not None and opens_s <= 0.0:
            return decision
        patient_s = max_permit_wait_s(permits, self._admitted.route.target_latency_s)
        waited_s = self._retries.waited_s
        return _Availability(max(opens_s, POLL_INTERVAL_S), min(max_wait_s, patient_s - waited_s))

    def _count_wait(self) -> None:
        """Count once that the request waits for a place of a limited replica."""
        if self._ticket is not None and not self._waits_for_permit:
            self._waits_for_permit = True
            self._state.metrics.limit_effects.labels("waited").inc()

    def _leave_queue(self) -> None:
        if self._ticket is not None:
            self._queue.leave(self._ticket)
            self._ticket = None

    def _no_replica(self, opening_s: float, ran: RunState) -> Failure:
        """Return why nothing is sent, and when one is expected to take work."""
        service = self._planner.service
        reason = f"no replica of {service} takes work in time"
        closed = self._state.replica_selector.describe_unavailable(service)
        if self._ticket is not None:
            self._state.metrics.limit_effects.labels("refused").inc()
        again_s: float | None = opening_s
        if math.isinf(opening_s):
            again_s = self._state.replica_selector.fleet_permit_interval_s(service)
        return FailureKind.NO_REPLICA.because(
            f"{reason}: {closed}" if closed else reason,
            ran=ran,
            retry_after_s=again_s or self._state.settings.bounds.heartbeat_s,
        )
