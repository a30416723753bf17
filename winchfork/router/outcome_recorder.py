"""Updates the state of a replica, its weights and its software version after an attempt."""

from __future__ import annotations

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import RouteKind
from winchfork.router.attempt import Attempt, AttemptPlan
from winchfork.router.outcomes import Delivered, MayHaveRun, NotRun, Outcome
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_guard import RequestGuard
from winchfork.router.request_record import RequestRecord
from winchfork.router.state import RouterState

#: Seconds in which a replica that refused a request is sent none: it is full or loads weights.
REFUSAL_COOLDOWN_S = 0.3
#: Lowest HTTP status that counts as a failure of the replica's software.
MIN_FAILURE_STATUS = 500


class OutcomeRecorder:
    """Records the outcomes of one request's attempts."""

    def __init__(
        self, state: RouterState, admitted: AdmittedRequest, service: str, guard: RequestGuard
    ) -> None:
        self._guard = guard
        self._state = state
        self._admitted = admitted
        self._route = admitted.route
        self._service = service

    def record_outcome(self, attempt: Attempt, outcome: Outcome, record: RequestRecord) -> bool:
        """Record an outcome; return whether the replica has newer weights than expected."""
        plan = attempt.plan
        replica = plan.replica
        now_s = self._state.clock()
        took_s = now_s - attempt.sent_at_s
        self._record_software(attempt, outcome, record, took_s)
        self._record_run(plan, outcome)
        self._record_acceptance(attempt, outcome)
        if isinstance(outcome, Delivered):
            replica.record_success(took_s, now_s)
            self._state.fleet.record_answer(replica)
            if self._admitted.fields.prompt is not None:
                self._state.record_run(self._admitted.fields.prompt.output_tokens, took_s)
        elif isinstance(outcome, NotRun) and outcome.other_incarnation:
            self._state.mark_superseded(replica, outcome.other_incarnation)
        elif isinstance(outcome, NotRun) and outcome.retry_same_replica:
            self._state.fleet.record_answer(replica)
            refused = plan.weights_version or 0
            return self._state.record_refused_version(replica, plan.model, refused)
        elif isinstance(outcome, NotRun) and outcome.sent:
            if now_s >= replica.loading_until_s:
                self._state.brittle.record_rejection(replica)
            replica.loading_until_s = max(replica.loading_until_s, now_s + REFUSAL_COOLDOWN_S)
        elif isinstance(outcome, MayHaveRun) and outcome.answer is None:
            if outcome.silent:
                self._state.suspect_unreachable(replica)
            else:
                self._state.record_failure(replica, outcome.reason)
        return False

    def _record_acceptance(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record whether the replica accepted the request.

        For a replica on trial after a backoff, this is the result of the trial.
        """
        notice = attempt.replica.notice
        if isinstance(outcome, NotRun) and not outcome.relay_failed:
            notice.record_answer(attempt.sent_at_s, refused=True)
        elif isinstance(outcome, Delivered) or _has_answer(outcome):
            notice.record_answer(attempt.sent_at_s, refused=False)

    def _record_run(self, plan: AttemptPlan, outcome: Outcome) -> None:
        """Record whether the run was answered or broken off.

        A replica that drains may end its runs as planned, so its breaks do not count.
        """
        replica = plan.replica
        if isinstance(outcome, Delivered):
            if outcome.framed:
                self._guard.record_success(complete=True)
            elif self._may_crash(replica):
                self._guard.record_end_in_order(replica)
        if not isinstance(outcome, MayHaveRun):
            return
        if outcome.answer is not None:
            # A failure answer does not show that the replica could run the prompt.
            self._guard.record_success(complete=False)
        elif outcome.truncated and self._may_crash(replica):
            self._guard.record_broken_run(replica, silent=outcome.silent)

    def _may_crash(self, replica: RelayReplica) -> bool:
        """Whether a broken run may show a crash: the replica is listed and announced no end."""
        listed = self._state.fleet.get(replica.replica_id) is replica
        return listed and not replica.has_announced_end(self._state.clock())

    def _record_software(
        self, attempt: Attempt, outcome: Outcome, record: RequestRecord, took_s: float
    ) -> None:
        """Count a whole answer as a success or failure of the replica's software version.

        A broken connection is not counted: the replica or the network may have failed.
        """
        failed = _is_failure(outcome)
        if not failed and not isinstance(outcome, Delivered):
            return
        if self._route.kind is RouteKind.STREAMING and not failed:
            if record.attempts > 1 or record.first_event_s is None:
                return
            took_s = record.first_event_s - (attempt.sent_at_s - record.received_at_s)
        self._state.software.record_answer(
            self._service,
            self._route.name,
            attempt.replica,
            failed=failed,
            took_s=took_s,
            expected_s=attempt.plan.expected_s,
        )


def _has_answer(outcome: Outcome) -> bool:
    return isinstance(outcome, MayHaveRun) and outcome.answer is not None


def _is_failure(outcome: Outcome) -> bool:
    if not isinstance(outcome, MayHaveRun) or outcome.answer is None:
        return False
    return outcome.answer.head.status >= MIN_FAILURE_STATUS
