"""Backlog of cached prompt parts that are still to be reported to peers."""

from __future__ import annotations

from collections.abc import Iterable


class CachedPartsBacklog:
    """Part keys by the hash of the replica that caches them, each once, oldest first."""

    def __init__(self) -> None:
        self._keys: dict[int, dict[int, None]] = {}

    def add(self, replica_hash: int, keys: Iterable[int]) -> None:
        """Add parts of one replica."""
        self._keys.setdefault(replica_hash, {}).update(dict.fromkeys(keys))

    def discard(self, replica_hash: int, keys: Iterable[int]) -> None:
        """Drop parts that another daemon has reported."""
        pending = self._keys.get(replica_hash, {})
        for key in keys:
            pending.pop(key, None)
        if not pending:
            self._keys.pop(replica_hash, None)

    def pop(self, max_parts: int) -> list[tuple[int, tuple[int, ...]]]:
        """Remove and return up to ``max_parts`` parts, grouped by replica."""
        popped: list[tuple[int, tuple[int, ...]]] = []
        for replica_hash in list(self._keys):
            if max_parts <= 0:
                break
            keys = list(self._keys.pop(replica_hash))
            popped.append((replica_hash, tuple(keys[:max_parts])))
            if keys[max_parts:]:
                self.add(replica_hash, keys[max_parts:])
            max_parts -= len(keys)
        return popped
