"""Tracks the request limits of replicas, from this daemon's own answers and from peers' reports."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import msgspec

from winchfork.core.peer_reports import PeerReports
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import rendezvous_rank
from winchfork.core.request_limit import STABILIZATION_S, LimitChange, LimitPosition
from winchfork.logs import log_event
from winchfork.router.log_rate_limit import LogRateLimit

if TYPE_CHECKING:
    from winchfork.router.state import RouterState


class ReportedLimit(msgspec.Struct, frozen=True):
    """A replica's limit as a peer reports it; ``per_s`` is None if the limit has ended."""

    per_s: float | None
    received_at_s: float


class LimitRegistry:
    """The limits of all replicas as known to one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._log_limiter = LogRateLimit()
        #: Zones of the daemons that share limits, by daemon id, and when these last changed.
        self._daemons: Mapping[str, str] = {state.settings.node_id: state.settings.zone}
        self._daemons_changed_at_s = -math.inf
        self._peer_reports = PeerReports()
        #: Replicas that have named a limit, by incarnation; a limit may have ended, or its replica
        #: may have been removed.
        self._limited: dict[int, RelayReplica] = {}
        #: Called when an answer to this daemon begins, changes, repeats or ends a limit.
        self.on_limit_received: Callable[[RelayReplica, LimitChange], None] = (
            lambda replica, change: None
        )

    def limited_replicas(self, service: str) -> list[RelayReplica]:
        """Return the service's listed replicas that have a limit."""
        return [replica for replica in self._all_limited() if replica.listing.service == service]

    def limits_by_replica(self) -> dict[str, float]:
        """Return the limit of each replica that has one, in requests a second, by replica id."""
        return {
            replica.replica_id: replica.notice.limit.per_s or 0.0 for replica in self._all_limited()
        }

    def _all_limited(self) -> list[RelayReplica]:
        fleet = self._state.fleet
        return [
            replica
            for replica in self._limited.values()
            if replica.notice.limit.per_s is not None and fleet.is_listed(replica)
        ]

    def mark_listed(self, replica: RelayReplica) -> None:
        """Assign this daemon's position for a replica that is listed with a limit already known."""
        if replica.notice.limit.per_s is not None:
            self.assign_position(replica)

    # Own answers

    def record_limit(
        self, replica: RelayReplica, per_s: float, sent_s: float | None = None
    ) -> None:
        """Record the limit that a replica's answer names.

        ``per_s`` is in requests a second; ``sent_s`` is when the answered request was sent, if the
        replica itself answered it.
        """
        limit = replica.notice.limit
        if sent_s is not None and limit.has_ended_since(sent_s):
            return
        was_per_s = limit.per_s
        change = limit.update(per_s, self._state.clock())
        self._peer_reports.forget(replica.incarnation_hash)
        self._apply_change(replica, change, was_per_s)
        self.on_limit_received(replica, change)

    def record_unlimited_answer(self, replica: RelayReplica, sent_s: float) -> None:
        """Record that the answer to a request sent at ``sent_s`` names no limit."""
        limit = replica.notice.limit
        if not limit.may_be_ended_by_answer(sent_s):
            return
        was_per_s = limit.per_s
        change = limit.clear(self._state.clock())
        self._apply_change(replica, change, was_per_s)
        self.on_limit_received(replica, change)

    # Peers

    def handle_peer_report(
        self, sender_id: str, replica: RelayReplica, report: ReportedLimit
    ) -> None:
        """Apply a peer's report of a limit, if it is credible."""
        limit = replica.notice.limit
        was_per_s = limit.per_s
        if report.per_s is None:
            self._apply_change(replica, limit.clear(report.received_at_s), was_per_s, sender_id)
        elif self._is_credible(sender_id, replica):
            change = limit.update(report.per_s, report.received_at_s)
            self._apply_change(replica, change, was_per_s, sender_id)

    def _is_credible(self, sender_id: str, replica: RelayReplica) -> bool:
        service = replica.listing.service
        accepted = {item.incarnation_hash for item in self.limited_replicas(service)}
        replicas = len(self._state.fleet.of_service(service))
        return self._peer_reports.accept(replica.incarnation_hash, sender_id, accepted, replicas)

    # Positions

    def begin_stabilization(self, now_s: float) -> None:
        """Restart the stabilization time, in which this daemon does not know all others yet."""
        self._daemons_changed_at_s = now_s

    def update_daemons(self, zones: Mapping[str, str], now_s: float) -> None:
        """Share limits among these daemons from now on; ``zones`` has the zone of each, by id."""
        if zones == self._daemons:
            return
        self._daemons = zones
        self._daemons_changed_at_s = now_s
        self._limited = {replica.incarnation_hash: replica for replica in self._all_limited()}
        for replica in self._limited.values():
            self.assign_position(replica)

    def assign_position(self, replica: RelayReplica) -> None:
        """Set this daemon's rank among those that may send to a limited replica."""
        self._limited[replica.incarnation_hash] = replica
        order = self._rank_daemons(replica)
        own_id = self._state.settings.node_id
        # A daemon that is stopping is not in the order, and ranks last.
        rank = order.index(own_id) if own_id in order else len(order)
        replica.notice.limit.set_position(
            LimitPosition(rank, len(order)), self._daemons_changed_at_s + STABILIZATION_S
        )

    def _rank_daemons(self, replica: RelayReplica) -> list[str]:
        """Return the daemon ids, the nearest to a replica first, then by rendezvous hashing."""
        regions = self._state.settings.regions
        zone = replica.listing.zone
        ranked = rendezvous_rank(replica.incarnation_hash, self._daemons)
        return sorted(ranked, key=lambda item: regions.distance(zone, self._daemons[item]).value)

    def _apply_change(
        self,
        replica: RelayReplica,
        change: LimitChange,
        was_per_s: float | None,
        reported_by: str | None = None,
    ) -> None:
        """Update the positions after a change, and log it."""
        if change is LimitChange.NOTHING:
            return
        if change is LimitChange.ENDED:
            self._peer_reports.forget(replica.incarnation_hash)
            self._limited.pop(replica.incarnation_hash, None)
        else:
            self.assign_position(replica)
        self._state.metrics.notices.labels(f"limit_{change.value}").inc()
        if not self._log_limiter.allows(self._state.clock()):
            return
        limit = replica.notice.limit
        log_event(
            "replica_limit",
            replica=replica.replica_id,
            change=change.value,
            per_s=limit.per_s,
            was_per_s=was_per_s,
            told_by=reported_by,
            place=limit.position.rank,
            holders=limit.holders,
            in_flight=replica.in_flight,
        )
