"""Beliefs about which replica holds which block.

A belief is held under (replica, incarnation): when a replica's incarnation changes, every belief
about it goes with it, whatever its event stream lost. Events carry sequence numbers; a gap marks
the replica as suspect until a snapshot replaces its beliefs.

Layout: one dict from block key to a replica number, or to a tuple of numbers when several replicas
hold it, and one set of keys a replica. Most blocks have one holder, so the common entry is a small
integer.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from winchfork.core.prefix import BlockKey

_Holders = int | tuple[int, ...]


class EventKind(enum.Enum):
    """What a cache event says of its blocks."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One event of a replica's stream. ``sequence`` counts from 1 without holes.

    Stored blocks are a run of one chain; ``parent_key`` is the block before the first, 0 for none.
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
    """Which replicas are believed to hold each block. Not thread-safe."""

    def __init__(self) -> None:
        self._holders: dict[BlockKey, _Holders] = {}
        self._replicas: dict[str, _ReplicaBlocks] = {}
        self._names: list[str] = []

    def __len__(self) -> int:
        return len(self._holders)

    def fence(self, replica_id: str, incarnation: int) -> bool:
        """Bind beliefs to ``incarnation``; False if it is older than the one already known."""
        beliefs = self._replicas.get(replica_id)
        if beliefs is None:
            self._replicas[replica_id] = _ReplicaBlocks(len(self._names), incarnation)
            self._names.append(replica_id)
            return True
        if incarnation < beliefs.incarnation:
            return False
        if incarnation > beliefs.incarnation:
            self._clear(beliefs)
            beliefs.incarnation = incarnation
            beliefs.next_sequence = 1
            beliefs.suspect = False
        return True

    def apply(self, replica_id: str, incarnation: int, event: CacheEvent) -> bool:
        """Fold one event in; False when it was stale, doubled, or revealed a gap."""
        if not self.fence(replica_id, incarnation):
            return False
        beliefs = self._replicas[replica_id]
        if event.sequence < beliefs.next_sequence:
            return False
        gap = event.sequence > beliefs.next_sequence
        beliefs.suspect = beliefs.suspect or gap
        beliefs.next_sequence = event.sequence + 1
        if event.kind is EventKind.STORED:
            self._add(beliefs, event.block_keys)
        else:
            self._discard(beliefs, event.block_keys)
        return not gap

    def assume_stored(self, replica_id: str, incarnation: int, keys: Iterable[BlockKey]) -> None:
        """Believe that ``keys`` are held, from a dispatch or its report rather than an event."""
        if self.fence(replica_id, incarnation):
            self._add(self._replicas[replica_id], keys)

    def drop_uncached(
        self, replica_id: str, incarnation: int, keys: Sequence[BlockKey], cached_blocks: int
    ) -> None:
        """Drop beliefs that a reply disproved: only ``cached_blocks`` leading keys were held."""
        if self.fence(replica_id, incarnation):
            self._discard(self._replicas[replica_id], keys[cached_blocks:])

    def replace(
        self, replica_id: str, incarnation: int, keys: Iterable[BlockKey], next_sequence: int
    ) -> None:
        """Install a snapshot of everything a replica holds; ends a suspicion."""
        if not self.fence(replica_id, incarnation):
            return
        beliefs = self._replicas[replica_id]
        self._clear(beliefs)
        self._add(beliefs, keys)
        beliefs.next_sequence = next_sequence
        beliefs.suspect = False

    def forget(self, replica_id: str) -> None:
        """Drop every belief about a replica but keep its incarnation as the fence."""
        beliefs = self._replicas.get(replica_id)
        if beliefs is not None:
            self._clear(beliefs)

    def is_suspect(self, replica_id: str) -> bool:
        """Tell whether the replica's event stream lost entries since its last snapshot."""
        beliefs = self._replicas.get(replica_id)
        return beliefs is not None and beliefs.suspect

    def holds(self, replica_id: str, key: BlockKey) -> bool:
        """Tell whether ``replica_id`` is believed to hold ``key``."""
        beliefs = self._replicas.get(replica_id)
        return beliefs is not None and key in beliefs.keys

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

    def _add(self, beliefs: _ReplicaBlocks, keys: Iterable[BlockKey]) -> None:
        number = beliefs.number
        for key in keys:
            if key in beliefs.keys:
                continue
            beliefs.keys.add(key)
            holders = self._holders.get(key)
            if holders is None:
                self._holders[key] = number
            elif isinstance(holders, int):
                self._holders[key] = (holders, number)
            else:
                self._holders[key] = (*holders, number)

    def _discard(self, beliefs: _ReplicaBlocks, keys: Iterable[BlockKey]) -> None:
        for key in keys:
            if key in beliefs.keys:
                beliefs.keys.discard(key)
                self._drop_holder(key, beliefs.number)

    def _drop_holder(self, key: BlockKey, number: int) -> None:
        holders = self._holders[key]
        if isinstance(holders, int):
            del self._holders[key]
            return
        remaining = tuple(holder for holder in holders if holder != number)
        self._holders[key] = remaining[0] if len(remaining) == 1 else remaining

    def _clear(self, beliefs: _ReplicaBlocks) -> None:
        for key in beliefs.keys:
            self._drop_holder(key, beliefs.number)
        beliefs.keys = set()


def _as_set(holders: _Holders | None) -> frozenset[int]:
    if holders is None:
        return frozenset()
    if isinstance(holders, int):
        return frozenset((holders,))
    return frozenset(holders)
