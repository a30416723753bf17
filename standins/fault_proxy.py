"""A TCP proxy on loopback that delays, stalls, resets or refuses the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

_PIECE_BYTES = 65_536
_POLL_INTERVAL_S = 0.01


class Fault(enum.Enum):
    """What the proxy does to the traffic.

    DELAY delays each read, STALL holds bytes in both directions, STALL_ANSWERS only those from the
    target. REFUSE resets new connections; ANSWER_503 drops what the client sends and answers 503.
    """

    NONE = "none"
    DELAY = "delay"
    STALL = "silence"
    STALL_ANSWERS = "cut_answers"
    REFUSE = "refuse"
    ANSWER_503 = "turn_away"


_BUSY = b"HTTP/1.1 503 Status\r\nContent-Length: 0\r\n\r\n"


class FaultProxy:
    """Forwards connections to one address and applies the fault that is set in ``fault``.

    Stalled bytes are delivered when the fault ends, as after a network partition.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._blackholed: set[asyncio.StreamWriter] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.2
        self.address = ""

    async def start(self) -> None:
        """Listen on a free loopback port and set ``address``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    def blackhole_open_connections(self) -> None:
        """Drop all further bytes on the connections that are open now; new connections work."""
        self._blackholed |= self._writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.REFUSE:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        tasks = [
            asyncio.create_task(self._forward(reader, target_writer, reply_writer=writer)),
            asyncio.create_task(self._forward(target_reader, writer)),
        ]
        # The end of the event loop cancels this task; the connections are still closed below.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for each in (writer, target_writer):
            self._writers.discard(each)
            self._blackholed.discard(each)
            each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        reply_writer: asyncio.StreamWriter | None = None,
    ) -> None:
        """Copy bytes until the connection ends.

        ``reply_writer`` is the client's side when ``reader`` carries requests, and None when it
        carries answers.
        """
        try:
            while data := await reader.read(_PIECE_BYTES):
                await self._delay_or_stall(answers=reply_writer is None)
                if writer in self._blackholed:
                    continue
                if reply_writer is not None and self.fault is Fault.ANSWER_503:
                    reply_writer.write(_BUSY)
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return

    async def _delay_or_stall(self, *, answers: bool) -> None:
        if self.fault is Fault.DELAY:
            await asyncio.sleep(self.delay_s)
        while self.fault is Fault.STALL or (answers and self.fault is Fault.STALL_ANSWERS):
            await asyncio.sleep(_POLL_INTERVAL_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
