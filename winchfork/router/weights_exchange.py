"""Exchanges weights versions and rollout holds of replicas, and the ages of named versions."""

from __future__ import annotations

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.weight_rollout import VersionHistory
from winchfork.core.zone_hubs import FleetView
from winchfork.logs import log_event
from winchfork.router.peer_messages import (
    VersionAgeEntry,
    VersionAges,
    WeightsEntry,
    WeightsProgress,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState


class WeightsExchange:
    """Applies the rollout leader's messages, and sends version ages to new members."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._known_members: set[tuple[str, int]] = set()
        self._last_view: FleetView | None = None

    def broadcast_weights(self, fence: int, entries: tuple[WeightsEntry, ...]) -> None:
        """Broadcast the leader's entries, and apply them here as well."""
        message = WeightsProgress(self._state.settings.node_id, fence, entries)
        self.handle_weights(message)
        self._peers.broadcast(message)

    def handle_weights(self, message: WeightsProgress) -> None:
        """Apply the entries of a leader, unless a higher fence is known."""
        if message.fence < self._state.weights_fence:
            return
        self._state.weights_fence = message.fence
        for entry in message.entries:
            replica = self._state.fleet.get(entry.replica_id)
            if replica is not None and replica.order_hash == entry.incarnation:
                self._apply(replica, entry, message)

    def _apply(self, replica: RelayReplica, entry: WeightsEntry, message: WeightsProgress) -> None:
        now_s = self._state.clock()
        was_held = now_s < replica.loading_until_s
        known = replica.versions.get(entry.model, 0)
        replica.loading_until_s = now_s + entry.held_ms / 1000.0
        replica.load_upcoming_until_s = now_s + entry.next_ms / 1000.0
        self._state.record_version(replica, entry.model, entry.version)
        if entry.held_ms > 0 and not was_held:
            self._state.on_replica_hold(replica)
        if was_held == (entry.held_ms > 0) and entry.version <= known:
            return
        log_event(
            "replica_weights",
            replica=entry.replica_id,
            model=entry.model,
            version=entry.version,
            held_ms=entry.held_ms,
            next_ms=entry.next_ms,
            fence=message.fence,
            told_by=message.sender_id,
        )

    def send_version_ages(self, now_s: float) -> None:
        """Send new members the time since each version was named.

        Outside a full mesh only hubs send, to their own zone and to the hubs of other zones.
        """
        view = self._peers.view
        if view is self._last_view:
            return
        self._last_view = view
        receivers = view.others if view.is_full_mesh else []
        if not view.is_full_mesh and view.is_hub:
            receivers = [*view.zone_peers, *view.other_zone_hubs]
        members = {(member.member_id, member.incarnation): member for member in receivers}
        new_members = [members[key] for key in members.keys() - self._known_members]
        self._known_members = set(members)
        entries = tuple(
            VersionAgeEntry(model, named.version, int((now_s - named.published_at_s) * 1000))
            for model, history in self._state.weights_versions.items()
            for named in history.versions
            if not named.assumed
        )
        if entries:
            self._peers.send_each(new_members, VersionAges(entries))

    def handle_version_ages(self, message: VersionAges) -> None:
        """Adopt the times at which versions were named, from a peer's message.

        Its ages are as of sending, so they are subtracted from the earliest possible arrival.
        """
        now_s = self._state.stall_detector.earliest_arrival_s(self._state.clock())
        for entry in message.entries:
            history = self._state.weights_versions.setdefault(entry.model, VersionHistory())
            history.update_published_at(entry.version, now_s - entry.age_ms / 1000.0)
