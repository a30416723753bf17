"""The retry budget holds in every sliding window, over all daemons, restarts included."""

from __future__ import annotations

import random
import unittest

from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget

ALLOWANCE = RetryAllowance(ratio=0.2, slack=54.0, window_s=10.0)


class SlidingBudgetTest(unittest.TestCase):
    def test_a_daemon_that_has_just_started_has_no_slack(self) -> None:
        budget = SlidingRetryBudget(ALLOWANCE, started_at_s=100.0)
        self.assertFalse(budget.try_spend("app", 5, 101.0))
        self.assertTrue(budget.try_spend("app", 5, 111.0))

    def test_requests_earn_repeats(self) -> None:
        budget = SlidingRetryBudget(ALLOWANCE, started_at_s=0.0)
        for number in range(50):
            budget.record_request("app", 1.0 + number * 0.01)
        taken = sum(budget.try_spend("app", 5, 2.0) for _ in range(50))
        self.assertEqual(taken, 8)
        self.assertFalse(budget.try_spend("other", 5, 2.0))

    def test_no_window_of_a_fleet_exceeds_the_bound(self) -> None:
        """Seven daemons that always want to repeat, one of which restarts every three seconds."""
        generator = random.Random(7)
        daemons = [SlidingRetryBudget(ALLOWANCE, started_at_s=-20.0) for _ in range(7)]
        requests: list[float] = []
        repeats: list[float] = []
        for step in range(6000):
            now_s = step * 0.01
            if step % 300 == 299:
                daemons[generator.randrange(7)] = SlidingRetryBudget(ALLOWANCE, now_s)
            budget = generator.choice(daemons)
            if generator.random() < 0.3:
                budget.record_request("app", now_s)
                requests.append(now_s)
            if budget.try_spend("app", 7, now_s):
                repeats.append(now_s)
        for end_s in [step * 0.25 for step in range(40, 240)]:
            in_window = sum(1 for at_s in repeats if end_s - 10.0 < at_s <= end_s)
            counted = max(
                sum(1 for at_s in requests if end_s - back - 10.0 < at_s <= end_s - back)
                for back in (0.0, 5.0, 10.0)
            )
            self.assertLessEqual(in_window, 0.2 * counted + 54.0)
