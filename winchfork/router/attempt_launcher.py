"""Sends the attempts of one request to replicas, and records how they ended."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.placement_request import RelayDecision
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import RouteKind
from winchfork.core.stream_origin import StreamOrigin
from winchfork.core.unlisted_software import UnlistedIncarnation, is_unlisted
from winchfork.errors import FailureKind
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt, AttemptPlan
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.caller_answer import CallerAnswer
from winchfork.router.http_types import RequestEvent
from winchfork.router.inbox import Inbox
from winchfork.router.incarnation_proofs import MAX_WAIT_S, Proof
from winchfork.router.outcome_recorder import OutcomeRecorder
from winchfork.router.outcomes import (
    BufferedAnswer,
    Delivered,
    MayHaveRun,
    Moved,
    NotRun,
    Outcome,
    StalePlacement,
    Stopped,
)
from winchfork.router.quota_gate import QuotaCharge
from winchfork.router.relay_messages import add_relay_target
from winchfork.router.replica_connection import RelayLeg, ReplicaConnection
from winchfork.router.replica_connector import ConnectFailure
from winchfork.router.replica_search import ReplicaSearch
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_guard import RequestGuard
from winchfork.router.request_record import RequestRecord
from winchfork.router.request_retries import RequestRetries

if TYPE_CHECKING:
    from winchfork.router.service import RouterService


class AttemptLauncher:
    """Launches the attempts of one request.

    ``charge`` is charged again for each attempt after one that may have run.
    """

    def __init__(
        self,
        service: RouterService,
        admitted: AdmittedRequest,
        planner: AttemptPlanner,
        search: ReplicaSearch,
        retries: RequestRetries,
        inbox: Inbox[RequestEvent],
        answer: CallerAnswer,
        charge: QuotaCharge | None,
        guard: RequestGuard,
    ) -> None:
        self._service = service
        self._state = service.state
        self._guard = guard
        self._admitted = admitted
        self._planner = planner
        self._search = search
        self._retries = retries
        self._record: RequestRecord = retries.record
        self._inbox = inbox
        self._answer = answer
        self._charge = charge
        self._outcome_recorder = OutcomeRecorder(service.state, admitted, planner.service, guard)
        #: Charges beyond that of the admission, less those taken back.
        self._extra_charges = 0
        #: Attempts that have not ended.
        self._in_progress = 0
        self._some_may_have_run = False
        #: When the request was first not sent to a replica for want of proof.
        self._unproven_since_s = math.inf
        #: The last whole failure answer of a replica, which was not sent to the caller.
        self.failed_answer: BufferedAnswer | None = None
        #: Whether the last attempt was refused by a replica that has newer weights than expected.
        self.newer_weights = False

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt may have run or may still run."""
        return self._some_may_have_run or self._in_progress > 0

    async def connect(self, replica: RelayReplica) -> ReplicaConnection | NotRun | StalePlacement:
        """Return a connection, or the outcome if the request cannot be sent to the replica."""
        connector = self._service.connector
        idle = connector.pop_idle(replica)
        if idle is not None:
            return await self._prove(replica, idle) if self._needs_proof(replica, idle) else idle
        connection = await connector.connect(replica, lambda: self._has_others(replica))
        if isinstance(connection, ConnectFailure):
            return self._handle_connect_failure(replica, connection)
        if self._needs_proof(replica, connection):
            return await self._prove(replica, connection)
        return self._if_still_available(replica, connection)

    def _if_still_available(
        self, replica: RelayReplica, connection: ReplicaConnection
    ) -> ReplicaConnection | StalePlacement:
        """Return the connection unless the request may no longer be sent, after a wait.

        The replica may have begun to drain or load, or its weights may have expired.
        """
        if self._planner.is_available(replica, self._search.excluded()) and self.is_allowed():
            return connection
        self.release(replica, connection)
        return StalePlacement()

    def _needs_proof(self, replica: RelayReplica, connection: ReplicaConnection) -> bool:
        """Whether a direct connection may lead a stream to another incarnation of the replica."""
        if not self._needs_one_version or connection.relay is not None:
            return False
        return self._state.incarnations.needs_proof(replica, connection.opened_at_s)

    @property
    def _needs_one_version(self) -> bool:
        """Whether it matters which version runs the request: a stream that may or does go on."""
        route = self._retries.route
        if route.kind is not RouteKind.STREAMING:
            return False
        return route.resumable or self._planner.bound_to is not None

    async def _prove(
        self, replica: RelayReplica, connection: ReplicaConnection
    ) -> ReplicaConnection | NotRun | StalePlacement:
        """Return the connection if it leads to the listed incarnation of the replica."""
        try:
            proof = await self._state.incarnations.prove(replica, connection.opened_at_s)
        except asyncio.CancelledError:
            self.release(replica, connection)
            raise
        if proof is Proof.REPLACED or not connection.is_usable(self._state.clock()):
            self.release(replica, connection)
            return StalePlacement()
        if proof is Proof.UNKNOWN and not self._may_begin_unproven(replica):
            self._unproven_since_s = min(self._unproven_since_s, self._state.clock())
            self.release(replica, connection)
            reason = "no report shows which incarnation of the replica answers"
            return NotRun(reason, sent=False, unproven=True)
        return self._if_still_available(replica, connection)

    def _may_begin_unproven(self, replica: RelayReplica) -> bool:
        """Whether the stream may begin without proof: it has not begun, and cannot go elsewhere.

        It does not try one replica after the other that lets it wait for a proof.
        """
        if self._planner.bound_to is not None:
            return False
        has_waited = self._state.clock() - self._unproven_since_s >= MAX_WAIT_S
        return has_waited or not self._search.has_proven_others(replica)

    def _has_others(self, replica: RelayReplica) -> bool:
        return self._planner.has_candidates(self._search.excluded() | {replica.replica_id})

    def is_allowed(self) -> bool:
        """Whether the request may be sent now, by its key and what is known of crashes under it."""
        if not self.may_have_run and self._planner.tenancy.refusal() is not None:
            return False
        return self._guard.refusal() is None and self._guard.may_run()

    @property
    def is_suspect(self) -> bool:
        """Whether the request may have crashed a replica."""
        return self._guard.is_suspect

    def release(self, replica: RelayReplica, connection: ReplicaConnection) -> None:
        """Put back a connection that is not used."""
        self._service.connector.release(replica, connection)

    def launch(self, decision: RelayDecision, connection: ReplicaConnection) -> Attempt:
        """Send the request to the chosen replica."""
        replica = decision.replica
        plan = self._planner.plan(decision, self._retries.time_left_s, self._resume_after())
        if connection.relay is not None:
            started_at_ms = replica.listing.started_at_ms if self._needs_one_version else 0
            plan.head = add_relay_target(plan.head, replica.listing.address, started_at_ms)
        plan.on_head = self._record.mark_head
        plan.on_first_event = lambda: self._begin_stream(plan, connection)
        plan.on_events = lambda: self._record.mark_events(plan.software)
        self._record.mark_sent()
        if self._charge is not None and self.may_have_run:
            self._charge.charge_again()
            self._extra_charges += 1
        attempt = Attempt(
            self._record.attempts,
            plan,
            connection,
            self._inbox,
            self._answer,
            self._service.header_codec,
            self._state.clock,
        )
        replica.notice.record_sent(self._record.sent_at_s)
        self._count_sent(replica)
        family = self._planner.family_key(plan.weights_version)
        relayed_by = connection.relay.peer_id if connection.relay is not None else None
        self._record.log_sent(decision, plan, family, self._retries.time_left_s, relayed_by)
        if plan.prefill_tokens:
            self._state.on_work_sent()
        self._guard.begin_run(replica, self._retries.ends_at_s)
        self._in_progress += 1
        attempt.start()
        return attempt

    def _begin_stream(self, plan: AttemptPlan, connection: ReplicaConnection) -> None:
        """Bind the rest of the stream to the software that is about to begin it."""
        if self._retries.answer_begun:
            return
        replica = plan.replica
        replica.has_begun_stream = True
        if self._needs_proof(replica, connection):
            plan.software = UnlistedIncarnation(replica.replica_id, 0).software
            request_id = self._record.request_id
            log_event("stream_unproven", id=request_id, replica=replica.replica_id)
        # A stream that goes on keeps the name under which the rest of it is recorded.
        software = self._planner.bound_to
        if software is None:
            software = self._state.fleet.resolve_software(plan.software)
        self._planner.bind_to_software(software)
        if self._retries.route.resumable:
            origin = StreamOrigin(self._planner.service, software)
            self._state.stream_origins.record(self._admitted, origin)

    def finish(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of an attempt that has ended."""
        attempt.end()
        self._in_progress -= 1
        if isinstance(outcome, Moved | MayHaveRun | Stopped):
            self._some_may_have_run = True
        if isinstance(outcome, NotRun):
            self._refund_extra_charge()
        if attempt.relay is not None:
            self._record_relay(attempt.replica, attempt.relay, outcome)
        if isinstance(outcome, MayHaveRun) and outcome.answer is not None:
            self.failed_answer = outcome.answer
        self._record.log_attempt_ended(attempt, outcome)
        self.newer_weights = self._outcome_recorder.record_outcome(attempt, outcome, self._record)
        self._guard.end_run(attempt.replica)

    def _record_relay(self, replica: RelayReplica, relay: RelayLeg, outcome: Outcome) -> None:
        if isinstance(outcome, Delivered):
            self._service.connector.record_relayed(replica, relay)
        elif _is_relay_failure(outcome):
            self._service.connector.record_relay_failure(replica, relay)

    def _refund_extra_charge(self) -> None:
        if self._charge is not None and self._extra_charges:
            self._extra_charges -= 1
            self._charge.refund()

    def _count_sent(self, replica: RelayReplica) -> None:
        listing = replica.listing
        metrics = self._state.metrics
        known = listing.software and not is_unlisted(listing.software)
        software = f"{listing.service}:{listing.software if known else 'unknown'}"
        metrics.sent_by_software.labels(software).inc()
        if replica.notice.limit.per_s is not None:
            metrics.sent_under_limit.labels(replica.replica_id).inc()
        elif self._state.replica_selector.count_at_limit(listing.service):
            metrics.limit_effects.labels("elsewhere").inc()
        metrics.sent_by_region.labels(self._state.settings.regions.region_of(listing.zone)).inc()

    def _handle_connect_failure(self, replica: RelayReplica, result: ConnectFailure) -> NotRun:
        if result.failure.kind is FailureKind.CONNECTION_REFUSED and not result.unverified:
            self._state.crashes.record_crash(replica, CrashEvidence.PORT_CLOSED)
        if result.unverified:
            self._state.on_unverified_ejection(replica)
        if result.is_unreachable:
            self._state.record_unreachable(
                replica, result.failure.reason, confirmed=result.confirmed
            )
        return NotRun(result.failure.reason, sent=False)

    def _resume_after(self) -> int | None:
        """Return the id of the last event that the caller has received."""
        if self._answer.last_event_id is not None:
            return self._answer.last_event_id
        return self._admitted.fields.resume_after


def _is_relay_failure(outcome: Outcome) -> bool:
    """Whether an outcome of a relayed attempt may be the peer's fault."""
    if isinstance(outcome, NotRun):
        return outcome.relay_failed
    return isinstance(outcome, MayHaveRun) and outcome.answer is None
