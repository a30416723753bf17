"""An event loop on a virtual clock: sleeping takes no real time, and runs are deterministic."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += max(timeout, 1e-6)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while no task is ready."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s

    def advance(self, seconds: float) -> None:
        self._jumping.now_s += seconds


def stall_loop(seconds: float) -> None:
    """Advance the clock while nothing runs, so that timers due in this time fire late."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.advance(seconds)


#: Virtual seconds after which a scenario times out.
MAX_SCENARIO_S = 300.0


async def _bounded(main: Coroutine[Any, Any, _Result]) -> _Result:
    async with asyncio.timeout(MAX_SCENARIO_S):
        return await main


def run_virtually(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine on a new virtual loop; ``TimeoutError`` after ``MAX_SCENARIO_S``."""
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
