"""Detects stalls of this process, in which it was stopped or got no processor time.

Messages that seem to be missing or late after a stall say nothing about their senders.
"""

from __future__ import annotations

import math

from winchfork.logs import log_event

#: Seconds between two ticks from which on the process counts as having stalled; several times the
#: interval of ticks.
STALL_S = 1.0
#: Seconds between two ticks from which on messages may have waited to be read. A busy process
#: delays them without stalling.
READ_DELAY_S = 0.3
#: Seconds after such a gap in which messages that arrived during it may still be read.
CATCH_UP_S = 0.3


class StallDetector:
    """Compares the times of successive ticks, several a second. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._resumed_at_s = -math.inf
        #: The last gap between two ticks in which messages may have waited to be read.
        self._delayed_from_s = -math.inf
        self._delayed_until_s = -math.inf

    def tick(self, now_s: float) -> None:
        """Record a tick, and log a stall before it."""
        gap_s = self._gap_s(now_s)
        if gap_s >= READ_DELAY_S and self._last_tick_s is not None:
            self._delayed_from_s, self._delayed_until_s = self._last_tick_s, now_s
        if gap_s >= STALL_S:
            log_event("process_stood_still", "WARNING", for_s=gap_s)
            self._resumed_at_s = now_s
        self._last_tick_s = now_s

    def earliest_arrival_s(self, now_s: float) -> float:
        """Return the earliest time at which a message that is read now may have arrived.

        Messages that arrive in a long gap between two ticks are read at its end, some of them after
        the second tick.
        """
        if self._last_tick_s is not None and self._gap_s(now_s) >= READ_DELAY_S:
            return self._last_tick_s
        if now_s - self._delayed_until_s < CATCH_UP_S:
            return self._delayed_from_s
        return now_s

    def ran_since(self, at_s: float, now_s: float) -> bool:
        """Whether the ticks show no stall from ``at_s`` to ``now_s``."""
        return self._resumed_at_s < at_s and self._gap_s(now_s) < STALL_S

    def _gap_s(self, now_s: float) -> float:
        """Return the seconds since the last tick; 0 before the first."""
        return 0.0 if self._last_tick_s is None else now_s - self._last_tick_s
