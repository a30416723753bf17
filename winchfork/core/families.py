"""Prefix families: the assignment of cache blocks to their owners, the daemons that index them.

A family is identified by the key at depth ``FAMILY_DEPTH_BLOCKS`` of a chain. Blocks above that
depth are shared by many families and are identified by their own key.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from winchfork.constants import FAMILY_DEPTH_BLOCKS
from winchfork.core.cache_index import CacheEvent, EventKind
from winchfork.core.prefix import BlockKey, PromptPrefix


def keys_from_family(prefix: PromptPrefix) -> tuple[int, Sequence[BlockKey]]:
    """Return the number of blocks above the family's key, and the keys from it on.

    A key is a hash over the whole chain before it, so a replica that holds the family's block
    holds, or has held, the blocks above it; the owner need not index those. (0, ()) for a prompt
    shorter than one block.
    """
    above = max(0, min(FAMILY_DEPTH_BLOCKS, len(prefix.block_keys)) - 1)
    return above, prefix.block_keys[above:]


def add_blocks_above(matched: Mapping[str, int], above: int) -> dict[str, int]:
    """Return the owner's matches counted from the start of the prompt."""
    return {replica_id: depth + above for replica_id, depth in matched.items()}


class FamilyMap:
    """The families of one replica's blocks, derived from its cache events."""

    def __init__(self) -> None:
        #: Family key by block key; 0 for a block above the family depth.
        self._family_of: dict[BlockKey, BlockKey] = {}

    def record_stored(self, parent: BlockKey, keys: Iterable[BlockKey]) -> None:
        """Derive the families of consecutive blocks from their parent's; 0 starts a chain."""
        for key in keys:
            if parent == 0:
                self._family_of[key] = 0
            else:
                self._family_of[key] = self._family_of.get(parent, 0) or key
            parent = key

    def owner_key(self, key: BlockKey) -> BlockKey:
        """Return the key whose owner indexes this block."""
        return self._family_of.get(key, 0) or key

    def forget(self, key: BlockKey) -> None:
        """Drop a removed block."""
        self._family_of.pop(key, None)

    def apply_events(self, events: Iterable[CacheEvent]) -> dict[BlockKey, bool]:
        """Apply ``events`` and return their net effect: each block, and whether it is now stored.

        A block that was stored and removed again appears once, as removed.
        """
        is_stored: dict[BlockKey, bool] = {}
        for event in events:
            stored = event.kind is EventKind.STORED
            if stored:
                self.record_stored(event.parent_key, event.block_keys)
            for key in event.block_keys:
                is_stored[key] = stored
        return is_stored
