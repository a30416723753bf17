"""Weights rollouts on replicas that lose answers, load late or restart. Virtual time."""

from __future__ import annotations

import asyncio
import unittest

from tests.virtual_loop import run_virtually
from tests.weights_fleet import LOAD_S, MODEL, PROMPT, FakeReplica, Fleet
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.replica_notice import AnswerNotice
from winchfork.router.weights_rollout import MAX_ORDER_WAIT_S, MAX_STOP_WAIT_S


class RolloutTest(unittest.TestCase):
    def test_all_replicas_load_in_time_and_at_most_a_third_at_once(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(6)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual({replica.version for replica in replicas}, {2})
            self.assertLessEqual(fleet.control.max_loading, 2)

        run_virtually(scenario())

    def test_a_rollout_of_many_replicas_sends_few_messages_to_peers(self) -> None:
        """Guards against a flood: each message goes to every member."""

        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(45)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual({replica.version for replica in replicas}, {2})
            self.assertLess(len(fleet.exchange.sent), 60)
            self.assertLess(sum(len(entries) for entries in fleet.exchange.sent), 45 * 6)

        run_virtually(scenario())

    def test_a_newer_version_replaces_the_older_one_during_a_rollout(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(9)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(1.0)
            fleet.name_version(3)
            await asyncio.sleep(8.0)
            self.assertEqual({replica.version for replica in replicas}, {3})
            self.assertLess(sum(len(replica.loads) for replica in replicas), 18)

        run_virtually(scenario())

    def test_a_lost_order_that_is_executed_late_does_not_restore_an_older_version(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            for replica in replicas:
                replica.order_answers_to_lose, replica.lost_order_delay_s = 1, 5.0
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(2.0)
            fleet.name_version(3)
            await asyncio.sleep(15.0)
            self.assertEqual({replica.version for replica in replicas}, {3})
            for replica in replicas:
                self.assertEqual(replica.loads, sorted(replica.loads))

        run_virtually(scenario())

    def test_a_replica_with_an_unanswered_order_is_not_opened_between_two_orders(self) -> None:
        """Guards against many requests at once to a replica that may load at any moment."""

        async def scenario() -> None:
            replicas = [FakeReplica("i-0")]
            replicas[0].order_answers_to_lose, replicas[0].lost_order_delay_s = 50, 60.0
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            replica = fleet.state.fleet.get("i-0")
            assert replica is not None
            await asyncio.sleep(1.0)
            named_s = fleet.state.clock() - 1.0
            opened_s = []
            while fleet.state.clock() - named_s < 3 * MAX_ORDER_WAIT_S:
                await asyncio.sleep(0.005)
                if replica.accepts_requests(fleet.state.clock()):
                    opened_s.append(round(fleet.state.clock() - named_s, 3))
            self.assertEqual(opened_s, [])

        run_virtually(scenario())

    def test_a_loading_replica_gets_no_requests(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            for _ in range(800):
                await asyncio.sleep(0.01)
                available = {
                    item.replica_id
                    for item in fleet.state.replica_selector.candidates("s", set(), PROMPT)
                }
                loading = {
                    item.replica_id for item in replicas if item.next_version != item.version
                }
                self.assertFalse(available & loading)

        run_virtually(scenario())

    def test_a_replica_that_backs_off_is_ordered_afterwards_unless_it_is_overdue(self) -> None:
        """A backoff of 3 s ends in time; one of a minute would outlast the replica's weights."""

        async def scenario() -> None:
            for backoff_s, ordered_from_s, ordered_until_s in ((3.0, 3.0, 4.5), (60.0, 6.5, 9.5)):
                replicas = [FakeReplica(f"i-{number}") for number in range(3)]
                fleet = await Fleet.with_leader(replicas)
                backing_off = fleet.state.fleet.get("i-1")
                assert backing_off is not None
                fleet.state.notices.record(backing_off, AnswerNotice(backoff_s=backoff_s))
                named_s = fleet.state.clock()
                fleet.name_version(2)
                while replicas[1].next_version == 1:
                    await asyncio.sleep(0.01)
                waited_s = fleet.state.clock() - named_s
                self.assertGreaterEqual(waited_s, ordered_from_s)
                self.assertLess(waited_s, ordered_until_s)

        run_virtually(scenario())

    def test_a_replica_whose_answers_say_that_it_drains_is_not_ordered(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = await Fleet.with_leader(replicas)
            leaving = fleet.state.fleet.get("i-1")
            assert leaving is not None
            fleet.state.notices.record(leaving, AnswerNotice(draining=True))
            fleet.name_version(2)
            await asyncio.sleep(10.0)
            self.assertEqual([replica.version for replica in replicas], [2, 1, 2])

        run_virtually(scenario())

    def test_a_daemon_that_does_not_lead_gives_no_orders(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica("i-1")]
            fleet = Fleet(replicas)
            for task in fleet.tasks:
                task.cancel()
            fleet.name_version(2)
            await asyncio.sleep(10.0)
            self.assertEqual(replicas[0].version, 1)

        run_virtually(scenario())

    def test_a_resignation_does_not_report_an_order_as_older_than_it_is(self) -> None:
        """Guards against an order that is dated before its connection is open.

        The successor could then act before that order is a lease bound old.
        """

        async def scenario() -> None:
            replica = FakeReplica("i-1")
            fleet = Fleet([replica])
            fleet.control.connect_s = 0.5
            await asyncio.sleep(4.0)
            fleet.name_version(2)
            while replica.next_version == 1:
                await asyncio.sleep(0.01)
            sent_s = replica.loading_until_s - LOAD_S
            await asyncio.sleep(2.0)
            resignation = await fleet.leadership.resign()
            assert resignation is not None
            self.assertLessEqual(resignation.last_order_ms / 1000.0, fleet.state.clock() - sent_s)

        run_virtually(scenario())

    def test_a_replica_with_old_weights_gets_no_request_that_would_start_too_late(self) -> None:
        async def scenario() -> None:
            fleet = Fleet([FakeReplica("i-1")])
            for task in fleet.tasks:
                task.cancel()
            fleet.name_version(2)
            named_s = fleet.state.clock()
            replica = fleet.state.fleet.get("i-1")
            assert replica is not None
            self.assertTrue(fleet.state.replica_selector.candidates("s", set(), PROMPT))
            replica.pending_prefill_tokens = 30_000
            await asyncio.sleep(named_s + 6.5 - fleet.state.clock())
            self.assertFalse(fleet.state.replica_selector.candidates("s", set(), PROMPT))
            replica.pending_prefill_tokens = 0
            long_prompt = Prompt(MODEL, (), 40_000)
            self.assertFalse(fleet.state.replica_selector.candidates("s", set(), long_prompt))
            self.assertTrue(fleet.state.replica_selector.candidates("s", set(), PROMPT))
            await asyncio.sleep(1.0)
            self.assertFalse(fleet.state.replica_selector.candidates("s", set(), PROMPT))

        run_virtually(scenario())

    def test_a_large_prompt_is_not_sent_two_seconds_before_old_weights_expire(self) -> None:
        """Guards against a prompt that starts too late because of its own prefill time."""

        async def scenario() -> None:
            fleet = Fleet([FakeReplica("i-1")])
            for task in fleet.tasks:
                task.cancel()
            fleet.name_version(2)
            await asyncio.sleep(8.0 - 1.84)
            self.assertFalse(
                fleet.state.replica_selector.candidates("s", set(), Prompt(MODEL, (), 28_000))
            )
            self.assertTrue(fleet.state.replica_selector.candidates("s", set(), PROMPT))

        run_virtually(scenario())

    def test_a_replica_that_accepted_an_order_stays_on_hold_when_the_store_is_lost(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            while all(replica.next_version == 1 for replica in replicas):
                await asyncio.sleep(0.01)
            ordered = next(replica for replica in replicas if replica.next_version == 2)
            ordered.loading_until_s += 5.0
            fleet.store.down = True
            for _ in range(400):
                await asyncio.sleep(0.01)
                available = {
                    item.replica_id
                    for item in fleet.state.replica_selector.candidates("s", set(), PROMPT)
                }
                self.assertNotIn(ordered.replica_id, available)
            self.assertFalse(fleet.leadership.may_act())

        run_virtually(scenario())

    def test_a_replica_that_returns_with_expired_weights_gets_no_request(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(9.0)
            fleet.name_version(3)
            await asyncio.sleep(1.0)
            returned = ReplicaListing("i-9", "s", "i-9", "z1", 8, True, {MODEL: 1})
            fleet.control.replicas["i-9"] = FakeReplica("i-9")
            fleet.state.fleet.install(returned)
            available = {
                item.replica_id
                for item in fleet.state.replica_selector.candidates("s", set(), PROMPT)
            }
            self.assertNotIn("i-9", available)
            await asyncio.sleep(6.0)
            available = {
                item.replica_id
                for item in fleet.state.replica_selector.candidates("s", set(), PROMPT)
            }
            self.assertIn("i-9", available)

        run_virtually(scenario())

    def test_an_order_names_the_version_that_is_newest_when_it_is_sent(self) -> None:
        """Guards against a load of a version that was replaced while the order was prepared."""

        async def scenario() -> None:
            replica = FakeReplica("r0")
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            while not fleet.exchange.sent:
                await asyncio.sleep(0.001)
            fleet.name_version(3)
            await asyncio.sleep(5.0)
            self.assertEqual(replica.loads, [3])

        run_virtually(scenario())

    def test_a_loading_replica_stays_on_hold_when_its_incarnation_is_only_suspected(self) -> None:
        """Guards against a late entry at its address that ends the hold while it loads."""

        async def scenario() -> None:
            replica = FakeReplica("r0")
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            while replica.next_version == 1:
                await asyncio.sleep(0.01)
            replica.loading_until_s += 3.0
            late = ReplicaListing("r-ended", "s", "r0", "z1", 8, True, {MODEL: 1})
            fleet.state.fleet.install(late)
            await asyncio.sleep(2.0)
            fleet.state.fleet.remove("r-ended")
            self.assertEqual(fleet.state.replica_selector.candidates("s", set(), PROMPT), [])
            await asyncio.sleep(2.0)
            available = fleet.state.replica_selector.candidates("s", set(), PROMPT)
            self.assertEqual(
                [(item.replica_id, item.versions[MODEL]) for item in available], [("r0", 2)]
            )

        run_virtually(scenario())

    def test_a_replica_that_accepted_an_order_stays_on_hold_without_its_leader(self) -> None:
        """Guards against requests to a loading replica when its leader no longer renews the hold.

        The hold ends when the replica's entry shows the new version.
        """

        async def scenario() -> None:
            replica = FakeReplica("r0")
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            while replica.next_version == 1:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            for task in (*fleet.tasks, *fleet.rollout.active_tasks()):
                task.cancel()
            await asyncio.sleep(2.5)
            self.assertEqual(fleet.state.replica_selector.candidates("s", set(), PROMPT), [])
            loaded = ReplicaListing("r0", "s", "r0", "z1", 8, True, {MODEL: 2})
            fleet.state.install_listing(loaded)
            self.assertEqual(len(fleet.state.replica_selector.candidates("s", set(), PROMPT)), 1)

        run_virtually(scenario())

    def test_more_replicas_load_at_once_when_their_weights_have_expired(self) -> None:
        for named_before_s, at_once in ((0.0, 2), (8.0, 4)):
            with self.subTest(named_before_s=named_before_s):
                self.assertEqual(self._max_loading(named_before_s), at_once)

    def _max_loading(self, named_before_s: float) -> int:
        async def scenario() -> int:
            fleet = await Fleet.with_leader([FakeReplica(f"i-{number}") for number in range(6)])
            fleet.state.weights_versions[MODEL].add(2, fleet.state.clock() - named_before_s)
            await asyncio.sleep(5.0)
            return fleet.control.max_loading

        return run_virtually(scenario())

    def test_an_incarnation_that_has_ended_does_not_delay_other_loads(self) -> None:
        """Guards against orders to crashed incarnations that take up loading slots."""

        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = Fleet(replicas)
            replicas[0].superseded = replicas[1].superseded = True
            await asyncio.sleep(4.0)
            fleet.name_version(2)
            await asyncio.sleep(4.0)
            self.assertEqual(replicas[2].version, 2)

        run_virtually(scenario())

    def test_a_new_incarnation_at_an_address_ends_the_old_one(self) -> None:
        async def scenario() -> None:
            fleet = Fleet([FakeReplica("i-0")])
            fleet.state.fleet.install(ReplicaListing("i-1", "s", "i-0", "z1", 8, True, {MODEL: 1}))
            available = [
                item.replica_id
                for item in fleet.state.replica_selector.candidates("s", set(), PROMPT)
            ]
            self.assertEqual(available, ["i-1"])

        run_virtually(scenario())

    def test_a_replica_that_answers_an_order_to_another_incarnation_is_ordered_next(self) -> None:
        """Guards against a replica that is never ordered to load newer weights.

        A late entry of an earlier incarnation at its address supersedes its own entry.
        """

        async def scenario() -> None:
            running = FakeReplica("i-0")
            fleet = await Fleet.with_leader([running])
            late = ReplicaListing("i-late", "s", "i-0", "z1", 8, True, {MODEL: 1})
            fleet.state.fleet.install(late)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual(running.version, 2)

        run_virtually(scenario())

    def test_a_replica_that_reports_another_start_than_the_listed_one_is_ordered_next(
        self,
    ) -> None:
        """The same where entries and reports have start times, so that no order is sent."""

        async def scenario() -> None:
            running = FakeReplica("i-0")
            running.started_at_ms = 2_000
            fleet = await Fleet.with_leader([running])
            late = ReplicaListing(
                "i-late", "s", "i-0", "z1", 8, True, {MODEL: 1}, started_at_ms=1_000
            )
            fleet.state.fleet.install(late)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual(running.version, 2)

        run_virtually(scenario())


class PartitionedLeaderTest(unittest.TestCase):
    def test_a_leader_that_does_not_reach_replicas_resigns(self) -> None:
        """Guards against orders that no replica gets while a peer could give them."""

        async def scenario() -> None:
            fleet = await Fleet.with_leader([FakeReplica(f"i-{number}") for number in range(3)])
            self.assertTrue(fleet.leadership.leads())
            fleet.state.is_partitioned = lambda: True
            await asyncio.sleep(2.0)
            self.assertFalse(fleet.leadership.leads())
            self.assertEqual(fleet.leadership.fence, 0)

        run_virtually(scenario())


class StopTest(unittest.TestCase):
    """A planned stop of the leader during a rollout."""

    def _replica(self, fleet: Fleet, replica_id: str) -> RelayReplica:
        replica = fleet.state.fleet.get(replica_id)
        assert replica is not None
        return replica

    async def _unavailable_s(self, fleet: Fleet, replica_id: str, watched_s: float) -> float:
        """Return for how long a replica gets no requests, from now on."""
        replica = self._replica(fleet, replica_id)
        started_s, last_s = fleet.state.clock(), -1.0
        while fleet.state.clock() - started_s < watched_s:
            if not replica.accepts_requests(fleet.state.clock()):
                last_s = fleet.state.clock() - started_s
            await asyncio.sleep(0.005)
        return max(0.0, last_s)

    def test_a_stop_releases_a_replica_that_is_too_busy_for_an_order(self) -> None:
        async def scenario() -> None:
            busy = FakeReplica("i-0")
            busy.next_version, busy.loading_until_s = 3, float("inf")
            fleet = await Fleet.with_leader([busy])
            fleet.name_version(2)
            await asyncio.sleep(1.0)
            self.assertFalse(self._replica(fleet, "i-0").accepts_requests(fleet.state.clock()))
            stop = asyncio.create_task(fleet.rollout.stop())
            self.assertLess(await self._unavailable_s(fleet, "i-0", 5.0), 0.02)
            await stop

        run_virtually(scenario())

    def test_a_stop_releases_a_replica_whose_prompts_are_still_in_prefill(self) -> None:
        async def scenario() -> None:
            replica = FakeReplica("i-0")
            fleet = await Fleet.with_leader([replica])
            self._replica(fleet, "i-0").pending_prefill_tokens = 10_000
            fleet.name_version(2)
            await asyncio.sleep(0.3)
            stop = asyncio.create_task(fleet.rollout.stop())
            self.assertLess(await self._unavailable_s(fleet, "i-0", 5.0), 0.02)
            self.assertEqual(replica.sequence, 0)
            await stop

        run_virtually(scenario())

    def test_a_stop_at_any_moment_sends_no_order_and_holds_only_replicas_under_order(self) -> None:
        for hundredths in range(0, 200, 4):
            with self.subTest(stopped_after_s=hundredths / 100):
                run_virtually(self._stop_after(hundredths / 100))

    async def _stop_after(self, seconds: float) -> None:
        replicas = [FakeReplica(f"i-{number}") for number in range(3)]
        fleet = await Fleet.with_leader(replicas)
        fleet.control.connect_s = 0.15
        fleet.name_version(2)
        await asyncio.sleep(seconds)
        ordered = [replica.sequence for replica in replicas]
        stop = asyncio.create_task(fleet.rollout.stop())
        unavailable_s = await asyncio.gather(
            *(self._unavailable_s(fleet, replica.replica_id, 5.0) for replica in replicas)
        )
        await stop
        self.assertEqual([replica.sequence for replica in replicas], ordered)
        for orders, duration_s in zip(ordered, unavailable_s, strict=True):
            self.assertLess(duration_s, LOAD_S + 0.3 if orders else 0.02)

    def test_a_stop_neither_repeats_an_unanswered_order_nor_releases_its_replica(self) -> None:
        """Guards against requests to a replica that may still carry the order out."""

        async def scenario() -> None:
            replica = FakeReplica("i-0")
            replica.order_answers_to_lose, replica.lost_order_delay_s = 50, 60.0
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            await asyncio.sleep(1.0)
            answers_to_lose = replica.order_answers_to_lose
            self.assertLess(answers_to_lose, 50)
            stop = asyncio.create_task(fleet.rollout.stop())
            stopped_s = fleet.state.clock()
            while not stop.done():
                await asyncio.sleep(0.005)
                self.assertFalse(self._replica(fleet, "i-0").accepts_requests(fleet.state.clock()))
            self.assertGreaterEqual(fleet.state.clock() - stopped_s, MAX_STOP_WAIT_S)
            self.assertEqual(replica.order_answers_to_lose, answers_to_lose)

        run_virtually(scenario())
