"""What all daemons together send to a replica that names a limit, in virtual time.

Each daemon has the real record of the limit and its place in the order; what is simulated is only
when requests come and when a daemon hears of a change of the fleet.
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
#: Within this time all daemons of a fleet have heard of a change of its members.
HEARD_WITHIN_S = 3.75


def most_in_window(sent_s: list[float]) -> int:
    """Return the most requests of any 4 s."""
    counts = [end + 1 - bisect.bisect_right(sent_s, at - WINDOW_S) for end, at in enumerate(sent_s)]
    return max(counts, default=0)


class LimitFleet:
    """The daemons of a fleet before one limited replica; places are numbers."""

    def __init__(self, daemons: int, per_s: float) -> None:
        self.now_s = 0.0
        self.limits = [RequestLimit() for _ in range(daemons)]
        self.sent_s: list[float] = []
        for place, limit in enumerate(self.limits):
            limit.set_position(LimitPosition(place, daemons), 0.0)
            limit.update(per_s, 0.0)

    def offer(self, limit: RequestLimit) -> bool:
        """Send a request of a daemon if it may; its answer names the limit again."""
        if limit.available_in_s(self.now_s) > 0.0:
            return False
        limit.record_sent(self.now_s)
        self.sent_s.append(self.now_s)
        assert limit.per_s is not None
        for other in self.limits:
            other.update(limit.per_s, self.now_s)
        return True

    def run(self, seconds: float, generator: random.Random, demand_per_s: float) -> None:
        """Let requests come to each daemon at random."""
        until_s = self.now_s + seconds
        mean_s = 1.0 / (demand_per_s * len(self.limits))
        while self.now_s < until_s:
            self.now_s += generator.expovariate(1.0) * mean_s
            self.offer(generator.choice(self.limits))

    def press(self, seconds: float) -> None:
        """Let requests wait at every daemon all the time."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            for limit in self.limits:
                self.offer(limit)


class LimitShareTest(unittest.TestCase):
    def test_no_window_holds_more_than_the_limit_and_one(self) -> None:
        for per_s in (0.0, 0.5, 1.0, 1.3, 2.5, 3.0, 8.0, 30.0):
            for daemons in (1, 3, 7, 15, 79):
                with self.subTest(per_s=per_s, daemons=daemons):
                    fleet = LimitFleet(daemons, per_s)
                    fleet.press(40.0)
                    allowed = WINDOW_S * max(per_s, MIN_REQUESTS_PER_S) + 1
                    self.assertLessEqual(most_in_window(fleet.sent_s), allowed)
                    self.assertGreaterEqual(len(fleet.sent_s) / 40.0, 0.9 * per_s)

    def test_nine_tenths_are_used_where_each_daemon_has_enough_requests(self) -> None:
        for daemons, demand_per_s in ((3, 10.0), (7, 14.0), (15, 14.0), (79, 14.0)):
            for per_s in (1.0, 3.0, 8.0):
                fleet = LimitFleet(daemons, per_s)
                fleet.run(100.0, random.Random(daemons), demand_per_s)
                self.assertGreaterEqual(len(fleet.sent_s) / 100.0, 0.9 * per_s, (daemons, per_s))

    def test_daemons_that_come_and_go_stay_within_what_is_allowed(self) -> None:
        """Every 8 s the order is another one, and each daemon hears of it at another time."""
        for daemons in (7, 79, 420):
            for per_s in (1.0, 3.0, 8.0):
                generator = random.Random(f"{daemons}/{per_s}")
                fleet = LimitFleet(daemons, per_s)
                for _ in range(6):
                    changed_s = fleet.now_s
                    places = generator.sample(range(daemons), daemons)
                    heard = sorted(
                        (changed_s + generator.random() * HEARD_WITHIN_S, number)
                        for number in range(daemons)
                    )
                    while fleet.now_s < changed_s + 8.0:
                        fleet.now_s += STEP_S
                        while heard and heard[0][0] <= fleet.now_s:
                            at_s, number = heard.pop(0)
                            order = LimitPosition(places[number], daemons)
                            fleet.limits[number].set_position(order, at_s + STABILIZATION_S)
                        for limit in fleet.limits:
                            fleet.offer(limit)
                allowed = 1.5 * per_s * WINDOW_S + 5
                self.assertLessEqual(most_in_window(fleet.sent_s), allowed, (daemons, per_s))

    def test_without_its_holders_the_others_try_in_turn(self) -> None:
        fleet = LimitFleet(20, 1.0)
        gone = fleet.limits.pop(0)
        self.assertTrue(gone.is_holder)
        fleet.press(TRIAL_AFTER_SILENCE_S - STEP_S)
        self.assertEqual(fleet.sent_s, [])
        fleet.press(TRIAL_TURN_S)
        self.assertEqual(len(fleet.sent_s), 1)
        fleet.press(60.0)
        self.assertLessEqual(most_in_window(fleet.sent_s), 1)
        self.assertGreater(len(fleet.sent_s), 3)

    def test_a_turn_comes_to_each_as_long_as_nobody_answers(self) -> None:
        limit = RequestLimit()
        limit.set_position(LimitPosition(17, 20), 0.0)
        limit.update(1.0, 0.0)
        opens_s = [at_s for at_s in range(100) if limit.available_in_s(at_s + 0.5) == 0.0]
        begins_s = TRIAL_AFTER_SILENCE_S + 16 * TRIAL_TURN_S
        self.assertEqual(opens_s, [begins_s, begins_s + 1, begins_s + 40, begins_s + 41])

    def test_a_smaller_limit_holds_at_once_from_the_last_request_on(self) -> None:
        limit = RequestLimit()
        limit.record_sent(10.0)
        limit.update(1.0, 10.1)
        self.assertAlmostEqual(limit.available_in_s(10.1), 1.0 / 0.95 - 0.2 - 0.1)
        limit.update(0.5, 10.2)
        self.assertGreater(limit.available_in_s(10.9), 0.9)
        limit.update(8.0, 10.3)
        self.assertEqual(limit.available_in_s(10.9), 0.0)
