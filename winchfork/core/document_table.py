"""The store's entries as one daemon holds them, so that it can pass them on to its peers.

Each entry is kept as it was written, with its revision; an entry that has gone is remembered for a
while by its key alone. Within an era of the store a revision never goes down for a key, whoever it
was heard from. A new era begins with a complete list, beside which no earlier revision counts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from winchfork.core.peer_message import PeerMessage
from winchfork.core.store_position import StorePosition

#: Entries that have gone and are remembered; a peer that is further behind gets everything.
MAX_REMOVED = 2_000
#: Below every revision that the store gives out.
NO_REVISION = -1


class TableItem(PeerMessage, frozen=True):
    """One entry; ``value`` is None where it has gone.

    ``vanished`` entries were missing after an outage of the store, whose silence is no evidence.
    """

    key: str
    revision: int
    value: bytes | None
    missing_after_outage: bool = False


class TableUpdate(msgspec.Struct, frozen=True):
    """What has changed after ``base`` up to ``at``; the items' revisions are of the era of ``at``.

    A ``complete`` update holds every entry: what it does not hold is not there. ``after_outage`` of
    the store, it may only not have been written again yet. One that is not complete stays within
    an era.
    """

    base: StorePosition
    at: StorePosition
    complete: bool
    after_outage: bool
    items: tuple[TableItem, ...]


class DocumentTable:
    """The newest entries by key. Not thread-safe."""

    def __init__(self) -> None:
        self._items: dict[str, TableItem] = {}
        self._removed: OrderedDict[str, TableItem] = OrderedDict()
        #: Entries that went at or before this revision may have been forgotten.
        self._removals_known_after = 0
        self._listed_after_outage = False

    def begin_era(self) -> None:
        """Let every entry of a complete list that comes next be newer than what is held.

        What is held is kept by its key, so that what the list lacks is known.
        """
        self._items = {
            key: msgspec.structs.replace(item, revision=NO_REVISION)
            for key, item in self._items.items()
        }
        self._removed.clear()
        self._removals_known_after = 0

    def apply(self, item: TableItem) -> bool:
        """Take an entry in; False when a newer one is held."""
        known = self._items.get(item.key) or self._removed.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items.pop(item.key, None)
        self._removed.pop(item.key, None)
        if item.value is not None:
            self._items[item.key] = item
            return True
        self._removed[item.key] = item
        if len(self._removed) > MAX_REMOVED:
            _, forgotten = self._removed.popitem(last=False)
            self._removals_known_after = max(self._removals_known_after, forgotten.revision)
        return True

    def mark_listed(self, at_revision: int, *, after_outage: bool) -> None:
        """Everything before this revision was learned from a list: what had gone is not known."""
        self._listed_after_outage = after_outage
        self._removals_known_after = max(self._removals_known_after, at_revision)

    def missing_from(self, listed: Iterable[str]) -> list[str]:
        """Return the keys held here that a complete list does not hold."""
        return sorted(self._items.keys() - set(listed))

    def update_after(self, known: StorePosition, at: StorePosition) -> TableUpdate:
        """Return what a peer that knows everything up to ``known`` lacks up to ``at``."""
        complete = known.era != at.era or known.revision < self._removals_known_after
        after = NO_REVISION if complete else known.revision
        gone = () if complete else self._removed.values()
        items = [item for item in (*self._items.values(), *gone) if item.revision > after]
        items.sort(key=lambda item: item.revision)
        after_outage = complete and self._listed_after_outage
        return TableUpdate(known, at, complete, after_outage, tuple(items))
