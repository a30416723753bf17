"""How old a daemon's knowledge of the operators' documents is.

A proof says that the documents were current at a moment of this daemon's monotonic clock. Nothing
is inferred from silence, and the time of day is never read: a freeze ages every proof, a clock step
none.
"""

from __future__ import annotations

import math


class Freshness:
    """The newest moment at which the documents were proven current."""

    def __init__(self) -> None:
        self._proven_at_s = -math.inf

    def prove(self, at_s: float) -> bool:
        """Record that the documents were current at ``at_s``; False for an older proof."""
        if at_s <= self._proven_at_s:
            return False
        self._proven_at_s = at_s
        return True

    @property
    def proven_at_s(self) -> float:
        """The newest moment that is proven; minus infinity when there is none."""
        return self._proven_at_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the newest proof; infinite when there is none."""
        return now_s - self._proven_at_s
