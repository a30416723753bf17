"""Exchanges the work sent to replicas, and the prompt parts cached there, between daemons.

Delivery is best effort: a lost message may cost efficiency but breaks no guarantee. In a full mesh
every daemon sends to every other. Otherwise hubs sum the work of their zone, send it to the hubs of
their region's other zones, and send their zone the sum over all, so that a daemon's cost does not
grow with the number of daemons. Regions exchange their sums through
:mod:`winchfork.router.region_exchange`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from winchfork.core.cached_parts_backlog import CachedPartsBacklog
from winchfork.core.member import Member
from winchfork.core.zone_hubs import FleetView
from winchfork.core.zone_reachability import SILENCE_TIMEOUT_S
from winchfork.router.peer_messages import (
    Activity,
    CachedPartsEntry,
    FleetWork,
    RegionWork,
    ReplicaLoadEntry,
    ZoneWork,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.quota_exchange import QuotaExchange
from winchfork.router.region_exchange import RegionExchange
from winchfork.router.state import RouterState
from winchfork.router.work_totals import (
    NO_WORK,
    LoadsByReplica,
    ReceivedLoads,
    SentLoads,
    busy_steps,
    load_entries,
    sum_loads,
)

#: Seconds within which hubs are sent new work.
EARLY_SEND_DELAY_S = 0.01
#: Seconds after which unchanged work is resent, since its expected end moves on.
RESEND_INTERVAL_S = 0.5
#: Seconds between two complete messages of a hub; those in between have only what has changed.
COMPLETE_PERIOD_S = 0.5
#: Seconds after which received work is summed again in any case, so that expired work is dropped.
AGGREGATION_INTERVAL_S = 0.2
#: Seconds without a message of a zone's active hub after which its other hub sends.
HUB_SILENCE_S = 0.7
#: Seconds without a message after which a zone may be unreachable in a full mesh, whose daemons
#: send at least every 0.5 s and check every 0.2 s.
FULL_MESH_SILENCE_S = 1.2
#: Seconds without a message from any other zone after which this zone counts as isolated.
ISOLATED_SILENCE_S = 1.2
#: Cached parts in one message of a daemon, and of a hub for its zone.
MAX_CACHED_PARTS = 200
MAX_ZONE_CACHED_PARTS = 1_000


class WorkExchange:
    """Sends one daemon's work and, on a hub, its zone's; sums the work received from peers."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: Callable[[float, Callable[[], None]], object],
        quotas: QuotaExchange,
        regions: RegionExchange,
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._regions = regions
        self._peers = peers
        self._call_later = call_later
        self._send_scheduled = False
        self._own_id = state.settings.node_id
        self._sent_loads: tuple[ReplicaLoadEntry, ...] = ()
        self._sent_at_s = 0.0
        #: What this hub has sent to its zone, and when it last sent a complete message.
        self._hub_sent_loads = SentLoads()
        self._complete_sent_at_s = 0.0
        self._sent_unreachable: tuple[str, ...] = ()
        self._activities: dict[str, ReceivedLoads] = {}
        self._zones: dict[str, ReceivedLoads] = {}
        #: The work on each replica as received from the hubs.
        self._fleet = LoadsByReplica()
        self._hub_received_at_s = 0.0
        #: Whether work was received since it was last summed, and when that was.
        self._has_updates = False
        self._aggregated_at_s = 0.0
        state.fleet.refresh = self.refresh
        #: Cached parts to forward, by replica: those of this zone, and those of other zones.
        self._zone_cached = CachedPartsBacklog()
        self._other_zones_cached = CachedPartsBacklog()

    def tick(self, now_s: float) -> None:
        """Send changed work and new cached parts; sum received work if that is due."""
        view = self._peers.view
        loads = self._own_loads(now_s)
        cached = _pop_from_backlog(self._state.cached_parts_backlog, MAX_CACHED_PARTS)
        self._send_scheduled = False
        self._quotas.tick(now_s)
        quota = self._quotas.own_report(now_s)
        correction = self._quotas.correction(now_s)
        needs_resend = bool(loads) and now_s - self._sent_at_s > RESEND_INTERVAL_S
        is_heartbeat_due = view.is_full_mesh and now_s - self._sent_at_s > RESEND_INTERVAL_S
        must_send = bool(quota or correction or is_heartbeat_due)
        if (
            cached
            or needs_resend
            or must_send
            or _comparable_work(loads) != _comparable_work(self._sent_loads)
        ):
            self._sent_loads = loads
            self._sent_at_s = now_s
            self._has_updates = True
            receivers = view.others if view.is_full_mesh else view.own_hub_peers
            self._send(receivers, Activity(self._own_id, loads, cached, quota, correction))
        self._update_reachability(view, now_s)
        if not view.is_full_mesh and view.is_hub:
            _add_to_backlog(self._zone_cached, cached)
            if self._is_active_hub(view, now_s):
                self._send_as_hub(view, now_s)
                self._regions.send_region_work(lambda: self._region_loads(now_s), now_s)
        if now_s - self._aggregated_at_s >= AGGREGATION_INTERVAL_S:
            self._aggregate(now_s)

    # Sending

    def send_soon(self) -> None:
        """Send changed work to the hubs before the next tick, together with other changes."""
        if not self._send_scheduled and not self._peers.view.is_full_mesh:
            self._send_scheduled = True
            self._call_later(EARLY_SEND_DELAY_S, lambda: self.tick(self._state.clock()))

    def _own_loads(self, now_s: float) -> tuple[ReplicaLoadEntry, ...]:
        return tuple(
            ReplicaLoadEntry(
                replica.incarnation_hash,
                replica.in_flight,
                replica.pending_prefill_tokens,
                replica.memory_tokens,
                busy_steps(replica.own_busy_until_s, now_s),
            )
            for replica in self._state.fleet.replicas()
            if replica.in_flight
        )

    def _update_reachability(self, view: FleetView, now_s: float) -> None:
        """Detect unreachable zones, on a hub or in a full mesh."""
        if view.is_full_mesh or view.is_hub:
            silence_s = FULL_MESH_SILENCE_S if view.is_full_mesh else SILENCE_TIMEOUT_S
            reachability = self._state.zone_reachability
            self._state.zone_outage_handler.update_reachability(
                reachability.detect_unreachable(now_s, silence_s),
                is_isolated=reachability.detect_isolated(now_s, ISOLATED_SILENCE_S),
            )

    def _is_active_hub(self, view: FleetView, now_s: float) -> bool:
        """Whether this hub sends for its zone: the first one does, unless it has fallen silent."""
        first = view.own_hubs[0].member_id == self._own_id
        return first or now_s - self._hub_received_at_s > HUB_SILENCE_S

    def _send_as_hub(self, view: FleetView, now_s: float) -> None:
        """Send this zone's work to other zones, and the sum over all to this zone."""
        zone_loads = self._zone_loads(now_s)
        zone_cached = _pop_from_backlog(self._zone_cached, MAX_ZONE_CACHED_PARTS)
        other_cached = _pop_from_backlog(self._other_zones_cached, MAX_ZONE_CACHED_PARTS)
        complete = now_s - self._complete_sent_at_s > COMPLETE_PERIOD_S
        received = [*self._fresh(self._zones, now_s), *self._regions.loads(now_s)]
        fleet = load_entries(sum_loads([ReceivedLoads(now_s, zone_loads), *received]), now_s)
        loads = self._hub_sent_loads.updates(fleet, complete=complete)
        quota = self._quotas.zone_report(now_s)
        levels = self._quotas.levels(now_s, complete=complete)
        unreachable = tuple(sorted(self._state.zone_reachability.unreachable(now_s)))
        message = FleetWork(
            self._own_id,
            complete,
            loads,
            (*zone_cached, *other_cached),
            levels,
            unreachable,
            self._state.zone_reachability.is_isolated(now_s),
        )
        has_changes = bool(loads or message.cached or unreachable != self._sent_unreachable)
        if complete:
            self._complete_sent_at_s = now_s
        elif not has_changes and quota is None:
            return
        self._sent_unreachable = unreachable
        own_zone = self._state.settings.zone
        zone_levels = levels if complete else None
        zone_work = ZoneWork(self._own_id, own_zone, zone_loads, zone_cached, quota, zone_levels)
        self._send(view.same_region_hubs, zone_work)
        self._send(view.zone_peers, message)
        self._regions.record_zone(zone_work)

    def _zone_loads(self, now_s: float) -> tuple[ReplicaLoadEntry, ...]:
        own = ReceivedLoads(now_s, self._sent_loads)
        return load_entries(sum_loads([own, *self._fresh(self._activities, now_s)]), now_s)

    def _region_loads(self, now_s: float) -> tuple[ReplicaLoadEntry, ...]:
        own_zone = ReceivedLoads(now_s, self._zone_loads(now_s))
        return load_entries(sum_loads([own_zone, *self._fresh(self._zones, now_s)]), now_s)

    def _send(self, receivers: Iterable[Member], message: Activity | ZoneWork | FleetWork) -> None:
        self._peers.send_each(receivers, message)

    # Receiving

    def handle_activity(self, message: Activity) -> None:
        """Store the work of one daemon."""
        now_s = self._state.clock()
        self._mark_zone_reached(message.sender_id, now_s)
        self._activities[message.sender_id] = ReceivedLoads(now_s, message.loads)
        self._record_cached(message.cached)
        self._quotas.handle_activity(message.sender_id, message.quota, message.correction)
        if self._peers.view.is_hub:
            _add_to_backlog(self._zone_cached, message.cached)
        self._has_updates = True

    def handle_zone(self, message: ZoneWork) -> None:
        """Store the work of another zone."""
        now_s = self._state.clock()
        self._zones[message.zone] = ReceivedLoads(now_s, message.loads)
        self._state.zone_reachability.record_message(message.zone, now_s)
        self._regions.record_zone(message)
        self._record_cached(message.cached)
        self._quotas.handle_zone(message.sender_id, message.zone, message.quota, message.levels)
        _add_to_backlog(self._other_zones_cached, message.cached)
        self._has_updates = True

    def handle_region(self, message: RegionWork) -> None:
        """Store the work of another region."""
        self._regions.handle_region(message)
        now_s = self._state.clock()
        for zone in self._peers.view.hubs:
            if self._state.settings.regions.region_of(zone) == message.region:
                self._state.zone_reachability.record_message(zone, now_s)
        self._has_updates = True

    def _mark_zone_reached(self, sender_id: str, now_s: float) -> None:
        """Record a message from the sender's zone, in a full mesh."""
        if self._peers.view.is_full_mesh:
            for member in self._peers.view.members:
                if member.member_id == sender_id:
                    self._state.zone_reachability.record_message(member.zone, now_s)

    def handle_fleet(self, message: FleetWork) -> None:
        """Store the work of all daemons; on a hub, drop the cached parts from its backlogs."""
        now_s = self._state.clock()
        self._hub_received_at_s = now_s
        self._fleet.update(message.loads, now_s, complete=message.complete)
        self._record_cached(message.cached)
        if message.levels is not None:
            self._quotas.handle_fleet(message.levels)
        if not self._peers.view.is_hub:
            self._state.zone_outage_handler.update_reachability(
                message.unreachable_zones, is_isolated=message.is_isolated
            )
        if self._peers.view.is_hub:
            for entry in message.cached:
                self._zone_cached.discard(entry.replica_hash, entry.parts)
                self._other_zones_cached.discard(entry.replica_hash, entry.parts)
        self._has_updates = True

    def _record_cached(self, entries: Iterable[CachedPartsEntry]) -> None:
        for entry in entries:
            self._state.record_peer_cached_parts(entry.replica_hash, entry.parts)

    def _fresh(self, received: dict[str, ReceivedLoads], now_s: float) -> list[ReceivedLoads]:
        for sender in [key for key, item in received.items() if item.is_expired(now_s)]:
            del received[sender]
        return list(received.values())

    def refresh(self) -> None:
        """Sum the work received since the last time, before the replicas are read."""
        if self._has_updates:
            self._aggregate(self._state.clock())

    def _aggregate(self, now_s: float) -> None:
        """Set the peers' work on each replica: all work received, less this daemon's own."""
        self._has_updates = False
        self._aggregated_at_s = now_s
        view = self._peers.view
        own: dict[int, ReplicaLoadEntry] = {}
        if view.is_full_mesh or view.is_hub:
            received = self._fresh(self._activities, now_s)
            if not view.is_full_mesh:
                received += [*self._fresh(self._zones, now_s), *self._regions.loads(now_s)]
        else:
            received = self._fleet.fresh(now_s)
            own = {entry.replica_hash: entry for entry in self._sent_loads} if received else {}
        totals = sum_loads(received)
        for replica in self._state.fleet.replicas():
            work = totals.get(replica.incarnation_hash, NO_WORK)
            sent = own.get(replica.incarnation_hash)
            in_flight = work.in_flight - (sent.in_flight if sent else 0)
            prefill = work.pending_prefill_tokens - (sent.pending_prefill_tokens if sent else 0)
            memory = work.memory_tokens - (sent.memory_tokens if sent else 0)
            replica.peer_in_flight = max(0, in_flight)
            replica.peer_pending_prefill_tokens = max(0, prefill)
            replica.peer_memory_tokens = max(0, memory)
            replica.peer_busy_until_s = work.busy_until_s


def _comparable_work(loads: tuple[ReplicaLoadEntry, ...]) -> list[tuple[int, int, int]]:
    """Return what is compared to detect changed loads; expected ends move on by themselves."""
    return [(entry.replica_hash, entry.in_flight, entry.pending_prefill_tokens) for entry in loads]


def _add_to_backlog(backlog: CachedPartsBacklog, entries: Iterable[CachedPartsEntry]) -> None:
    for entry in entries:
        backlog.add(entry.replica_hash, entry.parts)


def _pop_from_backlog(backlog: CachedPartsBacklog, max_parts: int) -> tuple[CachedPartsEntry, ...]:
    return tuple(
        CachedPartsEntry(replica_hash, keys) for replica_hash, keys in backlog.pop(max_parts)
    )
