"""Software rollouts of good and bad versions, and all kinds of orders. Virtual time."""

from __future__ import annotations

import asyncio
import json
import random
import unittest

from tests.rollout_behaviours import bad_version, failing, phase_is, slowed, wait_until
from tests.rollout_fleet import (
    DURATION_S,
    SERVICE,
    Answer,
    Behaviour,
    Request,
    RolloutFleet,
    healthy,
    run_in_rollout_fleet,
)
from winchfork.core.software_state import SoftwarePhase


class GoodVersionTest(unittest.TestCase):
    def test_it_completes_in_time_once_the_old_replicas_are_idle(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            took_s = await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))
            self.assertLess(took_s, 0.85 * DURATION_S)
            for daemon in fleet.daemons:
                old = [
                    replica
                    for replica in daemon.state.fleet.of_service(SERVICE)
                    if replica.listing.software == "v1"
                ]
                self.assertEqual([replica.in_flight for replica in old], [0] * len(old))
            fleet.requests.clear()
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.requests), {"v2"})

        run_in_rollout_fleet(scenario)

    def test_a_single_bad_replica_of_each_version_does_not_cause_a_rollback(self) -> None:
        """One of six replicas fails 40 % of its requests, in the old and in the new version."""

        def behaviour(request: Request, generator: random.Random) -> Answer:
            if request.replica in ("v2-0", "v1-0") and generator.random() < 0.4:
                return Answer(failed=True)
            return healthy(request, generator)

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = behaviour
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario)

    def test_a_period_in_which_both_versions_are_slow_does_not_cause_a_rollback(self) -> None:
        def behaviour(request: Request, generator: random.Random) -> Answer:
            answer = healthy(request, generator)
            return slowed(answer) if 2.0 < request.at_s < 4.0 else answer

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = behaviour
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario)

    def test_it_completes_in_a_fleet_with_hubs(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario, daemons=16)


class BadVersionTest(unittest.TestCase):
    def check_rollback(self, behaviour: Behaviour, daemons: int = 6) -> float:
        """Roll out a bad version, and return when the target last got a request.

        Checks that it is rolled back within the budget.
        """
        last: list[float] = []

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = behaviour
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            await fleet.wait_for_time_limit()
            self.assertGreaterEqual(fleet.budget_left(), 0.0)
            self.assertLess(fleet.bad_answers, 50)
            fleet.requests.clear()
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.requests), {"v1"})
            last.append(fleet.last_request_s["v2"])

        run_in_rollout_fleet(scenario, daemons)
        return last[0]

    def test_failures_from_the_start(self) -> None:
        self.assertLess(self.check_rollback(bad_version(failing)), 0.5 * DURATION_S)

    def test_failures_from_the_start_in_a_fleet_with_hubs(self) -> None:
        self.assertLess(self.check_rollback(bad_version(failing), daemons=16), 0.5 * DURATION_S)

    def test_slow_answers_from_the_start(self) -> None:
        self.assertLess(self.check_rollback(bad_version(slowed)), 0.5 * DURATION_S)

    def test_failures_on_the_route_that_also_fails_in_the_old_version(self) -> None:
        self.check_rollback(bad_version(failing, lambda request: request.route == "read", 0.45))

    def test_failures_that_begin_late_in_the_trial(self) -> None:
        self.check_rollback(bad_version(failing, lambda request: request.at_s > 0.4 * DURATION_S))

    def test_failures_that_begin_when_all_requests_have_moved(self) -> None:
        self.check_rollback(bad_version(failing, lambda request: request.at_s > 0.6 * DURATION_S))

    def test_failures_under_load_only(self) -> None:
        self.check_rollback(bad_version(failing, lambda request: request.running >= 1, 0.6))


class UnapprovedMoveTest(unittest.TestCase):
    """Moves of a service with too few answers to approve a version in time.

    Such a version moves because the expected requests fit into the budget. Guards against moves
    that exceed the budget when more requests arrive than expected.
    """

    def play(self, *, lose_leader: bool) -> None:
        """Roll out a version that gets slow once all has moved, while the load rises sixfold."""

        async def scenario(fleet: RolloutFleet) -> None:
            has_moved = False

            def slow_once_moved(request: Request, generator: random.Random) -> Answer:
                is_slow = has_moved and request.software == "v2"
                return slowed(Answer()) if is_slow else Answer()

            fleet.behaviour = slow_once_moved
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVED))
            has_moved = True
            fleet.rate_per_s *= 6.0
            if lose_leader:
                fleet.kill(fleet.leader())
            await fleet.wait_for_time_limit()
            self.assertGreaterEqual(fleet.budget_left(), 0.0)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            self.assertEqual(fleet.record().judged_bad, ())

        run_in_rollout_fleet(scenario, daemons=3, replicas=4, rate_per_s=2.0)

    def test_the_budget_holds_when_more_requests_come_than_expected(self) -> None:
        self.play(lose_leader=False)

    def test_the_budget_holds_when_the_leader_is_lost(self) -> None:
        self.play(lose_leader=True)


class MarginsTest(unittest.TestCase):
    """Repeats the scenarios that come closest to a wrong outcome, with other random seeds."""

    def play(self, behaviour: Behaviour, outcome: str) -> list[float]:
        """Run four rollouts, check the outcome, and return what each left of the budget."""
        left: list[float] = []

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.generator = random.Random(100 + len(left))
            fleet.behaviour = behaviour
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status()[0], outcome, len(left))
            await fleet.wait_for_time_limit()
            left.append(fleet.budget_left())

        for _ in range(4):
            run_in_rollout_fleet(scenario)
        return left

    def test_good_versions(self) -> None:
        self.play(healthy, "completed")

    def test_versions_that_turn_bad_when_all_requests_have_moved(self) -> None:
        """Guards against evidence that is reported only periodically, which uses up the budget."""
        late = bad_version(failing, lambda request: request.at_s > 0.6 * DURATION_S)
        self.assertGreaterEqual(min(self.play(late, "rolled_back")), 20.0)

    def test_versions_that_fail_under_load(self) -> None:
        loaded = bad_version(failing, lambda request: request.running >= 1, 0.6)
        self.assertGreaterEqual(min(self.play(loaded, "rolled_back")), 20.0)


class OrdersTest(unittest.TestCase):
    def test_a_version_without_an_order_gets_no_requests(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2", 2 * fleet.replicas)
            await asyncio.sleep(2.0)
            await fleet.restart_all()
            await asyncio.sleep(5.0)
            self.assertEqual(set(fleet.requests) - {"refused"}, {"v1"})

        run_in_rollout_fleet(scenario)

    def test_a_version_found_bad_is_not_rolled_out_again(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = bad_version(failing)
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            await fleet.restart_all()
            await asyncio.sleep(4.0)
            fleet.requests.clear()
            fleet.order()
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            self.assertEqual(fleet.requests["v2"], 0)

        run_in_rollout_fleet(scenario)

    def test_an_order_for_the_old_version_ends_the_move(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVING))
            fleet.order("v1")
            await asyncio.sleep(0.5)
            fleet.requests.clear()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v1"))
            self.assertEqual(fleet.requests["v2"], 0)

        run_in_rollout_fleet(scenario)

    def test_a_newer_target_replaces_the_current_one(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(
                lambda: phase_is(fleet, SoftwarePhase.TRIAL) and fleet.record().share > 0
            )
            fleet.list_replicas("v3")
            fleet.order("v3")
            await asyncio.sleep(0.5)
            fleet.requests.clear()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v3"))
            self.assertEqual(fleet.requests["v2"], 0)

        run_in_rollout_fleet(scenario)

    def test_a_repeated_order_does_not_restart_the_rollout(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVING))
            fleet.order()
            await asyncio.sleep(0.3)
            self.assertTrue(fleet.record().share >= 0.25)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario)

    def test_orders_that_cannot_be_carried_out(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.store.put(f"op/rollout/{SERVICE}", json.dumps({"Service": SERVICE}).encode())
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.status(), ("", ""))
            fleet.order(duration_s=1.0)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            fleet.order("v1")
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.status(), ("completed", "v1"))
            self.assertEqual(fleet.requests["v2"], 0)

        run_in_rollout_fleet(scenario)

    def test_two_services_move_at_once(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            other = json.dumps({"Service": "t", "TargetVersion": "w2", "DurationS": 5.0}).encode()
            fleet.store.put("op/rollout/t", other)
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))
            status = fleet.store.items.get("status/rollout/t")
            self.assertIsNone(status)

        run_in_rollout_fleet(scenario)
