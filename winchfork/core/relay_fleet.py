"""All replicas that the platform lists, and which of them answers at each address.

Several incarnations may be listed at one address, of which one answers. The list's order is a doubt
only: an entry may be written late, after its replica has ended and another has been listed there.
An answer from the address is evidence, and decides.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.relay_replica import RelayReplica, ReplicaListing, Standing
from winchfork.core.replica_notice import AnswerNotice, NoticeChange, ReplicaNotice

#: Incarnations that are remembered after they have left the list, since it may bring them back:
#: their place in the order of listing, and what they have said. Several times a fleet of 600.
MOST_GONE = 2048


class StandingCause(enum.Enum):
    """What changed a replica's standing."""

    #: The platform's list says something new of a replica at the address.
    LISTED = "listed"
    #: A replica at the address has gone from the list.
    GONE = "gone"
    #: A replica at the address has said that it leaves.
    DRAINS = "drains"
    #: The replica has answered as itself.
    ANSWERED = "answered"
    #: Another incarnation has answered in the place of the one that was asked.
    OTHER_ANSWERED = "other_answered"


class StandingChange(msgspec.Struct, frozen=True):
    """A replica whose standing has changed; ``by`` is the incarnation in place, if one is known."""

    replica: RelayReplica
    cause: StandingCause
    by: str


class _GoneReplica(msgspec.Struct, frozen=True):
    replica_id: str
    recency: int
    notice: ReplicaNotice


class RelayFleet:
    """All replicas by id. Not thread-safe."""

    def __init__(self) -> None:
        self._replicas: dict[str, RelayReplica] = {}
        self._by_service: dict[str, list[RelayReplica]] = {}
        self._last_recency = 0
        #: Incarnations that have gone, the oldest first.
        self._gone: dict[int, _GoneReplica] = {}
        #: Told of each change of a replica's standing.
        self.on_standing: Callable[[StandingChange], None] = lambda change: None
        #: Called before a decision reads the work on replicas: brings what peers told up to date.
        self.refresh: Callable[[], None] = lambda: None

    def install(self, listing: ReplicaListing) -> RelayReplica:
        """Add a replica or replace what the list says of it, keeping own evidence.

        An entry of an earlier incarnation changes nothing. A later one has to be preceded by
        :meth:`remove`, so that whoever holds beliefs of the earlier one drops them.
        """
        known = self._replicas.get(listing.replica_id)
        if known is not None and listing.is_older_incarnation_of(known.listing):
            return known
        if known is None:
            known = RelayReplica(listing, dict(listing.versions), listing.incarnation)
            # An entry that comes back is no newer than what has been listed there since, and takes
            # nothing back that its replica has said.
            gone = self._gone.pop(listing.incarnation, None)
            known.recency = gone.recency if gone else self._next_recency()
            known.notice = gone.notice if gone else known.notice
            self._replicas[listing.replica_id] = known
        else:
            # An entry that does not say when its replica started is still this incarnation's.
            born_ms = listing.born_ms or known.listing.born_ms
            known.listing = msgspec.structs.replace(listing, born_ms=born_ms)
            for model, version in listing.versions.items():
                known.versions[model] = max(version, known.versions.get(model, 0))
        self._index()
        self._settle(StandingCause.LISTED)
        return known

    def remove(self, replica_id: str) -> RelayReplica | None:
        """Forget a replica; None when it was not known."""
        removed = self._replicas.pop(replica_id, None)
        if removed is not None:
            self._remember(removed)
        self._index()
        self._settle(StandingCause.GONE)
        return removed

    def _remember(self, removed: RelayReplica) -> None:
        self._gone[removed.order_hash] = _GoneReplica(
            removed.replica_id, removed.recency, removed.notice
        )
        if len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]

    def has_gone(self, incarnation: int) -> bool:
        """Whether an incarnation has left the list, as far as remembered."""
        return incarnation in self._gone

    # What replicas say of themselves

    def note_notice(
        self, replica: RelayReplica, notice: AnswerNotice, now_s: float, draw: float
    ) -> NoticeChange:
        """Take in what an answer says of the replica that gave it; ``draw`` is from 0 to 1."""
        change = replica.notice.note(notice, now_s, draw)
        if change is NoticeChange.DRAINING:
            self._settle(StandingCause.DRAINS)
        return change

    def former_notice(self, replica: RelayReplica) -> ReplicaNotice | None:
        """Return what was heard last as said by an earlier incarnation under a replica's id."""
        formers = (gone for gone in reversed(self._gone.values()))
        same_id = (gone for gone in formers if gone.replica_id == replica.replica_id)
        former = next(same_id, None)
        return former.notice if former is not None else None

    # Who answers at an address

    def note_answered(self, replica: RelayReplica) -> None:
        """Record that a replica has answered as itself: others listed at its address are doubted.

        They are not shown to have ended: the answer may have been read late.
        """
        listed = self._replicas.get(replica.replica_id)
        if listed is not None and listed.superseded:
            self._put_in_place(replica.replica_id, replica.listing.address, StandingCause.ANSWERED)

    def note_other_answered(self, asked: RelayReplica, by: str = "") -> None:
        """Record that another incarnation answered at an address, ``by`` if its id is known.

        The one that was asked has ended. Where the id is not known, the next of those that were
        only doubted gets its turn.
        """
        listed = self._replicas.get(asked.replica_id)
        if listed is not None and listed.standing is not Standing.ENDED:
            self._change(listed, Standing.ENDED, StandingCause.OTHER_ANSWERED, by)
        self._put_in_place(by, asked.listing.address, StandingCause.OTHER_ANSWERED)

    def _put_in_place(self, replica_id: str, address: str, cause: StandingCause) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and replica.listing.address == address:
            replica.recency = self._next_recency()
            if replica.standing is Standing.ENDED:
                replica.standing = Standing.DOUBTED
        self._settle(cause)

    def _settle(self, cause: StandingCause) -> None:
        """Take the most recent at each address for the one in place, of those not known to end.

        One whose entry says that it takes no work puts no other out of its place.
        """
        in_place: dict[str, RelayReplica] = {}
        ended = Standing.ENDED
        candidates = [item for item in self._replicas.values() if item.standing is not ended]
        for replica in candidates:
            known = in_place.get(replica.listing.address)
            if replica.wants_work and (known is None or replica.recency > known.recency):
                in_place[replica.listing.address] = replica
        for replica in candidates:
            heir = in_place.get(replica.listing.address, replica)
            standing = Standing.IN_PLACE if heir is replica else Standing.DOUBTED
            if standing is not replica.standing:
                self._change(replica, standing, cause, heir.replica_id)

    def _change(
        self, replica: RelayReplica, standing: Standing, cause: StandingCause, by: str
    ) -> None:
        replica.standing = standing
        self.on_standing(StandingChange(replica, cause, by))

    def _next_recency(self) -> int:
        self._last_recency += 1
        return self._last_recency

    def get(self, replica_id: str) -> RelayReplica | None:
        """Return a replica by id, with the work on it as of now."""
        self.refresh()
        return self._replicas.get(replica_id)

    def holds(self, replica: RelayReplica) -> bool:
        """Whether this very incarnation is listed."""
        return self._replicas.get(replica.replica_id) is replica

    def of_service(self, service: str) -> list[RelayReplica]:
        """Return the service's replicas, ordered by id."""
        return self._by_service.get(service, [])

    def replicas(self) -> Iterable[RelayReplica]:
        """Return every replica."""
        return self._replicas.values()

    def __len__(self) -> int:
        return len(self._replicas)

    def _index(self) -> None:
        by_service: dict[str, list[RelayReplica]] = {}
        for replica_id in sorted(self._replicas):
            replica = self._replicas[replica_id]
            by_service.setdefault(replica.listing.service, []).append(replica)
        self._by_service = by_service
