"""A monotonic clock in seconds that includes the time while the machine is suspended.

``CLOCK_MONOTONIC`` stops during a suspension. By that clock, leases and reports from peers would
appear younger afterwards than they are.
"""

from __future__ import annotations

import time

#: Without ``CLOCK_BOOTTIME``, time in suspension is not counted.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_seconds() -> float:
    """Return the seconds since the machine started, including suspensions."""
    return time.clock_gettime(CLOCK)
