"""An index of the prompt parts that each replica is assumed to have cached, by namespace.

The index only steers placement: what a replica may reuse is decided by the namespace in each
request. Its size is bounded, with eviction of the least recently used part. Parts and replicas are
identified by 64-bit hashes, which keeps peer messages small.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

from winchfork.core.prompt_parts import CacheScope, Prompt, PromptPart

#: Default upper bound on the number of parts in an index.
DEFAULT_CAPACITY = 20_000


def part_key(namespace: str, part: PromptPart) -> int:
    """Return the hash that identifies a part within its namespace."""
    return xxhash.xxh3_64_intdigest(f"{namespace}|{part.part_id}".encode())


def shared_keys(scope: CacheScope, prompt: Prompt, weights_version: int) -> list[int]:
    """Return the keys of a prompt's shared parts, in order, under one version of the weights."""
    namespace = scope.namespace(weights_version)
    return [part_key(namespace, part) for part in prompt.shared_parts]


class PartIndex:
    """Maps part keys to the replicas (by hash) that have them cached and the time of last use."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_cached(self, keys: Iterable[int], replica_hash: int, now_s: float) -> list[int]:
        """Record that a replica has cached parts; return the keys not recorded for it before."""
        new_keys: list[int] = []
        for key in keys:
            holders = self._holders.get(key)
            if holders is None:
                holders = self._holders[key] = {}
                if len(self._holders) > self._capacity:
                    self._holders.popitem(last=False)
            else:
                self._holders.move_to_end(key)
            if replica_hash not in holders:
                new_keys.append(key)
            holders[replica_hash] = now_s
        return new_keys

    def record_evicted(self, key: int, replica_hash: int) -> None:
        """Record that a replica has evicted a part."""
        holders = self._holders.get(key)
        if holders is not None:
            holders.pop(replica_hash, None)
            if not holders:
                del self._holders[key]

    def drop_replica(self, replica_hash: int) -> None:
        """Remove all entries of a replica, when its cache was cleared or it has ended."""
        for key in [key for key, holders in self._holders.items() if replica_hash in holders]:
            self.record_evicted(key, replica_hash)

    def cached_part_count(self, keys: Sequence[int], replica_hash: int) -> int:
        """Return how many leading parts the replica has cached."""
        for number, key in enumerate(keys):
            if replica_hash not in self._holders.get(key, ()):
                return number
        return len(keys)

    def cached_depths(self, keys: Sequence[int]) -> dict[int, int]:
        """Return the number of leading parts cached, for each replica that has the first one."""
        depths: dict[int, int] = {}
        for number, key in enumerate(keys):
            holders = self._holders.get(key, {})
            reached = [replica for replica in holders if depths.get(replica, 0) == number]
            if not reached:
                break
            depths.update(dict.fromkeys(reached, number + 1))
        return depths

    def holders(self, key: int) -> dict[int, float]:
        """Return the replicas that have a part cached, with the time of last use."""
        return self._holders.get(key, {})

    def __len__(self) -> int:
        return len(self._holders)
