"""How many answers a second a service gives, from totals that are looked at now and then.

Times are seconds of one clock, given in.
"""

from __future__ import annotations

from collections import deque

#: Seconds over which answers are counted, and at least, for a rate to be known.
WINDOW_S = 2.0
MIN_WINDOW_S = 0.8


class AnswerRate:
    """Keeps the totals of the last seconds. Not thread-safe."""

    def __init__(self) -> None:
        self._totals: deque[tuple[float, int]] = deque()

    def record(self, total: int, now_s: float) -> None:
        """Take in how many answers there have been so far; a lower total begins anew."""
        if self._totals and total < self._totals[-1][1]:
            self._totals.clear()
        self._totals.append((now_s, total))
        while now_s - self._totals[0][0] > WINDOW_S:
            self._totals.popleft()

    @property
    def per_s(self) -> float | None:
        """Answers a second; None while too short a time was seen."""
        if not self._totals:
            return None
        (first_s, first), (last_s, last) = self._totals[0], self._totals[-1]
        if last_s - first_s < MIN_WINDOW_S:
            return None
        return (last - first) / (last_s - first_s)
