"""Exchanges weights versions and rollout holds of replicas."""

from __future__ import annotations

from winchfork.core.relay_replica import RelayReplica
from winchfork.logs import log_event
from winchfork.router.peer_messages import WeightsEntry, WeightsProgress
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState


class WeightsExchange:
    """Broadcasts and applies the rollout leader's messages."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers

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
            if replica is not None and replica.incarnation_hash == entry.incarnation:
                self._apply(replica, entry, message)

    def _apply(self, replica: RelayReplica, entry: WeightsEntry, message: WeightsProgress) -> None:
        now_s = self._state.clock()
        was_held = now_s < replica.loading_until_s
        known = replica.versions.get(entry.model, 0)
        replica.loading_until_s = now_s + entry.held_ms / 1000.0
        replica.load_upcoming_until_s = now_s + entry.next_ms / 1000.0
        self._state.record_version(replica, entry.model, entry.version)
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
