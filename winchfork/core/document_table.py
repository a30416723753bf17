"""One daemon's copy of the store's entries, from which it updates its peers.

Each entry is held as written, with its revision; a removed entry is remembered as a tombstone for a
while. Within an era of the store, a key's revision never decreases, whichever peer reported it. A
new era begins with a complete list, which supersedes all revisions of earlier eras.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from winchfork.core.peer_message import PeerMessage
from winchfork.core.store_position import StorePosition

#: Tombstones that are remembered; a peer that lags further behind receives a complete update.
MAX_REMOVED = 2_000
#: Lower than every revision of the store.
NO_REVISION = -1


class TableItem(PeerMessage, frozen=True):
    """One entry; ``value`` is None for a removed one.

    ``missing_after_outage`` marks an entry that the store lacked after an outage. It need not have
    been removed on purpose: it may have lapsed and not been written again yet.
    """

    key: str
    revision: int
    value: bytes | None
    missing_after_outage: bool = False


class TableUpdate(msgspec.Struct, frozen=True):
    """The changes after ``base`` up to ``at``; the items' revisions are of the era of ``at``.

    A ``complete`` update holds every entry, so a missing entry has been removed. With
    ``after_outage`` set, a missing entry may only not have been written again yet. An incomplete
    update stays within one era.
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
        #: Tombstones up to this revision may have been evicted.
        self._removals_known_after = 0
        self._listed_after_outage = False

    def begin_era(self) -> None:
        """Reset the revisions so that every entry of the complete list that follows is newer.

        The entries stay, so that :meth:`missing_from` can tell which ones the list lacks.
        """
        self._items = {
            key: msgspec.structs.replace(item, revision=NO_REVISION)
            for key, item in self._items.items()
        }
        self._removed.clear()
        self._removals_known_after = 0

    def apply(self, item: TableItem) -> bool:
        """Apply an entry; False when the same revision or a newer one is held."""
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

    def holds(self, key: str) -> bool:
        """Whether an entry is held that has not been removed."""
        return key in self._items

    def mark_listed(self, at_revision: int, *, after_outage: bool) -> None:
        """Record that a list replaced the entries: removals up to this revision are unknown."""
        self._listed_after_outage = after_outage
        self._removals_known_after = max(self._removals_known_after, at_revision)

    def missing_from(self, listed: Iterable[str]) -> list[str]:
        """Return the keys that are held here but absent from a complete list."""
        return sorted(self._items.keys() - set(listed))

    def update_after(self, known: StorePosition, at: StorePosition) -> TableUpdate:
        """Return the changes up to ``at`` for a peer that is up to date at ``known``."""
        complete = known.era != at.era or known.revision < self._removals_known_after
        after = NO_REVISION if complete else known.revision
        removed = () if complete else self._removed.values()
        items = [item for item in (*self._items.values(), *removed) if item.revision > after]
        items.sort(key=lambda item: item.revision)
        after_outage = complete and self._listed_after_outage
        return TableUpdate(known, at, complete, after_outage, tuple(items))
