"""Callers and replicas with large bodies, many at once, before a router with a memory limit."""

from __future__ import annotations

import asyncio
import json
import math
from collections import Counter

from standins.faulty_service import FaultyService, request_bytes
from standins.http_server import Request, write_answer
from winchfork.boot_clock import boot_seconds

#: The largest body that the stand-ins' configuration allows callers.
LARGE_BYTES = 4_000_000
#: What a slow caller reads at a time, and its receive buffer.
READ_BYTES = 4_096
SLOW_RECEIVE_BYTES = 65_536
#: Receive buffer of a caller that does not read.
STALLED_RECEIVE_BYTES = 16_384


class LargeAnswers:
    """Answers each request with a large body, and counts the requests that it ran."""

    def __init__(self, size: int = LARGE_BYTES, run_s: float = 0.1) -> None:
        self._body = b"x" * size
        self._run_s = run_s
        self.ran: Counter[str] = Counter()
        #: Sizes of the bodies that the requests had.
        self.received: Counter[int] = Counter()

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run the request and write its answer."""
        request_id = request.headers["x-request-id"]
        self.ran[request_id] += 1
        self.received[len(request.body)] += 1
        await asyncio.sleep(self._run_s)
        headers = {"X-Request-Id": request_id, "X-Server-Signature": f"large.{request_id}"}
        write_answer(writer, 200, self._body, headers)
        return True


class LargeCalls:
    """The answers to large requests, and the requests to which a refusal promised "not run"."""

    def __init__(self) -> None:
        self.statuses: Counter[int] = Counter()
        self.not_run: list[str] = []
        #: Answers with the status 200 whose body was not whole.
        self.cut: list[str] = []
        self.without_wait: list[str] = []

    async def upload(self, service: FaultyService, request_id: str, size: int) -> None:
        """Send a request with a large body, and record its answer."""
        status, received = await service.call("/whole/x", request_id, b"u" * size)
        self.statuses[status] += 1
        if status != 503:
            return
        head, _, body = received.partition(b"\r\n\r\n")
        if json.loads(body)["ran"] == "not_run":
            self.not_run.append(request_id)
        if b"\r\nretry-after: " not in head.lower():
            self.without_wait.append(request_id)

    async def download(
        self, service: FaultyService, request_id: str, size: int, bytes_per_s: float = math.inf
    ) -> None:
        """Send a request, read its large answer at some speed, and record it."""
        is_slow = not math.isinf(bytes_per_s)
        reader, writer = await service.connect(SLOW_RECEIVE_BYTES if is_slow else 0)
        try:
            writer.write(request_bytes("/whole/x", request_id))
            head = await reader.readuntil(b"\r\n\r\n")
            self.statuses[int(head[9:12])] += 1
            if head.startswith(b"HTTP/1.1 200"):
                await _read_slowly(reader, size, bytes_per_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut.append(request_id)
        finally:
            writer.close()


async def _read_slowly(reader: asyncio.StreamReader, size: int, bytes_per_s: float) -> None:
    began_s, received = boot_seconds(), 0
    while received < size:
        piece = await reader.readexactly(min(READ_BYTES, size - received))
        received += len(piece)
        await asyncio.sleep(max(0.0, began_s + received / bytes_per_s - boot_seconds()))


async def stall(service: FaultyService, request_id: str, seconds: float) -> None:
    """Send a request and read nothing of its answer for a while."""
    _, writer = await service.connect(STALLED_RECEIVE_BYTES)
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(request_bytes("/whole/x", request_id))
    await asyncio.sleep(seconds)
    writer.close()
