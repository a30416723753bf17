"""Tests the error rates and the speed of the version test, the rollout plan and the exposure."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from winchfork.core.answer_rate import AnswerRate
from winchfork.core.exposure import ExposureCredit, bucket_of
from winchfork.core.software_plan import (
    TRIAL_SPEND_TIME_SHARE,
    ExposureLimits,
    RolloutView,
    next_step,
    trial_share,
)
from winchfork.core.software_state import (
    RolloutOutcome,
    SoftwareOrder,
    SoftwarePhase,
    SoftwareState,
    StopCause,
    infer_in_force,
    version_rule,
)
from winchfork.core.version_evidence import AnswerCounts, Assessment, Evidence, VersionTest

#: The old version's share of failures, by route.
ROUTES = {1: 0.01, 2: 0.14}
#: The new version's answers per route and evaluation.
CHECK_ANSWERS = 4


class _Rollout:
    """Random answers of both versions, evaluated in steps.

    ``excess`` returns what is added to the new version's share of failures, by step, route and
    replica.
    """

    def __init__(
        self, seed: int, excess: Callable[[int, int, int], float], replicas: int = 5
    ) -> None:
        self.generator = random.Random(seed)
        self.excess = excess
        self.replicas = replicas
        self.old = {route: AnswerCounts() for route in ROUTES}
        self.new = {
            replica: {route: AnswerCounts() for route in ROUTES}
            for replica in range(1, replicas + 1)
        }
        self.test = VersionTest()
        self.bad = 0

    @property
    def evidence(self) -> Evidence:
        return Evidence(self.old, self.new)

    def check(self, step: int) -> bool:
        """Draw some answers and evaluate them; True if the test raises its alarm."""
        for route, share in ROUTES.items():
            for _ in range(8 * CHECK_ANSWERS):
                self.old[route].add(AnswerCounts(1, int(self.generator.random() < share)))
            for _ in range(CHECK_ANSWERS):
                replica = self.generator.randint(1, self.replicas)
                new_share = share + self.excess(step, route, replica)
                failed = self.generator.random() < new_share
                self.bad += failed
                self.new[replica][route].add(AnswerCounts(1, int(failed)))
        return self.test.evaluate(self.evidence) is not None

    def bad_until_alarm(self, checks: int = 200) -> int | None:
        """Return the number of bad answers at the alarm; None without an alarm."""
        for step in range(checks):
            if self.check(step):
                return self.bad
        return None


class ErrorsTest(unittest.TestCase):
    def test_good_versions_raise_no_alarm_and_are_approved(self) -> None:
        """40 rollouts of 1,200 answers each."""
        for seed in range(40):
            rollout = _Rollout(seed, lambda step, route, replica: 0.0)
            self.assertIsNone(rollout.bad_until_alarm(150), seed)
            self.assertIs(rollout.test.assessment, Assessment.GOOD, seed)

    def test_bad_versions_are_found_within_fifty_bad_answers(self) -> None:
        kinds = {
            "at once": lambda step, route, replica: 0.35,
            "late": lambda step, route, replica: 0.35 if step >= 60 else 0.0,
            "on the route that fails often": lambda s, route, r: 0.35 if route == 2 else 0.0,
            "on the other route": lambda s, route, r: 0.3 if route == 1 else 0.0,
        }
        for name, excess in kinds.items():
            for seed in range(20):
                rollout = _Rollout(seed, excess)
                before = 0
                if name == "late":
                    for step in range(60):
                        self.assertFalse(rollout.check(step), seed)
                    before = rollout.bad
                    rollout.excess = lambda step, route, replica: 0.35
                found = rollout.bad_until_alarm()
                assert found is not None, (name, seed)
                self.assertLess(found - before, 50, (name, seed))

    def test_one_faulty_replica_raises_no_alarm(self) -> None:
        for seed in range(20):
            rollout = _Rollout(seed, lambda step, route, replica: 0.4 if replica == 1 else 0.0)
            self.assertIsNone(rollout.bad_until_alarm(100), seed)

    def test_few_answers_do_not_approve_a_version(self) -> None:
        rollout = _Rollout(1, lambda step, route, replica: 0.0)
        rollout.check(0)
        self.assertIsNot(rollout.test.assessment, Assessment.GOOD)


class PlanTest(unittest.TestCase):
    LIMITS = ExposureLimits(0.1, 50.0, 5.0)
    DURATION_S = 12.0

    def view(self, **changes: Any) -> RolloutView:
        elapsed_s = changes.setdefault("elapsed_s", 1.0)
        fields: dict[str, Any] = {
            "remaining_s": self.DURATION_S - elapsed_s,
            "stage_s": 2.0,
            "new_replicas": 45,
            "new_slots": 1080,
            "old_slots": 1080,
            "old_running": 3,
            "all_daemons_reported": True,
            "new_answers": 0,
            "all_answers": 200,
            "assessment": Assessment.INCONCLUSIVE,
            "stop_cause": None,
            "longest_run_s": 1.0,
        }
        fields["recent_per_s"] = (fields | changes)["all_answers"] / elapsed_s
        return RolloutView(**(fields | changes))

    def running(self, phase: SoftwarePhase, share: float) -> SoftwareState:
        order = SoftwareOrder("s", "v2", self.DURATION_S, 7)
        return SoftwareState("s", "v1").with_order(order).advanced(phase, share, 0.5)

    def test_the_trial_share_follows_the_request_rate_and_the_unspent_budget(self) -> None:
        state = self.running(SoftwarePhase.TRIAL, 0.05)
        share = trial_share(state, self.view(), self.LIMITS)
        spent = share * 200.0 * (TRIAL_SPEND_TIME_SHARE * 6.0 - 1.0)
        budget = 0.1 * 200.0 * 12.0 + 50.0
        self.assertAlmostEqual(spent, 0.25 * budget, delta=1.0)
        less = trial_share(state, self.view(new_answers=60), self.LIMITS)
        self.assertLess(less, share)

    def test_a_move_requires_its_start_time_approval_and_capacity(self) -> None:
        state = self.running(SoftwarePhase.TRIAL, 0.05)
        ready: dict[str, object] = {"elapsed_s": 6.1, "assessment": Assessment.GOOD, "stage_s": 0.2}
        step = next_step(state, self.view(**ready), self.LIMITS)
        assert step is not None
        self.assertIs(step.state.phase, SoftwarePhase.MOVING)
        lacks: tuple[dict[str, object], ...] = (
            {"elapsed_s": 3.0},
            {"assessment": Assessment.INCONCLUSIVE, "all_answers": 1200, "new_answers": 60},
            {"assessment": Assessment.PROBABLE, "all_answers": 1200, "new_answers": 60},
            {"assessment": Assessment.SUSPECT},
            {"new_slots": 500},
        )
        for lacking in lacks:
            self.assertIsNone(next_step(state, self.view(**(ready | lacking)), self.LIMITS))

    def test_a_service_with_few_requests_moves_within_the_budget_without_approval(self) -> None:
        """A short trial of a service with few requests never gets enough answers for approval."""
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 60, "new_answers": 14}
        step = next_step(state, self.view(**few, assessment=Assessment.PROBABLE), self.LIMITS)
        assert step is not None
        self.assertIs(step.state.phase, SoftwarePhase.MOVING)
        for assessment in (Assessment.INCONCLUSIVE, Assessment.SUSPECT):
            view = self.view(**few, assessment=assessment)
            self.assertIsNone(next_step(state, view, self.LIMITS), assessment)

    def test_ten_good_answers_make_a_version_probable_and_three_do_not(self) -> None:
        """Guards against putting a slow version in force on very few answers."""
        for answers, assessment in ((3, Assessment.INCONCLUSIVE), (10, Assessment.PROBABLE)):
            test = VersionTest()
            old = {1: AnswerCounts(40, 0, 0)}
            test.evaluate(Evidence(old, {7: {1: AnswerCounts(answers, 0, 0)}}))
            self.assertIs(test.assessment, assessment, answers)
        test.evaluate(Evidence(old, {7: {1: AnswerCounts(14, 0, 3)}}))
        self.assertIs(test.assessment, Assessment.SUSPECT)

    def test_a_mean_rate_lowered_by_faults_does_not_justify_a_move(self) -> None:
        """Guards against exceeding the exposure budget after an outage of routers or store.

        The mean rate since the order is then lower than the recent rate.
        """
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 40, "new_answers": 3}
        for per_s in (None, 25.0):
            view = self.view(**few, recent_per_s=per_s, assessment=Assessment.PROBABLE)
            self.assertIsNone(next_step(state, view, self.LIMITS), per_s)

    def test_an_unapproved_version_is_rolled_back_at_the_budget(self) -> None:
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 60, "new_answers": 14}
        moving = next_step(state, self.view(**few, assessment=Assessment.PROBABLE), self.LIMITS)
        assert moving is not None
        exhausted = self.view(elapsed_s=9.0, stage_s=0.2, all_answers=150, new_answers=60)
        for phase in (SoftwarePhase.MOVING, SoftwarePhase.MOVED):
            moved = moving.state.advanced(phase, 1.0, 7.5)
            step = next_step(moved, exhausted, self.LIMITS)
            assert step is not None
            self.assertIs(step.state.outcome, RolloutOutcome.ROLLED_BACK)
            self.assertEqual(step.state.judged_bad, ())
            approved = msgspec.structs.replace(exhausted, assessment=Assessment.GOOD)
            self.assertIsNone(next_step(moved, approved, self.LIMITS))

    def test_an_approved_version_is_not_bound_by_the_budget(self) -> None:
        """A new leader may have too few answers to approve it again."""
        state = self.running(SoftwarePhase.TRIAL, 0.05)
        ready = self.view(elapsed_s=6.1, assessment=Assessment.GOOD, stage_s=0.2)
        moving = next_step(state, ready, self.LIMITS)
        assert moving is not None
        inconclusive = self.view(elapsed_s=7.0, stage_s=0.2, all_answers=1400, new_answers=900)
        self.assertIsNone(next_step(moving.state, inconclusive, self.LIMITS))

    def test_the_answer_rate_uses_a_sliding_window(self) -> None:
        rate = AnswerRate()
        for tick in range(8):
            rate.record(0, 0.1 * tick)
        self.assertIsNone(rate.per_s)
        for tick in range(8, 40):
            rate.record(2 * (tick - 8), 0.1 * tick)
        assert rate.per_s is not None
        self.assertAlmostEqual(rate.per_s, 20.0, delta=0.5)
        rate.record(1, 4.1)
        self.assertIsNone(rate.per_s)

    def test_completion_waits_for_idle_old_replicas_until_the_time_limit(self) -> None:
        state = self.running(SoftwarePhase.MOVED, 1.0)
        self.assertIsNone(next_step(state, self.view(elapsed_s=8.0), self.LIMITS))
        idle = next_step(state, self.view(elapsed_s=8.0, old_running=0), self.LIMITS)
        late = next_step(state, self.view(elapsed_s=11.5), self.LIMITS)
        removed = next_step(state, self.view(elapsed_s=11.5, new_slots=0), self.LIMITS)
        assert idle is not None and late is not None and removed is not None
        unreported = self.view(elapsed_s=8.0, old_running=0, all_daemons_reported=False)
        self.assertIsNone(next_step(state, unreported, self.LIMITS))
        self.assertIs(idle.state.outcome, RolloutOutcome.COMPLETED)
        self.assertEqual(idle.state.in_force, "v2")
        self.assertIs(late.state.outcome, RolloutOutcome.COMPLETED)
        self.assertIs(removed.state.outcome, RolloutOutcome.ROLLED_BACK)
        self.assertEqual(removed.state.judged_bad, ())

    def test_an_alarm_rolls_back_in_every_phase_and_is_recorded(self) -> None:
        for phase in (SoftwarePhase.TRIAL, SoftwarePhase.MOVING, SoftwarePhase.MOVED):
            step = next_step(
                self.running(phase, 0.3), self.view(stop_cause=StopCause.BAD), self.LIMITS
            )
            assert step is not None
            self.assertEqual(step.state.judged_bad, ("v2",))
            self.assertEqual(version_rule(step.state, on_target=True).preferred, "v1")


class ExposureTest(unittest.TestCase):
    def test_a_hot_family_gets_no_more_than_the_share(self) -> None:
        hot = next(name for name in map(str, range(99)) if bucket_of(name, 7) < 0.03)
        credit, exposed = ExposureCredit(0.5), 0
        for _ in range(10_000):
            credit.earn(0.03)
            exposed += credit.spend(bucket_of(hot, 7), 0.03)
        self.assertLessEqual(exposed, 302)

    def test_restarts_do_not_increase_the_mean_exposure(self) -> None:
        """A daemon that restarts every few requests still sends the share on average."""
        generator, exposed = random.Random(3), 0
        for _ in range(2_000):
            credit = ExposureCredit(generator.random())
            for _ in range(5):
                credit.earn(0.04)
                exposed += credit.spend(0.0, 0.04)
        self.assertAlmostEqual(exposed / 10_000, 0.04, delta=0.01)

    def test_the_most_common_version_except_the_target_is_taken_as_in_force(self) -> None:
        listed = ["v1", "v1", "v2", "v2", "v2"]
        self.assertEqual(infer_in_force(listed, listed), "v2")
        self.assertEqual(infer_in_force(listed, listed, "v2"), "v1")
        self.assertEqual(infer_in_force([], listed[:2]), "v1")


if __name__ == "__main__":
    unittest.main()
