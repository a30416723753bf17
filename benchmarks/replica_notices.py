"""What callers get while replicas leave or rest by their answers alone, on loopback.

    python -m benchmarks.replica_notices [--seed N] [--play NAME] [--routers N]

Three routers, or more, before four model replicas and 25 streams a second of 23 families for 20 s.
From second 4 to 16 some replicas, the busiest first, say their word: `leave`, one puts "leaving"
into its answers, which the store does not know; `rest`, `half`, `all`, one, two or four turn every
request away and ask for 3 s of rest; `short`, four for 0.4 s; `once`, four for 3 s, but only until
second 4.5. A caller that is turned away comes back once, at another router, when it was told to, if
that is within a third of the time it has left. Printed for each play: requests that reached a
replica that had told their router not to, and callers' fates.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter

import msgspec

from standins.fleet import KEY, MODEL, LoopbackDeployment
from standins.notice_promises import Sender, reached_in_rest, sent_to_leaving
from standins.replica_server import ReplicaServer
from winchfork.logs import configure_logs

SECONDS = 20.0
WORD_FROM_S = 4.0
STREAMS_PER_S = 25
FAMILIES = 23
DEADLINE_S = 5.0
#: Routers that are not ready after this long never will be.
START_S = 25.0
#: A caller heeds a wait of up to this part of the time that it has left.
HEEDED_SHARE = 1.0 / 3.0
#: An answer within this time of its first try is in time.
OBJECTIVE_S = 0.6


class Play(msgspec.Struct, frozen=True):
    """How many replicas say what, and for how long; ``rest_s`` None: that they leave."""

    replicas: int
    rest_s: float | None
    for_s: float = 12.0


PLAYS = {
    "leave": Play(1, None),
    "rest": Play(1, 3.0),
    "half": Play(2, 3.0),
    "all": Play(4, 3.0),
    "short": Play(4, 0.4),
    "once": Play(4, 3.0, for_s=0.5),
}


class Reply(msgspec.Struct, frozen=True):
    """What a caller saw of one try."""

    status: int
    whole: bool
    retry_after_s: float | None


class NoticePlay:
    """One play with one seed."""

    def __init__(self, play: Play, seed: int, routers: int) -> None:
        self._play = play
        self._routers = routers
        self._random = random.Random(seed)
        self._deployment = LoopbackDeployment(routers)
        self._senders: dict[str, Sender] = {}
        self._fates: Counter[str] = Counter()
        self._struck: list[ReplicaServer] = []

    async def run(self) -> str:
        """Play and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_repeats()
        await asyncio.gather(self._send(), self._speak())
        line = self._line()
        await self._deployment.stop()
        return line

    async def _send(self) -> None:
        callers = []
        for number in range(int(SECONDS * STREAMS_PER_S)):
            family = self._random.randrange(FAMILIES)
            callers.append(asyncio.create_task(self._call(number, family)))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*callers)

    async def _speak(self) -> None:
        await asyncio.sleep(WORD_FROM_S)
        models = self._deployment.models
        by_work = sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
        self._struck = by_work[: self._play.replicas]
        for replica in self._struck:
            replica.notices.leaving = self._play.rest_s is None
            replica.notices.rest_s = self._play.rest_s
        await asyncio.sleep(self._play.for_s)
        for replica in self._struck:
            replica.notices.rest_s = None

    async def _call(self, number: int, family: int) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        router = self._random.randrange(self._routers)
        reply = await self._try(f"{number}-0", router, family, DEADLINE_S)
        left_s = begun_s + DEADLINE_S - loop.time()
        wait_s = reply.retry_after_s
        if reply.status in (429, 503) and wait_s is not None:
            self._fates["turned away once"] += 1
            await asyncio.sleep(min(wait_s, left_s * HEEDED_SHARE))
            left_s = begun_s + DEADLINE_S - loop.time()
            reply = await self._try(f"{number}-1", (router + 1) % self._routers, family, left_s)
        if reply.status == 200 and reply.whole:
            in_time = loop.time() - begun_s <= OBJECTIVE_S
            self._fates["in time" if in_time else "late"] += 1
        else:
            self._fates[f"lost {reply.status}"] += 1

    async def _try(self, request_id: str, router: int, family: int, left_s: float) -> Reply:
        self._senders[request_id] = Sender(router, asyncio.get_running_loop().time())
        number = len(self._senders)
        message = (
            f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Key: {KEY}\r\nX-Deadline-Ms: {left_s * 1000:.0f}\r\nX-Model: {MODEL}\r\n"
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

    def _line(self) -> str:
        late = sum(len(sent_to_leaving(item.notices, self._senders)) for item in self._struck)
        rests: Counter[str] = Counter()
        for item in self._struck:
            rests.update(reached_in_rest(item.notices, self._senders))
        away = sum(len(item.notices.backoffs) for item in self._struck)
        fates = ", ".join(f"{fate} {count}" for fate, count in sorted(self._fates.items()))
        worst = max(rests.values(), default=0)
        return f"sent to a leaving one {late}, turned away {away}, worst in a rest {worst}; {fates}"


def main() -> None:
    """Print a line for each play."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=21)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--play", choices=list(PLAYS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or PLAYS:
        line = asyncio.run(NoticePlay(PLAYS[name], arguments.seed, arguments.routers).run())
        print(f"{name} seed={arguments.seed} routers={arguments.routers}: {line}", flush=True)


if __name__ == "__main__":
    main()
