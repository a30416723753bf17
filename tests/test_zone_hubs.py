"""A large fleet with hubs: few messages and store calls, and every daemon up to date.

Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest.mock import patch

from tests.large_fleet import DAEMONS, ZONES, LargeFleet, run_in_large_fleet
from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.test_platform_documents import CONFIGURATION
from tests.virtual_loop import run_virtually
from winchfork.core.document_table import MAX_REMOVED, DocumentTable, TableItem, TableUpdate
from winchfork.core.member import Member, MemberStatus
from winchfork.core.rendezvous import member_hash
from winchfork.core.store_position import StorePosition
from winchfork.core.zone_hubs import WATCHERS_PER_FLEET, FleetView
from winchfork.errors import Failure
from winchfork.router.document_parts import MAX_PART_BYTES, UpdateAssembler, split_update
from winchfork.router.peer_messages import DocumentPart, WeightsEntry
from winchfork.router.work_exchange import AGGREGATION_INTERVAL_S, WorkExchange


def watcher_ip(daemon: Daemon) -> str:
    return daemon.peers.view.watchers[0].peer_address.partition(":")[0]


class HubsTest(unittest.TestCase):
    def test_all_daemons_choose_the_same_two_hubs_in_each_zone(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            views = [daemon.peers.view for daemon in fleet.daemons]
            self.assertEqual({len(view.members) for view in views}, {DAEMONS})
            chosen = {
                tuple(hub.member_id for hub in view.hubs[zone]) for view in views for zone in ZONES
            }
            self.assertEqual(len(chosen), len(ZONES))
            self.assertEqual(len(fleet.hubs()), 2 * len(ZONES))

        run_in_large_fleet(scenario)

    def test_daemons_with_the_fastest_links_are_hubs(self) -> None:
        """Guards against stale load data, which a hub with a slow link forwards late."""
        members = [
            Member(f"n{number}", ZONES[number % 3], "", "", 1, link_mbps=5) for number in range(30)
        ]
        members += [Member(f"large-{zone}", zone, "", "", 1, link_mbps=100) for zone in ZONES]
        view = FleetView.of(members[0], members)
        for zone in ZONES:
            self.assertEqual(view.hubs[zone][0].member_id, f"large-{zone}")
            self.assertEqual(view.hubs[zone][1].link_mbps, 5)
        self.assertTrue(all(watcher.link_mbps == 100 for watcher in view.watchers))

    def test_suspected_member_is_no_hub_while_others_are_alive(self) -> None:
        members = [Member(f"n{number}", "z", "", "", 1) for number in range(5)]
        first = FleetView.of(members[0], members).own_hubs[0]
        suspected = [
            Member(item.member_id, "z", "", "", 1, MemberStatus.SUSPECT) if item is first else item
            for item in members
        ]
        hubs = FleetView.of(suspected[0], suspected).own_hubs
        self.assertNotIn(first.member_id, [hub.member_id for hub in hubs])

    def test_view_is_rebuilt_only_when_a_member_has_changed(self) -> None:
        """Guards against sorting all members for every message."""

        async def scenario(fleet: LargeFleet) -> None:
            views = [daemon.peers.view for daemon in fleet.daemons]
            await asyncio.sleep(2.0)
            for daemon, view in zip(fleet.daemons, views, strict=True):
                self.assertIs(daemon.peers.view, view)
            fleet.kill(fleet.followers()[0])
            await asyncio.sleep(12.0)
            for daemon in fleet.daemons:
                self.assertEqual(len(daemon.peers.view.members), DAEMONS - 1)

        run_in_large_fleet(scenario)

    def test_work_is_aggregated_when_it_is_read_and_not_for_each_message(self) -> None:
        """Guards against summing the whole fleet's work for every message."""

        async def scenario(fleet: LargeFleet) -> None:
            busy, idle = fleet.followers()[:2]
            replica = busy.state.fleet.get("i-1")
            seen = idle.state.fleet.get("i-1")
            assert replica is not None and seen is not None
            with patch.object(
                WorkExchange, "_aggregate", autospec=True, side_effect=WorkExchange._aggregate
            ) as aggregate:
                for number in range(40):
                    replica.record_sent(number, 100, busy.state.clock() + 9.0)
                    busy.state.on_work_sent()
                    await asyncio.sleep(0.05)
            calls = [call for call in aggregate.call_args_list if call.args[0]._state is idle.state]
            self.assertLessEqual(len(calls), 2.0 / AGGREGATION_INTERVAL_S + 1)
            await asyncio.sleep(0.1)
            idle.state.replica_selector.candidates("s", set())
            self.assertEqual(seen.peer_in_flight, 40)

        run_in_large_fleet(scenario)

    def test_only_hubs_read_the_store(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            before = {daemon.ip: daemon.store.reads for daemon in fleet.daemons}
            for version in range(10, 20):
                fleet.put_configuration(version)
                await asyncio.sleep(1.0)
                self.assertEqual(fleet.versions(fleet.daemons), {version})
            reads = [daemon.store.reads - before[daemon.ip] for daemon in fleet.followers()]
            self.assertLessEqual(sum(reads), 3)
            ages_s = [daemon.age_s() for daemon in fleet.daemons]
            self.assertLess(max(ages_s), 1.9)

        run_in_large_fleet(scenario)

    def test_two_watchers_read_the_store_for_the_whole_fleet(self) -> None:
        """Guards against store calls that grow with the number of zones."""

        async def scenario(fleet: LargeFleet) -> None:
            before = {daemon.ip: daemon.store.reads for daemon in fleet.daemons}
            oldest_s = await fleet.oldest_proof_s(range(10, 20), fleet.daemons)
            reads = {daemon.ip: daemon.store.reads - before[daemon.ip] for daemon in fleet.daemons}
            watchers = [daemon.ip for daemon in fleet.daemons if daemon.peers.view.is_watcher]
            self.assertEqual(len(watchers), WATCHERS_PER_FLEET)
            self.assertLessEqual(sum(reads[ip] for ip in watchers), 2 * 40)
            self.assertLessEqual(sum(reads.values()) - sum(reads[ip] for ip in watchers), 6)
            self.assertLess(oldest_s, 1.9)

        run_in_large_fleet(scenario)

    def test_hubs_push_a_change_to_every_daemon(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            before = {daemon.ip: daemon.store.reads for daemon in fleet.followers()}
            fleet.put_configuration(10)
            await asyncio.sleep(0.1)
            self.assertEqual(fleet.versions(fleet.daemons), {10})
            for daemon in fleet.followers():
                self.assertEqual(daemon.store.reads, before[daemon.ip])

        run_in_large_fleet(scenario)

    def test_watchers_are_in_different_zones_and_alive(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            view = fleet.daemons[0].peers.view
            self.assertEqual(len({watcher.zone for watcher in view.watchers}), WATCHERS_PER_FLEET)
            first = next(
                daemon
                for daemon in fleet.daemons
                if daemon.state.settings.node_id == view.watchers[0].member_id
            )
            fleet.kill(first)
            await asyncio.sleep(6.0)
            for daemon in fleet.daemons:
                self.assertNotIn(view.watchers[0], daemon.peers.view.watchers)

        run_in_large_fleet(scenario)

    def test_other_hubs_read_the_store_when_both_watchers_cannot(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            for daemon in fleet.daemons:
                daemon.store.cut = daemon.peers.view.is_watcher
            before = sum(daemon.store.reads for daemon in fleet.followers())
            oldest_s = 0.0
            for version in range(10, 20):
                fleet.put_configuration(version)
                for _ in range(10):
                    await asyncio.sleep(0.1)
                    oldest_s = max(oldest_s, *(daemon.age_s() for daemon in fleet.daemons))
                    self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))
            await asyncio.sleep(1.5)
            self.assertEqual(fleet.versions(fleet.daemons), {19})
            self.assertLess(oldest_s, 2.5)
            reads = sum(daemon.store.reads for daemon in fleet.followers()) - before
            self.assertLess(reads, len(fleet.followers()) * 10)

        run_in_large_fleet(scenario)

    def test_other_daemons_stay_up_to_date_when_both_watchers_freeze(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            frozen = [daemon for daemon in fleet.daemons if daemon.peers.view.is_watcher]
            silent = {daemon.ip for daemon in frozen}
            fleet.network.drop = lambda sender, receiver: bool(silent & {sender, receiver})
            for daemon in frozen:
                daemon.store.cut = True
            rest = [daemon for daemon in fleet.daemons if daemon not in frozen]
            oldest_s = await fleet.oldest_proof_s(range(10, 16), rest)
            await asyncio.sleep(1.5)
            self.assertEqual(fleet.versions(rest), {15})
            self.assertLess(oldest_s, 2.5)
            self.assertFalse(silent & {watcher_ip(daemon) for daemon in rest})
            self.assertEqual(sum(1 for daemon in rest if daemon.leadership.fence), 1)

        run_in_large_fleet(scenario)

    def test_fleet_stays_up_to_date_and_recovers_from_a_partitioned_third(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            isolated = fleet.daemons[::3]
            isolated_ips = {daemon.ip for daemon in isolated}
            fleet.network.drop = lambda sender, receiver: (
                (sender in isolated_ips) != (receiver in isolated_ips)
            )
            for daemon in isolated:
                daemon.store.cut = True
            rest = [daemon for daemon in fleet.daemons if daemon.ip not in isolated_ips]
            for version in range(10, 20):
                fleet.put_configuration(version)
                await asyncio.sleep(1.0)
                self.assertTrue(all(daemon.state.ready for daemon in rest))
            self.assertEqual(fleet.versions(rest), {19})
            self.assertFalse(any(daemon.state.ready for daemon in isolated))
            fleet.network.drop = lambda sender, receiver: False
            for daemon in isolated:
                daemon.store.cut = False
            await asyncio.sleep(2.5)
            self.assertEqual(fleet.versions(fleet.daemons), {19})
            self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))
            await asyncio.sleep(6.0)
            views = {len(daemon.peers.view.members) for daemon in fleet.daemons}
            self.assertEqual(views, {DAEMONS})

        run_in_large_fleet(scenario)

    def test_lost_updates_are_requested_again(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            sent = iter(range(1_000_000))
            fleet.network.drop = lambda sender, receiver: next(sent) % 3 == 0
            for version in range(10, 16):
                fleet.put_configuration(version)
                fleet.put_replica(f"i-{version}")
                fleet.store.remove(f"servers/i-{version - 1}")
                await asyncio.sleep(1.8)
                self.assertEqual(fleet.versions(fleet.daemons), {version})
            for daemon in fleet.daemons:
                known = {replica.replica_id for replica in daemon.state.fleet.replicas()}
                self.assertEqual(known, {"i-1", "i-2", "i-15"})

        run_in_large_fleet(scenario)

    def test_zone_that_loses_both_hubs_stays_up_to_date(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            for hub in fleet.hubs():
                if hub.state.settings.zone == "z2":
                    fleet.kill(hub)
            oldest_s = await fleet.oldest_proof_s(range(10, 20), fleet.daemons)
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.versions(fleet.daemons), {19})
            self.assertLess(oldest_s, 1.9)

        run_in_large_fleet(scenario)

    def test_hubs_without_the_store_learn_documents_from_other_zones(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            for daemon in fleet.daemons:
                daemon.store.cut = daemon.state.settings.zone == "z3"
            await asyncio.sleep(4.0)
            fleet.put_configuration(30)
            await asyncio.sleep(2.5)
            self.assertEqual(fleet.versions(fleet.daemons), {30})
            for _ in range(30):
                await asyncio.sleep(0.1)
                self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))

        run_in_large_fleet(scenario)

    def test_work_and_cached_parts_reach_every_daemon_in_few_messages(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            sent = {daemon.ip: daemon.peers.sent_messages for daemon in fleet.daemons}
            for number, daemon in enumerate(fleet.daemons):
                replica = daemon.state.fleet.get("i-1")
                assert replica is not None
                replica.record_sent(number, 100, daemon.state.clock() + 9.0)
                daemon.state.on_work_sent()
                daemon.state.record_cached_parts(replica, [1000 + number])
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                replica = daemon.state.fleet.get("i-1")
                assert replica is not None
                self.assertEqual(replica.peer_in_flight, DAEMONS - 1)
                self.assertEqual(replica.peer_pending_prefill_tokens, 100 * (DAEMONS - 1))
                for number in range(DAEMONS):
                    self.assertIn(
                        replica.incarnation_hash, daemon.state.parts.holders(1000 + number)
                    )
            for daemon in fleet.followers():
                self.assertLess(daemon.peers.sent_messages - sent[daemon.ip], 2.0 * 20)

        run_in_large_fleet(scenario)

    def test_new_work_is_known_everywhere_within_200_ms(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            busy = fleet.followers()[0]
            replica = busy.state.fleet.get("i-2")
            assert replica is not None
            replica.record_sent(1, 7_000, busy.state.clock() + 9.0)
            busy.state.on_work_sent()
            await asyncio.sleep(0.2)
            for daemon in fleet.daemons:
                seen = daemon.state.fleet.get("i-2")
                assert seen is not None
                self.assertEqual(seen.queued_prefill_tokens, 7_000)
            replica.record_prefilled(7_000)
            replica.record_ended(1)
            await asyncio.sleep(0.5)
            for daemon in fleet.daemons:
                seen = daemon.state.fleet.get("i-2")
                assert seen is not None
                self.assertEqual((seen.queued_prefill_tokens, seen.running), (0, 0))

        run_in_large_fleet(scenario)

    def test_second_hub_takes_over_when_the_first_crashes(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            first_id = fleet.daemons[0].peers.view.hubs["z1"][0].member_id
            first = next(item for item in fleet.daemons if item.state.settings.node_id == first_id)
            fleet.kill(first)
            busy = next(item for item in fleet.followers() if item.state.settings.zone == "z1")
            replica = busy.state.fleet.get("i-2")
            assert replica is not None
            replica.record_sent(1, 100, busy.state.clock() + 9.0)
            await asyncio.sleep(1.5)
            for daemon in fleet.daemons:
                seen = daemon.state.fleet.get("i-2")
                assert seen is not None
                expected = 0 if daemon is busy else 1
                self.assertEqual(seen.peer_in_flight, expected, daemon.state.settings.node_id)

        run_in_large_fleet(scenario)

    def test_weight_entries_reach_every_daemon_through_the_hubs(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            leader = fleet.followers()[0]
            sent = leader.peers.sent_messages
            leader.weights.broadcast_weights(
                1 << 40, (WeightsEntry("i-1", member_hash("i-1"), "m", 7, 1500, 0),)
            )
            self.assertLessEqual(leader.peers.sent_messages - sent, 2 * len(ZONES))
            await asyncio.sleep(0.05)
            for daemon in fleet.daemons:
                replica = daemon.state.fleet.get("i-1")
                assert replica is not None
                self.assertEqual(replica.versions["m"], 7)
                self.assertGreater(replica.loading_until_s, daemon.state.clock())

        run_in_large_fleet(scenario)

    def test_fleet_has_one_leader_and_replaces_a_crashed_one(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            fences = [daemon.leadership.fence for daemon in fleet.daemons]
            self.assertEqual(sum(1 for fence in fences if fence), 1)
            leader = next(daemon for daemon in fleet.daemons if daemon.leadership.fence)
            fleet.kill(leader)
            await asyncio.sleep(6.0)
            fences = [daemon.leadership.fence for daemon in fleet.daemons]
            self.assertEqual(sum(1 for fence in fences if fence), 1)

        run_in_large_fleet(scenario)


class ColdStartTest(unittest.TestCase):
    def test_fleet_that_starts_at_once_knows_its_members_within_seconds(self) -> None:
        """Guards against slow discovery, in which daemons unknown to the hubs read the store."""

        async def main() -> None:
            network, store = Network(), MemoryStore()
            daemons = [Daemon(network, number, ZONES[number % 3], store) for number in range(1, 91)]
            for daemon in daemons:
                daemon.follow()
            await asyncio.sleep(4.0)
            known = [len(daemon.peers.view.members) for daemon in daemons]
            self.assertGreater(sum(known) / len(known), 0.97 * len(daemons))
            self.assertEqual(sum(daemon.peers.view.is_hub for daemon in daemons), 2 * len(ZONES))

        run_virtually(main())


class StorePartitionTest(unittest.TestCase):
    def test_daemon_without_the_store_learns_documents_from_peers(self) -> None:
        async def main() -> None:
            network, store = Network(), MemoryStore()
            store.put("op/config", json.dumps({**CONFIGURATION, "Version": 3}).encode())
            daemons = [Daemon(network, number, "z1", store) for number in range(1, 5)]
            for daemon in daemons:
                daemon.follow()
            await asyncio.sleep(4.0)
            cut = daemons[2]
            cut.store.cut = True
            await asyncio.sleep(3.0)
            store.put("op/config", json.dumps({**CONFIGURATION, "Version": 4}).encode())
            await asyncio.sleep(1.5)
            assert cut.state.routing_table is not None
            self.assertEqual(cut.state.routing_table.version, 4)
            self.assertTrue(cut.state.ready)

        run_virtually(main())

    def test_daemon_that_starts_without_the_store_becomes_ready(self) -> None:
        async def main() -> None:
            network, store = Network(), MemoryStore()
            store.put("op/config", json.dumps({**CONFIGURATION, "Version": 3}).encode())
            first = Daemon(network, 1, "z1", store)
            first.follow()
            await asyncio.sleep(2.0)
            late = Daemon(network, 2, "z1", store)
            late.store.cut = True
            late.follow()
            await asyncio.sleep(3.0)
            self.assertTrue(late.state.ready)

        run_virtually(main())


class DocumentTableTest(unittest.TestCase):
    def test_older_entry_is_ignored(self) -> None:
        table = DocumentTable()
        self.assertTrue(table.apply(TableItem("a", 5, b"new")))
        self.assertFalse(table.apply(TableItem("a", 4, b"old")))
        self.assertTrue(table.apply(TableItem("a", 6, None)))
        self.assertFalse(table.apply(TableItem("a", 5, b"new")))
        self.assertEqual(
            table.update_after(StorePosition(), StorePosition(0, 6)).items,
            (TableItem("a", 6, None),),
        )

    def test_peer_that_lags_behind_the_tombstones_gets_a_complete_update(self) -> None:
        table = DocumentTable()
        table.apply(TableItem("kept", 1, b"x"))
        for number in range(MAX_REMOVED + 1):
            table.apply(TableItem(f"k{number}", 2 + number, None))
        update = table.update_after(StorePosition(0, 1), StorePosition(0, 3_000))
        self.assertTrue(update.complete)
        self.assertEqual([item.key for item in update.items], ["kept"])
        self.assertFalse(table.update_after(StorePosition(0, 2), StorePosition(0, 3_000)).complete)

    def test_large_update_is_split_into_parts_and_reassembled(self) -> None:
        values = [
            bytes((number * 31 + index * 17) % 251 for index in range(997)) for number in range(40)
        ]
        items = tuple(TableItem(f"k{number}", number, value) for number, value in enumerate(values))
        update = TableUpdate(StorePosition(), StorePosition(0, 50), False, False, items)
        parts = [part for part in split_update("n1", update) if isinstance(part, DocumentPart)]
        assembler = UpdateAssembler()
        results = [assembler.add(part) for part in parts]
        self.assertEqual(results[-1], update)
        self.assertTrue(all(len(part.data) <= MAX_PART_BYTES for part in parts))

    def test_malformed_part_is_refused(self) -> None:
        update = TableUpdate(
            StorePosition(), StorePosition(0, 9), False, False, (TableItem("a", 1, b"x"),)
        )
        part = split_update("n1", update)[0]
        assert isinstance(part, DocumentPart)
        broken = type(part)("n1", 0, 9, False, False, 0, 3, b"abc")
        self.assertIsInstance(UpdateAssembler().add(broken), Failure)
