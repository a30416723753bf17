"""Retries as a share of traffic, so that an outage is not amplified by the retries it causes."""

from __future__ import annotations

from winchfork.constants import RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO


class RetryBudget:
    """Every first attempt earns ``ratio`` of a retry; a retry spends one; ``burst`` is the cap.

    Over a long outage attempts / requests stays at or under 1 + ratio, plus ``burst`` once.
    """

    def __init__(
        self, ratio: float = RETRY_BUDGET_RATIO, burst: float = RETRY_BUDGET_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def record_request(self) -> None:
        """Earn the share of one first attempt."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; False when the budget does not allow it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
