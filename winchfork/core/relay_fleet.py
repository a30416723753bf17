"""The replicas that the platform lists, and the current incarnation at each address.

Several incarnations may be listed at one address, of which only one answers. The most recently
listed one is assumed to be current; entries may be written late, though, so an answer from the
address takes precedence.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.relay_replica import IncarnationState, RelayReplica, ReplicaListing
from winchfork.core.replica_notice import AnswerNotice, NoticeChange, ReplicaNotice
from winchfork.core.unlisted_software import unlisted_incarnation

#: Number of removed incarnations whose recency and notice are retained, in case they are listed
#: again; several times a fleet of 600 replicas.
MAX_REMOVED = 2048


class IncarnationChangeCause(enum.Enum):
    """What changed a replica's incarnation state."""

    #: The platform added or changed the entry of a replica at the address.
    LISTED = "listed"
    #: The platform removed the entry of a replica at the address.
    REMOVED = "gone"
    #: A replica at the address has announced that it is draining.
    DRAINING = "drains"
    #: The incarnation to which the request was addressed has answered.
    ANSWERED = "answered"
    #: An incarnation other than the one to which the request was addressed has answered.
    OTHER_ANSWERED = "other_answered"


class IncarnationChange(msgspec.Struct, frozen=True):
    """A replica whose incarnation state has changed.

    ``current_id`` is the id of the current incarnation at its address; empty if not known.
    """

    replica: RelayReplica
    cause: IncarnationChangeCause
    current_id: str


class _RemovedReplica(msgspec.Struct, frozen=True):
    replica_id: str
    recency: int
    notice: ReplicaNotice
    has_answered: bool
    listing: ReplicaListing


class RelayFleet:
    """All listed replicas by id. Not thread-safe."""

    def __init__(self) -> None:
        self._replicas: dict[str, RelayReplica] = {}
        self._by_service: dict[str, list[RelayReplica]] = {}
        self._last_recency = 0
        #: Removed incarnations, the least recently removed first.
        self._removed: dict[int, _RemovedReplica] = {}
        #: Called on each change of a replica's incarnation state.
        self.on_incarnation_change: Callable[[IncarnationChange], None] = lambda change: None
        #: Called before the load of replicas is read, to update the load that peers reported.
        self.refresh: Callable[[], None] = lambda: None

    def install(self, listing: ReplicaListing) -> RelayReplica:
        """Add a replica or replace its listing, keeping this daemon's own measurements.

        An entry of an earlier incarnation changes nothing. Before a later incarnation is installed,
        the caller has to :meth:`remove` the earlier one, so that all state about it is dropped.
        """
        known = self._replicas.get(listing.replica_id)
        if known is not None and listing.is_older_incarnation_of(known.listing):
            return known
        if known is None:
            known = RelayReplica(listing, dict(listing.versions), listing.incarnation)
            # An incarnation that is listed again is no newer than what was listed there since, and
            # revokes nothing that its replica has announced: it keeps its recency and its notice.
            removed = self._removed.pop(listing.incarnation, None)
            known.recency = removed.recency if removed else self._next_recency()
            known.notice = removed.notice if removed else known.notice
            former = removed or self._last_removed(listing.replica_id)
            if former is not None:
                known.answered_before_restart = former.has_answered
            self._replicas[listing.replica_id] = known
        else:
            # An entry without a start time belongs to the known incarnation.
            started_at_ms = listing.started_at_ms or known.listing.started_at_ms
            known.listing = msgspec.structs.replace(listing, started_at_ms=started_at_ms)
            for model, version in listing.versions.items():
                known.versions[model] = max(version, known.versions.get(model, 0))
        self._index()
        self._update_state(IncarnationChangeCause.LISTED)
        return known

    def remove(self, replica_id: str) -> RelayReplica | None:
        """Remove a replica and return it; None when it was not listed."""
        removed = self._replicas.pop(replica_id, None)
        if removed is not None:
            self._retain(removed)
        self._index()
        self._update_state(IncarnationChangeCause.REMOVED)
        return removed

    def _retain(self, removed: RelayReplica) -> None:
        self._removed[removed.incarnation_hash] = _RemovedReplica(
            removed.replica_id,
            removed.recency,
            removed.notice,
            bool(removed.latency_at_s) or removed.answered_before_restart,
            removed.listing,
        )
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def was_removed(self, incarnation: int) -> bool:
        """Whether an incarnation was removed; False for those no longer retained."""
        return incarnation in self._removed

    # Notices

    def record_notice(
        self, replica: RelayReplica, notice: AnswerNotice, now_s: float, jitter: float
    ) -> NoticeChange:
        """Record the notice of an answer; ``jitter`` is a random number from 0 to 1."""
        change = replica.notice.record(notice, now_s, jitter)
        if change is NoticeChange.DRAINING:
            self._update_state(IncarnationChangeCause.DRAINING)
        return change

    def previous_notice(self, replica: RelayReplica) -> ReplicaNotice | None:
        """Return the notice of the most recently removed incarnation with the replica's id."""
        previous = self._last_removed(replica.replica_id)
        return previous.notice if previous is not None else None

    def _last_removed(self, replica_id: str) -> _RemovedReplica | None:
        newest_first = reversed(self._removed.values())
        return next((item for item in newest_first if item.replica_id == replica_id), None)

    # Incarnation states

    def record_answer(self, replica: RelayReplica) -> None:
        """Record that a replica has answered; others listed at its address become suspect.

        They are not marked as ended, because the answer may be processed late.
        """
        listed = self._replicas.get(replica.replica_id)
        if listed is not None and listed.superseded:
            self._mark_current(
                replica.replica_id, replica.listing.address, IncarnationChangeCause.ANSWERED
            )

    def record_other_answered(self, asked: RelayReplica, answering_id: str = "") -> None:
        """Record that another incarnation than ``asked`` answered at its address.

        ``asked`` is marked as ended. ``answering_id`` becomes current; if it is empty or not listed
        at that address, the most recent incarnation there that has not ended does.
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
        """Mark the most recent incarnation at each address as current, the others as suspect.

        Ended incarnations are skipped. One that is not in service does not supersede another.
        """
        current_by_address: dict[str, RelayReplica] = {}
        ended = IncarnationState.ENDED
        candidates = [
            item for item in self._replicas.values() if item.incarnation_state is not ended
        ]
        for replica in candidates:
            known = current_by_address.get(replica.listing.address)
            if replica.is_in_service and (known is None or replica.recency > known.recency):
                current_by_address[replica.listing.address] = replica
        for replica in candidates:
            current = current_by_address.get(replica.listing.address, replica)
            state = IncarnationState.CURRENT if current is replica else IncarnationState.SUSPECT
            if state is not replica.incarnation_state:
                self._set_state(replica, state, cause, current.replica_id)

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
        """Return a replica by id, with up-to-date load; None if it is not listed."""
        self.refresh()
        return self._replicas.get(replica_id)

    def resolve_software(self, software: str) -> str:
        """Return the version that an incarnation without an entry turned out to run.

        Any other version is returned as it is, and so is the name while the entry is not known.
        """
        unlisted = unlisted_incarnation(software)
        if unlisted is None or not unlisted.started_at_ms:
            return software
        listed = self._replicas.get(unlisted.replica_id)
        if listed is not None and listed.listing.started_at_ms == unlisted.started_at_ms:
            return listed.listing.software
        for removed in reversed(self._removed.values()):
            listing = removed.listing
            if (listing.replica_id, listing.started_at_ms) == (
                unlisted.replica_id,
                unlisted.started_at_ms,
            ):
                return listing.software
        return software

    def is_listed(self, replica: RelayReplica) -> bool:
        """Whether this incarnation is listed."""
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
