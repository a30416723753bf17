"""Fences increase over the store's eras, and a leader never replaces a newer leader's entry."""

from __future__ import annotations

import asyncio
import unittest

from tests.memory_store import MemoryStore
from tests.store_restore_fleet import StoreRestoreFleet, run_in_store_restore_fleet
from tests.virtual_loop import run_virtually
from tests.weights_fleet import FakeReplica, Fleet
from winchfork.core.fence_registry import FENCES_PER_ERA, FenceRegistry
from winchfork.core.store_position import StorePosition
from winchfork.router.leader_entry import FENCE_KEY, LEADER_KEY, LeaderEntry
from winchfork.stores.async_key_value import StoreLease


class FenceRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = FenceRegistry()
        self.registry.record_entry(StorePosition(1, 64))

    def test_rising_revision_needs_no_recorded_fence(self) -> None:
        self.assertIsNone(self.registry.fence_to_record(StorePosition(1, 64)))
        self.assertEqual(self.registry.fence_of(StorePosition(1, 70)), 70)

    def test_lower_revision_needs_a_recorded_fence(self) -> None:
        self.assertEqual(self.registry.fence_to_record(StorePosition(1, 55)), 65)

    def test_first_fence_of_an_era_is_above_those_of_earlier_ones_that_nobody_knows(self) -> None:
        """Guards against a lower fence after a restore and the death of all daemons."""
        unaware = FenceRegistry()
        self.assertIsNone(unaware.fence_to_record(StorePosition(1, 5)))
        fences = [unaware.fence_to_record(StorePosition(era, 5)) or 0 for era in (2, 3)]
        self.assertEqual(fences, [FENCES_PER_ERA, 2 * FENCES_PER_ERA])
        self.assertLess(fences[1], 2**53)
        self.assertEqual(self.registry.fence_to_record(StorePosition(2, 55)), FENCES_PER_ERA)

    def test_second_leader_of_an_era_uses_the_next_fence(self) -> None:
        self.registry.record_fence(StorePosition(2, 57), FENCES_PER_ERA)
        self.assertEqual(self.registry.fence_of(StorePosition(2, 57)), FENCES_PER_ERA)
        self.assertEqual(self.registry.fence_to_record(StorePosition(2, 58)), FENCES_PER_ERA + 1)

    def test_recorded_fence_applies_to_later_entries_of_its_era(self) -> None:
        """As a daemon of an earlier build records it."""
        self.registry.record_fence(StorePosition(2, 57), 65)
        self.assertEqual(self.registry.fence_of(StorePosition(2, 57)), 65)
        self.assertEqual(self.registry.fence_of(StorePosition(2, 58)), 65)
        self.assertEqual(self.registry.fence_of(StorePosition(3, 58)), 58)
        self.assertEqual(self.registry.fence_of(StorePosition(2, 70)), 70)
        self.assertEqual(self.registry.fence_to_record(StorePosition(2, 58)), FENCES_PER_ERA)

    def test_refused_fence_is_raised_by_a_large_increment(self) -> None:
        self.registry.record_refusal(64)
        self.assertGreater(self.registry.fence_to_record(StorePosition(1, 70)) or 0, 1_000)

    def test_restored_entry_is_distinguished_from_a_new_one(self) -> None:
        self.assertTrue(self.registry.is_restored(StorePosition(2, 64)))
        self.assertFalse(self.registry.is_restored(StorePosition(2, 57)))
        self.assertFalse(self.registry.is_restored(StorePosition(1, 64)))


class LeaderEntryTest(unittest.TestCase):
    def test_new_leaders_entry_is_not_replaced(self) -> None:
        async def scenario() -> object:
            store = MemoryStore()
            entry = LeaderEntry(store, "n1")
            entry.fences.record_entry(StorePosition(0, 7))
            store.era = 1
            store.put(LEADER_KEY, b"n2")
            return await entry.find_replaceable()

        self.assertIsNone(run_virtually(scenario()))

    def test_fence_is_written_in_the_same_transaction_as_the_entry(self) -> None:
        async def scenario() -> tuple[bytes | None, int, int]:
            store = MemoryStore()
            entry = LeaderEntry(store, "n1")
            entry.fences.record_entry(StorePosition(0, 70))
            store.era = 1
            lease = await store.grant_lease(2.0)
            assert isinstance(lease, StoreLease)
            await entry.write(lease, 0, StorePosition(0, 80))
            items = store.items
            return items[FENCE_KEY].value, items[LEADER_KEY].revision, store.revision

        value, revision, last = run_virtually(scenario())
        self.assertEqual(value, b"71")
        self.assertEqual(revision, last)

    def test_leader_knows_its_entry_revision_after_the_store_is_restored(self) -> None:
        """Guards against conflicts of its writes, which are conditional on that revision."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            await asyncio.sleep(3.0)
            (leader,) = fleet.leading()
            entry = fleet.store.items[LEADER_KEY]
            self.assertIn(FENCE_KEY, fleet.store.items)
            self.assertEqual(leader.leadership.entry_revision, entry.revision)

        run_in_store_restore_fleet(3, scenario)

    def test_malformed_fence_record_is_ignored(self) -> None:
        entry = LeaderEntry(MemoryStore(), "n1")
        for value in (b"", b"x", b"-1", b"1.5", b"9" * 40):
            entry.record_fence(StorePosition(1, 5), value)
        self.assertEqual(entry.fences.highest, 0)


class RefusedFenceTest(unittest.TestCase):
    def test_leader_whose_fence_is_refused_uses_a_higher_one(self) -> None:
        """As after a restart of all daemons, when none knows the fences that the store lost."""

        async def scenario() -> list[int]:
            replica = FakeReplica("i-1")
            replica.fence = 400
            fleet = await Fleet.with_leader([replica])
            fleet.name_version(2)
            await asyncio.sleep(6.0)
            return replica.loads

        self.assertEqual(run_virtually(scenario()), [2])


if __name__ == "__main__":
    unittest.main()
