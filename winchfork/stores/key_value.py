"""The port to the platform's key-value service.

Revisions are the service's own: one counter, raised by every change; an entry carries the revision
of its last change. 0 stands for "absent". Any call may fail, and a failed write may still have
taken effect: ``STORE_UNAVAILABLE`` from a write says nothing about it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

from winchfork.errors import Failure, FailureKind


@dataclasses.dataclass(frozen=True)
class Entry:
    """One stored value with the revision of its last change."""

    key: str
    value: bytes
    revision: int


class KeyValueStore(Protocol):
    """The service as the product uses it. Thread-safe; calls block up to a second or two."""

    def get(self, key: str) -> Entry | None | Failure:
        """Read one entry; None when absent."""
        ...

    def list(self, prefix: str) -> list[Entry] | Failure:
        """Read every entry under a prefix."""
        ...

    def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> int | Failure:
        """Write if the entry is at ``expected_revision``; return the new revision.

        ``REVISION_CONFLICT`` when it is not; ``STORE_UNAVAILABLE`` when unknown.
        """
        ...

    def delete(self, key: str, expected_revision: int) -> Failure | None:
        """Delete if the entry is at ``expected_revision``."""
        ...

    def grant_lease(self, ttl_s: int) -> int | Failure:
        """Open a lease and return its id; its entries vanish ``ttl_s`` after the last renewal."""
        ...

    def renew_lease(self, lease_id: int) -> int | Failure:
        """Renew a lease; return its time to live in seconds."""
        ...

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_entry: Callable[[Entry], None],
        should_stop: Callable[[], bool],
    ) -> Failure | None:
        """Hand over changes from a revision on, until stopped or the connection ends."""
        ...


def compare_and_swap_until_resolved(
    store: KeyValueStore,
    key: str,
    value: bytes,
    expected_revision: int,
    is_own_write: Callable[[bytes], bool],
    should_retry: Callable[[], bool],
) -> int | Failure:
    """Compare-and-swap whose lost answers are resolved by reading back.

    ``is_ours`` recognizes a stored value that contains this write, including one that a later
    writer built on top of it. Repeating the same swap is safe: it can take effect once only.
    """
    while True:
        result = store.compare_and_swap(key, value, expected_revision)
        if not isinstance(result, Failure):
            return result
        if result.kind is FailureKind.INVALID_REQUEST:
            return result
        entry = store.get(key)
        if isinstance(entry, Entry) and is_own_write(entry.value):
            return entry.revision
        settled = not isinstance(entry, Failure) and result.kind is FailureKind.REVISION_CONFLICT
        if settled or not should_retry():
            return result
