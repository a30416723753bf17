"""Beliefs of which replica keeps which part of a prompt, under which namespace.

Beliefs only steer placement: the namespace carried by each request decides what may be reused. The
index is bounded; the part used longest ago is forgotten first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from winchfork.core.prompt_parts import PromptPart

DEFAULT_CAPACITY = 20_000


class PartIndex:
    """Maps (namespace, part) to the replicas that keep it, with the time of last use."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        self._capacity = capacity
        self._holders: OrderedDict[tuple[str, str], dict[str, float]] = OrderedDict()

    def note_held(
        self, namespace: str, parts: Sequence[PromptPart], replica_id: str, now_s: float
    ) -> None:
        """Record that ``replica_id`` has read ``parts``."""
        for part in parts:
            key = (namespace, part.part_id)
            holders = self._holders.get(key)
            if holders is None:
                holders = self._holders[key] = {}
                if len(self._holders) > self._capacity:
                    self._holders.popitem(last=False)
            else:
                self._holders.move_to_end(key)
            holders[replica_id] = now_s

    def note_dropped(self, namespace: str, part_id: str, replica_id: str) -> None:
        """Record that a replica no longer keeps a part."""
        holders = self._holders.get((namespace, part_id))
        if holders is not None:
            holders.pop(replica_id, None)
            if not holders:
                del self._holders[(namespace, part_id)]

    def drop_replica(self, replica_id: str) -> None:
        """Forget everything about a replica that has emptied its cache or ended."""
        for key in [key for key, holders in self._holders.items() if replica_id in holders]:
            self.note_dropped(key[0], key[1], replica_id)

    def kept_tokens(self, namespace: str, parts: Sequence[PromptPart], replica_id: str) -> int:
        """Return the tokens of the longest leading run of parts that the replica keeps."""
        tokens = 0
        for part in parts:
            if replica_id not in self._holders.get((namespace, part.part_id), ()):
                break
            tokens += part.tokens
        return tokens

    def last_used_s(self, namespace: str, part_id: str) -> float:
        """Return the last use of a part on any replica; minus infinity when unknown."""
        holders = self._holders.get((namespace, part_id))
        return max(holders.values()) if holders else float("-inf")

    def __len__(self) -> int:
        return len(self._holders)
