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
from winchfork.router.limit_book import ToldLimit
from winchfork.router.peer_messages import LimitNote, NoticeNote, ReplicaNotices
from winchfork.router.peer_port import PeerPort
from winchfork.router.state import RouterState

#: Words that are heard within this time share a message.
COLLECT_S = 0.05
#: A limit that goes on being named is told again after this long, for daemons that have just
#: started or have lost a message, and any other word so often. The first in the order tells a
#: limit; each place further down waits so much longer for others to tell it, up to a whole such
#: time.
RETELL_S = 2.0
RETELLS = 2
PLACE_DELAY_S = 0.25
#: Notes of some 30 bytes in a message, which fits into one packet.
MOST_NOTES = 40


class NoticeExchange:
    """This daemon's part in the exchange."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerPort,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._state = state
        self._peers = peers
        self._call_later = call_later
        self._view: FleetView | None = None
        #: Replicas of which something is to be told soon, or again later.
        self._news: dict[int, RelayReplica] = {}
        self._again: dict[int, RelayReplica] = {}
        #: How often a word is told again that nobody repeats.
        self._retells: dict[int, int] = {}
        #: When somebody last told everybody of a replica.
        self._told_s: dict[int, float] = {}
        state.limits.settle_from(state.clock())
        state.limits.on_heard = self._note_limit
        state.notices.on_heard = self._note_pause

    def tick(self, now_s: float) -> None:
        """Share limits among the daemons that work now, and tell again what still holds."""
        view = self._peers.view
        if view is not self._view:
            self._view = view
            leaving = MemberStatus.LEAVING
            zones = {item.member_id: item.zone for item in view.members if item.status < leaving}
            self._state.limits.install_daemons(zones, now_s)
        if self._again:
            self._tell_again(now_s)
        if self._told_s:
            self._forget_old(now_s)

    def take(self, message: ReplicaNotices) -> None:
        """Take in what a peer has heard."""
        now_s = self._state.clock()
        by_incarnation = {item.order_hash: item for item in self._state.fleet.replicas()}
        for note in message.notes:
            self._told_s[note.incarnation] = now_s
            self._again.pop(note.incarnation, None)
            replica = by_incarnation.get(note.incarnation)
            if replica is not None:
                self._take_note(message.sender_id, replica, note)

    def _take_note(self, sender_id: str, replica: RelayReplica, note: NoticeNote) -> None:
        pause = ReportedPause(note.draining, note.backoff_ms / 1000.0)
        if not pause.is_empty:
            self._state.notices.take(sender_id, replica, pause)
        if note.limit is not None:
            heard_s = self._state.clock() - note.limit.age_ms / 1000.0
            self._state.limits.take(sender_id, replica, ToldLimit(note.limit.per_s, heard_s))

    # What this daemon hears itself

    def _note_limit(self, replica: RelayReplica, change: LimitChange) -> None:
        if change is LimitChange.NOTHING:
            self._again[replica.order_hash] = replica
        else:
            self._add_news(replica, RETELLS if change is LimitChange.ENDED else 0)

    def _note_pause(self, replica: RelayReplica) -> None:
        now_s = self._state.clock()
        if replica.notice.draining or replica.notice.reported_backoff_until_s > now_s:
            self._add_news(replica, RETELLS)

    def _add_news(self, replica: RelayReplica, retells: int) -> None:
        self._retells[replica.order_hash] = retells
        if not self._news:
            self._call_later(COLLECT_S, self._tell)
        self._news[replica.order_hash] = replica

    # Telling

    def _tell_again(self, now_s: float) -> None:
        """Tell what still holds, unless somebody just has."""
        due = [
            key
            for key, replica in self._again.items()
            if now_s - self._told_s.get(key, -math.inf) >= _retell_s(replica)
        ]
        if due:
            self._news |= {key: self._again.pop(key) for key in due}
            self._tell()

    def _forget_old(self, now_s: float) -> None:
        """Keep only what may still hold back a retelling: replicas come and go for months."""
        self._told_s = {
            key: at_s for key, at_s in self._told_s.items() if now_s - at_s < 2 * RETELL_S
        }

    def _tell(self) -> None:
        news, self._news = list(self._news.values()), {}
        for first in range(0, len(news), MOST_NOTES):
            notes = tuple(self._note(replica) for replica in news[first : first + MOST_NOTES])
            self._peers.tell_everyone(ReplicaNotices(self._state.settings.node_id, notes))
        for replica in news:
            key = replica.order_hash
            self._told_s[key] = self._state.clock()
            left = self._retells.pop(key, 0)
            if left:
                self._retells[key] = left - 1
                self._again[key] = replica

    def _note(self, replica: RelayReplica) -> NoticeNote:
        now_s = self._state.clock()
        notice = replica.notice
        limit = None
        if math.isfinite(notice.limit.received_at_s):
            age_ms = max(0, int((now_s - notice.limit.received_at_s) * 1000))
            limit = LimitNote(notice.limit.per_s, age_ms)
        backoff_ms = max(0, int((notice.reported_backoff_until_s - now_s) * 1000))
        return NoticeNote(replica.order_hash, notice.draining, backoff_ms, limit)


def _retell_s(replica: RelayReplica) -> float:
    return RETELL_S + min(RETELL_S, PLACE_DELAY_S * replica.notice.limit.position.rank)
