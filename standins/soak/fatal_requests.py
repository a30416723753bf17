"""Callers of requests that crash replicas, and the check that routers stop forwarding these."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping

from standins.notice_checks import Sender
from standins.replica_server import FatalRequest, FatalRun, ReplicaServer
from standins.soak.callers import send_request, stream_headers
from standins.soak.disruptions import DisruptionLog
from standins.soak.fatal_checks import MAX_LATER_RUNS, FatalSender, find_later_runs

#: Crashes under one body after which routers must refuse it.
MAX_CRASHES = 3
FATAL_PREFIX = b"fatal"
#: Pause between two requests.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.2
#: Time until the next body replaces the current one.
MIN_BODY_USE_S, MAX_BODY_USE_S = 6.0, 15.0
#: Share of the requests that use an earlier body.
EARLIER_BODY_SHARE = 0.3


class FatalCallers(FatalSender):
    """Sends each body that crashes replicas many times, to routers drawn at random."""

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
        self._sent += 1
        request_id = f"{body.decode()}-try-{self._sent}"
        router = self._choose_router(request_id)
        await send_request(router.address, "/review/x", request_id, stream_headers(12, 7, 0), body)


def prepare_replicas(
    replicas: Iterable[ReplicaServer],
    generator: random.Random,
    parts: frozenset[str] = frozenset(),
) -> None:
    """Make replicas crash under fatal bodies and ``parts``; some keep their id in a restart."""
    for replica in replicas:
        keeps_id = generator.random() < 0.5
        replica.fatal_request = FatalRequest(FATAL_PREFIX, keeps_id=keeps_id, parts=parts)


def check_fatal_requests(
    replicas: Iterable[ReplicaServer],
    senders: Mapping[str, Sender],
    disruptions: DisruptionLog,
    contact_s: float,
) -> list[str]:
    """Return a line for each body that is still forwarded too often after three crashes."""
    runs: dict[bytes, list[FatalRun]] = {}
    for replica in replicas:
        for run in replica.fatal_runs:
            if run.body.startswith(FATAL_PREFIX):
                runs.setdefault(run.body, []).append(run)
    broken = []
    for body, all_runs in sorted(runs.items()):
        found = find_later_runs(all_runs, MAX_CRASHES, senders, disruptions, contact_s)
        if len(found.late) > MAX_LATER_RUNS:
            broken.append(
                f"BUDGET: {body.decode()} ended {found.crashes} replicas and reached "
                f"{len(found.late)} later than {contact_s:.0f} s after the third, the last by "
                f"{found.late[-1].request_id}"
            )
    return broken
