"""Limits retries to a share of the traffic, so that they do not amplify an outage."""

from __future__ import annotations

from winchfork.constants import RETRY_BUDGET_BURST, RETRY_BUDGET_RATIO


class RetryBudget:
    """Each first attempt adds ``ratio`` to the balance, a retry takes 1; ``burst`` caps it.

    During a long outage, attempts per request stay at or below 1 + ``ratio``, plus ``burst``
    retries once.
    """

    def __init__(
        self, ratio: float = RETRY_BUDGET_RATIO, burst: float = RETRY_BUDGET_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def record_request(self) -> None:
        """Add the share of one first attempt to the balance."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; False when the budget does not allow it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
