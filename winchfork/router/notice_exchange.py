"""Daemons tell each other what replicas have said of themselves in their answers.

At a large fleet's size nearly every request to a replica is its daemon's first, so daemons have to
know without an answer of their own that a replica leaves, wants a pause, or names a limit; and
those that send nothing hear of a limit's end from those that do. Only what a daemon has heard
itself is told, and what is said again changes nothing.
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

#: Words that are heard within this time share a message.
BATCH_WINDOW_S = 0.05
#: A limit that goes on being named is told again after this long, for daemons that have just
#: started or have lost a message, and any other word so often. The first in the order tells a
#: limit; each place further down waits so much longer for others to tell it, up to a whole such
#: time.
RESEND_INTERVAL_S = 2.0
RESEND_COUNT = 2
RANK_DELAY_S = 0.25
#: Notes of some 30 bytes in a message, which fits into one packet.
MAX_ENTRIES_PER_MESSAGE = 40


class NoticeExchange:
    """This daemon's part in the exchange."""

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
        #: Replicas of which something is to be told soon, or again later.
        self._pending: dict[int, RelayReplica] = {}
        self._to_resend: dict[int, RelayReplica] = {}
        #: How often a word is told again that nobody repeats.
        self._resends_left: dict[int, int] = {}
        #: When somebody last told everybody of a replica.
        self._announced_at_s: dict[int, float] = {}
        state.limits.begin_stabilization(state.clock())
        state.limits.on_limit_received = self._queue_limit
        state.notices.on_notice_received = self._queue_pause

    def tick(self, now_s: float) -> None:
        """Share limits among the daemons that work now, and tell again what still holds."""
        view = self._peers.view
        if view is not self._view:
            self._view = view
            leaving = MemberStatus.LEAVING
            zones = {item.member_id: item.zone for item in view.members if item.status < leaving}
            self._state.limits.update_daemons(zones, now_s)
        if self._to_resend:
            self._resend_due(now_s)
        if self._announced_at_s:
            self._discard_old(now_s)

    def handle_notices(self, message: ReplicaNotices) -> None:
        """Take in what a peer has heard."""
        now_s = self._state.clock()
        by_incarnation = {item.order_hash: item for item in self._state.fleet.replicas()}
        for note in message.entries:
            self._announced_at_s[note.incarnation] = now_s
            self._to_resend.pop(note.incarnation, None)
            replica = by_incarnation.get(note.incarnation)
            if replica is not None:
                self._apply_entry(message.sender_id, replica, note)

    def _apply_entry(
        self, sender_id: str, replica: RelayReplica, entry: ReplicaNoticeEntry
    ) -> None:
        pause = ReportedPause(entry.draining, entry.backoff_ms / 1000.0)
        if not pause.is_empty:
            self._state.notices.handle_peer_report(sender_id, replica, pause)
        if entry.limit is not None:
            heard_s = self._state.clock() - entry.limit.age_ms / 1000.0
            self._state.limits.handle_peer_report(
                sender_id, replica, ReportedLimit(entry.limit.per_s, heard_s)
            )

    # What this daemon hears itself

    def _queue_limit(self, replica: RelayReplica, change: LimitChange) -> None:
        if change is LimitChange.NOTHING:
            self._to_resend[replica.order_hash] = replica
        else:
            self._enqueue(replica, RESEND_COUNT if change is LimitChange.ENDED else 0)

    def _queue_pause(self, replica: RelayReplica) -> None:
        now_s = self._state.clock()
        if replica.notice.draining or replica.notice.reported_backoff_until_s > now_s:
            self._enqueue(replica, RESEND_COUNT)

    def _enqueue(self, replica: RelayReplica, resends: int) -> None:
        self._resends_left[replica.order_hash] = resends
        if not self._pending:
            self._call_later(BATCH_WINDOW_S, self._flush)
        self._pending[replica.order_hash] = replica

    # Telling

    def _resend_due(self, now_s: float) -> None:
        """Tell what still holds, unless somebody just has."""
        due = [
            key
            for key, replica in self._to_resend.items()
            if now_s - self._announced_at_s.get(key, -math.inf) >= _resend_interval_s(replica)
        ]
        if due:
            self._pending |= {key: self._to_resend.pop(key) for key in due}
            self._flush()

    def _discard_old(self, now_s: float) -> None:
        """Keep only what may still hold back a retelling: replicas come and go for months."""
        self._announced_at_s = {
            key: at_s
            for key, at_s in self._announced_at_s.items()
            if now_s - at_s < 2 * RESEND_INTERVAL_S
        }

    def _flush(self) -> None:
        news, self._pending = list(self._pending.values()), {}
        for first in range(0, len(news), MAX_ENTRIES_PER_MESSAGE):
            notes = tuple(
                self._entry_for(replica)
                for replica in news[first : first + MAX_ENTRIES_PER_MESSAGE]
            )
            self._peers.broadcast(ReplicaNotices(self._state.settings.node_id, notes))
        for replica in news:
            key = replica.order_hash
            self._announced_at_s[key] = self._state.clock()
            left = self._resends_left.pop(key, 0)
            if left:
                self._resends_left[key] = left - 1
                self._to_resend[key] = replica

    def _entry_for(self, replica: RelayReplica) -> ReplicaNoticeEntry:
        now_s = self._state.clock()
        notice = replica.notice
        limit = None
        if math.isfinite(notice.limit.received_at_s):
            age_ms = max(0, int((now_s - notice.limit.received_at_s) * 1000))
            limit = LimitEntry(notice.limit.per_s, age_ms)
        backoff_ms = max(0, int((notice.reported_backoff_until_s - now_s) * 1000))
        return ReplicaNoticeEntry(replica.order_hash, notice.draining, backoff_ms, limit)


def _resend_interval_s(replica: RelayReplica) -> float:
    return RESEND_INTERVAL_S + min(
        RESEND_INTERVAL_S, RANK_DELAY_S * replica.notice.limit.position.rank
    )
