"""An event queue, such as that of a request: answer parts, timers, a caller that disconnects."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

_Event = TypeVar("_Event")


class Inbox(Generic[_Event]):
    """An unbounded queue with one reader; writers bound it by pausing reads from the replica."""

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[_Event] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, item: _Event) -> None:
        """Add an item and wake the reader."""
        self._items.append(item)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def __len__(self) -> int:
        return len(self._items)

    async def get(self) -> _Event:
        """Wait for the next item."""
        while not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self.pop()

    def pop(self) -> _Event:
        """Remove and return the next item; the queue must not be empty."""
        return self._items.popleft()
