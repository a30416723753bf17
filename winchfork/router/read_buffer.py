"""Bounds how much of one connection is read, and parsed, in a turn of the event loop.

All connections of a loop read into one buffer, one after the other. A read may fill it, until the
reads of a turn have brought TURN_BYTES. The others in that turn are small, so that many busy
connections together do not keep the loop from the rest either.
"""

from __future__ import annotations

import abc
import asyncio
import weakref

#: Largest read, the bytes read in a turn after which reads are small, and the size of these.
READ_BYTES = 16 * 1024
TURN_BYTES = 64 * 1024
SMALL_READ_BYTES = 1024
#: Reads up to this size do not count: an ordinary answer should not cost a turn of its own.
UNCOUNTED_BYTES = 2 * 1024


class ReadBuffer:
    """The buffer of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # The loop keys the buffer weakly, so the buffer must not keep the loop.
        self._loop = weakref.ref(loop)
        self._buffer = memoryview(bytearray(READ_BYTES))
        #: Bytes of the turn's counted reads.
        self._turn_bytes = 0

    def offer(self) -> memoryview:
        """Return the part of the buffer that the next read may fill."""
        if self._turn_bytes < TURN_BYTES:
            return self._buffer
        return self._buffer[:SMALL_READ_BYTES]

    def take(self, size: int) -> bytes:
        """Return the ``size`` bytes that were read."""
        if size > UNCOUNTED_BYTES:
            if not self._turn_bytes:
                self._schedule_reset()
            self._turn_bytes += size
        return bytes(self._buffer[:size])

    def _schedule_reset(self) -> None:
        loop = self._loop()
        if loop is not None:
            loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._turn_bytes = 0


_buffers: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ReadBuffer] = (
    weakref.WeakKeyDictionary()
)


def read_buffer() -> ReadBuffer:
    """Return the buffer of the running event loop."""
    loop = asyncio.get_running_loop()
    buffer = _buffers.get(loop)
    if buffer is None:
        buffer = _buffers[loop] = ReadBuffer(loop)
    return buffer


class BoundedReadProtocol(asyncio.BufferedProtocol, abc.ABC):
    """A protocol whose connection reads a bounded amount at a time."""

    def __init__(self) -> None:
        self._read_buffer = read_buffer()

    @abc.abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle bytes that were read."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the transport reads to."""
        return self._read_buffer.offer()

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what the transport has read."""
        self.data_received(self._read_buffer.take(nbytes))
