"""The one clock of a router process: everything in it ages by its loop's time.

The loop is where the clock is chosen; a suspension of the machine then looks like any other
standstill.
"""

from __future__ import annotations

import asyncio
import time

from winchfork.boot_clock import CLOCK


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and times count suspensions."""

    def time(self) -> float:
        """Return the seconds since the machine was started, suspensions included."""
        return time.clock_gettime(CLOCK)
