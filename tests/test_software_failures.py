"""Software rollouts while leaders, daemons, replicas or the store fail. Virtual time."""

from __future__ import annotations

import asyncio
import unittest

from tests.peer_support import Daemon
from tests.rollout_behaviours import bad_version, failing, phase_is, wait_until
from tests.rollout_fleet import (
    DURATION_S,
    LIMITS,
    SERVICE,
    Behaviour,
    RolloutFleet,
    healthy,
    run_in_rollout_fleet,
)
from tests.virtual_loop import run_virtually
from winchfork.core.software_state import SoftwarePhase

#: Duration of a rollout whose second half is longer than silent daemons are remembered.
LONG_DURATION_S = 30.0
#: Key of a request that outlasts such a rollout.
LONG_ANSWER = 1_000_000


class FailuresTest(unittest.TestCase):
    def test_an_order_right_after_the_fleets_start_has_its_full_duration(self) -> None:
        """Guards against an assumed age for entries that a running daemon sees being written."""

        async def main() -> None:
            fleet = RolloutFleet()
            await asyncio.sleep(1.0)
            fleet.list_replicas("v2")
            fleet.order(duration_s=9.0)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_virtually(main())

    def test_new_replicas_that_never_appear(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.order()
            took_s = await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            self.assertLess(took_s, DURATION_S)

        run_in_rollout_fleet(scenario)

    def test_new_replicas_that_all_leave_in_the_middle(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVING))
            fleet.remove_replicas("v2")
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            fleet.requests.clear()
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.requests), {"v1"})

        run_in_rollout_fleet(scenario)

    def after_loss(self, phase: SoftwarePhase, behaviour: Behaviour, outcome: str) -> None:
        """Kill the leader in a phase, and check the outcome that its successor reaches."""

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = behaviour
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, phase) and fleet.record().share > 0)
            fleet.kill(fleet.leader())
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), (outcome, "v2"))
            if outcome == "rolled_back":
                await fleet.wait_for_time_limit()
                self.assertGreaterEqual(fleet.budget_left(), 0.0)

        run_in_rollout_fleet(scenario)

    def test_a_leader_lost_in_the_trial(self) -> None:
        self.after_loss(SoftwarePhase.TRIAL, healthy, "completed")

    def test_a_leader_lost_in_the_trial_of_a_service_with_few_requests(self) -> None:
        """The first share gives too few answers for a decision before the next leader acts."""

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order(duration_s=9.0)
            await asyncio.sleep(1.8)
            fleet.kill(fleet.leader())
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario, daemons=3, replicas=4, rate_per_s=5.0)

    def test_a_leader_lost_when_all_requests_have_moved(self) -> None:
        self.after_loss(SoftwarePhase.MOVED, healthy, "completed")

    def test_a_leader_lost_in_the_trial_of_a_bad_version(self) -> None:
        late = bad_version(failing, lambda request: request.at_s > 0.2 * DURATION_S)
        self.after_loss(SoftwarePhase.TRIAL, late, "rolled_back")

    def test_a_fleet_that_is_restarted_repeatedly_keeps_within_the_budget(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = bad_version(failing, share=0.2)
            fleet.list_replicas("v2")
            fleet.order()
            for _ in range(3):
                await asyncio.sleep(2.2)
                await fleet.restart_all(0.3)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))
            await fleet.wait_for_time_limit()
            self.assertGreaterEqual(fleet.budget_left(), 0.0)

        run_in_rollout_fleet(scenario)

    def test_a_store_outage_stops_the_trial_but_not_the_service(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: fleet.record().share > 0)
            fleet.store.down = True
            await asyncio.sleep(LIMITS.rollback_s + 1.0)
            fleet.requests.clear()
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.requests), {"v1"})
            fleet.store.down = False
            await fleet.wait_until_finished()

        run_in_rollout_fleet(scenario)

    def test_a_bad_version_is_stopped_while_the_store_refuses_the_leader(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.behaviour = bad_version(
                failing, lambda request: request.at_s > 0.62 * DURATION_S, 0.5
            )
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVED))
            fleet.leader().store.cut = True
            await wait_until(lambda: fleet.bad_answers > 0)
            first_bad_s = fleet.now_s()
            await wait_until(
                lambda: fleet.last_request_s["v2"] + 1.0 < fleet.now_s() - fleet.ordered_s
            )
            self.assertLess(fleet.ordered_s + fleet.last_request_s["v2"] - first_bad_s, 2.0)
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("rolled_back", "v2"))

        run_in_rollout_fleet(scenario)

    def test_writes_without_an_answer_do_not_change_the_outcome(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.store.write_answers_to_lose = 3
            fleet.order()
            await asyncio.sleep(3.0)
            fleet.store.write_answers_to_lose = 1
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario)

    def test_an_isolated_daemon_sends_the_target_nothing_once_its_proof_is_old(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: fleet.record().share > 0)
            isolated = next(item for item in fleet.daemons if not item.leadership.leads())
            isolated.store.cut = True
            fleet.network.drop = lambda sender, receiver: isolated.ip in (sender, receiver)
            await asyncio.sleep(LIMITS.rollback_s - 1.0)
            software = isolated.state.software
            chosen = [software.assign_to_target(SERVICE, f"f{number}") for number in range(400)]
            self.assertFalse(any(chosen))

        run_in_rollout_fleet(scenario)

    def hold_an_old_replica(self, daemon: Daemon, fleet: RolloutFleet) -> None:
        """Start a request on a replica of the old version that outlasts the rollout."""
        old = next(
            replica
            for replica in daemon.state.fleet.of_service(SERVICE)
            if replica.listing.software == "v1"
        )
        old.record_sent(LONG_ANSWER, 0, fleet.now_s() + LONG_DURATION_S)

    def completion_s_with_unreported_work(self, *, cut_leader: bool) -> float:
        """Return how long a rollout took while a daemon's work on the old version is unreported.

        The leader, or else that daemon, is cut off from its peers but not from the store, once all
        requests have moved.
        """
        took: list[float] = []

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order(duration_s=LONG_DURATION_S)
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVED), LONG_DURATION_S)
            leader = fleet.leader()
            other = next(daemon for daemon in fleet.daemons if daemon is not leader)
            self.hold_an_old_replica(other, fleet)
            await asyncio.sleep(0.5)
            cut = leader if cut_leader else other
            fleet.network.drop = lambda sender, receiver: cut.ip in (sender, receiver)
            took.append(await fleet.wait_until_finished(LONG_DURATION_S))
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario, daemons=3)
        return took[0]

    def test_an_isolated_leader_does_not_take_the_old_replicas_for_idle(self) -> None:
        """Guards against an early completion while another daemon still uses an old replica.

        Peers' work is forgotten after 1.5 s without a report; the leader has to wait for the time
        limit instead.
        """
        took_s = self.completion_s_with_unreported_work(cut_leader=True)
        self.assertGreater(took_s, LONG_DURATION_S - 1.0)
        self.assertLess(took_s, LONG_DURATION_S)

    def test_work_of_a_silent_daemon_does_not_count_as_ended(self) -> None:
        """The same if only the daemon with the request is cut off.

        A daemon that is silent for 5 s no longer counts as part of the fleet, so reports of all
        remaining daemons are not enough.
        """
        took_s = self.completion_s_with_unreported_work(cut_leader=False)
        self.assertGreater(took_s, LONG_DURATION_S - 1.0)
        self.assertLess(took_s, LONG_DURATION_S)

    def test_the_final_record_meets_the_time_limit_after_many_records(self) -> None:
        """Guards against a time limit that slips with each record, dated after its write."""

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order(duration_s=LONG_DURATION_S)
            await wait_until(lambda: phase_is(fleet, SoftwarePhase.MOVED), LONG_DURATION_S)
            self.hold_an_old_replica(fleet.daemons[1], fleet)
            took_s = await fleet.wait_until_finished(LONG_DURATION_S)
            self.assertEqual(fleet.status(), ("completed", "v2"))
            self.assertGreater(took_s, LONG_DURATION_S - 1.0)
            self.assertLess(took_s, LONG_DURATION_S)

        run_in_rollout_fleet(scenario, daemons=3)

    def test_a_compacted_history_loses_no_record(self) -> None:
        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await wait_until(lambda: fleet.record().share > 0)
            fleet.store.compact_history()
            await fleet.wait_until_finished()
            self.assertEqual(fleet.status(), ("completed", "v2"))

        run_in_rollout_fleet(scenario)


class BudgetTest(unittest.TestCase):
    def test_daemons_with_few_requests_each_spend_the_share_together(self) -> None:
        """Guards against daemons whose credit never adds up to one request during the trial."""

        async def scenario(fleet: RolloutFleet) -> None:
            fleet.list_replicas("v2")
            fleet.order()
            await asyncio.sleep(0.45 * DURATION_S)
            share = fleet.requests_since_order["v2"] / fleet.requests_since_order.total()
            self.assertGreater(share, 0.02)
            self.assertLess(share, LIMITS.share)

        run_in_rollout_fleet(scenario)
