"""Notices that this process did not run for a while: stopped, or kept off its processor.

What did not come in that time says nothing about its senders.
"""

from __future__ import annotations

import math

from winchfork.logs import log_event

#: Seconds between two ticks from which on a process counts as having stood still: several times
#: the pause between ticks, and well below the bounds on daemons that are in touch.
STALL_S = 1.0
#: Seconds after a standstill in which what came meanwhile may still be read.
CATCH_UP_S = 0.3


class StallDetector:
    """Compares the times of a tick that comes some times a second. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._resumed_at_s = -math.inf
        self._stalled_from_s = -math.inf

    def tick(self, now_s: float) -> None:
        """Take a tick in, and log a standstill before it."""
        if self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S:
            log_event("process_stood_still", "WARNING", for_s=now_s - self._last_tick_s)
            self._stalled_from_s = self._last_tick_s
            self._resumed_at_s = now_s
        self._last_tick_s = now_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return since when a datagram that is read now may have been waiting.

        What came while the process stood still is read when it runs again, some of it after the
        first tick.
        """
        if self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S:
            return self._last_tick_s
        if now_s - self._resumed_at_s < CATCH_UP_S:
            return self._stalled_from_s
        return now_s

    def ran_since(self, at_s: float, now_s: float) -> bool:
        """Whether the process has run all the time, as far as its ticks tell."""
        stands_still = self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S
        return self._resumed_at_s < at_s and not stands_still
