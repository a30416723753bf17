"""Which fence each holder of the leadership acts under, so that fences rise over the store's eras.

A holder's fence is the revision of its entry. A store that has come back from a copy gives out
lower revisions than the fences that replicas have seen; a holder then takes the next number above
every fence it knows, and records it beside its entry in the same transaction.
"""

from __future__ import annotations

from collections import deque

import msgspec

from winchfork.core.store_position import StorePosition

#: Entries of holders that are remembered, to tell one that came back from one that is new.
MAX_ENTRIES = 16
#: A replica that has seen a higher fence does not say which: the next is this much higher.
REFUSED_FENCE_INCREMENT = 1_000


class _RecordedFence(msgspec.Struct, frozen=True):
    """The fence that was written together with a holder's entry, no later than it."""

    position: StorePosition
    fence: int


class FenceRegistry:
    """What one daemon knows of holders' fences. Not thread-safe."""

    def __init__(self) -> None:
        self._recorded = _RecordedFence(StorePosition(), 0)
        self._entries: deque[StorePosition] = deque(maxlen=MAX_ENTRIES)
        self.highest = 0

    def record_entry(self, entry: StorePosition) -> None:
        """Take in where a holder's entry was written."""
        self.highest = max(self.highest, self.fence_of(entry))
        if entry not in self._entries:
            self._entries.append(entry)

    def record_fence(self, position: StorePosition, fence: int) -> None:
        """Take in a recorded fence and where it was written."""
        if position >= self._recorded.position:
            self._recorded = _RecordedFence(position, fence)
        self.highest = max(self.highest, fence)

    def record_refusal(self, fence: int) -> None:
        """A replica has seen a higher fence than this one."""
        self.highest = max(self.highest, fence + REFUSED_FENCE_INCREMENT)

    def fence_of(self, entry: StorePosition) -> int:
        """Return the fence of the holder whose entry was written there."""
        recorded = self._recorded
        is_before = recorded.position.era == entry.era and recorded.position <= entry
        return max(entry.revision, recorded.fence if is_before else 0)

    def fence_to_record(self, known: StorePosition) -> int | None:
        """Return the fence that an entry needs which is written after ``known``.

        None where its revision is high enough by itself.
        """
        return self.highest + 1 if self.highest > known.revision else None

    def is_restored(self, entry: StorePosition) -> bool:
        """Whether an entry was written in an era before its own, as far as known."""
        return any(
            known.revision == entry.revision and known.era < entry.era for known in self._entries
        )
