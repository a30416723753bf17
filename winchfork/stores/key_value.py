"""The blocking port to the platform's key-value service.

Every change raises one revision counter; an entry carries the revision of its last change, and
revision 0 means that the entry is absent. A write that fails with ``STORE_UNAVAILABLE`` may still
have taken effect.
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
    """The operations that a daemon uses. Thread-safe; a call may block for a second or two."""

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

        Fails with ``REVISION_CONFLICT`` if the entry is at another revision, and with
        ``STORE_UNAVAILABLE`` if the outcome is unknown.
        """
        ...

    def delete(self, key: str, expected_revision: int) -> Failure | None:
        """Delete if the entry is at ``expected_revision``."""
        ...

    def grant_lease(self, ttl_s: int) -> int | Failure:
        """Grant a lease and return its id; its entries expire ``ttl_s`` after the last renewal."""
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
        """Pass writes from ``from_revision`` on to ``on_entry`` until stopped or disconnected.

        ``from_revision`` is included; removals are not passed.
        """
        ...


def compare_and_swap_until_resolved(
    store: KeyValueStore,
    key: str,
    value: bytes,
    expected_revision: int,
    is_own_write: Callable[[bytes], bool],
    should_retry: Callable[[], bool],
) -> int | Failure:
    """Compare-and-swap that reads the entry back to resolve a lost answer; return the revision.

    ``is_own_write`` recognizes a stored value that includes this write, also after a later writer
    has changed it further. The swap is repeated while its outcome is unknown and ``should_retry``
    allows it; this is safe, since the expected revision lets it take effect only once.
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
        is_final = not isinstance(entry, Failure) and result.kind is FailureKind.REVISION_CONFLICT
        if is_final or not should_retry():
            return result
