"""Admission queue: waiting tickets and their accounting."""

from __future__ import annotations

import unittest

from winchfork.core.admission import AdmissionLimits, AdmissionOutcome, AdmissionQueue, Ticket


def _ticket(name: str, *, may_wait: bool, deadline_at_s: float = 100.0) -> Ticket:
    return Ticket(name, "tenant", "class", 3, may_wait, deadline_at_s, 0.0)


class AdmissionTest(unittest.TestCase):
    def test_ticket_is_admitted_past_blocked_batch_work_of_its_own_class(self) -> None:
        """Guards against a ticket that a later offer admits without notifying its caller."""
        queue = AdmissionQueue(AdmissionLimits(max_open=5, max_waiting=8))
        for number in range(3):
            queue.offer(_ticket(f"batch{number}", may_wait=True), 0.0)
        blocked = queue.offer(_ticket("blocked", may_wait=True, deadline_at_s=1.0), 0.0)
        self.assertIs(blocked, AdmissionOutcome.QUEUED)
        behind = queue.offer(_ticket("behind", may_wait=False), 0.0)
        self.assertIs(behind, AdmissionOutcome.ADMITTED)
        queue.expire(2.0)
        self.assertIs(queue.offer(_ticket("last", may_wait=False), 2.0), AdmissionOutcome.ADMITTED)
        self.assertEqual((queue.open_count, queue.waiting_count), (5, 0))


if __name__ == "__main__":
    unittest.main()
