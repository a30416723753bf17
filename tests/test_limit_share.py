"""Tests that all daemons together stay within a replica's limit, in simulated time.

Each daemon uses a real :class:`RequestLimit`; requests and membership changes are simulated.
"""

from __future__ import annotations

import bisect
import random
import unittest

from winchfork.core.request_limit import (
    MIN_REQUESTS_PER_S,
    STABILIZATION_S,
    TRIAL_AFTER_SILENCE_S,
    TRIAL_TURN_S,
    LimitPosition,
    RequestLimit,
)

STEP_S = 0.01
WINDOW_S = 4.0
#: Time within which all daemons receive a membership change.
PROPAGATION_S = 3.75


def max_in_window(sent_s: list[float]) -> int:
    """Return the largest number of requests in any 4 s."""
    counts = [end + 1 - bisect.bisect_right(sent_s, at - WINDOW_S) for end, at in enumerate(sent_s)]
    return max(counts, default=0)


class LimitFleet:
    """The limits of one replica at all daemons; a daemon's rank is its index at first."""

    def __init__(self, daemons: int, per_s: float) -> None:
        self.now_s = 0.0
        self.limits = [RequestLimit() for _ in range(daemons)]
        self.sent_s: list[float] = []
        for rank, limit in enumerate(self.limits):
            limit.set_position(LimitPosition(rank, daemons), 0.0)
            limit.update(per_s, 0.0)

    def send_if_allowed(self, limit: RequestLimit) -> bool:
        """Send a request from a daemon if allowed; its answer announces the limit again."""
        if limit.available_in_s(self.now_s) > 0.0:
            return False
        limit.record_sent(self.now_s)
        self.sent_s.append(self.now_s)
        assert limit.per_s is not None
        for other in self.limits:
            other.update(limit.per_s, self.now_s)
        return True

    def run(self, seconds: float, generator: random.Random, demand_per_s: float) -> None:
        """Generate requests at each daemon at random times."""
        until_s = self.now_s + seconds
        mean_s = 1.0 / (demand_per_s * len(self.limits))
        while self.now_s < until_s:
            self.now_s += generator.expovariate(1.0) * mean_s
            self.send_if_allowed(generator.choice(self.limits))

    def saturate(self, seconds: float) -> None:
        """Send a request from every daemon as soon as it is allowed to."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            for limit in self.limits:
                self.send_if_allowed(limit)


class LimitShareTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit_by_more_than_one_request(self) -> None:
        for per_s in (0.0, 0.5, 1.0, 1.3, 2.5, 3.0, 8.0, 30.0):
            for daemons in (1, 3, 7, 15, 79):
                with self.subTest(per_s=per_s, daemons=daemons):
                    fleet = LimitFleet(daemons, per_s)
                    fleet.saturate(40.0)
                    allowed = WINDOW_S * max(per_s, MIN_REQUESTS_PER_S) + 1
                    self.assertLessEqual(max_in_window(fleet.sent_s), allowed)
                    self.assertGreaterEqual(len(fleet.sent_s) / 40.0, 0.9 * per_s)

    def test_nine_tenths_of_the_limit_are_used_under_enough_load(self) -> None:
        for daemons, demand_per_s in ((3, 10.0), (7, 14.0), (15, 14.0), (79, 14.0)):
            for per_s in (1.0, 3.0, 8.0):
                fleet = LimitFleet(daemons, per_s)
                fleet.run(100.0, random.Random(daemons), demand_per_s)
                self.assertGreaterEqual(len(fleet.sent_s) / 100.0, 0.9 * per_s, (daemons, per_s))

    def test_membership_changes_do_not_exceed_the_allowance(self) -> None:
        """The order changes every 8 s, and each daemon learns of it at a different time."""
        for daemons in (7, 79, 420):
            for per_s in (1.0, 3.0, 8.0):
                generator = random.Random(f"{daemons}/{per_s}")
                fleet = LimitFleet(daemons, per_s)
                for _ in range(6):
                    changed_s = fleet.now_s
                    ranks = generator.sample(range(daemons), daemons)
                    received = sorted(
                        (changed_s + generator.random() * PROPAGATION_S, number)
                        for number in range(daemons)
                    )
                    while fleet.now_s < changed_s + 8.0:
                        fleet.now_s += STEP_S
                        while received and received[0][0] <= fleet.now_s:
                            at_s, number = received.pop(0)
                            position = LimitPosition(ranks[number], daemons)
                            fleet.limits[number].set_position(position, at_s + STABILIZATION_S)
                        for limit in fleet.limits:
                            fleet.send_if_allowed(limit)
                allowed = 1.5 * per_s * WINDOW_S + 5
                self.assertLessEqual(max_in_window(fleet.sent_s), allowed, (daemons, per_s))

    def test_without_holders_the_others_send_trial_requests_in_turn(self) -> None:
        fleet = LimitFleet(20, 1.0)
        removed = fleet.limits.pop(0)
        self.assertTrue(removed.is_holder)
        fleet.saturate(TRIAL_AFTER_SILENCE_S - STEP_S)
        self.assertEqual(fleet.sent_s, [])
        fleet.saturate(TRIAL_TURN_S)
        self.assertEqual(len(fleet.sent_s), 1)
        fleet.saturate(60.0)
        self.assertLessEqual(max_in_window(fleet.sent_s), 1)
        self.assertGreater(len(fleet.sent_s), 3)

    def test_each_daemon_gets_a_turn_while_no_answer_arrives(self) -> None:
        limit = RequestLimit()
        limit.set_position(LimitPosition(17, 20), 0.0)
        limit.update(1.0, 0.0)
        available_at_s = [at_s for at_s in range(100) if limit.available_in_s(at_s + 0.5) == 0.0]
        turn_s = TRIAL_AFTER_SILENCE_S + 16 * TRIAL_TURN_S
        self.assertEqual(available_at_s, [turn_s, turn_s + 1, turn_s + 40, turn_s + 41])

    def test_a_changed_limit_applies_at_once_since_the_last_request(self) -> None:
        limit = RequestLimit()
        limit.record_sent(10.0)
        limit.update(1.0, 10.1)
        self.assertAlmostEqual(limit.available_in_s(10.1), 1.0 / 0.95 - 0.2 - 0.1)
        limit.update(0.5, 10.2)
        self.assertGreater(limit.available_in_s(10.9), 0.9)
        limit.update(8.0, 10.3)
        self.assertEqual(limit.available_in_s(10.9), 0.0)
