"""Bounds how much of one connection is read, and parsed, in a turn of the event loop.

All connections of a loop read into one buffer, one after the other. A read may fill it. After a few
such reads in one turn, the others in that turn are small, so that many busy connections together do
not keep the loop from the rest either.
"""

from __future__ import annotations

import abc
import asyncio
import weakref

#: Largest read, and the full reads of a turn after which reads are small.
READ_BYTES = 16 * 1024
FULL_READS_PER_TURN = 4
SMALL_READ_BYTES = 1024


class ReadBuffer:
    """The buffer of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # The loop keys the buffer weakly, so the buffer must not keep the loop.
        self._loop = weakref.ref(loop)
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._full_reads = 0

    def offer(self) -> memoryview:
        """Return the part of the buffer that the next read may fill."""
        if self._full_reads < FULL_READS_PER_TURN:
            return self._buffer
        return self._buffer[:SMALL_READ_BYTES]

    def take(self, size: int) -> bytes:
        """Return the ``size`` bytes that were read."""
        if size == READ_BYTES:
            if not self._full_reads:
                self._schedule_reset()
            self._full_reads += 1
        return bytes(self._buffer[:size])

    def _schedule_reset(self) -> None:
        loop = self._loop()
        if loop is not None:
            loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._full_reads = 0


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
