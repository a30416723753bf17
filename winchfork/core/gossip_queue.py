"""Queue of changes to spread by gossip; each is sent with several messages, least-sent first."""

from __future__ import annotations


class GossipQueue:
    """Names of changes, each with the number of messages that it is still to be sent with.

    Names are held in one bucket for each number of remaining messages, first in, first out, so that
    the cost of ``pop`` does not grow with the number of queued names.
    """

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, name: str) -> bool:
        return name in self._remaining

    def put(self, name: str, messages: int) -> None:
        """Send ``name`` with the next ``messages`` messages, replacing its former count."""
        self._remove(name)
        self._insert(name, messages)

    def pop(self, max_names: int) -> list[str]:
        """Return up to ``max_names`` names for one message, most remaining messages first."""
        chosen: list[str] = []
        for remaining in sorted(self._buckets, reverse=True):
            for name in self._buckets[remaining]:
                if len(chosen) == max_names:
                    break
                chosen.append(name)
        for name in chosen:
            remaining = self._remove(name)
            if remaining > 1:
                self._insert(name, remaining - 1)
        return chosen

    def _insert(self, name: str, messages: int) -> None:
        self._remaining[name] = messages
        self._buckets.setdefault(messages, {})[name] = None

    def _remove(self, name: str) -> int:
        messages = self._remaining.pop(name, 0)
        if messages:
            bucket = self._buckets[messages]
            del bucket[name]
            if not bucket:
                del self._buckets[messages]
        return messages
