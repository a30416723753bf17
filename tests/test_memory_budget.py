"""The memory budget: room for large messages, which buffer is shed, and which message grows."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from winchfork.core.memory_budget import (
    LARGE_SHARE,
    MAX_BUFFERED_SHARE,
    SMALL_BYTES,
    BufferKind,
    MemoryBudget,
)

_MEMORY_BYTES = 100_000_000
_LARGE_BYTES = int(_MEMORY_BYTES * LARGE_SHARE)
_MAX_BYTES = int(_MEMORY_BYTES * MAX_BUFFERED_SHARE)


class RoomTest(unittest.TestCase):
    def test_large_messages_have_less_room_than_small_ones(self) -> None:
        """Guards against large messages that leave no memory to the small ones."""
        memory = MemoryBudget(_MEMORY_BYTES)
        memory.open(BufferKind.REQUEST).resize(_LARGE_BYTES)
        self.assertFalse(memory.has_room_for(SMALL_BYTES + 1))
        self.assertTrue(memory.has_room_for(SMALL_BYTES))
        memory.open(BufferKind.REQUEST).resize(_MAX_BYTES - _LARGE_BYTES)
        self.assertFalse(memory.has_room_for(1))

    def test_without_a_memory_limit_there_is_always_room(self) -> None:
        """Guards against refusals where the settings give no limit."""
        memory = MemoryBudget()
        memory.open(BufferKind.REQUEST, self.fail).resize(10 * _MEMORY_BYTES)
        self.assertTrue(memory.has_room_for(_MEMORY_BYTES))
        self.assertTrue(memory.has_room)
        self.assertFalse(memory.is_short)


class ShedTest(unittest.TestCase):
    def test_the_largest_buffer_that_may_be_shed_gives_way(self) -> None:
        """Guards against small buffers that give way to a large one."""
        memory = MemoryBudget(_MEMORY_BYTES)
        shed: list[str] = []
        memory.open(BufferKind.REQUEST).resize(_MAX_BYTES // 2)
        small = memory.open(BufferKind.ANSWER_HEAD, lambda: shed.append("small"))
        large = memory.open(BufferKind.EVENT, lambda: shed.append("large"))
        small.resize(1_000)
        large.resize(_MAX_BYTES // 2 - 1_000)
        self.assertEqual(shed, [])
        small.grow(1_000)
        self.assertEqual(shed, ["large"])
        self.assertEqual((large.size, small.size, memory.shed_count), (0, 2_000, 1))


class GrowthGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = MemoryBudget(_MEMORY_BYTES)
        self.paused: dict[str, bool] = {}
        self.other = self.memory.open(BufferKind.UNSENT)
        for name in ("first", "second", "third"):
            self.memory.growth.enter(name, self._pauser(name))

    def _pauser(self, name: str) -> Callable[[bool], None]:
        def set_paused(paused: bool) -> None:
            self.paused[name] = paused

        return set_paused

    def test_all_messages_grow_while_there_is_room(self) -> None:
        """Guards against answers that wait although there is memory."""
        self.other.resize(_LARGE_BYTES)
        self.assertEqual(self.paused, {"first": False, "second": False, "third": False})

    def test_without_room_only_the_oldest_grows(self) -> None:
        """Guards against answers that grow together beyond the limit, or that all wait."""
        self.other.resize(_LARGE_BYTES + 1)
        self.assertEqual(self.paused, {"first": False, "second": True, "third": True})
        self.memory.growth.leave("first")
        self.assertEqual((self.paused["second"], self.paused["third"]), (False, True))
        self.other.resize(0)
        self.assertFalse(self.paused["third"])

    def test_a_message_that_becomes_large_without_room_waits(self) -> None:
        """Guards against a message that grows until the room changes the next time."""
        self.other.resize(_LARGE_BYTES + 1)
        self.memory.growth.enter("late", self._pauser("late"))
        self.assertTrue(self.paused["late"])


if __name__ == "__main__":
    unittest.main()
