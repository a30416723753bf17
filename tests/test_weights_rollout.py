"""A rollout over replicas that lose answers, carry orders out late, and restart. Virtual time."""

from __future__ import annotations

import asyncio
import unittest

from tests.virtual_loop import run_virtually
from tests.weights_fleet import LOAD_S, MODEL, PROMPT, FakeReplica, Fleet
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.replica_notice import AnswerNotice


class RolloutTest(unittest.TestCase):
    def test_all_replicas_are_brought_in_time_a_third_at_once(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(6)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual({replica.version for replica in replicas}, {2})
            self.assertLessEqual(fleet.control.max_loading, 2)

        run_virtually(scenario())

    def test_a_rollout_of_many_replicas_tells_peers_in_few_messages(self) -> None:
        """Each message goes to every member: one a replica and report is a flood at 79 members."""

        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(45)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual({replica.version for replica in replicas}, {2})
            self.assertLess(len(fleet.news.sent), 60)
            self.assertLess(sum(len(notes) for notes in fleet.news.sent), 45 * 6)

        run_virtually(scenario())

    def test_a_newer_version_replaces_the_older_in_mid_rollout(self) -> None:
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

    def test_a_lost_order_carried_out_late_undoes_nothing(self) -> None:
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

    def test_a_replica_under_order_is_given_no_work(self) -> None:
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

    def test_a_replica_that_wants_rest_is_ordered_after_it_unless_it_is_overdue(self) -> None:
        """A pause of 3 s ends in time; one of a minute would leave the replica behind for good."""

        async def scenario() -> None:
            for rest_s, ordered_from_s, ordered_until_s in ((3.0, 3.0, 4.5), (60.0, 6.5, 9.5)):
                replicas = [FakeReplica(f"i-{number}") for number in range(3)]
                fleet = await Fleet.with_leader(replicas)
                resting = fleet.state.fleet.get("i-1")
                assert resting is not None
                fleet.state.notices.record(resting, AnswerNotice(backoff_s=rest_s))
                asked_s = fleet.state.clock()
                fleet.name_version(2)
                while replicas[1].next_version == 1:
                    await asyncio.sleep(0.01)
                waited_s = fleet.state.clock() - asked_s
                self.assertGreaterEqual(waited_s, ordered_from_s)
                self.assertLess(waited_s, ordered_until_s)

        run_virtually(scenario())

    def test_a_replica_that_leaves_by_its_answers_is_not_ordered(self) -> None:
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

    def test_a_daemon_that_does_not_lead_orders_nothing(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica("i-1")]
            fleet = Fleet(replicas)
            for task in fleet.tasks:
                task.cancel()
            fleet.name_version(2)
            await asyncio.sleep(10.0)
            self.assertEqual(replicas[0].version, 1)

        run_virtually(scenario())

    def test_a_resignation_does_not_tell_an_order_to_be_older_than_it_is(self) -> None:
        """The connection for an order took 0.5 s to come up, and the order left after that.

        The leader had dated it before it asked for the connection. Its resignation, 2.0 s after the
        order, told an age of 2.5 s. A successor allows for 0.25 s only, so its first order could
        have come before the last one of its predecessor was a lease bound old.
        """

        async def scenario() -> None:
            replica = FakeReplica("i-1")
            fleet = Fleet([replica])
            fleet.control.connect_s = 0.5
            await asyncio.sleep(4.0)
            fleet.name_version(2)
            while replica.next_version == 1:
                await asyncio.sleep(0.01)
            left_s = replica.loading_until_s - LOAD_S
            await asyncio.sleep(2.0)
            told = await fleet.leadership.resign()
            assert told is not None
            self.assertLessEqual(told.last_order_ms / 1000.0, fleet.state.clock() - left_s)

        run_virtually(scenario())

    def test_old_weights_take_no_request_that_would_begin_too_late(self) -> None:
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
            long = Prompt(MODEL, (), 40_000)
            self.assertFalse(fleet.state.replica_selector.candidates("s", set(), long))
            self.assertTrue(fleet.state.replica_selector.candidates("s", set(), PROMPT))
            await asyncio.sleep(1.0)
            self.assertFalse(fleet.state.replica_selector.candidates("s", set(), PROMPT))

        run_virtually(scenario())

    def test_a_large_prompt_is_not_sent_two_seconds_before_old_weights_end(self) -> None:
        """scale-2 --seed 1094670478528 (amse-vigie): sent 1.84 s before, it began 1.85 s later."""

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

    def test_a_replica_that_has_taken_an_order_stays_held_when_the_store_is_lost(self) -> None:
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

    def test_a_replica_that_returns_with_weights_long_replaced_gets_no_request(self) -> None:
        async def scenario() -> None:
            replicas = [FakeReplica(f"i-{number}") for number in range(3)]
            fleet = await Fleet.with_leader(replicas)
            fleet.name_version(2)
            await asyncio.sleep(9.0)
            fleet.name_version(3)
            await asyncio.sleep(1.0)
            back = ReplicaListing("i-9", "s", "i-9", "z1", 8, True, {MODEL: 1})
            fleet.control.replicas["i-9"] = FakeReplica("i-9")
            fleet.state.fleet.install(back)
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

    def test_an_order_names_the_version_that_is_newest_when_it_leaves(self) -> None:
        """A version named between the turn's begin and its order was loaded over a moment later."""

        async def scenario() -> None:
            replica = FakeReplica("r0")
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            while not fleet.news.sent:
                await asyncio.sleep(0.001)
            fleet.name_version(3)
            await asyncio.sleep(5.0)
            self.assertEqual(replica.loads, [3])

        run_virtually(scenario())

    def test_a_replica_that_was_only_doubted_while_it_loads_stays_held(self) -> None:
        """A late entry at its address ended the watch over an order that was taken 1.6 s before
        (`rollout_postponed`), and peers were told that the replica was free while it loaded.
        """

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

    def test_a_replica_that_has_taken_an_order_is_held_beyond_its_leader(self) -> None:
        """A leader that stood still renewed no holds, and 9 to 67 requests a play went to replicas
        that refused them while they loaded. The list's word on the new version ends a hold.
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

    def test_replicas_are_overdue_by_the_bound_on_their_weights(self) -> None:
        for named_before_s, at_once in ((0.0, 2), (8.0, 4)):
            with self.subTest(named_before_s=named_before_s):
                self.assertEqual(self._most_loading(named_before_s), at_once)

    def _most_loading(self, named_before_s: float) -> int:
        async def scenario() -> int:
            fleet = await Fleet.with_leader([FakeReplica(f"i-{number}") for number in range(6)])
            fleet.state.weights_versions[MODEL].add(2, fleet.state.clock() - named_before_s)
            await asyncio.sleep(5.0)
            return fleet.control.max_loading

        return run_virtually(scenario())

    def test_a_turn_is_not_spent_on_a_replica_that_has_ended(self) -> None:
        """scale-2 (hyt-kathmandu): orders to incarnations that had crashed held a slot for 4 s."""

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

    def test_an_order_that_another_answered_gives_that_one_its_turn(self) -> None:
        """A replica behind a late entry at its address was never ordered to newer weights.

        Replicas had started again at their addresses, and the entries of the incarnations before
        came into the list once more at 11.2 s. The leader's order to the old one was answered by
        the new one: "weights_ordered replica=i-fb2bd5ab5d version=3 ... outcome=other_replica" at
        11.6 s. No order went to i-fa04b60938, which answers there, from then on: at the end it had
        version 2 where 5 was in force.
        """

        async def scenario() -> None:
            living = FakeReplica("i-0")
            fleet = await Fleet.with_leader([living])
            late = ReplicaListing("i-late", "s", "i-0", "z1", 8, True, {MODEL: 1})
            fleet.state.fleet.install(late)
            fleet.name_version(2)
            await asyncio.sleep(8.0)
            self.assertEqual(living.version, 2)

        run_virtually(scenario())
