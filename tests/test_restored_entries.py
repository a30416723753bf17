"""Outdated entries of a store that was restored from a backup do not replace later state."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from collections.abc import Callable
from typing import Any

from tests.store_restore_fleet import BACKUP_AGE_S, StoreRestoreFleet, run_in_store_restore_fleet
from winchfork.core.request_digest import DIGEST_BYTES
from winchfork.core.software_state import SoftwareOrder, SoftwarePhase, SoftwareState
from winchfork.router.refusal_records import RefusalRecord, bucket_key
from winchfork.router.refusal_writer import OTHERS_DELAY_S
from winchfork.router.restored_entries import HELD_BACK_S
from winchfork.router.software_records import encode_record, software_record_key

DAEMONS = 5
DIGEST = bytes(range(DIGEST_BYTES))


async def restore_later(fleet: StoreRestoreFleet, backup: dict[str, Any]) -> None:
    """Restore the store from a backup ``BACKUP_AGE_S`` from now, after some other changes."""
    fleet.change(30)
    await asyncio.sleep(BACKUP_AGE_S)
    await fleet.restore(backup)


class RestoredReplicasTest(unittest.TestCase):
    def _accepting(self, fleet: StoreRestoreFleet) -> set[str]:
        return {
            replica.replica_id
            for daemon in fleet.daemons
            for replica in daemon.state.fleet.replicas()
            if replica.listing.accepting
        }

    def test_a_draining_replica_does_not_become_ready_again(self) -> None:
        """The backup contains its entry from before it began to drain."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.list_replica("i-1", State="draining", Sequence=7)
            await restore_later(fleet, backup)
            ready = []
            for _ in range(300):
                await asyncio.sleep(0.01)
                ready += ["i-1"] if "i-1" in self._accepting(fleet) else []
            self.assertEqual(ready, [])

        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_a_removed_replica_is_not_listed_again_at_once(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.store.remove("servers/i-1")
            await restore_later(fleet, backup)
            await asyncio.sleep(HELD_BACK_S - 1.0)
            self.assertEqual(self._accepting(fleet), {"i-2"})
            fleet.store.remove("servers/i-1")
            await asyncio.sleep(4.0)
            self.assertEqual(self._accepting(fleet), {"i-2"})

        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_a_removed_replica_whose_entry_does_not_expire_is_listed_again(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.store.remove("servers/i-1")
            await restore_later(fleet, backup)
            await asyncio.sleep(HELD_BACK_S + 2.0)
            self.assertEqual(self._accepting(fleet), {"i-1", "i-2"})

        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_an_entry_that_is_written_after_the_restore_is_applied_at_once(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.store.remove("servers/i-1")
            await restore_later(fleet, backup)
            await asyncio.sleep(1.0)
            fleet.list_replica("i-1", Sequence=9)
            await asyncio.sleep(0.5)
            self.assertEqual(self._accepting(fleet), {"i-1", "i-2"})

        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_a_later_incarnation_is_listed_at_once(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.store.remove("servers/i-1")
            await restore_later(fleet, backup)
            fleet.list_replica("i-1", born=5_000)
            await asyncio.sleep(1.5)
            self.assertEqual(self._accepting(fleet), {"i-1", "i-2"})

        run_in_store_restore_fleet(DAEMONS, scenario)


class RestoredRefusalsTest(unittest.TestCase):
    """Guards against a refused request that may run again because the backup is older."""

    def _play(self, before: RefusalRecord | None) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            writers = [daemon.write_refusals() for daemon in fleet.daemons]
            key = bucket_key(DIGEST)
            if before is not None:
                fleet.store.put(key, json.dumps(_plain(before)).encode())
                await asyncio.sleep(0.5)
            backup = fleet.store.backup()
            now_ms = fleet.now_ms()
            fleet.store.put(key, json.dumps(_plain(RefusalRecord(DIGEST, now_ms, 2))).encode())
            await restore_later(fleet, backup)
            await asyncio.sleep(1.0 + OTHERS_DELAY_S + 1.0)
            refused = [daemon.state.crashes.refusal(DIGEST) is not None for daemon in fleet.daemons]
            self.assertEqual(refused, [True] * DAEMONS)
            stored = json.loads(fleet.store.items[key].value or b"{}")
            self.assertEqual(stored["times"], 2)
            written = [item for item in fleet.store.history if item.key == key]
            self.assertLessEqual(len(written), 3)
            for writer in writers:
                writer.cancel()

        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_a_refused_request_stays_refused_if_the_backup_has_no_record_of_it(self) -> None:
        self._play(None)

    def test_a_refused_request_stays_refused_if_the_backup_has_it_released(self) -> None:
        self._play(RefusalRecord(DIGEST, 1_000, 0))


def _plain(record: RefusalRecord) -> dict[str, object]:
    digest = base64.b64encode(record.digest).decode()
    return {"digest": digest, "refused_ms": record.refused_ms, "times": record.times}


def trial_of(order: int, share: float = 0.05, elapsed_s: float = 1.0) -> SoftwareState:
    """Return the record of a rollout to v2 in its first stage."""
    phase = SoftwarePhase.TRIAL
    return SoftwareState("huvo11a", "v1", phase, "v2", share, 1, order, 30.0, elapsed_s)


class RestoredRolloutsTest(unittest.TestCase):
    """Software rollouts whose record or order is missing or outdated in the backup."""

    def _order(self, fleet: StoreRestoreFleet, target: str) -> int:
        return fleet.order_software("huvo11a", target, 30.0)

    def _states(self, fleet: StoreRestoreFleet) -> set[tuple[str, str]]:
        states = [daemon.state.software.effective_state("huvo11a") for daemon in fleet.daemons]
        return {(state.phase.value, state.target) for state in states}

    def _play(self, scenario: Callable[[StoreRestoreFleet], Any]) -> None:
        run_in_store_restore_fleet(DAEMONS, scenario)

    def test_a_later_record_is_kept_with_the_revision_of_the_restored_one(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            order = self._order(fleet, "v2")
            record = trial_of(order)
            fleet.store.put(software_record_key("huvo11a"), encode_record(record))
            await asyncio.sleep(0.5)
            backup = fleet.store.backup()
            later = record.advanced(SoftwarePhase.MOVING, 0.2, 3.0)
            fleet.store.put(software_record_key("huvo11a"), encode_record(later))
            await restore_later(fleet, backup)
            await asyncio.sleep(1.0)
            self.assertEqual(self._states(fleet), {("moving", "v2")})
            revision = fleet.store.items[software_record_key("huvo11a")].revision
            for daemon in fleet.daemons:
                self.assertEqual(daemon.state.software.revision("huvo11a"), revision)
                self.assertTrue(daemon.state.software.is_record_lost("huvo11a"))

        self._play(scenario)

    def test_an_order_that_is_written_again_is_the_same_order(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            former_number = self._order(fleet, "v2")
            await restore_later(fleet, backup)
            fleet.change(3)
            number = self._order(fleet, "v2")
            await asyncio.sleep(1.0)
            known = {daemon.state.software.orders["huvo11a"] for daemon in fleet.daemons}
            self.assertEqual(known, {SoftwareOrder("huvo11a", "v2", 30.0, number)})
            numbers = {
                item.state.software.current_order_number("huvo11a", former_number)
                for item in fleet.daemons
            }
            self.assertEqual(numbers, {number})

        self._play(scenario)

    def test_a_daemon_that_started_after_the_restore_numbers_orders_like_the_others(self) -> None:
        """Guards against daemons that take a new leader's record for that of an earlier order."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.change(10)
            former_number = self._order(fleet, "v2")
            record = trial_of(former_number)
            fleet.store.put(software_record_key("huvo11a"), encode_record(record))
            await restore_later(fleet, backup)
            number = self._order(fleet, "v2")
            await asyncio.sleep(1.5)
            fresh = trial_of(number, share=0.1, elapsed_s=2.0)
            fleet.store.put(software_record_key("huvo11a"), encode_record(fresh))
            await asyncio.sleep(0.5)
            for daemon in fleet.daemons:
                self.assertEqual(daemon.state.software.recorded_state("huvo11a"), fresh)
                self.assertEqual(daemon.state.software.orders["huvo11a"].revision, number)

        self._play(scenario)

    def test_an_earlier_order_in_the_backup_does_not_replace_a_later_one(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            self._order(fleet, "v1")
            await asyncio.sleep(0.5)
            backup = fleet.store.backup()
            self._order(fleet, "v2")
            await restore_later(fleet, backup)
            await asyncio.sleep(1.0)
            targets = {daemon.state.software.orders["huvo11a"].target for daemon in fleet.daemons}
            self.assertEqual(targets, {"v2"})

        self._play(scenario)

    def test_a_new_order_after_the_restore_is_accepted_though_its_revision_is_lower(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            fleet.change(10)
            former_number = self._order(fleet, "v2")
            record = trial_of(former_number)
            fleet.store.put(software_record_key("huvo11a"), encode_record(record))
            await restore_later(fleet, backup)
            number = self._order(fleet, "v3")
            self.assertLess(number, former_number)
            await asyncio.sleep(1.0)
            for daemon in fleet.daemons:
                order = daemon.state.software.orders["huvo11a"]
                self.assertEqual((order.target, order.revision), ("v3", number))
                state = daemon.state.software.effective_state("huvo11a")
                self.assertLess(state.order_revision, number)

        self._play(scenario)


if __name__ == "__main__":
    unittest.main()
