"""Detects stalls of this process, in which it was stopped or got no processor time.

Messages that seem to be missing or late after a stall say nothing about their senders.
"""

from __future__ import annotations

import math

from winchfork.logs import log_event

#: Seconds between two ticks from which on the process counts as having stalled.
STALL_S = 1.0
#: Seconds after a stall in which datagrams that arrived during it may still be read.
CATCH_UP_S = 0.3


class StallDetector:
    """Compares the times of successive ticks, several a second. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._resumed_at_s = -math.inf
        self._stalled_from_s = -math.inf

    def tick(self, now_s: float) -> None:
        """Record a tick, and log a stall before it."""
        if self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S:
            log_event("process_stood_still", "WARNING", for_s=now_s - self._last_tick_s)
            self._stalled_from_s = self._last_tick_s
            self._resumed_at_s = now_s
        self._last_tick_s = now_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which a datagram that is read now may have arrived.

        Datagrams that arrive during a stall are read when the process resumes, some of them after
        the first tick.
        """
        if self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S:
            return self._last_tick_s
        if now_s - self._resumed_at_s < CATCH_UP_S:
            return self._stalled_from_s
        return now_s

    def ran_since(self, at_s: float, now_s: float) -> bool:
        """Whether the ticks show no stall from ``at_s`` to ``now_s``."""
        is_stalled = self._last_tick_s is not None and now_s - self._last_tick_s >= STALL_S
        return self._resumed_at_s < at_s and not is_stalled
