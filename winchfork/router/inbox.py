"""The one place where everything that happens to a request arrives, in order."""

from __future__ import annotations

import asyncio
from collections import deque

from winchfork.router.http_types import CallerDisconnected, RequestEvent, TimerFired


class Inbox:
    """An unbounded single-reader queue; the writers bound what they put (reads are paused)."""

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
        """Take the next item, of which there has to be one."""
        return self._items.popleft()

    def drop_answers(self) -> None:
        """Drop what an abandoned exchange has left behind."""
        kept = [item for item in self._items if isinstance(item, (CallerDisconnected, TimerFired))]
        self._items = deque(kept)
