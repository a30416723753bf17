"""Model of the platform's key-value service: revisions, history and leases. No I/O."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """One value with the revision of its last change and its lease (0 for none)."""

    value: bytes
    revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Change:
    """One change in the history; ``value`` is None for a deletion."""

    revision: int
    key: str
    value: bytes | None


class KeyValueModel:
    """The service's state. Times are seconds of the caller's monotonic clock."""

    def __init__(self) -> None:
        self.revision = 0
        self.history: list[Change] = []
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._next_lease = 1

    def get(self, key: str) -> StoredValue | None:
        """Return one value, or None if the key does not exist."""
        return self._values.get(key)

    def range(self, start: str, end: str | None) -> list[tuple[str, StoredValue]]:
        """Return the keys from ``start`` to before ``end``, or only ``start`` if it is None."""
        if end is None:
            found = self._values.get(start)
            return [(start, found)] if found else []
        return sorted((key, value) for key, value in self._values.items() if start <= key < end)

    def modification_revision(self, key: str) -> int:
        """Return the revision of the key's last change, or 0 if it does not exist."""
        found = self._values.get(key)
        return found.revision if found else 0

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a value and return the new revision."""
        self.revision += 1
        self._values[key] = StoredValue(value, self.revision, lease_id)
        self.history.append(Change(self.revision, key, value))
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key and return the store's revision, unchanged if the key does not exist."""
        if self._values.pop(key, None) is not None:
            self.revision += 1
            self.history.append(Change(self.revision, key, None))
        return self.revision

    def grant_lease(self, ttl_s: int, now_s: float) -> int:
        """Grant a lease of ``ttl_s`` seconds and return its id."""
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = (ttl_s, now_s + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: int, now_s: float) -> int:
        """Renew a lease and return its time to live in seconds, or 0 if it has expired."""
        self.expire_leases(now_s)
        if lease_id not in self._leases:
            return 0
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, now_s + ttl_s)
        return ttl_s

    def expire_leases(self, now_s: float) -> None:
        """Remove expired leases and the keys attached to them."""
        for lease_id in [item for item, (_, end_s) in self._leases.items() if end_s <= now_s]:
            del self._leases[lease_id]
            for key in [key for key, entry in self._values.items() if entry.lease_id == lease_id]:
                self.delete(key)
