"""The queue of changes that are piggybacked on membership messages."""

from __future__ import annotations

import unittest

from winchfork.core.gossip_queue import GossipQueue


class GossipQueueTest(unittest.TestCase):
    def test_each_name_is_sent_the_requested_number_of_times(self) -> None:
        queue = GossipQueue()
        queue.put("a", 3)
        queue.put("b", 1)
        popped = [name for _ in range(5) for name in queue.pop(6)]
        self.assertEqual(sorted(popped), ["a", "a", "a", "b"])
        self.assertEqual(len(queue), 0)

    def test_least_sent_names_go_first(self) -> None:
        queue = GossipQueue()
        for name in ("a", "b", "c"):
            queue.put(name, 2)
        self.assertEqual(queue.pop(2), ["a", "b"])
        self.assertEqual(queue.pop(2), ["c", "a"])
        self.assertEqual(queue.pop(6), ["b", "c"])
        self.assertEqual(queue.pop(6), [])

    def test_new_change_of_a_member_resets_its_count(self) -> None:
        queue = GossipQueue()
        queue.put("a", 2)
        queue.pop(1)
        queue.put("a", 2)
        self.assertEqual([queue.pop(1), queue.pop(1), queue.pop(1)], [["a"], ["a"], []])


if __name__ == "__main__":
    unittest.main()
