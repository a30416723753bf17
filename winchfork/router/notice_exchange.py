"""Exchanges the notices in replicas' answers between daemons.

In a large deployment a daemon rarely sends to the same replica twice, so it has to learn from its
peers that a replica drains, asks for a backoff, or begins or ends a request limit. A daemon
broadcasts only what it has received from replicas itself; receiving a notice again has no effect.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from winchfork.core.member import MemberStatus
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_notice import ReportedPause
from winchfork.core.request_limit import LimitChange
from winchfork.core.zone_hubs import FleetView
from winchfork.router.limit_registry import ReportedLimit
from winchfork.router.peer_messages import LimitEntry, ReplicaNoticeEntry, ReplicaNotices
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Seconds for which notices are collected into one message.
BATCH_WINDOW_S = 0.05
#: Seconds between two broadcasts of a limit that answers still name, for daemons that have just
#: started or have lost a message.
RESEND_INTERVAL_S = 2.0
#: Number of times that any other notice is resent.
RESEND_COUNT = 2
#: Seconds of delay of a resend for each rank of the daemon in the limit's order, in total at most
#: ``RESEND_INTERVAL_S``: daemons of lower ranks resend first, and the others then need not.
RANK_DELAY_S = 0.25
#: Keeps a message of entries of some 30 bytes within one packet.
MAX_ENTRIES_PER_MESSAGE = 40


class NoticeExchange:
    """Broadcasts the notices that one daemon receives, and applies those of its peers."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._state = state
        self._peers = peers
        self._call_later = call_later
        self._view: FleetView | None = None
        #: Replicas whose notices are to be sent with the next flush, or resent later, by
        #: incarnation.
        self._pending: dict[int, RelayReplica] = {}
        self._to_resend: dict[int, RelayReplica] = {}
        #: Number of resends left, by incarnation.
        self._resends_left: dict[int, int] = {}
        #: When any daemon last broadcast a replica's notice, by incarnation.
        self._announced_at_s: dict[int, float] = {}
        state.limits.begin_stabilization(state.clock())
        state.limits.on_limit_received = self._queue_limit
        state.notices.on_notice_received = self._queue_pause

    def tick(self, now_s: float) -> None:
        """Share replicas and limits among the current daemons, and resend notices that are due."""
        view = self._peers.view
        if view is not self._view:
            self._view = view
            leaving = MemberStatus.LEAVING
            zones = {item.member_id: item.zone for item in view.members if item.status < leaving}
            self._state.limits.update_daemons(zones, now_s)
            self._state.reserved_senders.update_daemons(zones)
            self._state.brittle.update_daemons(zones)
        if self._to_resend:
            self._resend_due(now_s)
        if self._announced_at_s:
            self._discard_old(now_s)

    def handle_notices(self, message: ReplicaNotices) -> None:
        """Apply the notices that a peer has received from replicas."""
        now_s = self._state.clock()
        by_incarnation = {item.incarnation_hash: item for item in self._state.fleet.replicas()}
        for entry in message.entries:
            self._announced_at_s[entry.incarnation] = now_s
            self._to_resend.pop(entry.incarnation, None)
            replica = by_incarnation.get(entry.incarnation)
            if replica is not None:
                self._apply_entry(message.sender_id, replica, entry)

    def _apply_entry(
        self, sender_id: str, replica: RelayReplica, entry: ReplicaNoticeEntry
    ) -> None:
        pause = ReportedPause(entry.draining, entry.backoff_ms / 1000.0)
        if not pause.is_empty:
            self._state.notices.handle_peer_report(sender_id, replica, pause)
        if entry.limit is not None:
            received_at_s = self._state.clock() - entry.limit.age_ms / 1000.0
            self._state.limits.handle_peer_report(
                sender_id, replica, ReportedLimit(entry.limit.per_s, received_at_s)
            )

    # Notices in this daemon's own answers

    def _queue_limit(self, replica: RelayReplica, change: LimitChange) -> None:
        if change is LimitChange.NOTHING:
            self._to_resend[replica.incarnation_hash] = replica
        else:
            self._enqueue(replica, RESEND_COUNT if change is LimitChange.ENDED else 0)

    def _queue_pause(self, replica: RelayReplica) -> None:
        now_s = self._state.clock()
        if replica.notice.draining or replica.notice.reported_backoff_until_s > now_s:
            self._enqueue(replica, RESEND_COUNT)

    def _enqueue(self, replica: RelayReplica, resends: int) -> None:
        self._resends_left[replica.incarnation_hash] = resends
        if not self._pending:
            self._call_later(BATCH_WINDOW_S, self._flush)
        self._pending[replica.incarnation_hash] = replica

    # Sending

    def _resend_due(self, now_s: float) -> None:
        """Resend notices, unless another daemon has broadcast them recently."""
        due = [
            key
            for key, replica in self._to_resend.items()
            if now_s - self._announced_at_s.get(key, -math.inf) >= _resend_interval_s(replica)
        ]
        if due:
            self._pending |= {key: self._to_resend.pop(key) for key in due}
            self._flush()

    def _discard_old(self, now_s: float) -> None:
        """Drop times that no longer delay a resend; incarnations would accumulate otherwise."""
        self._announced_at_s = {
            key: at_s
            for key, at_s in self._announced_at_s.items()
            if now_s - at_s < 2 * RESEND_INTERVAL_S
        }

    def _flush(self) -> None:
        replicas, self._pending = list(self._pending.values()), {}
        for first in range(0, len(replicas), MAX_ENTRIES_PER_MESSAGE):
            entries = tuple(
                self._entry_for(replica)
                for replica in replicas[first : first + MAX_ENTRIES_PER_MESSAGE]
            )
            self._peers.broadcast(ReplicaNotices(self._state.settings.node_id, entries))
        for replica in replicas:
            key = replica.incarnation_hash
            self._announced_at_s[key] = self._state.clock()
            remaining = self._resends_left.pop(key, 0)
            if remaining:
                self._resends_left[key] = remaining - 1
                self._to_resend[key] = replica

    def _entry_for(self, replica: RelayReplica) -> ReplicaNoticeEntry:
        now_s = self._state.clock()
        notice = replica.notice
        limit = None
        if math.isfinite(notice.limit.received_at_s):
            age_ms = max(0, int((now_s - notice.limit.received_at_s) * 1000))
            limit = LimitEntry(notice.limit.per_s, age_ms)
        backoff_ms = max(0, int((notice.reported_backoff_until_s - now_s) * 1000))
        return ReplicaNoticeEntry(replica.incarnation_hash, notice.draining, backoff_ms, limit)


def _resend_interval_s(replica: RelayReplica) -> float:
    return RESEND_INTERVAL_S + min(
        RESEND_INTERVAL_S, RANK_DELAY_S * replica.notice.limit.position.rank
    )
