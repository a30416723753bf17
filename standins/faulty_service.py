"""A router process before a sound service and a faulty one, with callers of both.

Callers of the sound service keep their connections. Each answer that they do not get is counted.
"""

from __future__ import annotations

import asyncio
import copy
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.deployment import API_KEY, MODEL, ZONES, PlatformStandins
from standins.http_server import HttpServer, Request, write_answer
from standins.measured_router import MeasuredRouter
from standins.store_server import StoreServer
from winchfork.boot_clock import boot_seconds

SOUND_CALLERS = 10
#: TCP segments of an ordinary network; the larger ones of loopback let the kernel take more.
SEGMENT_BYTES = 1_400
#: Time that the sound replica takes for a request.
SOUND_RUN_S = 0.1
_ROUTE = {
    "Host": "proofs.example",
    "TimeoutMs": 6000,
    "TargetLatencyMs": 500,
    "Priority": 1,
    "MaxAttempts": 1,
}
_PROMPT = (
    f"X-Model: {MODEL}\r\nX-Token-Usage: 400,8\r\nX-Prefix-Hash: 5c1e07a2:90,{{number:08x}}:200\r\n"
)

#: Answers a request; returns whether the connection stays open.
Answer = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


def request_bytes(path: str, request_id: str, body: bytes = b"", headers: str = "") -> bytes:
    """Return a request of the stand-ins' first tenant."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 4000\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class FaultyService:
    """The deployment; ``answer`` serves the routes ``/stream/``, of a model, and ``/whole/``.

    ``settings`` are lines that are added to the router's, such as ``Bounds.GraceS=4``.
    """

    def __init__(self, folder: Path, answer: Answer, settings: tuple[str, ...] = ()) -> None:
        self._settings = settings
        self._standins = PlatformStandins()
        self._answer = answer
        self._servers: list[HttpServer] = []
        self._folder = folder
        self._callers: list[asyncio.Task[None]] = []
        self._ends_at_s = float("inf")
        #: Answers that the callers of the sound service got, by status.
        self.sound_answers: Counter[int] = Counter()
        #: Requests to the sound service whose connection closed without an answer.
        self.lost: list[str] = []

    async def start(self) -> None:
        """Start the store, the replicas, the router and the callers of the sound service."""
        store = self._standins.store
        await store.start()
        store.put("op/config", self._configuration())
        self._standins.publish_weights(1)
        await self._add_replica("i-sound", "sound", self._serve_soundly)
        await self._add_replica("i-stream", "streams", self._answer, models=True)
        await self._add_replica("i-whole", "answers", self._answer)
        settings = self._standins.settings_text(1, ZONES[0])
        self.router = MeasuredRouter("\n".join((settings, *self._settings)), self._folder)
        await self.router.start()
        for number in range(SOUND_CALLERS):
            self._callers.append(asyncio.create_task(self._call_soundly(number)))
        await asyncio.sleep(2 * SOUND_RUN_S)

    async def stop(self) -> None:
        """End the callers once they have their answers, then everything else."""
        self._ends_at_s = boot_seconds()
        await asyncio.gather(*self._callers)
        await self.router.stop()
        for server in self._servers:
            await server.stop()
        await self._standins.store.stop()

    async def call(
        self, path: str, request_id: str, body: bytes = b"", headers: str = ""
    ) -> tuple[int, bytes]:
        """Send a request on a new connection; return the status, 0 without one, and all bytes."""
        prompt = _PROMPT.format(number=hash(request_id) & 0xFFFFFFFF) if "/stream/" in path else ""
        reader, writer = await self.connect()
        received = bytearray()
        try:
            headers += f"Connection: close\r\n{prompt}"
            writer.write(request_bytes(path, request_id, body, headers))
            while piece := await reader.read(262_144):
                received += piece[: max(0, 1_000_000 - len(received))]
        except ConnectionError:
            pass
        finally:
            writer.close()
        status = int(received[9:12]) if received.startswith(b"HTTP/1.1 ") else 0
        return status, bytes(received)

    async def connect(
        self, receive_bytes: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a caller's connection; a receive buffer's size limits what the kernel takes."""
        host, _, port = self.router.address.rpartition(":")
        raw = socket.socket()
        raw.setblocking(False)
        if receive_bytes:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
        except OSError:
            raw.close()
            raise
        return await asyncio.open_connection(sock=raw)

    @property
    def store(self) -> StoreServer:
        """The platform's store; entries that are to be there at first are put before the start."""
        return self._standins.store

    def _configuration(self) -> dict[str, Any]:
        configuration = copy.deepcopy(self._standins.configuration)
        engine = configuration["Services"][0]["Engine"]
        rows = (
            ("sound", "sound", "unsafe"),
            ("stream", "streams", "streaming"),
            ("whole", "answers", "unsafe"),
        )
        configuration["Routes"] = [
            {"Name": name, "PathPrefix": f"/{name}/", "Kind": kind, "Service": service, **_ROUTE}
            for name, service, kind in rows
        ]
        configuration["Services"] = [
            {"Name": "sound", "MaxConnections": 200},
            {"Name": "streams", "MaxConnections": 200, "Engine": {**engine, "Slots": 100}},
            {"Name": "answers", "MaxConnections": 200},
        ]
        return configuration

    async def _add_replica(
        self, replica_id: str, service: str, answer: Answer, *, models: bool = False
    ) -> None:
        async def handle(request: Request, writer: asyncio.StreamWriter) -> bool:
            return await answer(request, writer)

        server = HttpServer(handle)
        await server.start()
        self._servers.append(server)
        entry = {
            "Service": service,
            "Address": server.address,
            "Zone": ZONES[0],
            "Version": "v1",
            "Slots": 100,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Models": [{"Name": MODEL, "Version": 1, "Adapters": []}] if models else [],
            "Sequence": 1,
        }
        self._standins.store.put(f"servers/{replica_id}", entry)

    async def _serve_soundly(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/report":
            write_answer(writer, 404)
            return True
        await asyncio.sleep(SOUND_RUN_S)
        request_id = request.headers["x-request-id"]
        headers = {"X-Request-Id": request_id, "X-Server-Signature": f"sound.{request_id}"}
        write_answer(writer, 200, b"done" * 200, headers)
        return True

    async def _call_soundly(self, caller: int) -> None:
        """Send one request after the other on one connection until the end."""
        await asyncio.sleep(caller * SOUND_RUN_S / SOUND_CALLERS)
        reader, writer = await self.connect()
        number = 0
        while boot_seconds() < self._ends_at_s:
            number += 1
            request_id = f"sound-{caller}-{number}"
            try:
                writer.write(request_bytes("/sound/x", request_id))
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
                await reader.readexactly(int(length))
                self.sound_answers[int(head[9:12])] += 1
            except (asyncio.IncompleteReadError, ConnectionError):
                self.lost.append(request_id)
                break
        writer.close()
