"""The pump of all streams ends cleanly, whichever of its threads is the faster."""

from __future__ import annotations

import socket
import threading
import unittest

import pycurl

from winchfork.backends.stream_pump import StreamPump

#: Bound against hanging; several times the pump's own period.
PATIENCE_S = 1.0


class SlowWaker:
    """A waker whose owner is overtaken: the pump's thread may end before the wake-up is sent."""

    def __init__(self, waker: socket.socket, thread: threading.Thread) -> None:
        self._waker = waker
        self._thread = thread

    def send(self, data: bytes) -> int:
        self._thread.join(PATIENCE_S)
        return self._waker.send(data)

    def close(self) -> None:
        self._waker.close()


def unreachable() -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, "http://127.0.0.1:1/")
    return handle


class StreamPumpTest(unittest.TestCase):
    def running(self) -> StreamPump:
        pump = StreamPump()
        self.assertNotEqual(pump.run(unreachable(), lambda: None).result(PATIENCE_S).code, 0)
        return pump

    def test_a_thread_that_ends_first_does_not_break_the_close(self) -> None:
        """Once in a run of all tests: the periodic look saw the flag before the wake-up."""
        pump = self.running()
        thread = pump._thread
        assert thread is not None
        pump._waker = SlowWaker(pump._waker, thread)  # type: ignore[assignment]
        pump.close()
        thread.join(PATIENCE_S)
        self.assertFalse(thread.is_alive())

    def test_a_second_close_changes_nothing(self) -> None:
        pump = self.running()
        pump.close()
        assert pump._thread is not None
        pump._thread.join(PATIENCE_S)
        pump.close()

    def test_a_transfer_after_the_close_ends_as_stopped(self) -> None:
        pump = self.running()
        pump.close()
        end = pump.run(unreachable(), lambda: None).result(PATIENCE_S)
        self.assertEqual(end.code, pycurl.E_ABORTED_BY_CALLBACK)
