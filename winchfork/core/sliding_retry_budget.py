"""One daemon's share of a retry budget that applies to all daemons together.

In every sliding window a service may receive ``ratio`` times its requests plus ``slack`` retries.
Each daemon may use ``ratio`` times its own requests and an equal part of the slack, so that the
total stays within the budget without coordination. A daemon that has just started gets no slack for
one window, since it may have used it before the restart.
"""

from __future__ import annotations

from collections import deque

import msgspec

#: Share of the allowance that is used, since the windows of daemons and back ends are not aligned.
SAFETY_SHARE = 0.8


class RetryAllowance(msgspec.Struct, frozen=True):
    """Maximum retries: ``ratio`` times the requests plus ``slack`` in each ``window_s`` seconds."""

    ratio: float
    slack: float
    window_s: float


class SlidingRetryBudget:
    """Counts requests and retries of each service in the last window. Not thread-safe."""

    def __init__(self, allowance: RetryAllowance, started_at_s: float) -> None:
        self._allowance = allowance
        self._started_at_s = started_at_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._trimmed(self._requests, service, now_s).append(now_s)

    def record_retry(self, service: str, now_s: float) -> None:
        """Count a retry that was sent regardless of the budget."""
        self._trimmed(self._retries, service, now_s).append(now_s)

    def remaining(self, service: str, daemons: int, now_s: float) -> float:
        """Return how many retries this daemon may still send to ``service`` now."""
        requests = len(self._trimmed(self._requests, service, now_s))
        retries = len(self._trimmed(self._retries, service, now_s))
        allowed = self._allowance.ratio * requests
        if now_s - self._started_at_s >= self._allowance.window_s:
            allowed += self._allowance.slack / max(1, daemons)
        return SAFETY_SHARE * allowed - retries

    def try_spend(self, service: str, daemons: int, now_s: float) -> bool:
        """Spend one retry; False when this daemon's share is exhausted."""
        if self.remaining(service, daemons, now_s) < 1.0:
            return False
        self.record_retry(service, now_s)
        return True

    def _trimmed(self, counts: dict[str, deque[float]], service: str, now_s: float) -> deque[float]:
        entries = counts.setdefault(service, deque())
        horizon_s = now_s - self._allowance.window_s
        while entries and entries[0] <= horizon_s:
            entries.popleft()
        return entries
