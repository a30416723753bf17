"""Callers that send streams to a loopback deployment and retry once if they are asked to."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.notice_checks import Sender

FAMILIES = 23
DEADLINE_S = 5.0
#: A caller waits at most this share of its remaining time before it retries.
MAX_RETRY_WAIT_SHARE = 1.0 / 3.0
#: An answer is in time if it is complete within these seconds of the first attempt.
OBJECTIVE_S = 0.6


class Reply(msgspec.Struct, frozen=True):
    """The answer to one attempt; ``retry_after_s`` is the wait that it asks for, in seconds."""

    status: int
    complete: bool
    retry_after_s: float | None


class StreamCallers:
    """Sends streams of random prompt families to random routers.

    ``outcomes`` counts the streams by outcome; ``senders`` holds the router and the time of each
    request, by request id.
    """

    def __init__(self, deployment: LoopbackDeployment, routers: int, seed: int) -> None:
        self._deployment = deployment
        self._routers = routers
        self._random = random.Random(seed)
        self.senders: dict[str, Sender] = {}
        self.outcomes: Counter[str] = Counter()

    async def send(self, streams_per_s: float, seconds: float, key: str = API_KEY) -> None:
        """Send streams for ``seconds``; return when the last answer has been received."""
        callers = []
        for _ in range(int(seconds * streams_per_s)):
            family = self._random.randrange(FAMILIES)
            callers.append(asyncio.create_task(self._call(family, key)))
            await asyncio.sleep(1.0 / streams_per_s)
        await asyncio.gather(*callers)

    async def _call(self, family: int, key: str) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        router = self._random.randrange(self._routers)
        reply = await self._attempt(router, family, key, DEADLINE_S)
        remaining_s = started_s + DEADLINE_S - loop.time()
        wait_s = reply.retry_after_s
        kind = "" if key == API_KEY else "urgent "
        if reply.status in (429, 503) and wait_s is not None:
            self.outcomes[f"{kind}refused once"] += 1
            await asyncio.sleep(min(wait_s, remaining_s * MAX_RETRY_WAIT_SHARE))
            remaining_s = started_s + DEADLINE_S - loop.time()
            reply = await self._attempt((router + 1) % self._routers, family, key, remaining_s)
        if reply.status == 200 and reply.complete:
            in_time = loop.time() - started_s <= OBJECTIVE_S
            self.outcomes[f"{kind}{'in time' if in_time else 'late'}"] += 1
        else:
            truncated = " truncated" if reply.status == 200 else ""
            self.outcomes[f"{kind}lost {reply.status}{truncated}"] += 1

    async def _attempt(self, router: int, family: int, key: str, remaining_s: float) -> Reply:
        number = len(self.senders)
        request_id = f"stream-{number}"
        self.senders[request_id] = Sender(router, asyncio.get_running_loop().time())
        message = (
            f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Key: {key}\r\nX-Deadline-Ms: {remaining_s * 1000:.0f}\r\nX-Model: {MODEL}\r\n"
            f"X-Token-Usage: 400,8\r\n"
            f"X-Prefix-Hash: 5c1e07a2:90,{family:08x}:110,{number:08x}:200\r\n"
            "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
        )
        host, _, port = self._deployment.settings[router].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(message.encode())
        try:
            answer = (await asyncio.wait_for(reader.read(), 2 * DEADLINE_S)).decode("latin-1")
        finally:
            writer.close()
        head, _, body = answer.partition("\r\n\r\n")
        status = int(head.split(" ", 2)[1])
        wait = head.lower().partition("retry-after:")[2].split("\r\n")[0].strip()
        return Reply(status, body.endswith("0\r\n\r\n"), float(wait) if wait else None)
