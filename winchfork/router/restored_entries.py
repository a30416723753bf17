"""Holds back outdated replica entries after the store was restored from a backup.

The first list of an era may contain entries that are seconds old. An entry from before its replica
began to drain is ignored. An entry of a replica that was already removed is applied once it is
written again, or if it still exists after the time in which a dead replica's entry would expire.
"""

from __future__ import annotations

import math

import msgspec

from winchfork.core.relay_fleet import RelayFleet
from winchfork.core.relay_replica import ReplicaListing
from winchfork.logs import log_event

#: Covers the expiry of an entry after three missed heartbeats of 1.2 s, and 2 s to write it again.
HELD_BACK_S = 6.0


class _HeldBack(msgspec.Struct, frozen=True):
    listing: ReplicaListing
    revision: int
    until_s: float


class RestoredEntries:
    """The entries that are held back, by replica id. Not thread-safe."""

    def __init__(self, fleet: RelayFleet) -> None:
        self._fleet = fleet
        self._held_back: dict[str, _HeldBack] = {}

    def hold_back(self, listing: ReplicaListing, revision: int, now_s: float) -> bool:
        """Hold back an entry that is older than the known state; False if it is to be applied."""
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
        """Drop the held-back entry of a replica, if there is one."""
        self._held_back.pop(replica_id, None)

    def pop_due(self, now_s: float) -> list[tuple[ReplicaListing, int]]:
        """Remove and return the entries whose time is over, with their revisions."""
        due = [item for item in self._held_back.values() if now_s >= item.until_s]
        for item in due:
            self.forget(item.listing.replica_id)
        return [(item.listing, item.revision) for item in due]

    def _held_back_s(self, listing: ReplicaListing) -> float:
        known = self._fleet.get(listing.replica_id)
        if known is not None and known.listing.incarnation == listing.incarnation:
            is_outdated = listing.accepting and not known.listing.accepting
            return math.inf if is_outdated else 0.0
        return HELD_BACK_S if self._fleet.was_removed(listing.incarnation) else 0.0
