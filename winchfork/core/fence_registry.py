"""Fencing tokens of leaders, which must increase even when the store's revisions do not.

A leader's fence is the revision of its leader entry. A store restored from a backup begins a new
era with lower revisions than the fences that replicas have seen. A leader then uses the next number
above every fence it knows, and records it beside its entry in the same transaction. The fences of
an era begin above all that earlier ones can have had, since nobody who has seen these may be left.
"""

from __future__ import annotations

from collections import deque

import msgspec

from winchfork.core.store_position import FIRST_ERA, StorePosition

#: Leader entries that are remembered, to distinguish a restored entry from a new one.
MAX_ENTRIES = 16
#: Fences of one era, from its first on; more than the revisions that a store gives out in an era.
FENCES_PER_ERA = 2**32
#: Added to a refused fence, since a replica does not report the higher fence that it has seen.
REFUSED_FENCE_INCREMENT = 1_000


class _RecordedFence(msgspec.Struct, frozen=True):
    """A recorded fence, and the store position at which it was written."""

    position: StorePosition
    fence: int


class FenceRegistry:
    """The leaders' fences that one daemon knows. Not thread-safe."""

    def __init__(self) -> None:
        self._recorded = _RecordedFence(StorePosition(), 0)
        self._entries: deque[StorePosition] = deque(maxlen=MAX_ENTRIES)
        self.highest = 0

    def record_entry(self, entry: StorePosition) -> None:
        """Record the position at which a leader's entry was written."""
        self.highest = max(self.highest, self.fence_of(entry))
        if entry not in self._entries:
            self._entries.append(entry)

    def record_fence(self, position: StorePosition, fence: int) -> None:
        """Record a fence that was read from the store, and the position of its write."""
        if position >= self._recorded.position:
            self._recorded = _RecordedFence(position, fence)
        self.highest = max(self.highest, fence)

    def record_refusal(self, fence: int) -> None:
        """Record that a replica refused ``fence`` because it has seen a higher one."""
        self.highest = max(self.highest, fence + REFUSED_FENCE_INCREMENT)

    def fence_of(self, entry: StorePosition) -> int:
        """Return the fence of the leader whose entry was written at ``entry``."""
        recorded = self._recorded
        is_before = recorded.position.era == entry.era and recorded.position <= entry
        return max(entry.revision, recorded.fence if is_before else 0)

    def fence_to_record(self, known: StorePosition) -> int | None:
        """Return the fence to record with an entry that is written after ``known``.

        None where the entry's own revision is high enough.
        """
        fence = max(self.highest + 1, _first_fence(known.era))
        return fence if fence > known.revision + 1 else None

    def is_restored(self, entry: StorePosition) -> bool:
        """Whether an entry was restored: it is known from an era before ``entry.era``."""
        return any(
            known.revision == entry.revision and known.era < entry.era for known in self._entries
        )


def _first_fence(era: int) -> int:
    """Return the first fence of an era; 0 in the first one, and where the store names none."""
    return max(0, era - FIRST_ERA) * FENCES_PER_ERA
