"""Daemons tell each other the limits that replicas have named to them.

At a large fleet's size nearly every request to a replica is its daemon's first, so daemons have to
know of a limit without an answer of their own; and those that send nothing hear of its end from
those that do. Each word has the age of the answer that it is from, and the newest counts. What is
said again changes nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from winchfork.core.member import MemberStatus
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.request_limit import LimitChange
from winchfork.core.zone_hubs import FleetView
from winchfork.router.limit_book import ToldLimit
from winchfork.router.peer_messages import LimitNote, ReplicaLimits
from winchfork.router.peer_port import PeerPort
from winchfork.router.state import RouterState

#: Changes that are heard within this time share a message.
COLLECT_S = 0.05
#: A limit that goes on being named is told again after this long, for daemons that have just
#: started or have lost a message, and the end of one so often. The first in the order tells it;
#: each place further down waits so much longer for others to tell it, up to a whole such time.
RETELL_S = 2.0
PLACE_DELAY_S = 0.25
END_RETELLS = 2
#: Notes of some 25 bytes in a message, which fits into one packet.
MOST_NOTES = 40


class LimitExchange:
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
        #: Replicas of which something is to be told soon, and whose limits go on being named.
        self._news: dict[int, RelayReplica] = {}
        self._named_again: dict[int, RelayReplica] = {}
        #: Ends that are told again, and how often.
        self._ends: dict[int, int] = {}
        #: When somebody last told everybody of a limit.
        self._told_s: dict[int, float] = {}
        state.limits.on_heard = self._note_heard

    def tick(self, now_s: float) -> None:
        """Share limits among the daemons that work now, and tell again what still holds."""
        view = self._peers.view
        if view is not self._view:
            self._view = view
            leaving = MemberStatus.LEAVING
            working = [item.member_id for item in view.members if item.status < leaving]
            self._state.limits.install_daemons(working, now_s)
        if self._named_again:
            self._tell_again(now_s)

    def _tell_again(self, now_s: float) -> None:
        """Tell of limits that are still named, and of ends, unless somebody just has."""
        due = [
            key
            for key, replica in self._named_again.items()
            if now_s - self._told_s.get(key, -math.inf) >= _retell_s(replica)
        ]
        if due:
            self._news |= {key: self._named_again.pop(key) for key in due}
            self._tell()
        self._told_s = {
            key: at_s for key, at_s in self._told_s.items() if now_s - at_s < 2 * RETELL_S
        }

    def take(self, message: ReplicaLimits) -> None:
        """Take in what a peer has heard."""
        now_s = self._state.clock()
        for note in message.notes:
            self._told_s[note.incarnation] = now_s
            self._named_again.pop(note.incarnation, None)
        told = [
            ToldLimit(note.incarnation, note.per_s, now_s - note.age_ms / 1000.0)
            for note in message.notes
        ]
        self._state.limits.take(message.sender_id, told)

    def _note_heard(self, replica: RelayReplica, change: LimitChange) -> None:
        key = replica.order_hash
        if change is LimitChange.NOTHING:
            self._named_again[key] = replica
            return
        if change is LimitChange.ENDED:
            self._ends[key] = END_RETELLS
        if not self._news:
            self._call_later(COLLECT_S, self._tell)
        self._news[key] = replica

    def _tell(self) -> None:
        news, self._news = list(self._news.values()), {}
        for first in range(0, len(news), MOST_NOTES):
            notes = tuple(self._note(replica) for replica in news[first : first + MOST_NOTES])
            self._peers.tell_everyone(ReplicaLimits(self._state.settings.node_id, notes))
        for replica in news:
            self._told_s[replica.order_hash] = self._state.clock()
            self._keep_end(replica)

    def _keep_end(self, replica: RelayReplica) -> None:
        """Have an end told again, so often."""
        left = self._ends.pop(replica.order_hash, 0)
        if left and replica.notice.limit.per_s is None:
            self._ends[replica.order_hash] = left - 1
            self._named_again[replica.order_hash] = replica

    def _note(self, replica: RelayReplica) -> LimitNote:
        limit = replica.notice.limit
        age_ms = max(0, int((self._state.clock() - limit.heard_s) * 1000))
        return LimitNote(replica.order_hash, limit.per_s, age_ms)


def _retell_s(replica: RelayReplica) -> float:
    return RETELL_S + min(RETELL_S, PLACE_DELAY_S * replica.notice.limit.order.place)
