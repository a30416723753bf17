"""Reads and writes the leader's entry in the store, and the fencing token recorded with it."""

from __future__ import annotations

from winchfork.core.fence_registry import FenceRegistry
from winchfork.core.store_position import StorePosition
from winchfork.decoding import read_count
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.stores.async_key_value import (
    AsyncKeyValueStore,
    ExpectedRevision,
    PutItem,
    StoreLease,
    StoreSnapshot,
)

LEADER_KEY = "winchfork/leader"
#: Entry that records a fence, written in the same transaction as the leader's entry.
FENCE_KEY = "winchfork/fence"


class LeaderEntry:
    """Writes the leader's entry for one daemon, and keeps the fences that it knows."""

    def __init__(self, store: AsyncKeyValueStore, own_id: str) -> None:
        self._store = store
        self._own_value = own_id.encode()
        self.fences = FenceRegistry()

    def record_fence(self, position: StorePosition, value: bytes) -> None:
        """Record the fence written at a position; ignore a value that is no number or too long."""
        fence = read_count(value)
        if fence is not None:
            self.fences.record_fence(position, fence)

    async def write(
        self, lease: StoreLease, expected: int, newest_known: StorePosition
    ) -> StorePosition | Failure:
        """Write the entry under a lease if its revision is ``expected`` (0: there is no entry).

        ``newest_known`` is the newest known position of the entry. Returns the position that was
        written, or a Failure.
        """
        puts = []
        is_of_era = newest_known.era == lease.era
        fence = self.fences.fence_to_record(newest_known if is_of_era else StorePosition(lease.era))
        if fence is not None:
            puts.append(PutItem(FENCE_KEY, str(fence).encode()))
        # Must come last: a store with a revision for each entry of a transaction returns the last.
        puts.append(PutItem(LEADER_KEY, self._own_value, lease.lease_id))
        written = await self._store.transact([ExpectedRevision(LEADER_KEY, expected)], puts)
        if isinstance(written, Failure):
            # If the write took effect nevertheless, the lease expires since nobody renews it.
            log_event("leadership_not_taken", reason=str(written))
            return written
        if fence is not None:
            self.fences.record_fence(written, fence)
        return written

    async def find_replaceable(self) -> int | Failure | None:
        """Return the revision of the entry that a former leader may replace; 0 if there is none.

        Returns None if the entry is another daemon's and not known to be restored from a backup,
        and a Failure if the store cannot be read.
        """
        snapshot = await self._store.list(LEADER_KEY)
        if isinstance(snapshot, Failure):
            return snapshot
        return self._replaceable(snapshot)

    def _replaceable(self, snapshot: StoreSnapshot) -> int | None:
        entries = [item for item in snapshot.items if item.key == LEADER_KEY]
        if not entries:
            return 0
        position = StorePosition(snapshot.position.era, entries[0].revision)
        is_own = entries[0].value == self._own_value
        return position.revision if is_own or self.fences.is_restored(position) else None
