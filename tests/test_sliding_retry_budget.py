"""The retry budget holds in every sliding window over all daemons, including restarted ones."""

from __future__ import annotations

import random
import unittest

from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget

ALLOWANCE = RetryAllowance(ratio=0.2, slack=54.0, window_s=10.0)


class SlidingBudgetTest(unittest.TestCase):
    def test_daemon_has_no_slack_in_the_first_window_after_its_start(self) -> None:
        budget = SlidingRetryBudget(ALLOWANCE, started_at_s=100.0)
        self.assertFalse(budget.try_spend("app", 5, 101.0))
        self.assertTrue(budget.try_spend("app", 5, 111.0))

    def test_requests_add_retries_for_their_own_service_only(self) -> None:
        budget = SlidingRetryBudget(ALLOWANCE, started_at_s=0.0)
        for number in range(50):
            budget.record_request("app", 1.0 + number * 0.01)
        spent = sum(budget.try_spend("app", 5, 2.0) for _ in range(50))
        self.assertEqual(spent, 8)
        self.assertFalse(budget.try_spend("other", 5, 2.0))

    def test_no_window_of_a_fleet_exceeds_the_bound(self) -> None:
        """Seven daemons retry whenever the budget allows; one restarts every three seconds."""
        generator = random.Random(7)
        daemons = [SlidingRetryBudget(ALLOWANCE, started_at_s=-20.0) for _ in range(7)]
        requests: list[float] = []
        retries: list[float] = []
        for step in range(6000):
            now_s = step * 0.01
            if step % 300 == 299:
                daemons[generator.randrange(7)] = SlidingRetryBudget(ALLOWANCE, now_s)
            budget = generator.choice(daemons)
            if generator.random() < 0.3:
                budget.record_request("app", now_s)
                requests.append(now_s)
            if budget.try_spend("app", 7, now_s):
                retries.append(now_s)
        for end_s in [step * 0.25 for step in range(40, 240)]:
            in_window = sum(1 for at_s in retries if end_s - 10.0 < at_s <= end_s)
            max_requests = max(
                sum(1 for at_s in requests if end_s - back - 10.0 < at_s <= end_s - back)
                for back in (0.0, 5.0, 10.0)
            )
            self.assertLessEqual(in_window, 0.2 * max_requests + 54.0)
