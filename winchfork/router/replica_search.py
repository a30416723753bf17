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
    max_wait_s,
    permit_in_s,
)
from winchfork.core.placement_request import RelayDecision
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.router.dispatch import Dispatch
from winchfork.router.http_types import CallerLeft, TimeLimit
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import StopCause, Stopped
from winchfork.router.repeats import Repeats
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.state import RouterState

#: Pause between looks for a replica while none is available.
LOOK_AGAIN_S = 0.03
#: Names of the times that a waiting request is told of.
DEADLINE = "deadline"
_LOOK_AGAIN = "look_again"


class _Opening(msgspec.Struct, frozen=True):
    """When a replica will take the request, infinite if none will, and until when it waits."""

    in_s: float
    most_s: float

    @property
    def is_in_time(self) -> bool:
        return self.in_s <= self.most_s


class ReplicaSearch:
    """Searches for one request; ``tried`` holds the replicas that it was sent to before."""

    def __init__(
        self,
        state: RouterState,
        dispatch: Dispatch,
        repeats: Repeats,
        admitted: AdmittedRequest,
        tried: set[str],
        inbox: Inbox,
    ) -> None:
        self._state = state
        self._crashes = state.crashes
        self._dispatch = dispatch
        self._repeats = repeats
        self._admitted = admitted
        self._tried = tried
        self._inbox = inbox
        self._queue = state.place_queues[dispatch.service]
        self._ticket: PermitTicket | None = None
        self._waits_for_place = False

    async def find(self, ran: Callable[[], RunState]) -> RelayDecision | Failure | Stopped:
        """Choose a replica; wait for one that will take work in time, and for no other.

        ``ran`` says whether the request may have run.
        """
        try:
            return await self._find(ran)
        finally:
            self._leave_queue()

    def barred(self) -> set[str]:
        """Return the replicas that were tried, or that another suspected request has to itself."""
        replicas = self._state.fleet.of_service(self._dispatch.service)
        return self._tried | self._crashes.taken_for(self._admitted.digest, replicas)

    async def _find(self, ran: Callable[[], RunState]) -> RelayDecision | Failure | Stopped:
        loop = asyncio.get_running_loop()
        while True:
            refusal = self._crashes.refusal(self._admitted.digest, ran())
            if refusal is not None:
                return refusal
            found = self._look()
            if isinstance(found, RelayDecision):
                return found
            if not found.is_in_time:
                return self._no_replica(found.in_s, ran())
            self._count_wait()
            loop.call_later(LOOK_AGAIN_S, self._inbox.put, TimeLimit(_LOOK_AGAIN))
            item = await self._inbox.get()
            if isinstance(item, CallerLeft):
                return Stopped(StopCause.CALLER_LEFT)
            if isinstance(item, TimeLimit) and item.name == DEADLINE:
                return Stopped(StopCause.DEADLINE)

    def _look(self) -> RelayDecision | _Opening:
        """Return a replica that takes the request now, or when one will."""
        most_s = self._repeats.time_to_begin_s(self._dispatch.least_run_s())
        if not self._crashes.may_run(self._admitted.digest):
            return _Opening(LOOK_AGAIN_S, most_s)
        barred = self.barred()
        decision = self._dispatch.place(barred)
        if decision is not None and decision.replica.notice.limit.per_s is None:
            # Places are not scarce: nearly every request is spared another look at all replicas.
            return decision
        places = self._dispatch.scarce_places(self._tried)
        if places is not None:
            return self._look_in_turn(decision, places, most_s)
        self._leave_queue()
        if decision is not None:
            return decision
        if barred != self._tried:
            return _Opening(LOOK_AGAIN_S, most_s)
        opening_s = self._dispatch.next_opening_s(self._tried)
        return _Opening(math.inf if opening_s is None else opening_s, most_s)

    def _look_in_turn(
        self, decision: RelayDecision | None, places: list[PermitOpening], most_s: float
    ) -> RelayDecision | _Opening:
        """Return a replica if its place is this request's, or when one will be."""
        if self._ticket is None:
            self._ticket = self._queue.join(self._admitted.priority)
        opens_s = permit_in_s(places, self._queue.ahead(self._ticket))
        if decision is not None and opens_s <= 0.0:
            return decision
        patient_s = max_wait_s(places, self._admitted.route.target_latency_s)
        waited_s = self._repeats.waited_s
        return _Opening(max(opens_s, LOOK_AGAIN_S), min(most_s, patient_s - waited_s))

    def _count_wait(self) -> None:
        """Count once that the request waits for a place of a limited replica."""
        if self._ticket is not None and not self._waits_for_place:
            self._waits_for_place = True
            self._state.metrics.limit_effects.labels("waited").inc()

    def _leave_queue(self) -> None:
        if self._ticket is not None:
            self._queue.leave(self._ticket)
            self._ticket = None

    def _no_replica(self, opening_s: float, ran: RunState) -> Failure:
        """Return why nothing is sent, and when one is expected to take work."""
        service = self._dispatch.service
        reason = f"no replica of {service} takes work in time"
        closed = self._state.choice.closed(service)
        if self._ticket is not None:
            self._state.metrics.limit_effects.labels("refused").inc()
        again_s: float | None = opening_s
        if math.isinf(opening_s):
            again_s = self._state.choice.place_elsewhere_s(service)
        return FailureKind.NO_REPLICA.because(
            f"{reason}: {closed}" if closed else reason,
            ran=ran,
            retry_after_s=again_s or self._state.settings.bounds.heartbeat_s,
        )
