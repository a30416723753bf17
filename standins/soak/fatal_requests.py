"""Callers of requests that end replicas, and the promise that such a request soon reaches none."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence

from standins.notice_promises import Sender
from standins.replica_server import FatalRequest, FatalRun, ReplicaServer
from standins.soak.callers import ask, stream_headers
from standins.soak.disruptions import EVERYBODY, DisruptionLog
from standins.soak.routers import RouterUnderSoak

#: Replicas that may end under one request, and runs of it that may come later than routers that are
#: in touch had time to learn of the last.
MOST_ENDS = 3
MOST_LATER_RUNS = 3
FATAL_PREFIX = b"fatal"
#: Pauses between two tries of a body, for how long it is the one that is tried, and how often an
#: earlier one is tried in its place; in seconds and as a share.
LEAST_PAUSE_S, MOST_PAUSE_S = 0.3, 1.2
LEAST_TRIED_S, MOST_TRIED_S = 6.0, 15.0
EARLIER_SHARE = 0.3


class FatalCallers:
    """Sends bodies that end replicas, each again and again, at any router."""

    def __init__(self, routers: Sequence[RouterUnderSoak], generator: random.Random) -> None:
        self._routers = routers
        self._random = generator
        self._asked = 0
        #: The router that each request was sent to.
        self.senders: dict[str, Sender] = {}

    async def run(self, until_s: float) -> None:
        """Send until the time is up."""
        loop = asyncio.get_running_loop()
        bodies = [FATAL_PREFIX + b"-0"]
        next_body_s = loop.time() + self._random.uniform(LEAST_TRIED_S, MOST_TRIED_S)
        while loop.time() < until_s:
            earlier = self._random.random() < EARLIER_SHARE
            await self._try(self._random.choice(bodies) if earlier else bodies[-1])
            await asyncio.sleep(self._random.uniform(LEAST_PAUSE_S, MOST_PAUSE_S))
            if loop.time() >= next_body_s:
                bodies.append(b"%b-%d" % (FATAL_PREFIX, len(bodies)))
                next_body_s = loop.time() + self._random.uniform(LEAST_TRIED_S, MOST_TRIED_S)

    async def _try(self, body: bytes) -> None:
        self._asked += 1
        request_id = f"{body.decode()}-try-{self._asked}"
        router = self._random.choice(self._routers)
        self.senders[request_id] = Sender(router.number, asyncio.get_running_loop().time())
        await ask(router.address, "/review/x", request_id, stream_headers(12, 7, 0), body)


def prepare_replicas(replicas: Iterable[ReplicaServer], generator: random.Random) -> None:
    """Have replicas end under such requests; each comes back under its id, or under another."""
    for replica in replicas:
        replica.fatal = FatalRequest(FATAL_PREFIX, keeps_id=generator.random() < 0.5)


def judge_fatal(
    replicas: Iterable[ReplicaServer],
    senders: Mapping[str, Sender],
    disruptions: DisruptionLog,
    contact_s: float,
) -> list[str]:
    """A request under which three replicas have ended reaches few more, sent by sound routers."""
    runs: dict[bytes, list[FatalRun]] = {}
    for replica in replicas:
        for run in replica.fatal_runs:
            runs.setdefault(run.body, []).append(run)
    broken = []
    for body, all_runs in sorted(runs.items()):
        ends_s = sorted({run.ended_s for run in all_runs if run.ended_s is not None})
        if len(ends_s) < MOST_ENDS:
            continue
        known_s = ends_s[MOST_ENDS - 1] + contact_s
        later = [
            run
            for run in all_runs
            if run.began_s > known_s
            and not disruptions.excuses(senders[run.request_id].router, run.began_s)
            and not disruptions.excuses(EVERYBODY, run.began_s)
        ]
        if len(later) > MOST_LATER_RUNS:
            broken.append(
                f"BUDGET: {body.decode()} ended {len(ends_s)} replicas and reached {len(later)} "
                f"later than {contact_s:.0f} s after the third, the last by {later[-1].request_id}"
            )
    return broken
