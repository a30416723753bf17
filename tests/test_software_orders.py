"""Orders keep their identity over the store's returns from copies."""

from __future__ import annotations

import unittest

from winchfork.core.software_orders import NO_ORDER, OrderRegistry
from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition


class OrderBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = OrderRegistry()

    def _read(self, era: int, revision: int, target: str = "v2") -> object:
        order = SoftwareOrder("s", target, 30.0, revision)
        news = self.book.record(order, StorePosition(era, revision))
        return None if news is None else (news.order.target, news.previous_number)

    def test_the_same_once_more_in_an_era_is_a_new_order(self) -> None:
        self.assertEqual(self._read(1, 50), ("v2", None))
        self.assertEqual(self._read(1, 60), ("v2", None))

    def test_an_order_that_was_read_before_is_the_copys(self) -> None:
        self._read(1, 50, "v1")
        self._read(1, 60)
        self.assertIsNone(self._read(2, 50, "v1"))
        self.assertEqual(self._read(2, 55), ("v2", 60))

    def test_every_number_it_had_leads_to_the_one_that_it_has(self) -> None:
        self._read(1, 113)
        self._read(2, 107)
        self._read(3, 122)
        self.assertEqual([self.book.current_number("s", n) for n in (113, 107, 122)], [122] * 3)

    def test_a_number_that_is_given_out_again_is_its_own(self) -> None:
        self._read(1, 113)
        self._read(2, 107)
        self._read(3, 113)
        self.assertEqual([self.book.current_number("s", n) for n in (113, 107)], [113, 113])
        self.assertEqual(self._read(3, 120, "v3"), ("v3", None))
        self.assertEqual(self.book.current_number("s", 120), 120)

    def test_a_void_number_is_below_all(self) -> None:
        self._read(1, 113)
        self.book.invalidate("s", 113)
        self.assertEqual(self.book.current_number("s", 113), NO_ORDER)
        self.assertEqual(self._read(2, 107, "v3"), ("v3", None))
        self.assertEqual(self.book.current_number("other", 113), 113)


if __name__ == "__main__":
    unittest.main()
