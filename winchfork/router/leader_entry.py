"""The leader's entry in the store: who may write it in whose place, and the fence beside it."""

from __future__ import annotations

from winchfork.core.fence_registry import FenceRegistry
from winchfork.core.store_position import StorePosition
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
#: Holds the fence of the entry that was written together with it.
FENCE_KEY = "winchfork/fence"
#: The wire's numbers fit into 53 bits.
_MAX_FENCE_DIGITS = 15


class LeaderEntry:
    """One daemon's way to the entry, and the fences that it knows."""

    def __init__(self, store: AsyncKeyValueStore, own_id: str) -> None:
        self._store = store
        self._own_value = own_id.encode()
        self.fences = FenceRegistry()

    def record_fence(self, position: StorePosition, value: bytes) -> None:
        """Take in what was recorded at a position; anything but a number means nothing."""
        if value.isdigit() and len(value) <= _MAX_FENCE_DIGITS:
            self.fences.record_fence(position, int(value))

    async def write(
        self, lease: StoreLease, expected: int, newest_known: StorePosition
    ) -> StorePosition | Failure:
        """Write the entry under a lease, in the place of the one at a revision (0: of none).

        ``heard`` is the newest that is known of the entry.
        """
        puts = []
        is_of_era = newest_known.era == lease.era
        fence = self.fences.fence_to_record(newest_known if is_of_era else StorePosition(lease.era))
        if fence is not None:
            puts.append(PutItem(FENCE_KEY, str(fence).encode()))
        # Last: where each entry of a transaction has a revision of its own, the answer names this.
        puts.append(PutItem(LEADER_KEY, self._own_value, lease.lease_id))
        taken = await self._store.transact([ExpectedRevision(LEADER_KEY, expected)], puts)
        if isinstance(taken, Failure):
            # If it took effect unheard, nobody renews the lease and it runs out by itself.
            log_event("leadership_not_taken", reason=str(taken))
            return taken
        if fence is not None:
            self.fences.record_fence(taken, fence)
        return taken

    async def find_replaceable(self) -> int | Failure | None:
        """Return the revision of the entry that a former holder may replace; 0 where there is none.

        None: a new holder has written it since the store's return.
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
