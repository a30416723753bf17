"""Bounds how often an event is logged that external input can trigger."""

from __future__ import annotations

#: Lines allowed in each period of PERIOD_S seconds.
MAX_LINES = 20
PERIOD_S = 10.0


class LogRateLimit:
    """Counts the lines of one event; not thread-safe."""

    def __init__(self) -> None:
        self._period_ends_s = 0.0
        self._lines = 0

    def allows(self, now_s: float) -> bool:
        """Count a line and return whether it may be written."""
        if now_s >= self._period_ends_s:
            self._period_ends_s = now_s + PERIOD_S
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES
