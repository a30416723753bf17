"""Daemons without state conclude from the fleet's record of versions, in virtual time."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from tests.large_fleet import DAEMONS
from tests.version_record_events import RandomEvents
from tests.version_record_fleet import (
    FORGOTTEN_S,
    LISTED_S,
    SERVICE,
    SPAN_S,
    START_S,
    WRITTEN_S,
    VersionRecordFleet,
    run_in_version_record_fleet,
)
from tests.virtual_loop import run_virtually
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.unlisted_software import UnlistedIncarnation
from winchfork.core.version_register import VersionRecord
from winchfork.router.software_tracker import MAX_CARRIED_GAP_S
from winchfork.router.version_records import VERSION_RECORD_KEY, encode_version_record

ROUTERS = 6
SEEDS = range(1, 4)
#: Seconds in which daemons see a change, and the leader has not yet written it.
SEEN_S = 0.001
#: Seconds between two changes of a busy fleet's list.
CHANGE_PERIOD_S = 3.0
#: A tenth of the writes that the store takes of the whole fleet in one second.
MAX_WRITES_PER_CHANGE = 40


class KilledFleetTest(unittest.TestCase):
    """Guards against streams that cannot be continued after all routers were killed."""

    def test_one_version_is_concluded_at_once(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            self.assertEqual(fleet.recorded(), {"v1"})
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_one_version_is_concluded_after_kills_in_a_row(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            for _ in range(4):
                await fleet.restart_all()
                self.assertEqual(await fleet.conclusions(), {"v1"})
            await asyncio.sleep(SPAN_S)
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_left_before_the_kill_is_not_overlooked(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.remove_replica("i-9")
            await asyncio.sleep(SPAN_S / 2)
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_left_during_the_kill_is_not_overlooked(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.kill_all()
            fleet.remove_replica("i-9")
            await fleet.start_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_all_replicas_left_for_is_not_concluded(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.kill_all()
            for number in range(4):
                fleet.list_replica(f"i-{number}", "v1.1")
            await fleet.start_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_joins_after_the_kill_ends_the_conclusions(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            await fleet.restart_all()
            fleet.list_replica("i-9", "v1.1")
            self.assertEqual(await fleet.conclusions(), {None})
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_left_long_ago_is_forgotten(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.remove_replica("i-9")
            await asyncio.sleep(SPAN_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})
            await asyncio.sleep(FORGOTTEN_S - SPAN_S)
            self.assertEqual(fleet.recorded(), {"v1"})
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_left_before_the_kill_is_forgotten_after_it(self) -> None:
        """Guards against a record that daemons without a past never shorten."""

        async def scenario(fleet: VersionRecordFleet) -> None:
            for number in range(4):
                fleet.list_replica(f"i-{number}", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            await fleet.restart_all()
            await asyncio.sleep(START_S + FORGOTTEN_S)
            self.assertEqual(fleet.recorded(), {"v1.1"})
            self.assertEqual(await fleet.conclusions(), {"v1.1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_left_before_some_daemons_started_is_not_added_again(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.remove_replica("i-9")
            await asyncio.sleep(SPAN_S / 2)
            follower = next(item for item in fleet.daemons if not item.leadership.leads())
            await fleet.restart(follower)
            writes = fleet.record_writes()
            await asyncio.sleep(FORGOTTEN_S + START_S)
            self.assertEqual(fleet.recorded(), {"v1"})
            self.assertEqual(fleet.record_writes() - writes, 1)

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_only_others_saw_is_not_overlooked(self) -> None:
        """Guards against a list that shows nothing of a replica that came and left."""

        async def scenario(fleet: VersionRecordFleet) -> None:
            cut = next(item for item in fleet.daemons if not item.leadership.leads())
            cut.store.cut = True
            fleet.network.drop = lambda sender, receiver: cut.ip in (sender, receiver)
            fleet.list_replica("i-9", "v1.1")
            while fleet.recorded() != {"v1", "v1.1"}:
                await asyncio.sleep(0.01)
            fleet.remove_replica("i-9")
            fleet.store.compact_history()
            cut.store.cut = False
            while cut.state.store_position < fleet.store.at:
                await asyncio.sleep(0.01)
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)


class MissingRecordTest(unittest.TestCase):
    """Guards against conclusions from a record that may lack versions."""

    def test_nothing_is_concluded_before_the_first_record(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.kill_all()
            fleet.store.remove(VERSION_RECORD_KEY)
            await fleet.start_all()
            self.assertEqual(await fleet.conclusions(), {None})
            await asyncio.sleep(SPAN_S / 2)
            self.assertEqual(fleet.recorded(), set())
            await asyncio.sleep(SPAN_S / 2 + START_S)
            self.assertEqual(fleet.recorded(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_garbled_record_is_ignored_and_written_again(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            for value in (b"\xff{", b"[]", b'{"era":"1","services":{}}', b'{"era":1}'):
                fleet.store.put(VERSION_RECORD_KEY, value)
                await asyncio.sleep(WRITTEN_S)
                self.assertEqual(fleet.recorded(), {"v1"})
            fleet.kill_all()
            fleet.store.put(VERSION_RECORD_KEY, b'{"era":1,"services":{"s":[1]}}')
            await fleet.start_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_removed_record_is_written_again(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.store.remove(VERSION_RECORD_KEY)
            await asyncio.sleep(WRITTEN_S)
            self.assertEqual(fleet.recorded(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_without_the_leader_is_added_by_another_daemon(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            for daemon in fleet.daemons:
                daemon.leadership.withdraw()
            fleet.leader().kill(fleet.network)
            await asyncio.sleep(START_S)
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_version_that_joined_before_an_outage_of_the_store_is_added_after_it(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(SEEN_S)
            fleet.store.down = True
            await asyncio.sleep(6.0)
            self.assertEqual(fleet.recorded(), {"v1"})
            fleet.store.down = False
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_write_whose_answer_is_lost_is_not_undone(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            fleet.store.write_answers_to_lose = 1
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_write_over_a_record_that_is_not_known_fails(self) -> None:
        """Guards against a version that two daemons write without the other's."""

        async def scenario(fleet: VersionRecordFleet) -> None:
            leader = fleet.leader()
            leader.store.reading.clear()
            record = VersionRecord(fleet.store.era, {SERVICE: ("v1", "v1.2")})
            fleet.store.put(VERSION_RECORD_KEY, encode_version_record(record))
            listing = ReplicaListing("i-9", SERVICE, "a:1", "z1", 8, True, {}, software="v1.1")
            leader.state.software_tracker.record_listed(listing, leader.state.clock())
            await asyncio.sleep(LISTED_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.2"})
            leader.store.reading.set()
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1", "v1.2"})

        run_in_version_record_fleet(ROUTERS, scenario)


class RestoredRecordTest(unittest.TestCase):
    """Guards against a copy of the record from before a version joined."""

    def test_a_restored_record_is_written_again_with_what_is_known(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            backup = fleet.store.backup()
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.remove_replica("i-9")
            await fleet.restore(backup)
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_restored_record_is_not_believed_by_daemons_without_a_past(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            backup = fleet.store.backup()
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.kill_all()
            await fleet.restore(backup)
            await fleet.start_all()
            self.assertEqual(await fleet.conclusions(), {None})
            await asyncio.sleep(SPAN_S / 2)
            self.assertEqual(fleet.recorded(), set())

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_record_is_not_written_again_at_once_after_a_long_outage(self) -> None:
        """Guards against a daemon that was cut off alone and has missed versions."""

        async def scenario(fleet: VersionRecordFleet) -> None:
            backup = fleet.store.backup()
            await fleet.restore(backup, outage_s=MAX_CARRIED_GAP_S + 2.0)
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), set())
            await asyncio.sleep(SPAN_S)
            self.assertEqual(fleet.recorded(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_one_version_is_concluded_after_two_restores_and_a_kill(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            backup = fleet.store.backup()
            await fleet.restore(backup)
            await asyncio.sleep(0.3)
            await fleet.restore(backup)
            await asyncio.sleep(START_S)
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)


class RandomEventsTest(unittest.TestCase):
    """Guards against orders of events in which a daemon concludes a version too early."""

    def test_streams_go_on_at_their_version_or_not_at_all(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                events = RandomEvents.run_virtually(seed)
                self.assertGreater(events.kills, 0)
                self.assertGreater(events.findings.found, 0)
                self.assertEqual(events.findings.wrong, 0)


class FirstUseTest(unittest.TestCase):
    """Guards against a new fleet that can conclude nothing in its first half minute."""

    def test_a_new_fleet_that_is_killed_early_concludes(self) -> None:
        async def main() -> None:
            fleet = VersionRecordFleet(ROUTERS)
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1"})
            self.assertEqual(await fleet.conclusions(), {"v1"})
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_virtually(main())

    def test_a_version_that_a_new_fleet_has_seen_is_not_overlooked(self) -> None:
        async def main() -> None:
            fleet = VersionRecordFleet(ROUTERS)
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(START_S)
            fleet.remove_replica("i-9")
            await fleet.restart_all()
            self.assertEqual(await fleet.conclusions(), {None})

        run_virtually(main())


class FurtherLossesTest(unittest.TestCase):
    """Guards against conclusions that the record prevents for longer than needed."""

    def test_a_replica_that_returned_without_an_entry_stays_this_daemons_affair(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            state = fleet.daemons[2].state
            replica = state.fleet.remove("i-0")
            assert replica is not None
            listing = msgspec.structs.replace(replica.listing, started_at_ms=200)
            name = UnlistedIncarnation("i-0", 200).software
            state.install_listing(msgspec.structs.replace(listing, software=name))
            returned = state.fleet.get("i-0")
            assert returned is not None
            returned.has_begun_stream = True
            state.software_tracker.observe()
            await asyncio.sleep(WRITTEN_S + 2.0)
            self.assertEqual(fleet.recorded(), {"v1"})
            self.assertEqual(await fleet.conclusions(), {"v1", None})
            state.install_listing(listing)
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_a_late_answer_to_a_write_does_not_undo_a_later_record(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            leader = fleet.leader()
            fleet.store.write_answer_delay_s = 0.8
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(0.3)
            record = VersionRecord(fleet.store.era, {SERVICE: ("v1", "v1.1", "v1.2")})
            fleet.store.put(VERSION_RECORD_KEY, encode_version_record(record))
            await asyncio.sleep(1.3)
            fleet.store.write_answer_delay_s = 0.0
            self.assertEqual(leader.state.software_tracker.register.record, record)
            fleet.remove_replica("i-9")
            await asyncio.sleep(FORGOTTEN_S)
            self.assertEqual(fleet.recorded(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)

    def test_running_daemons_use_the_record_of_a_new_era_once_it_is_written(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            await fleet.restore(fleet.store.backup())
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1"})
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(ROUTERS, scenario)


class LargeFleetTest(unittest.TestCase):
    """Guards against writes by every daemon of a large fleet."""

    def test_a_change_costs_few_writes_and_a_killed_fleet_concludes(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            self.assertEqual(fleet.record_writes(), 1)
            calls = fleet.store.calls.count("transact")
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})
            self.assertEqual(fleet.record_writes(), 2)
            self.assertEqual(fleet.store.calls.count("transact") - calls, 1)
            fleet.remove_replica("i-9")
            await asyncio.sleep(FORGOTTEN_S)
            self.assertEqual(fleet.recorded(), {"v1"})
            await fleet.restart_all()
            await asyncio.sleep(2.0)
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(DAEMONS, scenario)

    def test_changes_elsewhere_do_not_keep_daemons_from_concluding(self) -> None:
        """Guards against a relayed update that counts as a gap in the list."""

        async def scenario(fleet: VersionRecordFleet) -> None:
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(WRITTEN_S)
            fleet.remove_replica("i-9")
            for number in range(int(FORGOTTEN_S / CHANGE_PERIOD_S) + 1):
                await asyncio.sleep(CHANGE_PERIOD_S)
                replica_id = f"i-{20 + number % 2}"
                if number % 4 < 2:
                    fleet.list_replica(replica_id, "v1")
                else:
                    fleet.remove_replica(replica_id)
            self.assertEqual(fleet.recorded(), {"v1"})
            self.assertEqual(await fleet.conclusions(), {"v1"})

        run_in_version_record_fleet(DAEMONS, scenario)

    def test_without_a_leader_few_daemons_write(self) -> None:
        async def scenario(fleet: VersionRecordFleet) -> None:
            for daemon in fleet.daemons:
                daemon.leadership.withdraw()
            fleet.leader().kill(fleet.network)
            await asyncio.sleep(START_S)
            calls = fleet.store.calls.count("transact")
            fleet.list_replica("i-9", "v1.1")
            await asyncio.sleep(START_S)
            self.assertEqual(fleet.recorded(), {"v1", "v1.1"})
            self.assertLessEqual(fleet.store.calls.count("transact") - calls, MAX_WRITES_PER_CHANGE)

        run_in_version_record_fleet(DAEMONS, scenario)


if __name__ == "__main__":
    unittest.main()
