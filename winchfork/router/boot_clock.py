"""An event loop whose clock keeps running while the machine is suspended.

All times in a router process come from its loop, so a suspension looks like any other stall.
"""

from __future__ import annotations

import asyncio
import time

from winchfork.boot_clock import CLOCK


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose time and timers include suspensions of the machine."""

    def time(self) -> float:
        """Return the seconds since the machine was booted, suspensions included."""
        return time.clock_gettime(CLOCK)
