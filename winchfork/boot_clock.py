"""Monotonic seconds that count a suspension of the machine.

``CLOCK_MONOTONIC`` stands still while a machine is suspended: a daemon that was asleep for five
seconds would take its lease, its proofs, its bounds and its peers' news for five seconds younger
than they are.
"""

from __future__ import annotations

import time

#: Systems without this clock do not tell a suspension apart.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_seconds() -> float:
    """Return the seconds since the machine was started, suspensions included."""
    return time.clock_gettime(CLOCK)
