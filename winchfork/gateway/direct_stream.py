"""Writes the chunks of a streamed response to the caller's socket without blocking the sender.

A chunk is normally written by the sending thread in one non-blocking write. Under backpressure the
rest goes to a bounded backlog, which a shared pool of writer threads drains; the stream fails when
the backlog is full. Chunks of TLS connections always go through the writers.
"""

from __future__ import annotations

import os
import socket
import ssl
import threading
from concurrent.futures import ThreadPoolExecutor

from winchfork.errors import Failure, FailureKind

#: A stream fails when its unsent bytes exceed this.
MAX_BACKLOG_BYTES = 256 * 1024
_WRITERS = ThreadPoolExecutor(32, thread_name_prefix="slow-writer")


class DirectStream:
    """The body of one chunked HTTP response whose headers have been sent. Thread-safe."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._is_direct = not isinstance(connection, ssl.SSLSocket)
        self._changed = threading.Condition()
        self._backlog = bytearray()
        self._draining = False
        self._failure: Failure | None = None

    def send(self, data: bytes) -> Failure | None:
        """Send one chunk without blocking; return the failure once the stream has failed."""
        frame = b"%x\r\n%b\r\n" % (len(data), data)
        with self._changed:
            if self._failure is not None:
                return self._failure
            if self._is_direct and not self._draining:
                frame = frame[self._write_now(frame) :]
            if frame and self._failure is None:
                self._queue(frame)
            return self._failure

    def wait_drained(self) -> Failure | None:
        """Block until the backlog is written or the stream has failed."""
        with self._changed:
            self._changed.wait_for(lambda: not self._draining or self._failure is not None)
            return self._failure

    def _write_now(self, frame: bytes) -> int:
        try:
            # The descriptor is non-blocking, since the server has set a timeout on the socket.
            return os.write(self._connection.fileno(), frame)
        except BlockingIOError:
            return 0
        except OSError as error:
            self._fail(f"the caller's connection ended: {type(error).__name__}")
            return 0

    def _queue(self, frame: bytes) -> None:
        self._backlog += frame
        if len(self._backlog) > MAX_BACKLOG_BYTES:
            self._fail("the caller reads too slowly: its backlog is full")
        elif not self._draining:
            self._draining = True
            _WRITERS.submit(self._drain)

    def _drain(self) -> None:
        while True:
            with self._changed:
                data = bytes(self._backlog)
                self._backlog.clear()
                if not data or self._failure is not None:
                    self._draining = False
                    self._changed.notify_all()
                    return
            try:
                self._connection.sendall(data)
            except OSError as error:
                with self._changed:
                    self._fail(f"the caller stopped reading: {type(error).__name__}")

    def _fail(self, reason: str) -> None:
        self._failure = FailureKind.CALLER_DISCONNECTED.because(reason)
        self._backlog.clear()
        self._changed.notify_all()
