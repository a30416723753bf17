"""The port to the platform's key-value service for a single-loop process.

Revisions come from one counter that every change raises, until the store comes back from a copy:
that begins a new era, and what it had given out since the copy is void. A failed write may still
have taken effect, now or seconds later: ``STORE_UNAVAILABLE`` from a write says nothing about it,
while ``STORE_RATE_LIMITED`` and ``REVISION_CONFLICT`` say that nothing was done.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure


class StoreItem(msgspec.Struct, frozen=True):
    """One entry as it was written; ``value`` is None where the entry was removed."""

    key: str
    value: bytes | None
    revision: int


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Entries under a prefix, of one era; changes after ``at`` are still to be watched."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes in order, of one era; the next watch goes on after ``at``."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A condition on one entry; revision 0 stands for "absent"."""

    key: str
    revision: int


class PutItem(msgspec.Struct, frozen=True):
    """One entry to write; it ends with its lease when one is given."""

    key: str
    value: bytes
    lease_id: int = 0


class StoreAnswer(msgspec.Struct, frozen=True):
    """What the head of an answer says of the store itself.

    ``era`` rises by one each time that the store comes back from a copy; 0 where none is named.
    """

    status: int
    era: int = 0
    unknown_headers: tuple[str, ...] = ()


OnStoreAnswer = Callable[[StoreAnswer], None]


def ignore_answer(answer: StoreAnswer) -> None:
    """Take no notice."""


class StoreLease(msgspec.Struct, frozen=True):
    """A lease; after the store's return from a copy its id may be given to another."""

    era: int
    lease_id: int


class AsyncKeyValueStore(Protocol):
    """The service as the router uses it."""

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        """Read every entry under a prefix."""
        ...

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        """Wait for changes; an empty batch after ``wait_s``. ``HISTORY_LOST``: list again."""
        ...

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        """Write all if every condition holds; return where."""
        ...

    async def grant_lease(self, ttl_s: float) -> StoreLease | Failure:
        """Open a lease."""
        ...

    async def renew_lease(self, lease: StoreLease) -> bool | Failure:
        """Renew a lease; False when it is over, or its era is."""
        ...

    async def end_lease(self, lease: StoreLease) -> Failure | None:
        """End a lease; its entries go."""
        ...
