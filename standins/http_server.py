"""A minimal HTTP/1.1 server for the stand-ins, without pipelining, with a single handler."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

from winchfork.emulator.free_ports import free_port

#: Attempts to bind, because another process may bind a free port first.
_MAX_BIND_ATTEMPTS = 20
_BIND_RETRY_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


#: Writes its whole answer; returns False when the connection must close.
Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Write an answer with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)


class HttpServer:
    """Listens on loopback; ``address`` is empty before the first start."""

    def __init__(self, handler: Handler, ip: str = "127.0.0.1") -> None:
        self._handler = handler
        self._ip = ip
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._blackholed: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port, or again on the previous one; raise OSError if it can't bind."""
        for _ in range(_MAX_BIND_ATTEMPTS):
            port = int(self.address.rpartition(":")[2]) if self.address else free_port(self._ip)
            try:
                self._server = await asyncio.start_server(self._serve, self._ip, port)
            except OSError:
                await asyncio.sleep(_BIND_RETRY_DELAY_S)
                continue
            self.address = f"{self._ip}:{port}"
            return
        raise OSError(f"cannot bind to {self.address or self._ip}")

    def blackhole_open_connections(self) -> None:
        """Drop all further requests and answers on the connections open now; new ones work."""
        self._blackholed |= self._writers

    def is_blackholed(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether requests and answers on a connection are dropped."""
        return writer in self._blackholed

    async def stop(self) -> None:
        """Stop listening and abort every connection, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._serving):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            while True:
                request = await _read_request(reader)
                if writer in self._blackholed:
                    continue
                if not await self._handler(request, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._blackholed.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.split("\r\n")
    pairs = (text.partition(":") for text in rest if text)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    method, target, _ = line.split(" ", 2)
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)
