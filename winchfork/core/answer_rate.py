"""Estimates a service's answers per second from samples of its running total.

Times are seconds of one clock, passed in by the caller.
"""

from __future__ import annotations

from collections import deque

#: Age in seconds after which a sample is dropped.
WINDOW_S = 2.0
#: Time in seconds that the samples must span before a rate is reported.
MIN_WINDOW_S = 0.8


class AnswerRate:
    """A sliding window over samples of the total. Not thread-safe."""

    def __init__(self) -> None:
        self._totals: deque[tuple[float, int]] = deque()

    def record(self, total: int, now_s: float) -> None:
        """Add a sample of the total number of answers; a lower total restarts the window."""
        if self._totals and total < self._totals[-1][1]:
            self._totals.clear()
        self._totals.append((now_s, total))
        while now_s - self._totals[0][0] > WINDOW_S:
            self._totals.popleft()

    @property
    def per_s(self) -> float | None:
        """Answers per second; None while the samples span less than ``MIN_WINDOW_S``."""
        if not self._totals:
            return None
        (first_s, first), (last_s, last) = self._totals[0], self._totals[-1]
        if last_s - first_s < MIN_WINDOW_S:
            return None
        return (last - first) / (last_s - first_s)
