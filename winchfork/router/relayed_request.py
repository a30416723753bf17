"""One caller's request, from admission to its one final answer.

The final answer promises "not run" only when no attempt may have run. An attempt whose outcome is
unknown is followed by another only where the route's requests are repeatable. Every repeat draws on
the retry budget, and no request is sent to more replicas than its route allows.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.placement_request import RelayDecision
from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt
from winchfork.router.attempt_evidence import AttemptEvidence
from winchfork.router.caller_answer import CallerAnswer
from winchfork.router.crash_guard import MOST_ENDS_IN_A_TRY
from winchfork.router.dispatch import Dispatch
from winchfork.router.http_types import (
    CallerLeft,
    IncomingRequest,
    TimeLimit,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import (
    ChoiceLapsed,
    Delivered,
    MayHaveRun,
    Moved,
    NotRun,
    Outcome,
    StopCause,
    Stopped,
)
from winchfork.router.quota_gate import QuotaCharge
from winchfork.router.refusals import refusal_answer
from winchfork.router.repeats import Repeats
from winchfork.router.replica_connection import ReplicaConnection
from winchfork.router.replica_search import DEADLINE, ReplicaSearch
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_record import RequestRecord
from winchfork.router.stream_moves import StreamMoves

if TYPE_CHECKING:
    from winchfork.router.caller_connection import CallerConnection
    from winchfork.router.service import RouterService

#: Tries at one replica that only refused the weights version.
_MAX_VERSION_TRIES = 1
#: Failures that say that a replica could not be reached.
_UNREACHED = (FailureKind.BACKEND_UNREACHABLE, FailureKind.CONNECTION_REFUSED)


class RelayedRequest:
    """Serves one admitted request."""

    def __init__(
        self,
        service: RouterService,
        connection: CallerConnection,
        request: IncomingRequest,
        admitted: AdmittedRequest,
        charge: QuotaCharge | None = None,
    ) -> None:
        self._service = service
        self._charge = charge
        self._state = service.state
        self._crashes = service.state.crashes
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._admitted = admitted
        self._route = admitted.route
        self._inbox = Inbox()
        self._answer = CallerAnswer(connection)
        self._connection = connection
        self._backend = self._state.choose_service(admitted.route)
        self._dispatch = Dispatch(service.state, service.dialect, request, admitted, self._backend)
        self._evidence = AttemptEvidence(service.state, admitted, self._backend)
        ends_at_s = request.received_s + self._time_allowed_s()
        self._tried: set[str] = set()
        self._version_tries = 0
        self._newer_weights = False
        self._may_have_run = False
        self._answered_by_replica = False
        self._record = RequestRecord(
            service.state,
            admitted.fields.request_id,
            admitted.digest,
            admitted.route,
            request.received_s,
            self._state.clock,
        )
        self._repeats = Repeats(
            service.state, self._backend, admitted.route, self._record, ends_at_s
        )
        self._search = ReplicaSearch(
            service.state, self._dispatch, self._repeats, admitted, self._tried, self._inbox
        )
        #: Moves the request away from the replica that it is at.
        self.moves = StreamMoves(
            service.state, self._dispatch, self._repeats, self._tried, self._inbox
        )

    # ActiveRequest

    def caller_left(self) -> None:
        """The caller is gone."""
        self._inbox.put(CallerLeft())

    def caller_behind(self, behind: bool) -> None:
        """Slow the replica down to the caller's pace."""
        if self.moves.attempt is not None:
            self.moves.attempt.pause(behind)

    # Lifecycle

    async def run(self) -> None:
        """Serve the request; never raises."""
        timer = self._loop.call_at(self._repeats.ends_at_s, self._inbox.put, TimeLimit(DEADLINE))
        self._state.budget.record_request(self._backend, self._loop.time())
        try:
            await self._serve()
        except Exception as error:  # noqa: BLE001 - one request's surprise must not end the others
            log_event("request_error", "ERROR", id=self._id, error=repr(error))
            self._give_up(FailureKind.INTERNAL.because(repr(error), ran=self._ran()))
        finally:
            timer.cancel()
            if self._charge is not None and self._ran() is RunState.NOT_RUN:
                self._charge.give_back()
            self._record.log_done(self._ran(), self._answer.events)

    @property
    def _id(self) -> str:
        return self._admitted.fields.request_id

    def _time_allowed_s(self) -> float:
        deadline_s = self._admitted.fields.deadline_s
        timeout_s = self._route.timeout_s
        return timeout_s if deadline_s is None else min(deadline_s, timeout_s)

    async def _serve(self) -> None:
        while True:
            decision = await self._search.find(self._ran)
            if isinstance(decision, Stopped):
                self._stop(decision.cause)
                return
            if isinstance(decision, Failure):
                self._give_up(decision)
                return
            outcome = await self._try(decision)
            if isinstance(outcome, MayHaveRun):
                await self._crashes.settled(self._admitted.digest, self._repeats.ends_at_s)
            if not self._goes_on(decision.replica, outcome):
                return

    # One attempt

    async def _try(self, decision: RelayDecision) -> Outcome:
        replica = decision.replica
        connection = await self._connect(replica)
        if not isinstance(connection, ReplicaConnection):
            return connection
        if self._repeats.time_left_s <= 0:
            self._service.pool.give_back(replica.listing.address, connection)
            return NotRun("the time is up", sent=False)
        plan = self._dispatch.plan(decision, self._repeats.time_left_s, self._resume_after())
        plan.on_events = self._record.note_events
        if self._charge is not None and self._may_have_run:
            self._charge.charge_again()
        attempt = Attempt(plan, connection, self._inbox, self._answer, self._service.dialect)
        self._record.note_sent()
        replica.notice.record_sent(self._record.sent_s)
        self._count_sent(replica)
        family = self._dispatch.family_key(plan.weights_version)
        self._record.log_sent(decision, plan, family, self._repeats.time_left_s)
        if plan.unread_tokens:
            self._state.on_work_sent()
        self._crashes.begin(self._admitted.digest, replica, self._repeats.ends_at_s)
        try:
            outcome = await self.moves.follow(attempt)
        finally:
            self._crashes.end(self._admitted.digest)
        self._newer_weights = self._evidence.note(plan, outcome, self._record)
        return outcome

    async def _connect(self, replica: RelayReplica) -> ReplicaConnection | NotRun | ChoiceLapsed:
        """Return a connection to a replica that may still be sent the request."""
        pool = self._service.pool
        address = replica.listing.address
        kept = pool.take_idle(address)
        if kept is not None:
            return kept
        limit = self._state.connection_limit(replica.listing.service)
        connection = await pool.acquire(address, limit)
        if isinstance(connection, Failure):
            return self._unreached(replica, connection)
        # Meanwhile it may have begun to leave or to load, or its weights' time be over.
        if self._dispatch.is_available(replica, self._search.barred()) and self._may_run():
            return connection
        pool.give_back(address, connection)
        return ChoiceLapsed()

    def _count_sent(self, replica: RelayReplica) -> None:
        listing = replica.listing
        metrics = self._state.metrics
        software = f"{listing.service}:{listing.software or 'unknown'}"
        metrics.sent_by_software.labels(software).inc()
        if replica.notice.limit.per_s is not None:
            metrics.sent_under_limit.labels(replica.replica_id).inc()
        elif self._state.choice.at_limit(listing.service):
            metrics.limit_effects.labels("elsewhere").inc()
        metrics.sent_by_region.labels(self._state.settings.regions.region_of(listing.zone)).inc()

    def _unreached(self, replica: RelayReplica, failure: Failure) -> NotRun:
        if failure.kind is FailureKind.CONNECTION_REFUSED:
            self._crashes.note_ended(replica, CrashEvidence.PORT_CLOSED)
        if failure.kind in _UNREACHED:
            self._state.note_failure(replica, failure.reason, certain=True)
        return NotRun(failure.reason, sent=False)

    def _resume_after(self) -> int | None:
        """Return the id of the last event that the caller has."""
        if self._answer.last_event_id is not None:
            return self._answer.last_event_id
        return self._admitted.fields.resume_after

    def _may_run(self) -> bool:
        digest = self._admitted.digest
        return self._crashes.refusal(digest) is None and self._crashes.may_run(digest)

    # What follows an attempt

    def _goes_on(self, replica: RelayReplica, outcome: Outcome) -> bool:
        """Give the final answer, or return True for another attempt."""
        if isinstance(outcome, Delivered):
            self._record.outcome = f"delivered_{outcome.status}"
            self._answered_by_replica = True
            return False
        if isinstance(outcome, Stopped):
            self._may_have_run = self._may_have_run or self._record.sends > 0
            self._stop(outcome.cause)
            return False
        if isinstance(outcome, Moved):
            self._may_have_run = True
            self._tried.add(replica.replica_id)
            return True
        if isinstance(outcome, ChoiceLapsed):
            return True
        if isinstance(outcome, NotRun):
            return self._after_refusal(replica, outcome)
        return self._after_unknown(replica, outcome)

    def _after_refusal(self, replica: RelayReplica, outcome: NotRun) -> bool:
        newer = outcome.same_replica and self._newer_weights
        if newer and self._version_tries < _MAX_VERSION_TRIES:
            self._version_tries += 1
            if self._repeats.take(self._route.max_attempts + self._version_tries):
                return True
        self._tried.add(replica.replica_id)
        if not outcome.sent or self._repeats.take(self._route.max_attempts):
            return True
        overloaded = FailureKind.OVERLOADED.because(
            outcome.reason, ran=self._ran(), retry_after_s=self._dispatch.expected_wait_s()
        )
        self._give_up(overloaded)
        return False

    def _after_unknown(self, replica: RelayReplica, outcome: MayHaveRun) -> bool:
        self._may_have_run = True
        self._tried.add(replica.replica_id)
        failed_by_replica = outcome.answer is not None and outcome.answer.head.status < 500
        others_left = self._dispatch.others_left(self._tried)
        # A request that has ended replicas is not offered to one more by the same try.
        ends_replicas = self._crashes.ends(self._admitted.digest) >= MOST_ENDS_IN_A_TRY
        repeatable = self._route.repeatable and not ends_replicas
        worth_it = repeatable and not failed_by_replica and others_left
        if worth_it and self._repeats.take(self._route.max_attempts):
            return True
        if outcome.answer is not None and not self._answer.started:
            self._record.outcome = f"passed_on_{outcome.answer.head.status}"
            self._answered_by_replica = True
            self._answer.give_whole(outcome.answer)
        else:
            self._give_up(FailureKind.OUTCOME_UNKNOWN.because(outcome.reason, ran=RunState.UNKNOWN))
        return False

    def _ran(self) -> RunState:
        if self._answered_by_replica:
            return RunState.RAN
        return RunState.UNKNOWN if self._may_have_run else RunState.NOT_RUN

    def _stop(self, cause: StopCause) -> None:
        if cause is StopCause.CALLER_LEFT:
            self._record.outcome = cause.value
            return
        reason = "the time allowed is up"
        self._give_up(FailureKind.DEADLINE_EXCEEDED.because(reason, ran=self._ran()))

    def _give_up(self, failure: Failure) -> None:
        """Give the final answer of a request that no replica answered."""
        self._record.outcome = failure.kind.value
        self._record.reason = failure.reason
        if self._answer.ended:
            return
        if self._answer.started:
            self._answer.tear()
            return
        refusal = refusal_answer(failure, self._id, self._state.generator)
        self._answer.ended = True
        self._connection.answer(refusal.status, refusal.headers, refusal.body)
