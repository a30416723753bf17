"""Tests that orders keep their identity when the store is restored from a backup."""

from __future__ import annotations

import unittest

from winchfork.core.software_orders import NO_ORDER, OrderRegistry
from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition


class OrderRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = OrderRegistry()

    def _read(self, era: int, revision: int, target: str = "v2") -> object:
        order = SoftwareOrder("s", target, 30.0, revision)
        update = self.registry.record(order, StorePosition(era, revision))
        return None if update is None else (update.order.target, update.previous_number)

    def test_the_same_order_written_again_in_one_era_is_a_new_order(self) -> None:
        self.assertEqual(self._read(1, 50), ("v2", None))
        self.assertEqual(self._read(1, 60), ("v2", None))

    def test_an_order_that_was_read_before_a_restore_is_not_new(self) -> None:
        self._read(1, 50, "v1")
        self._read(1, 60)
        self.assertIsNone(self._read(2, 50, "v1"))
        self.assertEqual(self._read(2, 55), ("v2", 60))

    def test_all_earlier_numbers_map_to_the_current_one(self) -> None:
        self._read(1, 113)
        self._read(2, 107)
        self._read(3, 122)
        self.assertEqual([self.registry.current_number("s", n) for n in (113, 107, 122)], [122] * 3)

    def test_a_number_that_is_assigned_again_maps_to_itself(self) -> None:
        self._read(1, 113)
        self._read(2, 107)
        self._read(3, 113)
        self.assertEqual([self.registry.current_number("s", n) for n in (113, 107)], [113, 113])
        self.assertEqual(self._read(3, 120, "v3"), ("v3", None))
        self.assertEqual(self.registry.current_number("s", 120), 120)

    def test_an_invalidated_number_maps_to_no_order(self) -> None:
        self._read(1, 113)
        self.registry.invalidate("s", 113)
        self.assertEqual(self.registry.current_number("s", 113), NO_ORDER)
        self.assertEqual(self._read(2, 107, "v3"), ("v3", None))
        self.assertEqual(self.registry.current_number("other", 113), 113)


if __name__ == "__main__":
    unittest.main()
