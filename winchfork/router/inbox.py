"""The event queue of a request: answer parts, timers, and the end of the caller's connection."""

from __future__ import annotations

import asyncio
from collections import deque

from winchfork.router.http_types import CallerDisconnected, RequestEvent, TimerFired


class Inbox:
    """An unbounded queue with one reader; writers bound it by pausing reads from the replica."""

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[RequestEvent] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, item: RequestEvent) -> None:
        """Add an item and wake the reader."""
        self._items.append(item)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def __len__(self) -> int:
        return len(self._items)

    async def get(self) -> RequestEvent:
        """Wait for the next item."""
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self.pop()

    def pop(self) -> RequestEvent:
        """Remove and return the next item; the queue must not be empty."""
        return self._items.popleft()

    def drop_answers(self) -> None:
        """Drop the answer parts and move requests of an abandoned exchange."""
        remaining = [
            item for item in self._items if isinstance(item, (CallerDisconnected, TimerFired))
        ]
        self._items = deque(remaining)
