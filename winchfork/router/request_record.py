"""The record of one request: times, attempts and outcome, and its log lines and metrics."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from winchfork.core.placement_request import RelayDecision
from winchfork.core.prompt_parts import Prompt
from winchfork.core.routing import Route
from winchfork.errors import FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt, AttemptPlan
from winchfork.router.outcomes import MayHaveRun, Moved, NotRun, Outcome, Stopped
from winchfork.router.state import RouterState

#: Outcome of a request -> who broke off its answer, if that had begun; any other: the router.
_TRUNCATED_BY = {
    FailureKind.CALLER_DISCONNECTED.value: "caller",
    FailureKind.DEADLINE_EXCEEDED.value: "deadline",
    FailureKind.OUTCOME_UNKNOWN.value: "replica",
}


#: Shared parts of a prompt that are logged at most.
_MAX_LOGGED_PARTS = 8


class RequestRecord(msgspec.Struct):
    """Times and outcome of one request.

    ``..._at_s`` are seconds of ``clock``; ``head_s``, of the first answer's head, and
    ``first_event_s`` count from ``received_at_s``.
    """

    state: RouterState
    request_id: str
    digest: bytes
    route: Route
    received_at_s: float
    clock: Callable[[], float]
    attempts: int = 0
    sent_at_s: float = 0.0
    outcome: str = "?"
    reason: str = ""
    head_s: float | None = None
    first_event_s: float | None = None
    last_event_at_s: float = 0.0
    #: The router ended the last attempt by itself, whatever the outcome says.
    cut_by_router: bool = False
    longest_gap_s: float = 0.0
    #: Why the last retry was denied; empty if it was granted.
    retry_denied: str = ""
    #: The attempt that brought the first event of the stream, if the caller named one.
    origin_id: str | None = None
    #: Version of the software that the first event came from; None before it.
    software: str | None = None
    #: Whether events of several versions of the software were sent to the caller.
    mixed: bool = False
    prompt: Prompt | None = None

    def mark_sent(self) -> None:
        """Record the start of an attempt."""
        self.attempts += 1
        self.sent_at_s = self.clock()

    def mark_head(self) -> None:
        """Record that the head of an answer was received."""
        if self.head_s is None:
            self.head_s = self.clock() - self.received_at_s

    def mark_events(self, software: str = "") -> None:
        """Record that events of a replica with this version of the software were received."""
        now_s = self.clock()
        self._mark_software(software)
        if self.first_event_s is None:
            self.first_event_s = now_s - self.received_at_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_event_at_s)
        self.last_event_at_s = now_s

    def _mark_software(self, software: str) -> None:
        resolve = self.state.fleet.resolve_software
        # The entry of an incarnation that had none may be known by now.
        software = resolve(software)
        if self.software is not None:
            self.software = resolve(self.software)
        if self.software is None:
            self.software = software
        elif self.software != software and not self.mixed:
            self.mixed = True
            self.state.metrics.mixed_streams.inc()
            log_event(
                "stream_mixed",
                "ERROR",
                id=self.request_id,
                began_at=self.software or None,
                software=software or None,
            )

    def log_sent(
        self,
        decision: RelayDecision,
        plan: AttemptPlan,
        family: str | None,
        left_s: float,
        relayed_by: str | None,
    ) -> None:
        """Log the placement of an attempt.

        ``left_s`` is the time left to the deadline, ``relayed_by`` the peer that relays it, if any.
        """
        weights_left_s = self._weights_left_s(plan)
        log_event(
            "request_sent",
            id=self.request_id,
            digest=self.digest.hex(),
            route=self.route.name,
            replica=decision.replica.replica_id,
            software=plan.software or None,
            born_ms=decision.replica.listing.started_at_ms or None,
            attempt=self.attempts,
            resume_after=plan.resume_after,
            origin=self.origin_id,
            relayed_by=relayed_by,
            cost_s=decision.cost_s,
            weighed=decision.candidate_count,
            kept=decision.cached_tokens,
            copied=decision.copied_tokens,
            unread=decision.prefill_tokens,
            family=family,
            copy_from=decision.copy_from.replica_id if decision.copy_from else None,
            save_to=decision.save_to.replica_id if decision.save_to else None,
            weights=plan.weights_version,
            weights_left_s=weights_left_s,
            weights_margin_s=plan.start_margin_s if weights_left_s is not None else None,
            queued=decision.replica.queued_prefill_tokens,
            in_flight=decision.replica.in_flight,
            left_s=left_s,
            known_s=self.state.freshness.age_s(self.clock()),
            configuration=self.state.routing_table.version if self.state.routing_table else 0,
        )

    def _weights_left_s(self, plan: AttemptPlan) -> float | None:
        """Return the seconds until the weights expire; None if they do not."""
        expires_at_s = self.state.replica_selector.weights_expire_at_s(
            plan.model, plan.weights_version
        )
        return None if math.isinf(expires_at_s) else expires_at_s - self.clock()

    def log_attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Log the end of an attempt that delivered no whole answer."""
        ending = _ending(outcome)
        if ending is None:
            return
        log_event(
            "attempt_ended",
            id=self.request_id,
            replica=attempt.replica.replica_id,
            attempt=attempt.number,
            ending=ending[0],
            reason=ending[1] or None,
            took_s=self.clock() - attempt.sent_at_s,
            events=attempt.events or None,
            parts=self._shared_part_ids() if _broke_off(outcome) else None,
        )

    def _shared_part_ids(self) -> str | None:
        shared = self.prompt.shared_parts if self.prompt is not None else ()
        return ",".join(part.part_id for part in shared[:_MAX_LOGGED_PARTS]) or None

    def _truncated_by(self) -> str:
        return "router" if self.cut_by_router else _TRUNCATED_BY.get(self.outcome, "router")

    def log_done(self, ran: RunState, events: int, *, truncated: bool) -> None:
        """Log and count the outcome.

        ``events`` were sent to the caller; ``truncated``: its answer began and was not completed.
        """
        took_s = self.clock() - self.received_at_s
        truncated_by = self._truncated_by() if truncated else None
        metrics = self.state.metrics
        metrics.requests.labels(self.outcome).inc()
        if truncated_by is not None:
            metrics.truncated_answers.labels(truncated_by).inc()
        metrics.request_seconds.labels(self.route.kind.value).observe(took_s)
        if self.first_event_s is not None:
            metrics.first_event_seconds.observe(self.first_event_s)
        log_event(
            "request_done",
            id=self.request_id,
            outcome=self.outcome,
            reason=self.reason or None,
            took_s=took_s,
            head_s=self.head_s,
            first_event_s=self.first_event_s,
            longest_gap_s=self.longest_gap_s or None,
            sends=self.attempts,
            events=events or None,
            software=self.software or None,
            origin=self.origin_id,
            truncated_by=truncated_by,
            ran=ran.value,
            repeat_denied=self.retry_denied or None,
        )


def _ending(outcome: Outcome) -> tuple[str, str] | None:
    """Return how an attempt ended and why; None if it delivered a whole answer."""
    if isinstance(outcome, NotRun):
        return "not_run", outcome.reason
    if isinstance(outcome, MayHaveRun):
        return "may_have_run", outcome.reason
    if isinstance(outcome, Stopped):
        return "stopped", outcome.cause.value
    return ("moved", "") if isinstance(outcome, Moved) else None


def _broke_off(outcome: Outcome) -> bool:
    """Whether the replica ended the connection before its answer was complete."""
    return isinstance(outcome, MayHaveRun) and outcome.truncated
