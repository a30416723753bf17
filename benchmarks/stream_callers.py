"""Callers of streams on loopback: random families, one second try when told to come back."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import msgspec

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.notice_checks import Sender

FAMILIES = 23
DEADLINE_S = 5.0
#: A caller heeds a wait of up to this part of the time that it has left.
MAX_RETRY_WAIT_SHARE = 1.0 / 3.0
#: An answer within this time of its first try is in time.
OBJECTIVE_S = 0.6


class Reply(msgspec.Struct, frozen=True):
    """What a caller saw of one try."""

    status: int
    complete: bool
    retry_after_s: float | None


class StreamCallers:
    """Sends streams to routers drawn at random; ``fates`` counts what became of them."""

    def __init__(self, deployment: LoopbackDeployment, routers: int, seed: int) -> None:
        self._deployment = deployment
        self._routers = routers
        self._random = random.Random(seed)
        self.senders: dict[str, Sender] = {}
        self.outcomes: Counter[str] = Counter()

    async def send(self, streams_per_s: float, seconds: float, key: str = API_KEY) -> None:
        """Send for some time, and return when the last answer has come."""
        callers = []
        for _ in range(int(seconds * streams_per_s)):
            family = self._random.randrange(FAMILIES)
            callers.append(asyncio.create_task(self._call(family, key)))
            await asyncio.sleep(1.0 / streams_per_s)
        await asyncio.gather(*callers)

    async def _call(self, family: int, key: str) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        router = self._random.randrange(self._routers)
        reply = await self._try(router, family, key, DEADLINE_S)
        left_s = begun_s + DEADLINE_S - loop.time()
        wait_s = reply.retry_after_s
        kind = "" if key == API_KEY else "urgent "
        if reply.status in (429, 503) and wait_s is not None:
            self.outcomes[f"{kind}turned away once"] += 1
            await asyncio.sleep(min(wait_s, left_s * MAX_RETRY_WAIT_SHARE))
            left_s = begun_s + DEADLINE_S - loop.time()
            reply = await self._try((router + 1) % self._routers, family, key, left_s)
        if reply.status == 200 and reply.complete:
            in_time = loop.time() - begun_s <= OBJECTIVE_S
            self.outcomes[f"{kind}{'in time' if in_time else 'late'}"] += 1
        else:
            torn = " torn" if reply.status == 200 else ""
            self.outcomes[f"{kind}lost {reply.status}{torn}"] += 1

    async def _try(self, router: int, family: int, key: str, left_s: float) -> Reply:
        number = len(self.senders)
        request_id = f"stream-{number}"
        self.senders[request_id] = Sender(router, asyncio.get_running_loop().time())
        message = (
            f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Key: {key}\r\nX-Deadline-Ms: {left_s * 1000:.0f}\r\nX-Model: {MODEL}\r\n"
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
