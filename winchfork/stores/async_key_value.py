"""The asynchronous port to the platform's key-value service.

Every change raises one revision counter. When the store is restored from a backup, a new era
begins, and the revisions and leases that it issued after the backup become invalid. A write that
fails with ``STORE_UNAVAILABLE`` may have taken effect, or may take effect seconds later; after
``STORE_RATE_LIMITED`` or ``REVISION_CONFLICT`` nothing was written.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure


class StoreItem(msgspec.Struct, frozen=True):
    """One entry and the revision of its last change; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    revision: int


class StoreSnapshot(msgspec.Struct, frozen=True):
    """All entries under a prefix at ``position``, from which a watch continues."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes of one era in order; the next watch continues after ``position``."""

    items: tuple[StoreItem, ...]
    position: StorePosition


class ExpectedRevision(msgspec.Struct, frozen=True):
    """A condition on one entry's revision; 0 means that the entry is absent."""

    key: str
    revision: int


class PutItem(msgspec.Struct, frozen=True):
    """One entry to write; it is removed with its lease, unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


class StoreAnswer(msgspec.Struct, frozen=True):
    """The state of the store from the head of an answer.

    ``era`` rises by one each time the store is restored from a backup; 0 if the answer has none.
    ``unknown_headers`` are the names of the store's headers that this version does not support.
    """

    status: int
    era: int = 0
    unknown_headers: tuple[str, ...] = ()


OnStoreAnswer = Callable[[StoreAnswer], None]


def ignore_answer(answer: StoreAnswer) -> None:
    """Ignore the answer."""


class StoreLease(msgspec.Struct, frozen=True):
    """A lease; its id is unique within an era only."""

    era: int
    lease_id: int


class AsyncKeyValueStore(Protocol):
    """The operations that the router uses."""

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        """Read every entry under a prefix."""
        ...

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        """Wait for changes after a revision; return an empty batch after ``wait_s``.

        ``HISTORY_LOST`` if the changes are no longer stored: list again.
        """
        ...

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        """Write all entries if every condition holds; return the position of the write."""
        ...

    async def grant_lease(self, ttl_s: float) -> StoreLease | Failure:
        """Grant a lease."""
        ...

    async def renew_lease(self, lease: StoreLease) -> bool | Failure:
        """Renew a lease; False if the lease or its era has ended."""
        ...

    async def end_lease(self, lease: StoreLease) -> Failure | None:
        """Revoke a lease and remove its entries."""
        ...
