"""Rollouts of a service's software: good and bad versions, orders of all kinds."""

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
    def test_it_is_completed_in_time_with_nothing_under_way_at_the_old_replicas(self) -> None:
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

    def test_replicas_that_are_bad_by_themselves_do_not_decide(self) -> None:
        """One of six fails four in ten, as one of the old version does; another is slow."""

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

    def test_a_time_in_which_everything_is_slow_does_not_decide(self) -> None:
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

    def test_a_fleet_with_hubs_completes_it_too(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario, daemons=16)


class BadVersionTest(unittest.TestCase):
    def spent(self, behaviour: Behaviour, daemons: int = 6) -> float:
        """Roll a bad version out; return when the target last got a request."""
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
        self.assertLess(self.spent(bad_version(failing)), 0.5 * DURATION_S)

    def test_failures_from_the_start_in_a_fleet_with_hubs(self) -> None:
        self.assertLess(self.spent(bad_version(failing), daemons=16), 0.5 * DURATION_S)

    def test_slow_answers_from_the_start(self) -> None:
        self.assertLess(self.spent(bad_version(slowed)), 0.5 * DURATION_S)

    def test_failures_on_the_route_where_a_seventh_fails_anyway(self) -> None:
        self.spent(bad_version(failing, lambda request: request.route == "read", 0.45))

    def test_failures_that_begin_late_in_the_trial(self) -> None:
        self.spent(bad_version(failing, lambda request: request.at_s > 0.4 * DURATION_S))

    def test_failures_that_begin_when_everything_has_moved(self) -> None:
        self.spent(bad_version(failing, lambda request: request.at_s > 0.6 * DURATION_S))

    def test_failures_under_load_only(self) -> None:
        self.spent(bad_version(failing, lambda request: request.running >= 1, 0.6))


class UnapprovedMoveTest(unittest.TestCase):
    """Moves of a service with few requests, whose answers could approve no version in time.

    Such a version moved because all that was expected until the time limit fitted into the budget,
    and nobody looked at the budget again: before real sockets a slow version got 92 of 204 requests
    where 70 were allowed, after more requests had come than in the two seconds before the move, and
    with no leader from then on.
    """

    def play(self, *, lose_leader: bool) -> None:
        """Roll out a version that turns slow when all has moved, as six times the requests come."""

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

    def test_the_budget_holds_while_nobody_leads(self) -> None:
        self.play(lose_leader=True)


class MarginsTest(unittest.TestCase):
    """The outcomes that leave least room, over other draws of families, faults and callers."""

    def play(self, behaviour: Behaviour, outcome: str) -> list[float]:
        """Return what each play left of the budget."""
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

    def test_versions_that_turn_bad_when_everything_has_moved(self) -> None:
        """With evidence told at each tick of 0.2 s one play in eight had 5 requests left of 194."""
        late = bad_version(failing, lambda request: request.at_s > 0.6 * DURATION_S)
        self.assertGreaterEqual(min(self.play(late, "rolled_back")), 20.0)

    def test_versions_that_fail_under_load(self) -> None:
        loaded = bad_version(failing, lambda request: request.running >= 1, 0.6)
        self.assertGreaterEqual(min(self.play(loaded, "rolled_back")), 20.0)


class OrdersTest(unittest.TestCase):
    def test_a_version_that_nobody_ordered_gets_nothing(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2", 2 * fleet.replicas)
            await asyncio.sleep(2.0)
            await fleet.restart_all()
            await asyncio.sleep(5.0)
            self.assertEqual(set(fleet.requests) - {"refused"}, {"v1"})

        run_in_rollout_fleet(scenario)

    def test_a_version_found_bad_is_not_tried_again(self) -> None:
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

    def test_the_old_version_ordered_again_ends_the_move(self) -> None:
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

    def test_a_newer_target_takes_the_place_of_the_one_under_way(self) -> None:
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

    def test_the_same_order_again_goes_on_where_it_is(self) -> None:
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
