"""Stopping the background work on waiting requests."""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from winchfork.boot_clock import boot_seconds
from winchfork.cluster import waiting_work
from winchfork.cluster.waiting_work import WaitingWork
from winchfork.core.waiting import BatchAnswers, WaitingBatch, WaitingRequest


class StopTest(unittest.TestCase):
    def test_a_stop_while_requests_are_started_is_no_error(self) -> None:
        """Guards against requests that are started on runners that were shut down."""
        node = mock.Mock()
        node.is_relay.return_value = False
        work = WaitingWork(node, mock.Mock(), mock.Mock())
        request = WaitingRequest("t", "c", "p", "m", "", "tail", 1, False)
        batch = WaitingBatch("t~1", (request,))
        work._owned[batch.batch_id] = batch
        work._lease_id = 1
        work._lease_expires_at_s = boot_seconds() + 60.0

        def stop(batch_id: str) -> BatchAnswers:
            work.stop()
            return BatchAnswers()

        with (
            mock.patch.object(work._store, "get_answers", stop),
            mock.patch.object(waiting_work, "log_event") as log_event,
        ):
            thread = threading.Thread(target=work.run)
            thread.start()
            thread.join(10.0)
        self.assertFalse(thread.is_alive())
        events = [call.args[0] for call in log_event.call_args_list]
        self.assertNotIn("waiting_work_failed", events)


if __name__ == "__main__":
    unittest.main()
