"""Closing the stream pump: no race between the closing thread and the pump's own."""

from __future__ import annotations

import socket
import threading
import unittest

import pycurl

from winchfork.backends.stream_pump import StreamPump

#: Keeps a test from hanging; several times the pump's check interval.
TIMEOUT_S = 1.0


class SlowWaker:
    """A waker that sends only after the pump's thread has ended, or after a timeout."""

    def __init__(self, waker: socket.socket, thread: threading.Thread) -> None:
        self._waker = waker
        self._thread = thread

    def send(self, data: bytes) -> int:
        self._thread.join(TIMEOUT_S)
        return self._waker.send(data)

    def close(self) -> None:
        self._waker.close()


def unreachable_transfer() -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, "http://127.0.0.1:1/")
    return handle


class StreamPumpTest(unittest.TestCase):
    def _started_pump(self) -> StreamPump:
        pump = StreamPump()
        self.assertNotEqual(
            pump.run(unreachable_transfer(), lambda: None).result(TIMEOUT_S).code, 0
        )
        return pump

    def test_close_succeeds_if_the_thread_ends_before_the_wake_up(self) -> None:
        """The thread's periodic check may see the closing flag before the wake-up is sent."""
        pump = self._started_pump()
        thread = pump._thread
        assert thread is not None
        pump._waker = SlowWaker(pump._waker, thread)  # type: ignore[assignment]
        pump.close()
        thread.join(TIMEOUT_S)
        self.assertFalse(thread.is_alive())

    def test_a_second_close_has_no_effect(self) -> None:
        pump = self._started_pump()
        pump.close()
        assert pump._thread is not None
        pump._thread.join(TIMEOUT_S)
        pump.close()

    def test_a_transfer_after_the_close_ends_as_aborted(self) -> None:
        pump = self._started_pump()
        pump.close()
        end = pump.run(unreachable_transfer(), lambda: None).result(TIMEOUT_S)
        self.assertEqual(end.code, pycurl.E_ABORTED_BY_CALLBACK)
