"""Staleness of a daemon's copy of the operators' documents.

A proof states that the documents were current at a time of this daemon's monotonic clock. The age
of the newest proof grows while the process is suspended, and steps of the wall clock do not
affect it.
"""

from __future__ import annotations

import math


class Freshness:
    """The latest time at which the documents were proven current. Times are in seconds."""

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
        """Time of the newest proof; minus infinity when there is none."""
        return self._proven_at_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the newest proof; infinite when there is none."""
        return now_s - self._proven_at_s
