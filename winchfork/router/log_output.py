"""Non-blocking log output to a file descriptor, with a bounded buffer."""

from __future__ import annotations

import os
import sys
from collections import deque

#: Bytes buffered for a slow reader; beyond it the oldest lines are dropped and counted.
MAX_PENDING_BYTES = 256 * 1024
_WRITE_BYTES = 64 * 1024


class LogOutput:
    """Buffers log lines; :meth:`flush` writes as much as the reader accepts."""

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line, which includes its line end."""
        line = text.encode("utf-8", "replace")
        self._lines.append(line)
        self._bytes += len(line)
        while self._bytes > MAX_PENDING_BYTES:
            self._bytes -= len(self._lines.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write pending lines until writing would block."""
        while self._lines:
            batch = b""
            while self._lines and len(batch) < _WRITE_BYTES:
                batch += self._lines.popleft()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(batch):
                self._lines.appendleft(batch[written:])
                return
