"""A loopback proxy that delays, silences, cuts one way or resets the connections through it."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

_PIECE_BYTES = 65_536
_LOOK_S = 0.01


class Fault(enum.Enum):
    """What happens to bytes on their way."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"


class FaultProxy:
    """Forwards to one address. Silenced bytes go on when the fault ends, as on a healed link."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.fault = Fault.NONE
        self.delay_s = 0.2
        self.address = ""

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop and end every connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        tasks = [
            asyncio.create_task(self._pump(reader, far_writer, answers=False)),
            asyncio.create_task(self._pump(far_reader, writer, answers=True)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for each in (writer, far_writer):
            self._writers.discard(each)
            each.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        try:
            while data := await reader.read(_PIECE_BYTES):
                await self._hold(answers)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return

    async def _hold(self, answers: bool) -> None:
        if self.fault is Fault.DELAY:
            await asyncio.sleep(self.delay_s)
        while self.fault is Fault.SILENCE or (answers and self.fault is Fault.CUT_ANSWERS):
            await asyncio.sleep(_LOOK_S)
