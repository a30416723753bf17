"""Simulated callers: they send commands and streams to every router and record the answers."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Sequence

from standins.deployment import API_KEY, MODEL
from standins.notice_checks import Sender
from standins.soak.routers import SoakRouter

#: Callers are bound to one router, so that a stalled router blocks only its own.
_CALLERS_PER_ROUTER = 3
_ANSWER_TIMEOUT_S = 9.0
_PAUSE_S = 0.05
_MAX_TOKENS = 60
_FAMILIES = 8
#: The first part of every prompt.
FIRST_PART = "5c1e07a2"


@dataclasses.dataclass
class Reply:
    """What a caller received; status 0: no answer."""

    status: int
    body: bytes
    is_complete: bool


@dataclasses.dataclass(frozen=True)
class StreamReply:
    """A stream's answer; ``tokens`` is the number of events that it should have."""

    request_id: str
    tokens: int
    reply: Reply


class Callers:
    """Sends requests to the routers until stopped and records the answers."""

    def __init__(self, routers: Sequence[SoakRouter], seed: str) -> None:
        self._routers = routers
        self._seed = seed
        self._sent = 0
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.commands: dict[str, Reply] = {}
        self.streams: list[StreamReply] = []
        #: The router that each request was sent to.
        self.senders: dict[str, Sender] = {}
        self.outcomes: Counter[str] = Counter()

    def start(self) -> None:
        """Start the callers of every router."""
        for router in self._routers:
            for caller in range(_CALLERS_PER_ROUTER):
                generator = random.Random(f"{self._seed}/caller/{router.number}/{caller}")
                self._tasks.append(asyncio.create_task(self._call(router, generator)))

    async def stop(self) -> None:
        """Send no further requests; return once the last answers have arrived."""
        self._stop.set()
        await asyncio.gather(*self._tasks)

    async def _call(self, router: SoakRouter, generator: random.Random) -> None:
        while not self._stop.is_set():
            if generator.random() < 0.5:
                await self.send_command(router)
            else:
                await self.send_stream(router, generator)
            await asyncio.sleep(generator.random() * _PAUSE_S)

    async def send_command(self, router: SoakRouter) -> Reply:
        """Send a command, which may run at most once."""
        request_id = self._next_id("command", router)
        reply = await send_request(router.address, "/roster/x", request_id, "")
        self.commands[request_id] = reply
        self.outcomes[f"command {reply.status}"] += 1
        return reply

    async def send_stream(self, router: SoakRouter, generator: random.Random) -> Reply:
        """Send a request for a stream."""
        request_id = self._next_id("stream", router)
        tokens = generator.randrange(1, _MAX_TOKENS)
        family = generator.randrange(_FAMILIES)
        extra = stream_headers(tokens, family, self._sent)
        # Half of the bodies are identical: routers must not take a frequent body for a fatal one.
        body = b"body" if self._sent % 2 else request_id.encode()
        reply = await send_request(router.address, "/review/x", request_id, extra, body)
        self.outcomes[f"stream {reply.status}{'' if reply.is_complete else ' torn'}"] += 1
        self.streams.append(StreamReply(request_id, tokens, reply))
        return reply

    def _next_id(self, kind: str, router: SoakRouter) -> str:
        self._sent += 1
        request_id = f"{kind}-{self._sent}"
        self.senders[request_id] = Sender(router.number, asyncio.get_running_loop().time())
        return request_id


def stream_headers(tokens: int, family: int, number: int) -> str:
    """Return the header lines for the model, the token counts and the prompt parts."""
    return (
        f"X-Model: {MODEL}\r\nX-Token-Usage: 900,{tokens}\r\n"
        f"X-Prefix-Hash: {FIRST_PART}:300,{family:08x}:410,{number:08x}:190\r\n"
    )


async def send_request(
    address: str, path: str, request_id: str, extra: str, body: bytes = b"body"
) -> Reply:
    """Send one request on a new connection; the status is 0 if no answer arrives."""
    host, _, port = address.rpartition(":")
    message = (
        f"POST {path} HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 6000\r\n{extra}Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(message.encode() + body)
                return await _read_reply(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(0, b"", False)


async def _read_reply(reader: asyncio.StreamReader) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split(" ", 2)[1])
    body = b""
    try:
        if "transfer-encoding: chunked" in head:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
        else:
            length = head.partition("content-length:")[2].split("\r\n")[0].strip()
            body = await reader.readexactly(int(length or 0))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Reply(status, body, False)
    return Reply(status, body, True)
