"""One caller's request, from admission to its final answer.

The final answer guarantees "not run" only if no attempt may have run. After an attempt with unknown
outcome the request is retried only if its route is repeatable. Retries are bounded by the retry
budget and by the route's number of attempts.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from winchfork.core.placement_request import RelayDecision
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.attempt_launcher import AttemptLauncher
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.attempt_runner import AttemptRunner, EndedAttempt
from winchfork.router.attempted_replicas import AttemptedReplicas
from winchfork.router.caller_answer import CallerAnswer
from winchfork.router.http_types import (
    CallerDisconnected,
    IncomingRequest,
    RequestEvent,
    TimerFired,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import (
    Delivered,
    MayHaveRun,
    Moved,
    NotRun,
    Outcome,
    StalePlacement,
    StopCause,
    Stopped,
)
from winchfork.router.quota_gate import QuotaCharge
from winchfork.router.refusals import refusal_answer
from winchfork.router.replica_connection import ReplicaConnection
from winchfork.router.replica_search import DEADLINE, ReplicaSearch
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_guard import RequestGuard
from winchfork.router.request_record import RequestRecord
from winchfork.router.request_retries import RequestRetries

if TYPE_CHECKING:
    from winchfork.router.caller_connection import CallerConnection
    from winchfork.router.service import RouterService

#: Retries at a replica that refused only the weights version.
_MAX_VERSION_RETRIES = 1


class RelayedRequest:
    """Serves one admitted request; ``charge`` is refunded if the request did not run.

    A request that continues a stream goes to the software of its ``origin`` only.
    """

    def __init__(
        self,
        service: RouterService,
        connection: CallerConnection,
        request: IncomingRequest,
        admitted: AdmittedRequest,
        charge: QuotaCharge | None = None,
        origin: StreamOrigin | None = None,
    ) -> None:
        self._service = service
        self._charge = charge
        self._state = service.state
        self._guard = RequestGuard(service.state.crashes, admitted)
        self._loop = asyncio.get_running_loop()
        self._request = request
        self._admitted = admitted
        self._route = admitted.route
        self._inbox: Inbox[RequestEvent] = Inbox()
        self._answer = CallerAnswer(connection)
        self._connection = connection
        self._service_name = (
            origin.service if origin else self._state.choose_service(admitted.route)
        )
        self._planner = AttemptPlanner(
            service.state, service.header_codec, request, admitted, self._service_name
        )
        if origin is not None:
            self._planner.bind_to_software(origin.software)
        ends_at_s = request.received_at_s + self._time_allowed_s()
        self._attempted = AttemptedReplicas(admitted.route.max_attempts)
        self._version_retries = 0
        self._answered_by_replica = False
        self._caller_disconnected = False
        self._record = RequestRecord(
            service.state,
            admitted.fields.request_id,
            admitted.digest,
            admitted.route,
            request.received_at_s,
            self._state.clock,
            origin_id=admitted.fields.origin_id,
            prompt=admitted.fields.prompt,
        )
        self._retries = RequestRetries(
            service.state, self._service_name, admitted.route, self._record, ends_at_s
        )
        self._search = ReplicaSearch(
            service.state,
            self._planner,
            self._retries,
            admitted,
            self._attempted,
            self._inbox,
            self._guard,
        )
        self._launcher = AttemptLauncher(
            service,
            admitted,
            self._planner,
            self._search,
            self._retries,
            self._inbox,
            self._answer,
            charge,
            self._guard,
        )
        #: The attempts in progress.
        self.runner = AttemptRunner(
            service.state,
            self._planner,
            self._search,
            self._retries,
            self._launcher,
            self._attempted,
            self._inbox,
        )

    # ActiveRequest

    def caller_disconnected(self) -> None:
        """End the request: its caller has disconnected."""
        self._caller_disconnected = True
        self._inbox.put(CallerDisconnected())

    def set_backpressure(self, paused: bool) -> None:
        """Pause or resume reading from the replica."""
        self.runner.set_paused(paused)

    # Lifecycle

    async def run(self) -> None:
        """Serve the request; raises nothing but a cancellation at the end of a stop."""
        timer = self._loop.call_at(self._retries.ends_at_s, self._inbox.put, TimerFired(DEADLINE))
        self._state.retry_budget.record_request(self._service_name, self._loop.time())
        try:
            await self._serve()
        except asyncio.CancelledError:
            reason = "the grace period of the router's stop ended"
            self._answer_failure(FailureKind.STOPPING.because(reason, ran=self._run_state()))
            raise
        except Exception as error:  # noqa: BLE001 - an error in one request must not end others
            log_event("request_error", "ERROR", id=self._request_id, error=repr(error))
            self._answer_failure(FailureKind.INTERNAL.because(repr(error), ran=self._run_state()))
        finally:
            timer.cancel()
            if self._charge is not None and self._run_state() is RunState.NOT_RUN:
                self._charge.refund()
            self._record.log_done(
                self._run_state(), self._answer.events, truncated=self._answer.truncated
            )

    @property
    def _request_id(self) -> str:
        return self._admitted.fields.request_id

    def _time_allowed_s(self) -> float:
        deadline_s = self._admitted.fields.deadline_s
        timeout_s = self._route.timeout_s
        return timeout_s if deadline_s is None else min(deadline_s, timeout_s)

    async def _serve(self) -> None:
        pause = False
        while True:
            decision = await self._search.find(self._run_state, pause=pause)
            if isinstance(decision, Stopped):
                self._stop(decision.cause)
                return
            if isinstance(decision, Failure):
                self._answer_failure(decision)
                return
            ended = await self._attempt(decision)
            if isinstance(ended.outcome, MayHaveRun):
                await self._guard.wait_until_resolved(self._retries.ends_at_s)
            if not self._handle_outcome(ended.replica, ended.outcome):
                return
            pause = self._is_unsent_continuation(ended.outcome)

    # One attempt

    async def _attempt(self, decision: RelayDecision) -> EndedAttempt:
        replica = decision.replica
        connection = await self._launcher.connect(replica)
        stopped = self._stopped_meanwhile()
        if not isinstance(connection, ReplicaConnection):
            return EndedAttempt(replica, stopped or connection)
        if stopped is not None:
            self._launcher.release(replica, connection)
            return EndedAttempt(replica, stopped)
        return await self.runner.run(self._launcher.launch(decision, connection))

    def _stopped_meanwhile(self) -> Stopped | None:
        """Return why nothing may be sent any more, after a wait that did not read the inbox."""
        if self._caller_disconnected:
            return Stopped(StopCause.CALLER_DISCONNECTED)
        return Stopped(StopCause.DEADLINE) if self._retries.time_left_s <= 0 else None

    # After an attempt

    def _handle_outcome(self, replica: RelayReplica, outcome: Outcome) -> bool:
        """Send the final answer and return False, or return True for another attempt."""
        if isinstance(outcome, Delivered):
            self._record.outcome = f"delivered_{outcome.status}"
            self._answered_by_replica = True
            return False
        if isinstance(outcome, Stopped):
            self._stop(outcome.cause)
            return False
        if isinstance(outcome, Moved):
            self._attempted.add(replica.replica_id)
            return True
        if isinstance(outcome, StalePlacement):
            return True
        if isinstance(outcome, NotRun):
            return self._handle_not_run(replica, outcome)
        return self._handle_may_have_run(replica, outcome)

    def _is_unsent_continuation(self, outcome: Outcome) -> bool:
        """Whether a begun answer was not sent anywhere, for example for lack of a connection."""
        return self._answer.started and isinstance(outcome, NotRun) and not outcome.sent

    def _handle_not_run(self, replica: RelayReplica, outcome: NotRun) -> bool:
        newer = outcome.retry_same_replica and self._launcher.newer_weights
        if newer and self._version_retries < _MAX_VERSION_RETRIES:
            self._version_retries += 1
            if self._retries.try_spend(self._route.max_attempts + self._version_retries):
                return True
        if outcome.unproven:
            self._attempted.unproven.add(replica.replica_id)
        if outcome.allows_unspent_retry or self._is_unsent_continuation(outcome):
            return True
        self._attempted.add(replica.replica_id, refused=True)
        if not outcome.sent or self._may_retry():
            return True
        overloaded = FailureKind.OVERLOADED.because(
            outcome.reason, ran=self._run_state(), retry_after_s=self._planner.expected_wait_s()
        )
        self._answer_failure(overloaded)
        return False

    def _may_retry(self) -> bool:
        """Spend a retry; for a begun answer the replicas are limited, not the attempts."""
        max_attempts = self._route.max_attempts
        if self._answer.started and self._attempted.allows_another:
            max_attempts = self._record.attempts + 1
        return self._retries.try_spend(max_attempts)

    def _handle_may_have_run(self, replica: RelayReplica, outcome: MayHaveRun) -> bool:
        self._attempted.add(replica.replica_id)
        failed_by_replica = outcome.answer is not None and outcome.answer.head.status < 500
        # A begun answer cannot be refused any more, so it waits for a candidate.
        has_others = self._answer.started or self._planner.has_candidates(
            self._search.excluded_by_attempts()
        )
        # A request under which several replicas may have crashed is not sent to one more.
        repeatable = self._route.repeatable and not self._guard.crashed_repeatedly
        may_retry = repeatable and not failed_by_replica and has_others
        if may_retry and self._may_retry():
            return True
        self._answer_failure(
            FailureKind.OUTCOME_UNKNOWN.because(outcome.reason, ran=RunState.UNKNOWN)
        )
        return False

    def _run_state(self) -> RunState:
        if self._answered_by_replica:
            return RunState.RAN
        return RunState.UNKNOWN if self._launcher.may_have_run else RunState.NOT_RUN

    def _stop(self, cause: StopCause) -> None:
        if cause is StopCause.CALLER_DISCONNECTED:
            self._record.outcome = cause.value
            return
        if cause is StopCause.WEIGHTS_EXPIRED:
            self._record.cut_by_router = True
            reason = "the weights of its replica expired before the run was known to have begun"
            self._answer_failure(FailureKind.OUTCOME_UNKNOWN.because(reason, ran=RunState.UNKNOWN))
            return
        reason = "the deadline of the request has passed"
        self._answer_failure(FailureKind.DEADLINE_EXCEEDED.because(reason, ran=self._run_state()))

    def _answer_failure(self, failure: Failure) -> None:
        """Send the final answer for a failure, or abort an answer that has started.

        A replica's own failure answer goes before that of the router, unless its status promises
        that the request has not run: the replica does not prove that.
        """
        self._record.reason = failure.reason
        failed_answer = self._launcher.failed_answer
        may_pass_on = failed_answer is not None and not failed_answer.status_means_not_run
        if may_pass_on and not self._answer.started and not self._answer.ended:
            assert failed_answer is not None
            self._record.outcome = f"passed_on_{failed_answer.head.status}"
            self._answered_by_replica = True
            self._answer.send_buffered(failed_answer)
            return
        self._record.outcome = failure.kind.value
        if self._answer.ended:
            return
        if self._answer.started:
            self._answer.abort()
            return
        refusal = refusal_answer(failure, self._request_id, self._state.generator)
        self._answer.ended = True
        self._connection.write_answer(refusal.status, refusal.headers, refusal.body)
