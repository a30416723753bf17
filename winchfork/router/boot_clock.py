"""The one clock of a router process: monotonic seconds that count a suspension of the machine.

``CLOCK_MONOTONIC``, which event loops read by default, stands still while a machine is suspended: a
daemon that was asleep for five seconds would take its lease, its proofs, its bounds and its peers'
news for five seconds younger than they are. Everything in a process ages by its loop's clock, so
the loop is where the clock is chosen; a suspension then looks like any other standstill.
"""

from __future__ import annotations

import asyncio
import time

#: Systems without this clock do not tell a suspension apart.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BootClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and times count suspensions."""

    def time(self) -> float:
        """Return the seconds since the machine was started, suspensions included."""
        return time.clock_gettime(_CLOCK)
