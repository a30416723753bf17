"""Callers of requests that end replicas, and the promise that such a request soon reaches none."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence

from standins.notice_checks import Sender
from standins.replica_server import FatalRequest, FatalRun, ReplicaServer
from standins.soak.callers import send_request, stream_headers
from standins.soak.disruptions import ALL_ROUTERS, DisruptionLog
from standins.soak.routers import SoakRouter

#: Replicas that may end under one request, and runs of it that may come later than routers that are
#: in touch had time to learn of the last.
MAX_CRASHES = 3
MAX_LATER_RUNS = 3
FATAL_PREFIX = b"fatal"
#: Pauses between two tries of a body, for how long it is the one that is tried, and how often an
#: earlier one is tried in its place; in seconds and as a share.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.2
MIN_BODY_USE_S, MAX_BODY_USE_S = 6.0, 15.0
EARLIER_BODY_SHARE = 0.3


class FatalCallers:
    """Sends bodies that end replicas, each again and again, at any router."""

    def __init__(self, routers: Sequence[SoakRouter], generator: random.Random) -> None:
        self._routers = routers
        self._random = generator
        self._asked = 0
        #: The router that each request was sent to.
        self.senders: dict[str, Sender] = {}

    async def run(self, until_s: float) -> None:
        """Send until the time is up."""
        loop = asyncio.get_running_loop()
        bodies = [FATAL_PREFIX + b"-0"]
        next_body_s = loop.time() + self._random.uniform(MIN_BODY_USE_S, MAX_BODY_USE_S)
        while loop.time() < until_s:
            earlier = self._random.random() < EARLIER_BODY_SHARE
            await self._send(self._random.choice(bodies) if earlier else bodies[-1])
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if loop.time() >= next_body_s:
                bodies.append(b"%b-%d" % (FATAL_PREFIX, len(bodies)))
                next_body_s = loop.time() + self._random.uniform(MIN_BODY_USE_S, MAX_BODY_USE_S)

    async def _send(self, body: bytes) -> None:
        self._asked += 1
        request_id = f"{body.decode()}-try-{self._asked}"
        router = self._random.choice(self._routers)
        self.senders[request_id] = Sender(router.number, asyncio.get_running_loop().time())
        await send_request(router.address, "/review/x", request_id, stream_headers(12, 7, 0), body)


def prepare_replicas(replicas: Iterable[ReplicaServer], generator: random.Random) -> None:
    """Have replicas end under such requests; each comes back under its id, or under another."""
    for replica in replicas:
        replica.fatal_request = FatalRequest(FATAL_PREFIX, keeps_id=generator.random() < 0.5)


def check_fatal_requests(
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
        ends_s = sorted({run.crashed_at_s for run in all_runs if run.crashed_at_s is not None})
        if len(ends_s) < MAX_CRASHES:
            continue
        known_s = ends_s[MAX_CRASHES - 1] + contact_s
        later = [
            run
            for run in all_runs
            if run.started_at_s > known_s
            and not disruptions.excuses(senders[run.request_id].router, run.started_at_s)
            and not disruptions.excuses(ALL_ROUTERS, run.started_at_s)
        ]
        if len(later) > MAX_LATER_RUNS:
            broken.append(
                f"BUDGET: {body.decode()} ended {len(ends_s)} replicas and reached {len(later)} "
                f"later than {contact_s:.0f} s after the third, the last by {later[-1].request_id}"
            )
    return broken
