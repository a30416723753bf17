"""Admission: nothing that waits is forgotten."""

from __future__ import annotations

import unittest

from winchfork.core.admission import AdmissionLimits, AdmissionOutcome, AdmissionQueue, Ticket


def _ticket(name: str, *, may_wait: bool, patience_s: float = 100.0) -> Ticket:
    return Ticket(name, "tenant", "class", 3, may_wait, patience_s, 0.0)


class AdmissionTest(unittest.TestCase):
    def test_request_behind_blocked_work_of_its_own_class_is_not_forgotten(self) -> None:
        """Found by fuzzing (seed 103): a later offer admitted it and told nobody."""
        queue = AdmissionQueue(AdmissionLimits(max_open=5, max_waiting=8))
        for number in range(3):
            queue.offer(_ticket(f"batch{number}", may_wait=True), 0.0)
        blocked = queue.offer(_ticket("blocked", may_wait=True, patience_s=1.0), 0.0)
        self.assertIs(blocked, AdmissionOutcome.QUEUED)
        behind = queue.offer(_ticket("behind", may_wait=False), 0.0)
        self.assertIs(behind, AdmissionOutcome.ADMITTED)
        queue.expire(2.0)
        self.assertIs(queue.offer(_ticket("last", may_wait=False), 2.0), AdmissionOutcome.ADMITTED)
        self.assertEqual((queue.open_count, queue.waiting_count), (5, 0))


if __name__ == "__main__":
    unittest.main()
