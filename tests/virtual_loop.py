"""An event loop on a virtual clock: sleeping costs nothing and every run is the same."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += max(timeout, 1e-6)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time moves only when nothing is left to do."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s

    def advance(self, seconds: float) -> None:
        self._jumping.now_s += seconds


def stall_loop(seconds: float) -> None:
    """Let time pass in which nothing runs: every timer that ends meanwhile is late."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.advance(seconds)


#: Virtual seconds after which a scenario that waits for something has failed.
MAX_SCENARIO_S = 300.0


async def _bounded(main: Coroutine[Any, Any, _Result]) -> _Result:
    async with asyncio.timeout(MAX_SCENARIO_S):
        return await main


def run_virtually(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine on a loop of its own; one that never ends fails."""
    loop = VirtualLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(_bounded(main))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)
