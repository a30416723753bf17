"""How often the test of a new version errs, and how soon it speaks."""

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

#: Share of failures of the old version, by route.
ROUTES = {1: 0.01, 2: 0.14}
LOOK_ANSWERS = 4


class _Rollout:
    """Answers of both versions, drawn look by look; ``worse`` adds to the new one's failures."""

    def __init__(
        self, seed: int, worse: Callable[[int, int, int], float], replicas: int = 5
    ) -> None:
        self.generator = random.Random(seed)
        self.worse = worse
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

    def look(self, number: int) -> bool:
        """Draw some answers; True if the test raises its alarm."""
        for route, share in ROUTES.items():
            for _ in range(8 * LOOK_ANSWERS):
                self.old[route].add(AnswerCounts(1, int(self.generator.random() < share)))
            for _ in range(LOOK_ANSWERS):
                replica = self.generator.randint(1, self.replicas)
                worse = share + self.worse(number, route, replica)
                failed = self.generator.random() < worse
                self.bad += failed
                self.new[replica][route].add(AnswerCounts(1, int(failed)))
        return self.test.evaluate(self.evidence) is not None

    def bad_until_alarm(self, looks: int = 200) -> int | None:
        """Return the bad answers that were seen when the alarm came; None if none came."""
        for number in range(looks):
            if self.look(number):
                return self.bad
        return None


class ErrorsTest(unittest.TestCase):
    def test_good_versions_raise_no_alarm_and_are_approved(self) -> None:
        """40 rollouts of 1,200 answers each."""
        for seed in range(40):
            rollout = _Rollout(seed, lambda number, route, replica: 0.0)
            self.assertIsNone(rollout.bad_until_alarm(150), seed)
            self.assertIs(rollout.test.assessment, Assessment.GOOD, seed)

    def test_bad_versions_are_found_within_fifty_bad_answers(self) -> None:
        kinds = {
            "at once": lambda number, route, replica: 0.35,
            "late": lambda number, route, replica: 0.35 if number >= 60 else 0.0,
            "on the route that fails often": lambda n, route, r: 0.35 if route == 2 else 0.0,
            "on the other route": lambda n, route, r: 0.3 if route == 1 else 0.0,
        }
        for name, worse in kinds.items():
            for seed in range(20):
                rollout = _Rollout(seed, worse)
                before = 0
                if name == "late":
                    for number in range(60):
                        self.assertFalse(rollout.look(number), seed)
                    before = rollout.bad
                    rollout.worse = lambda number, route, replica: 0.35
                found = rollout.bad_until_alarm()
                assert found is not None, (name, seed)
                self.assertLess(found - before, 50, (name, seed))

    def test_one_replica_that_fails_by_itself_does_not_decide(self) -> None:
        for seed in range(20):
            rollout = _Rollout(seed, lambda number, route, replica: 0.4 if replica == 1 else 0.0)
            self.assertIsNone(rollout.bad_until_alarm(100), seed)

    def test_nothing_is_approved_by_little(self) -> None:
        rollout = _Rollout(1, lambda number, route, replica: 0.0)
        rollout.look(0)
        self.assertIsNot(rollout.test.assessment, Assessment.GOOD)


class PlanTest(unittest.TestCase):
    LIMITS = ExposureLimits(0.1, 50.0, 5.0)
    DURATION_S = 12.0

    def view(self, **changes: Any) -> RolloutView:
        elapsed_s = changes.setdefault("elapsed_s", 1.0)
        fields: dict[str, Any] = {
            "left_s": self.DURATION_S - elapsed_s,
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

    def test_the_trial_spends_a_part_of_the_budget_by_the_requests_seen(self) -> None:
        state = self.running(SoftwarePhase.TRIAL, 0.05)
        share = trial_share(state, self.view(), self.LIMITS)
        spent = share * 200.0 * (TRIAL_SPEND_TIME_SHARE * 6.0 - 1.0)
        budget = 0.1 * 200.0 * 12.0 + 50.0
        self.assertAlmostEqual(spent, 0.25 * budget, delta=1.0)
        less = trial_share(state, self.view(new_answers=60), self.LIMITS)
        self.assertLess(less, share)

    def test_nothing_moves_before_its_time_its_approval_and_its_capacity(self) -> None:
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

    def test_a_service_with_few_requests_moves_on_what_the_budget_allows(self) -> None:
        """17 requests a second never show enough in a trial of some seconds."""
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 60, "new_answers": 14}
        step = next_step(state, self.view(**few, assessment=Assessment.PROBABLE), self.LIMITS)
        assert step is not None
        self.assertIs(step.state.phase, SoftwarePhase.MOVING)
        for opinion in (Assessment.INCONCLUSIVE, Assessment.SUSPECT):
            view = self.view(**few, assessment=opinion)
            self.assertIsNone(next_step(state, view, self.LIMITS), opinion)

    def test_three_good_answers_do_not_speak_for_a_version_and_ten_do(self) -> None:
        """Slow versions were put in force on 2 to 24 answers, where few requests came through."""
        for answers, opinion in ((3, Assessment.INCONCLUSIVE), (10, Assessment.PROBABLE)):
            test = VersionTest()
            old = {1: AnswerCounts(40, 0, 0)}
            test.evaluate(Evidence(old, {7: {1: AnswerCounts(answers, 0, 0)}}))
            self.assertIs(test.assessment, opinion, answers)
        test.evaluate(Evidence(old, {7: {1: AnswerCounts(14, 0, 3)}}))
        self.assertIs(test.assessment, Assessment.SUSPECT)

    def test_few_requests_that_faults_kept_away_are_no_reason_to_move(self) -> None:
        """A slow version got 85 of 156 requests where 66 are allowed, in a soak.

        It began to move 0.2 s after its trial, "what is left is within the budget": the store and
        routers had been away for most of the 4 s since the order, so few answers had been counted,
        and 25 a second came from then on.
        """
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 40, "new_answers": 3}
        for per_s in (None, 25.0):
            view = self.view(**few, recent_per_s=per_s, assessment=Assessment.PROBABLE)
            self.assertIsNone(next_step(state, view, self.LIMITS), per_s)

    def test_a_version_that_moved_without_approval_gets_no_more_than_the_budget(self) -> None:
        state = self.running(SoftwarePhase.TRIAL, 0.3)
        few = {"elapsed_s": 7.0, "stage_s": 0.2, "all_answers": 60, "new_answers": 14}
        moving = next_step(state, self.view(**few, assessment=Assessment.PROBABLE), self.LIMITS)
        assert moving is not None
        spent = self.view(elapsed_s=9.0, stage_s=0.2, all_answers=150, new_answers=60)
        for phase in (SoftwarePhase.MOVING, SoftwarePhase.MOVED):
            moved = moving.state.advanced(phase, 1.0, 7.5)
            step = next_step(moved, spent, self.LIMITS)
            assert step is not None
            self.assertIs(step.state.outcome, RolloutOutcome.ROLLED_BACK)
            self.assertEqual(step.state.judged_bad, ())
            approved = msgspec.structs.replace(spent, assessment=Assessment.GOOD)
            self.assertIsNone(next_step(moved, approved, self.LIMITS))

    def test_a_version_that_was_approved_is_not_bound_by_the_budget(self) -> None:
        """A leader that has just taken over may know too little to approve it once more."""
        state = self.running(SoftwarePhase.TRIAL, 0.05)
        ready = self.view(elapsed_s=6.1, assessment=Assessment.GOOD, stage_s=0.2)
        moving = next_step(state, ready, self.LIMITS)
        assert moving is not None
        open_again = self.view(elapsed_s=7.0, stage_s=0.2, all_answers=1400, new_answers=900)
        self.assertIsNone(next_step(moving.state, open_again, self.LIMITS))

    def test_a_rate_is_known_after_a_while_and_forgets_what_came_before(self) -> None:
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

    def test_completed_waits_for_the_old_replicas_and_not_beyond_the_time_limit(self) -> None:
        state = self.running(SoftwarePhase.MOVED, 1.0)
        self.assertIsNone(next_step(state, self.view(elapsed_s=8.0), self.LIMITS))
        idle = next_step(state, self.view(elapsed_s=8.0, old_running=0), self.LIMITS)
        late = next_step(state, self.view(elapsed_s=11.5), self.LIMITS)
        gone = next_step(state, self.view(elapsed_s=11.5, new_slots=0), self.LIMITS)
        assert idle is not None and late is not None and gone is not None
        unheard = self.view(elapsed_s=8.0, old_running=0, all_daemons_reported=False)
        self.assertIsNone(next_step(state, unheard, self.LIMITS))
        self.assertIs(idle.state.outcome, RolloutOutcome.COMPLETED)
        self.assertEqual(idle.state.in_force, "v2")
        self.assertIs(late.state.outcome, RolloutOutcome.COMPLETED)
        self.assertIs(gone.state.outcome, RolloutOutcome.ROLLED_BACK)
        self.assertEqual(gone.state.judged_bad, ())

    def test_an_alarm_rolls_back_in_every_phase_and_is_remembered(self) -> None:
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
        credit, spent = ExposureCredit(0.5), 0
        for _ in range(10_000):
            credit.earn(0.03)
            spent += credit.spend(bucket_of(hot, 7), 0.03)
        self.assertLessEqual(spent, 302)

    def test_starts_do_not_add_up(self) -> None:
        """A daemon that restarts every few requests spends the share in the mean."""
        generator, spent = random.Random(3), 0
        for _ in range(2_000):
            credit = ExposureCredit(generator.random())
            for _ in range(5):
                credit.earn(0.04)
                spent += credit.spend(0.0, 0.04)
        self.assertAlmostEqual(spent / 10_000, 0.04, delta=0.01)

    def test_the_version_of_most_replicas_is_in_force_but_never_the_target(self) -> None:
        listed = ["v1", "v1", "v2", "v2", "v2"]
        self.assertEqual(infer_in_force(listed, listed), "v2")
        self.assertEqual(infer_in_force(listed, listed, "v2"), "v1")
        self.assertEqual(infer_in_force([], listed[:2]), "v1")


if __name__ == "__main__":
    unittest.main()
