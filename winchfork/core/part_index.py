"""Beliefs of which replica keeps which part of a prompt, under which namespace.

Beliefs only steer placement: the namespace carried by each request decides what may be reused. The
index is bounded; the part used longest ago is forgotten first. Parts and replicas are named by
64-bit hashes, so that peers can tell each other in a few bytes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

from winchfork.core.prompt_parts import CacheScope, Prompt, PromptPart

DEFAULT_CAPACITY = 20_000


def part_key(namespace: str, part: PromptPart) -> int:
    """Return the hash that names a part within its namespace."""
    return xxhash.xxh3_64_intdigest(f"{namespace}|{part.part_id}".encode())


def shared_keys(scope: CacheScope, prompt: Prompt, weights_version: int) -> list[int]:
    """Return the keys of a prompt's shared parts, in order, under one version of the weights."""
    namespace = scope.namespace(weights_version)
    return [part_key(namespace, part) for part in prompt.shared_parts]


class PartIndex:
    """Maps part keys to the replicas (by hash) that keep them, with the time of last use."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[int, dict[int, float]] = OrderedDict()

    def record_cached(self, keys: Iterable[int], replica_hash: int, now_s: float) -> list[int]:
        """Record that a replica keeps parts; return those that were news."""
        news: list[int] = []
        for key in keys:
            holders = self._holders.get(key)
            if holders is None:
                holders = self._holders[key] = {}
                if len(self._holders) > self._capacity:
                    self._holders.popitem(last=False)
            else:
                self._holders.move_to_end(key)
            if replica_hash not in holders:
                news.append(key)
            holders[replica_hash] = now_s
        return news

    def record_evicted(self, key: int, replica_hash: int) -> None:
        """Record that a replica no longer keeps a part."""
        holders = self._holders.get(key)
        if holders is not None:
            holders.pop(replica_hash, None)
            if not holders:
                del self._holders[key]

    def drop_replica(self, replica_hash: int) -> None:
        """Forget everything about a replica that has emptied its cache or ended."""
        for key in [key for key, holders in self._holders.items() if replica_hash in holders]:
            self.record_evicted(key, replica_hash)

    def cached_part_count(self, keys: Sequence[int], replica_hash: int) -> int:
        """Return how many leading parts the replica keeps."""
        for number, key in enumerate(keys):
            if replica_hash not in self._holders.get(key, ()):
                return number
        return len(keys)

    def cached_depths(self, keys: Sequence[int]) -> dict[int, int]:
        """Return for each replica that keeps the first part how many leading parts it keeps."""
        depths: dict[int, int] = {}
        for number, key in enumerate(keys):
            holders = self._holders.get(key, {})
            reached = [replica for replica in holders if depths.get(replica, 0) == number]
            if not reached:
                break
            depths.update(dict.fromkeys(reached, number + 1))
        return depths

    def holders(self, key: int) -> dict[int, float]:
        """Return the replicas that keep a part, with the time of last use."""
        return self._holders.get(key, {})

    def __len__(self) -> int:
        return len(self._holders)
