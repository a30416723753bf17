"""Prefix families: which daemon holds beliefs about a block, and which part of a chain it is asked.

A family is named by the key at ``FAMILY_DEPTH_BLOCKS`` of a chain. Blocks above that depth belong
to many families and are named by their own key.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from winchfork.constants import FAMILY_DEPTH_BLOCKS
from winchfork.core.cache_index import CacheEvent, EventKind
from winchfork.core.prefix import BlockKey, PromptPrefix


def keys_from_family(prefix: PromptPrefix) -> tuple[int, Sequence[BlockKey]]:
    """Return how many leading blocks stand above the family's key, and the keys from it on.

    A key chains over everything before it, so a replica that holds the family's block holds, or has
    held, the blocks above it too; the owner need not know of them. (0, ()) for a short prompt.
    """
    above = max(0, min(FAMILY_DEPTH_BLOCKS, len(prefix.block_keys)) - 1)
    return above, prefix.block_keys[above:]


def add_blocks_above(matched: Mapping[str, int], above: int) -> dict[str, int]:
    """Return the owner's matches counted from the start of the prompt."""
    return {replica_id: depth + above for replica_id, depth in matched.items()}


class FamilyMap:
    """The families of one replica's blocks, as its reader learns them from the events."""

    def __init__(self) -> None:
        #: 0 for a block above the family depth.
        self._family_of: dict[BlockKey, BlockKey] = {}

    def record_stored(self, parent: BlockKey, keys: Iterable[BlockKey]) -> None:
        """Derive the families of a run of blocks from its parent's; parent 0 starts a chain."""
        for key in keys:
            if parent == 0:
                self._family_of[key] = 0
            else:
                self._family_of[key] = self._family_of.get(parent, 0) or key
            parent = key

    def owner_key(self, key: BlockKey) -> BlockKey:
        """Return the key whose owner holds beliefs about this block."""
        return self._family_of.get(key, 0) or key

    def forget(self, key: BlockKey) -> None:
        """Drop a removed block."""
        self._family_of.pop(key, None)

    def apply_events(self, events: Iterable[CacheEvent]) -> dict[BlockKey, bool]:
        """Return what holds at the end of ``events``: each block, and whether it is stored.

        A block that came and went between two reads is told of once, as gone.
        """
        folded: dict[BlockKey, bool] = {}
        for event in events:
            stored = event.kind is EventKind.STORED
            if stored:
                self.record_stored(event.parent_key, event.block_keys)
            for key in event.block_keys:
                folded[key] = stored
        return folded
