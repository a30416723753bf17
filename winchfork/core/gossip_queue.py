"""What is still to be spread by gossip: each item a number of times, the least told first."""

from __future__ import annotations


class GossipQueue:
    """Names of changes with how many more messages each is to ride on.

    Names are kept in one bucket for each number of messages left, so that taking a few costs the
    same however many wait: after a restart of the whole fleet that is every member. Within a bucket
    the first to come is the first to go.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, name: str) -> bool:
        return name in self._left

    def put(self, name: str, messages: int) -> None:
        """Spread ``name`` with this many messages from now on, whatever was left of it before."""
        self._remove(name)
        self._insert(name, messages)

    def pop(self, max_names: int) -> list[str]:
        """Return up to ``most`` names for one message, those told the fewest times first."""
        chosen: list[str] = []
        for messages_left in sorted(self._buckets, reverse=True):
            for name in self._buckets[messages_left]:
                if len(chosen) == max_names:
                    break
                chosen.append(name)
        for name in chosen:
            messages_left = self._remove(name)
            if messages_left > 1:
                self._insert(name, messages_left - 1)
        return chosen

    def _insert(self, name: str, messages: int) -> None:
        self._left[name] = messages
        self._buckets.setdefault(messages, {})[name] = None

    def _remove(self, name: str) -> int:
        messages = self._left.pop(name, 0)
        if messages:
            bucket = self._buckets[messages]
            del bucket[name]
            if not bucket:
                del self._buckets[messages]
        return messages
