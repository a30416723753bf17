"""The queue of changes that ride on membership messages."""

from __future__ import annotations

import unittest

from winchfork.core.gossip_queue import GossipQueue


class GossipQueueTest(unittest.TestCase):
    def test_each_name_is_taken_as_often_as_asked(self) -> None:
        queue = GossipQueue()
        queue.put("a", 3)
        queue.put("b", 1)
        taken = [name for _ in range(5) for name in queue.pop(6)]
        self.assertEqual(sorted(taken), ["a", "a", "a", "b"])
        self.assertEqual(len(queue), 0)

    def test_what_was_told_least_goes_first(self) -> None:
        queue = GossipQueue()
        for name in ("a", "b", "c"):
            queue.put(name, 2)
        self.assertEqual(queue.pop(2), ["a", "b"])
        self.assertEqual(queue.pop(2), ["c", "a"])
        self.assertEqual(queue.pop(6), ["b", "c"])
        self.assertEqual(queue.pop(6), [])

    def test_a_new_change_of_the_same_member_starts_over(self) -> None:
        queue = GossipQueue()
        queue.put("a", 2)
        queue.pop(1)
        queue.put("a", 2)
        self.assertEqual([queue.pop(1), queue.pop(1), queue.pop(1)], [["a"], ["a"], []])


if __name__ == "__main__":
    unittest.main()
