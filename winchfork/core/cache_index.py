"""Index of the cache blocks that each replica is assumed to hold.

Entries belong to one incarnation of a replica and are dropped when its incarnation changes. Events
carry sequence numbers; a gap marks the replica as suspect until a snapshot replaces its entries.

Layout: one dict from block key to a replica number, or to a tuple of numbers when several replicas
hold the block, and one set of keys per replica. Most blocks have one holder, so most entries are
small integers.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from winchfork.core.prefix import BlockKey

_Holders = int | tuple[int, ...]


class EventKind(enum.Enum):
    """Whether the blocks of a cache event were stored or removed."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One event of a replica's stream. ``sequence`` counts from 1 without gaps.

    Stored blocks are consecutive blocks of one chain; ``parent_key`` is the key of the block before
    the first one, or 0 at the start of a chain.
    """

    sequence: int
    kind: EventKind
    block_keys: tuple[BlockKey, ...]
    parent_key: BlockKey = 0


@dataclasses.dataclass
class _ReplicaBlocks:
    number: int
    incarnation: int
    next_sequence: int = 1
    suspect: bool = False
    keys: set[BlockKey] = dataclasses.field(default_factory=set)


class CacheIndex:
    """Maps each block to the replicas that are assumed to hold it. Not thread-safe."""

    def __init__(self) -> None:
        self._holders: dict[BlockKey, _Holders] = {}
        self._replicas: dict[str, _ReplicaBlocks] = {}
        self._names: list[str] = []

    def __len__(self) -> int:
        return len(self._holders)

    def fence(self, replica_id: str, incarnation: int) -> bool:
        """Switch the replica's entries to ``incarnation``; False if a newer one is known.

        A newer incarnation than the known one starts without entries.
        """
        blocks = self._replicas.get(replica_id)
        if blocks is None:
            self._replicas[replica_id] = _ReplicaBlocks(len(self._names), incarnation)
            self._names.append(replica_id)
            return True
        if incarnation < blocks.incarnation:
            return False
        if incarnation > blocks.incarnation:
            self._clear(blocks)
            blocks.incarnation = incarnation
            blocks.next_sequence = 1
            blocks.suspect = False
        return True

    def apply(self, replica_id: str, incarnation: int, event: CacheEvent) -> bool:
        """Apply one event; False when it was stale, a duplicate, or revealed a gap."""
        if not self.fence(replica_id, incarnation):
            return False
        blocks = self._replicas[replica_id]
        if event.sequence < blocks.next_sequence:
            return False
        gap = event.sequence > blocks.next_sequence
        blocks.suspect = blocks.suspect or gap
        blocks.next_sequence = event.sequence + 1
        if event.kind is EventKind.STORED:
            self._add(blocks, event.block_keys)
        else:
            self._discard(blocks, event.block_keys)
        return not gap

    def assume_stored(self, replica_id: str, incarnation: int, keys: Iterable[BlockKey]) -> None:
        """Record ``keys`` as held, on the evidence of a dispatch or its response, not an event."""
        if self.fence(replica_id, incarnation):
            self._add(self._replicas[replica_id], keys)

    def drop_uncached(
        self, replica_id: str, incarnation: int, keys: Sequence[BlockKey], cached_blocks: int
    ) -> None:
        """Drop the keys that a response disproved: only the first ``cached_blocks`` are held."""
        if self.fence(replica_id, incarnation):
            self._discard(self._replicas[replica_id], keys[cached_blocks:])

    def replace(
        self, replica_id: str, incarnation: int, keys: Iterable[BlockKey], next_sequence: int
    ) -> None:
        """Install a snapshot of all blocks that a replica holds; it is no longer suspect."""
        if not self.fence(replica_id, incarnation):
            return
        blocks = self._replicas[replica_id]
        self._clear(blocks)
        self._add(blocks, keys)
        blocks.next_sequence = next_sequence
        blocks.suspect = False

    def forget(self, replica_id: str) -> None:
        """Drop every entry of a replica but keep its incarnation as the fence."""
        blocks = self._replicas.get(replica_id)
        if blocks is not None:
            self._clear(blocks)

    def is_suspect(self, replica_id: str) -> bool:
        """Whether the replica's event stream has lost events since its last snapshot."""
        blocks = self._replicas.get(replica_id)
        return blocks is not None and blocks.suspect

    def holds(self, replica_id: str, key: BlockKey) -> bool:
        """Whether ``replica_id`` is assumed to hold ``key``."""
        blocks = self._replicas.get(replica_id)
        return blocks is not None and key in blocks.keys

    def match(self, block_keys: Sequence[BlockKey]) -> dict[str, int]:
        """Return, for each replica that holds the first block, how many leading blocks it holds."""
        matched: dict[str, int] = {}
        alive: frozenset[int] | None = None
        depth = 0
        for depth, key in enumerate(block_keys):
            holders = self._holders.get(key)
            numbers = _as_set(holders)
            if alive is None:
                alive = numbers
            elif numbers != alive:
                for number in alive - numbers:
                    matched[self._names[number]] = depth
                alive = alive & numbers
            if not alive:
                return matched
        for number in alive or ():
            matched[self._names[number]] = depth + 1
        return matched

    def _add(self, blocks: _ReplicaBlocks, keys: Iterable[BlockKey]) -> None:
        number = blocks.number
        for key in keys:
            if key in blocks.keys:
                continue
            blocks.keys.add(key)
            holders = self._holders.get(key)
            if holders is None:
                self._holders[key] = number
            elif isinstance(holders, int):
                self._holders[key] = (holders, number)
            else:
                self._holders[key] = (*holders, number)

    def _discard(self, blocks: _ReplicaBlocks, keys: Iterable[BlockKey]) -> None:
        for key in keys:
            if key in blocks.keys:
                blocks.keys.discard(key)
                self._drop_holder(key, blocks.number)

    def _drop_holder(self, key: BlockKey, number: int) -> None:
        holders = self._holders[key]
        if isinstance(holders, int):
            del self._holders[key]
            return
        remaining = tuple(holder for holder in holders if holder != number)
        self._holders[key] = remaining[0] if len(remaining) == 1 else remaining

    def _clear(self, blocks: _ReplicaBlocks) -> None:
        for key in blocks.keys:
            self._drop_holder(key, blocks.number)
        blocks.keys = set()


def _as_set(holders: _Holders | None) -> frozenset[int]:
    if holders is None:
        return frozenset()
    if isinstance(holders, int):
        return frozenset((holders,))
    return frozenset(holders)
