"""Books the limits that replicas name, from this daemon's own answers and from what peers tell.

What peers tell is advice, and a false word must not empty a service: as long as one peer alone
names limits, that counts for up to half of a service's replicas. What this daemon has heard itself,
or two peers have, counts for all.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

import msgspec

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import rendezvous_rank
from winchfork.core.request_limit import SETTLE_S, LimitChange, LimitOrder
from winchfork.logs import log_event
from winchfork.router.line_limit import LineLimit

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: Peers whose word on a limit counts for any number of replicas.
CONFIRMING_PEERS = 2
#: Part of a service's replicas that one peer alone may tell the limits of.
MOST_HEARSAY_SHARE = 0.5


class ToldLimit(msgspec.Struct, frozen=True):
    """What a peer has heard of a replica's limit; ``per_s`` None: it has ended."""

    incarnation: int
    per_s: float | None
    heard_s: float


class LimitBook:
    """The limits of all replicas, on the beliefs of one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._lines = LineLimit()
        #: The daemons that share limits, and when they last changed.
        self._daemons: tuple[str, ...] = (state.settings.node_id,)
        self._changed_s = -math.inf
        #: The peers that name a limit of which this daemon has heard nothing itself.
        self._tellers: dict[int, set[str]] = {}
        #: Replicas that have named a limit, by incarnation; some may have ended it, or be gone.
        self._named: dict[int, RelayReplica] = {}
        #: Told of each limit that one of this daemon's own answers began, changed or ended, and of
        #: each answer that named one again.
        self.on_heard: Callable[[RelayReplica, LimitChange], None] = lambda replica, change: None

    def limited(self, service: str) -> list[RelayReplica]:
        """Return the service's replicas that have named a limit."""
        return [replica for replica in self._all() if replica.listing.service == service]

    def known(self) -> dict[str, float]:
        """Return the limit of each replica that names one, in requests a second."""
        return {replica.replica_id: replica.notice.limit.per_s or 0.0 for replica in self._all()}

    def _all(self) -> list[RelayReplica]:
        fleet = self._state.fleet
        return [
            replica
            for replica in self._named.values()
            if replica.notice.limit.per_s is not None and fleet.holds(replica)
        ]

    def note_listed(self, replica: RelayReplica) -> None:
        """Take in that a replica is listed, perhaps again, with what it had said before."""
        if replica.notice.limit.per_s is not None:
            self.assign(replica)

    # Own answers

    def note_named(self, replica: RelayReplica, per_s: float) -> None:
        """Take in that an answer of a replica names a limit."""
        limit = replica.notice.limit
        was_per_s = limit.per_s
        change = limit.name(per_s, self._state.clock())
        self._tellers.pop(replica.order_hash, None)
        self._after(replica, change, was_per_s)
        self.on_heard(replica, change)

    def note_answer(self, replica: RelayReplica, sent_s: float) -> None:
        """Take in that the answer to a request that was sent then names no limit."""
        limit = replica.notice.limit
        if not limit.may_be_ended_by_answer(sent_s):
            return
        was_per_s = limit.per_s
        change = limit.end(self._state.clock())
        self._after(replica, change, was_per_s)
        self.on_heard(replica, change)

    # Peers

    def take(self, sender_id: str, told: Iterable[ToldLimit]) -> None:
        """Take in what a peer has heard."""
        by_incarnation = {item.order_hash: item for item in self._state.fleet.replicas()}
        for word in told:
            replica = by_incarnation.get(word.incarnation)
            if replica is not None:
                self._take(sender_id, replica, word)

    def _take(self, sender_id: str, replica: RelayReplica, word: ToldLimit) -> None:
        limit = replica.notice.limit
        was_per_s = limit.per_s
        if word.per_s is None:
            self._after(replica, limit.end(word.heard_s), was_per_s, sender_id)
        elif self._is_credible(sender_id, replica):
            change = limit.name(word.per_s, word.heard_s)
            self._after(replica, change, was_per_s, sender_id)

    def _is_credible(self, sender_id: str, replica: RelayReplica) -> bool:
        """Whether to heed a peer that names a limit; its word is kept until another confirms it."""
        limit = replica.notice.limit
        key = replica.order_hash
        if limit.per_s is not None and key not in self._tellers:
            return True
        tellers = self._tellers.setdefault(key, set())
        tellers.add(sender_id)
        if limit.per_s is not None or len(tellers) >= CONFIRMING_PEERS:
            return True
        service = replica.listing.service
        hearsay = sum(
            len(self._tellers.get(other.order_hash, ())) == 1 for other in self.limited(service)
        )
        return hearsay + 1 <= MOST_HEARSAY_SHARE * len(self._state.fleet.of_service(service))

    # Who may send

    def install_daemons(self, daemons: Sequence[str], now_s: float) -> None:
        """Share limits among these daemons from now on."""
        ordered = tuple(sorted(daemons))
        if ordered == self._daemons:
            return
        self._daemons = ordered
        self._changed_s = now_s
        self._named = {replica.order_hash: replica for replica in self._all()}
        for replica in self._named.values():
            self.assign(replica)

    def assign(self, replica: RelayReplica) -> None:
        """Give this daemon its place among those that may send to a limited replica."""
        self._named[replica.order_hash] = replica
        order = rendezvous_rank(replica.order_hash, self._daemons)
        own_id = self._state.settings.node_id
        # One that is not counted, since it stops, comes last.
        place = order.index(own_id) if own_id in order else len(order)
        replica.notice.limit.take_place(LimitOrder(place, len(order)), self._changed_s + SETTLE_S)

    def _after(
        self,
        replica: RelayReplica,
        change: LimitChange,
        was_per_s: float | None,
        told_by: str | None = None,
    ) -> None:
        """Do what follows from a change, and log it."""
        if change is LimitChange.NOTHING:
            return
        if change is LimitChange.ENDED:
            self._tellers.pop(replica.order_hash, None)
        else:
            self.assign(replica)
        self._state.metrics.notices.labels(f"limit_{change.value}").inc()
        if not self._lines.allows(self._state.clock()):
            return
        limit = replica.notice.limit
        log_event(
            "replica_limit",
            replica=replica.replica_id,
            change=change.value,
            per_s=limit.per_s,
            was_per_s=was_per_s,
            told_by=told_by,
            place=limit.order.place,
            holders=limit.holders,
            in_flight=replica.in_flight,
        )
