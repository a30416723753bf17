"""Replicas' entries that a copy of the store has brought back, against what is known to be later.

The first list of an era may hold replicas as they were seconds ago. One that has said that it
leaves never takes work again; one that has gone is believed when it writes itself anew, or when
its entry is still there after the time in which a dead one's would have lapsed.
"""

from __future__ import annotations

import math

import msgspec

from winchfork.core.relay_fleet import RelayFleet
from winchfork.core.relay_replica import ReplicaListing
from winchfork.logs import log_event

#: An entry lapses after three heartbeats of silence, of 1.2 s as operators have them; its replica
#: has two seconds to write it again.
HELD_BACK_S = 6.0


class _HeldBack(msgspec.Struct, frozen=True):
    listing: ReplicaListing
    revision: int
    until_s: float


class RestoredEntries:
    """Entries that are held back, by the replica's id. Not thread-safe."""

    def __init__(self, fleet: RelayFleet) -> None:
        self._fleet = fleet
        self._held_back: dict[str, _HeldBack] = {}

    def hold_back(self, listing: ReplicaListing, revision: int, now_s: float) -> bool:
        """Hold an entry back that is older than what is known; False when it may be believed."""
        self.forget(listing.replica_id)
        for_s = self._held_back_s(listing)
        if not for_s:
            return False
        self._held_back[listing.replica_id] = _HeldBack(listing, revision, now_s + for_s)
        log_event(
            "replica_entry_held_back",
            "WARNING",
            replica=listing.replica_id,
            for_s=for_s if math.isfinite(for_s) else None,
            revision=revision,
        )
        return True

    def forget(self, replica_id: str) -> None:
        """The entry has been written again, or has gone."""
        self._held_back.pop(replica_id, None)

    def pop_due(self, now_s: float) -> list[tuple[ReplicaListing, int]]:
        """Return the entries that are believed after all, with their revisions."""
        due = [item for item in self._held_back.values() if now_s >= item.until_s]
        for item in due:
            self.forget(item.listing.replica_id)
        return [(item.listing, item.revision) for item in due]

    def _held_back_s(self, listing: ReplicaListing) -> float:
        known = self._fleet.get(listing.replica_id)
        if known is not None and known.listing.incarnation == listing.incarnation:
            is_back = listing.accepting and not known.listing.accepting
            return math.inf if is_back else 0.0
        return HELD_BACK_S if self._fleet.was_removed(listing.incarnation) else 0.0
