"""All replicas that the platform lists, and which of them answers at each address.

Several incarnations may be listed at one address, of which one answers. The list's order is a doubt
only: an entry may be written late, after its replica has ended and another has been listed there.
An answer from the address is evidence, and decides.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.relay_replica import IncarnationState, RelayReplica, ReplicaListing
from winchfork.core.replica_notice import AnswerNotice, NoticeChange, ReplicaNotice

#: Incarnations that are remembered after they have left the list, since it may bring them back:
#: their place in the order of listing, and what they have said. Several times a fleet of 600.
MAX_REMOVED = 2048


class IncarnationChangeCause(enum.Enum):
    """What changed a replica's standing."""

    #: The platform's list says something new of a replica at the address.
    LISTED = "listed"
    #: A replica at the address has gone from the list.
    REMOVED = "gone"
    #: A replica at the address has said that it leaves.
    DRAINING = "drains"
    #: The replica has answered as itself.
    ANSWERED = "answered"
    #: Another incarnation has answered in the place of the one that was asked.
    OTHER_ANSWERED = "other_answered"


class IncarnationChange(msgspec.Struct, frozen=True):
    """A replica whose standing has changed; ``by`` is the incarnation in place, if one is known."""

    replica: RelayReplica
    cause: IncarnationChangeCause
    current_id: str


class _RemovedReplica(msgspec.Struct, frozen=True):
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
        self._removed: dict[int, _RemovedReplica] = {}
        #: Told of each change of a replica's standing.
        self.on_incarnation_change: Callable[[IncarnationChange], None] = lambda change: None
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
            gone = self._removed.pop(listing.incarnation, None)
            known.recency = gone.recency if gone else self._next_recency()
            known.notice = gone.notice if gone else known.notice
            self._replicas[listing.replica_id] = known
        else:
            # An entry that does not say when its replica started is still this incarnation's.
            born_ms = listing.started_at_ms or known.listing.started_at_ms
            known.listing = msgspec.structs.replace(listing, started_at_ms=born_ms)
            for model, version in listing.versions.items():
                known.versions[model] = max(version, known.versions.get(model, 0))
        self._index()
        self._update_state(IncarnationChangeCause.LISTED)
        return known

    def remove(self, replica_id: str) -> RelayReplica | None:
        """Forget a replica; None when it was not known."""
        removed = self._replicas.pop(replica_id, None)
        if removed is not None:
            self._remember(removed)
        self._index()
        self._update_state(IncarnationChangeCause.REMOVED)
        return removed

    def _remember(self, removed: RelayReplica) -> None:
        self._removed[removed.order_hash] = _RemovedReplica(
            removed.replica_id, removed.recency, removed.notice
        )
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def was_removed(self, incarnation: int) -> bool:
        """Whether an incarnation has left the list, as far as remembered."""
        return incarnation in self._removed

    # What replicas say of themselves

    def record_notice(
        self, replica: RelayReplica, notice: AnswerNotice, now_s: float, jitter: float
    ) -> NoticeChange:
        """Take in what an answer says of the replica that gave it; ``draw`` is from 0 to 1."""
        change = replica.notice.record(notice, now_s, jitter)
        if change is NoticeChange.DRAINING:
            self._update_state(IncarnationChangeCause.DRAINING)
        return change

    def previous_notice(self, replica: RelayReplica) -> ReplicaNotice | None:
        """Return what was heard last as said by an earlier incarnation under a replica's id."""
        formers = (gone for gone in reversed(self._removed.values()))
        same_id = (gone for gone in formers if gone.replica_id == replica.replica_id)
        former = next(same_id, None)
        return former.notice if former is not None else None

    # Who answers at an address

    def record_answer(self, replica: RelayReplica) -> None:
        """Record that a replica has answered as itself: others listed at its address are doubted.

        They are not shown to have ended: the answer may have been read late.
        """
        listed = self._replicas.get(replica.replica_id)
        if listed is not None and listed.superseded:
            self._mark_current(
                replica.replica_id, replica.listing.address, IncarnationChangeCause.ANSWERED
            )

    def record_other_answered(self, asked: RelayReplica, answering_id: str = "") -> None:
        """Record that another incarnation answered at an address, ``by`` if its id is known.

        The one that was asked has ended. Where the id is not known, the next of those that were
        only doubted gets its turn.
        """
        listed = self._replicas.get(asked.replica_id)
        if listed is not None and listed.incarnation_state is not IncarnationState.ENDED:
            self._set_state(
                listed, IncarnationState.ENDED, IncarnationChangeCause.OTHER_ANSWERED, answering_id
            )
        self._mark_current(
            answering_id, asked.listing.address, IncarnationChangeCause.OTHER_ANSWERED
        )

    def _mark_current(self, replica_id: str, address: str, cause: IncarnationChangeCause) -> None:
        replica = self._replicas.get(replica_id)
        if replica is not None and replica.listing.address == address:
            replica.recency = self._next_recency()
            if replica.incarnation_state is IncarnationState.ENDED:
                replica.incarnation_state = IncarnationState.SUSPECT
        self._update_state(cause)

    def _update_state(self, cause: IncarnationChangeCause) -> None:
        """Take the most recent at each address for the one in place, of those not known to end.

        One whose entry says that it takes no work puts no other out of its place.
        """
        in_place: dict[str, RelayReplica] = {}
        ended = IncarnationState.ENDED
        candidates = [
            item for item in self._replicas.values() if item.incarnation_state is not ended
        ]
        for replica in candidates:
            known = in_place.get(replica.listing.address)
            if replica.is_in_service and (known is None or replica.recency > known.recency):
                in_place[replica.listing.address] = replica
        for replica in candidates:
            heir = in_place.get(replica.listing.address, replica)
            standing = IncarnationState.CURRENT if heir is replica else IncarnationState.SUSPECT
            if standing is not replica.incarnation_state:
                self._set_state(replica, standing, cause, heir.replica_id)

    def _set_state(
        self,
        replica: RelayReplica,
        state: IncarnationState,
        cause: IncarnationChangeCause,
        current_id: str,
    ) -> None:
        replica.incarnation_state = state
        self.on_incarnation_change(IncarnationChange(replica, cause, current_id))

    def _next_recency(self) -> int:
        self._last_recency += 1
        return self._last_recency

    def get(self, replica_id: str) -> RelayReplica | None:
        """Return a replica by id, with the work on it as of now."""
        self.refresh()
        return self._replicas.get(replica_id)

    def is_listed(self, replica: RelayReplica) -> bool:
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
