"""Decides which software versions of a service get requests on this daemon.

A new version gets its share of requests only while this daemon has a recent proof that its copy of
the store is current. A daemon that has just started, lost the store or was suspended sends the new
version nothing until it has such a proof again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from winchfork.core.exposure import ExposureCredit, bucket_of
from winchfork.core.relay_fleet import RelayFleet
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import member_hash
from winchfork.core.software_orders import NO_ORDER, OrderRegistry
from winchfork.core.software_state import (
    RolloutOutcome,
    SoftwareOrder,
    SoftwarePhase,
    SoftwareState,
    StopCause,
    VersionRule,
    infer_in_force,
    select_trial_replicas,
    version_rule,
)
from winchfork.core.store_position import StorePosition
from winchfork.core.unlisted_software import is_unlisted
from winchfork.logs import log_event
from winchfork.router.service_answers import OLD_VERSION, ServiceAnswers

#: Part of the rollback bound reserved for watch lag, clock drift and requests in flight.
ROLLBACK_MARGIN_S = 1.15


class _Stop(msgspec.Struct, frozen=True):
    """A decision that an order's target gets no more requests."""

    order_revision: int
    cause: StopCause


class SoftwareVersions:
    """Records and orders of all services, and this daemon's routing by them. Not thread-safe."""

    def __init__(
        self,
        fleet: RelayFleet,
        proof_age_s: Callable[[], float],
        draw: Callable[[], float],
        rollback_s: float,
        *,
        enabled: bool,
    ) -> None:
        self.enabled = enabled
        self._max_proof_age_s = max(0.5, rollback_s - ROLLBACK_MARGIN_S)
        self._draw = draw
        self._fleet = fleet
        self._proof_age_s = proof_age_s
        self._records: dict[str, SoftwareState] = {}
        self._revisions: dict[str, int] = {}
        #: Services whose record is missing or outdated in the store after a restore.
        self._lost_records: set[str] = set()
        self.orders: dict[str, SoftwareOrder] = {}
        self._order_registry = OrderRegistry()
        #: Revisions of orders and records that existed when this daemon started.
        self._found_at_start: set[int] = set()
        #: The version assumed to be in force for services without a record.
        self._assumed_in_force: dict[str, str] = {}
        self._credits: dict[str, ExposureCredit] = {}
        self._stops: dict[str, _Stop] = {}
        self.answers: dict[str, ServiceAnswers] = {}
        #: Called for each bad answer during a rollout, of either version: reporting those of one
        #: version sooner would bias the comparison.
        self.on_bad_answer: Callable[[], None] = lambda: None

    # Records and orders

    def install(self, state: SoftwareState, revision: int, *, found_at_start: bool = False) -> None:
        """Install a record from the store if its revision is newer than the known one.

        ``found_at_start``: the record existed when this daemon started, so its age is unknown.
        """
        if revision <= self._revisions.get(state.service, 0):
            return
        state = self._with_current_number(state)
        known = self._records.get(state.service)
        self._records[state.service] = state
        self._revisions[state.service] = revision
        self._lost_records.discard(state.service)
        if found_at_start:
            self._found_at_start.add(revision)
        if known is None or known.order_revision != state.order_revision:
            self._credits.pop(state.service, None)
            self.answers[state.service] = ServiceAnswers(state.order_revision)
        log_event(
            "software_rollout",
            service=state.service,
            phase=state.phase.value,
            in_force=state.in_force,
            target=state.target or None,
            share=state.share,
            outcome=state.outcome.value,
            order=state.order_revision or None,
            revision=revision,
        )

    def install_restored(self, state: SoftwareState, revision: int) -> None:
        """Install a record of a restored store, unless a later one is known; then keep that."""
        state = self._with_current_number(state)
        known = self._records.get(state.service)
        if known is None or known.is_earlier_than(state):
            self._revisions.pop(state.service, None)
            self.install(state, revision)
            return
        self._revisions[state.service] = revision
        if known != state:
            self._mark_record_lost(state.service)

    def handle_lost_record(self, service: str) -> None:
        """Mark a service's record as lost, because the restored store does not contain it."""
        if service in self._records:
            self._revisions[service] = 0
            self._mark_record_lost(service)

    def _mark_record_lost(self, service: str) -> None:
        self._lost_records.add(service)
        log_event("software_record_lost", "WARNING", service=service)

    def is_record_lost(self, service: str) -> bool:
        """Whether the store has no record, or an earlier one than this daemon."""
        return service in self._lost_records

    def install_order(
        self, order: SoftwareOrder, position: StorePosition, *, found_at_start: bool = False
    ) -> None:
        """Install an operator's order; ``found_at_start`` as in :meth:`install`."""
        update = self._order_registry.record(order, position)
        if update is None:
            return
        self.orders[order.service] = update.order
        if update.previous_number is not None:
            self._renumber_order(order.service, update.previous_number, order.revision)
            return
        self._void_later_numbers(order)
        if found_at_start:
            self._found_at_start.add(order.revision)
        log_event(
            "software_ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            order=order.revision,
        )

    def current_order_number(self, service: str, number: int) -> int:
        """Return the current number of the order that once had ``number``."""
        return self._order_registry.current_number(service, number)

    def _renumber_order(self, service: str, former: int, number: int) -> None:
        """Replace the number of an order, after the store was restored from a backup."""
        state = self._records.get(service)
        if state is not None and state.order_revision == former:
            self._records[service] = self._with_current_number(state)
            self._mark_record_lost(service)
        answers = self.answers.get(service)
        if answers is not None and answers.order_revision == former:
            answers.order_revision = number
        stop = self._stops.get(service)
        if stop is not None and stop.order_revision == former:
            self._stops[service] = _Stop(number, stop.cause)
        if former in self._found_at_start:
            self._found_at_start.add(number)
        log_event("software_order_renumbered", service=service, order=number, former=former)

    def _void_later_numbers(self, order: SoftwareOrder) -> None:
        """Void the record's order number if it is not below that of a new order.

        Such a number comes from an earlier era of the store.
        """
        state = self._records.get(order.service)
        if state is not None and state.order_revision >= order.revision:
            self._order_registry.invalidate(order.service, state.order_revision)
            self._renumber_order(order.service, state.order_revision, NO_ORDER)

    def _with_current_number(self, state: SoftwareState) -> SoftwareState:
        number = self.current_order_number(state.service, state.order_revision)
        return msgspec.structs.replace(state, order_revision=number)

    def shares(self) -> dict[str, float]:
        """Return the share of requests that the target may get, by service with a record."""
        return {service: state.share for service, state in self._records.items()}

    def was_found_at_start(self, revision: int) -> bool:
        """Whether the order or record of this revision existed when this daemon started."""
        return revision in self._found_at_start

    def revision(self, service: str) -> int:
        """Return the revision of a service's record; 0 where there is none."""
        return self._revisions.get(service, 0)

    def recorded_state(self, service: str) -> SoftwareState | None:
        """Return a service's record, if it has one."""
        return self._records.get(service)

    def effective_state(self, service: str) -> SoftwareState:
        """Return a service's record, or a default with the version assumed to be in force."""
        return self._records.get(service) or SoftwareState(service, self._assume_in_force(service))

    def _assume_in_force(self, service: str) -> str:
        replicas = [
            replica
            for replica in self._fleet.of_service(service)
            if not is_unlisted(replica.listing.software)
        ]
        listed = [replica.listing.software for replica in replicas]
        order = self.orders.get(service)
        target = order.target if order else ""
        known = self._assumed_in_force.get(service, "")
        if known and (known in listed or not listed) and known != target:
            return known
        accepting = [replica.listing.software for replica in replicas if replica.accepting]
        self._assumed_in_force[service] = infer_in_force(accepting, listed, target)
        return self._assumed_in_force[service]

    def services(self) -> list[str]:
        """Return the services that have replicas, an order or a record, sorted."""
        listed = {replica.listing.service for replica in self._fleet.replicas()}
        return sorted(listed | self.orders.keys() | self._records.keys())

    # Routing

    def assign_to_target(self, service: str, family: str) -> bool:
        """Decide whether a request goes to the new version. Call this once for each request."""
        state = self._records.get(service)
        if not self.enabled or state is None or not state.running or not state.share:
            return False
        if state.phase is SoftwarePhase.MOVED or not self._is_share_current(state):
            return False
        credit = self._credits.get(service)
        if credit is None:
            credit = self._credits[service] = ExposureCredit(self._draw())
        credit.earn(state.share)
        return credit.spend(bucket_of(family, state.order_revision), state.share)

    def _is_share_current(self, state: SoftwareState) -> bool:
        return not self.is_stopped(state) and self._proof_age_s() <= self._max_proof_age_s

    def allowed_replicas(
        self, service: str, replicas: Sequence[RelayReplica], *, on_target: bool
    ) -> list[RelayReplica]:
        """Return those of ``replicas`` that a request may be sent to."""
        if not self.enabled:
            return list(replicas)
        state = self.effective_state(service)
        if not state.in_force:
            return list(replicas)
        if self.is_stopped(state) and not state.targets_version_in_force:
            return _of_version(replicas, state.in_force)
        rule = version_rule(state, on_target=on_target and self._is_share_current(state))
        preferred = self._preferred_replicas(service, replicas, rule)
        allowed = preferred or _of_version(replicas, rule.fallback)
        order = self.orders.get(service)
        if state.running or (order is not None and order.target != state.in_force):
            return allowed
        # What has returned without an entry is used, unless it may run the target of an order.
        return allowed + [item for item in replicas if is_unlisted(item.listing.software)]

    def continuing_replicas(
        self, service: str, replicas: Sequence[RelayReplica], begun_at: str
    ) -> list[RelayReplica]:
        """Return those of ``replicas`` that may continue a stream which ``begun_at`` began.

        Only that version may, and not once it was rolled back or while it gets no requests. A
        version that is no longer in force may finish what it has begun.
        """
        same = [replica for replica in replicas if replica.listing.software == begun_at]
        state = self.effective_state(service) if self.enabled else None
        if state is None or begun_at == state.in_force:
            return same
        if begun_at in state.judged_bad:
            return []
        if begun_at != state.target:
            return same
        if state.outcome is RolloutOutcome.ROLLED_BACK or self.is_stopped(state):
            return []
        if state.phase in (SoftwarePhase.STABLE, SoftwarePhase.MOVED):
            return same
        if not self._is_share_current(state):
            return []
        return self._preferred_replicas(service, same, version_rule(state, on_target=True))

    def _preferred_replicas(
        self, service: str, replicas: Sequence[RelayReplica], rule: VersionRule
    ) -> list[RelayReplica]:
        found = _of_version(replicas, rule.preferred)
        if not rule.trial_replicas:
            return found
        listed = _of_version(self._fleet.of_service(service), rule.preferred)
        hashes = [replica.incarnation_hash for replica in listed if replica.accepting]
        chosen = select_trial_replicas(hashes, rule.trial_replicas)
        return [replica for replica in found if replica.incarnation_hash in chosen]

    # Stopping

    def is_stopped(self, state: SoftwareState) -> bool:
        """Whether the target of a running order gets no more requests."""
        return self.stop_cause(state) is not None

    def stop_cause(self, state: SoftwareState) -> StopCause | None:
        """Return why the target of a running order gets no more requests; None if it still may."""
        stop = self._stops.get(state.service)
        if stop is None or not state.running or stop.order_revision != state.order_revision:
            return None
        return stop.cause

    def stop(
        self, service: str, order_revision: int, cause: StopCause, *, reported_by: str
    ) -> None:
        """Stop requests to an order's target, regardless of the share in the record."""
        order_revision = self.current_order_number(service, order_revision)
        known, state = self._stops.get(service), self._records.get(service)
        is_outdated = state is not None and order_revision < state.order_revision
        if is_outdated or (known is not None and known.order_revision == order_revision):
            return
        self._stops[service] = _Stop(order_revision, cause)
        log_event(
            "software_stopped",
            "WARNING",
            service=service,
            order=order_revision,
            cause=cause.value,
            told_by=reported_by,
        )

    # Evidence

    def record_answer(
        self,
        service: str,
        route: str,
        replica: RelayReplica,
        *,
        failed: bool,
        took_s: float,
        expected_s: float,
    ) -> None:
        """Count an answer during a rollout; ``expected_s`` is the predicted duration."""
        state = self._records.get(service)
        if not self.enabled or state is None or not state.running:
            return
        is_new = replica.listing.software == state.target
        if not is_new and replica.listing.software != state.in_force:
            return
        counted_as = replica.incarnation_hash if is_new else OLD_VERSION
        ratio = took_s / max(expected_s, 1e-3)
        if self.answers[service].record(counted_as, member_hash(route), ratio, failed=failed):
            self.on_bad_answer()


def _of_version(replicas: Sequence[RelayReplica], software: str) -> list[RelayReplica]:
    if not software:
        return []
    return [replica for replica in replicas if replica.listing.software == software]
