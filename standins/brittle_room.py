"""The room of a stand-in replica that falls over when it has to reject too many requests."""

from __future__ import annotations

from collections import deque

#: Seconds in which rejections are counted.
WINDOW_S = 1.0


class BrittleRoom:
    """Admits ``size`` requests at once; too many rejections a second end the replica."""

    def __init__(self, size: int, tolerated_per_s: float) -> None:
        self.size = size
        self.tolerated_per_s = tolerated_per_s
        self.rejected = 0
        #: When the replica fell over, on the event loop's clock.
        self.falls_s: list[float] = []
        #: How long each admitted request ran, in seconds.
        self.runs_s: list[float] = []
        self._recent_s: deque[float] = deque()

    def has_room(self, running: int) -> bool:
        """Whether one more request is admitted beside ``running`` others."""
        return running < self.size

    def reject(self, now_s: float) -> bool:
        """Count a rejection; return whether the replica falls over."""
        self.rejected += 1
        self._recent_s.append(now_s)
        while self._recent_s[0] <= now_s - WINDOW_S:
            self._recent_s.popleft()
        if len(self._recent_s) <= self.tolerated_per_s:
            return False
        self._recent_s.clear()
        self.falls_s.append(now_s)
        return True
