"""What the callers of fatal requests share: their routers, and which runs count as too late."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence

import msgspec

from standins.notice_checks import Sender
from standins.replica_server import FatalRun
from standins.soak.disruptions import ALL_ROUTERS, DisruptionLog
from standins.soak.routers import SoakRouter

#: Runs that are tolerated later than the contact time after the last allowed crash.
MAX_LATER_RUNS = 3


class FatalSender:
    """Draws the router of each fatal request, and records it."""

    def __init__(self, routers: Sequence[SoakRouter], generator: random.Random) -> None:
        self._routers = routers
        self._random = generator
        self._sent = 0
        #: The router that each request was sent to.
        self.senders: dict[str, Sender] = {}

    def _choose_router(self, request_id: str) -> SoakRouter:
        router = self._random.choice(self._routers)
        self.senders[request_id] = Sender(router.number, asyncio.get_running_loop().time())
        return router


class LaterRuns(msgspec.Struct, frozen=True):
    """How many replicas crashed under runs with one cause, and the runs that came too late."""

    crashes: int
    late: list[FatalRun]


def find_later_runs(
    runs: Sequence[FatalRun],
    max_crashes: int,
    senders: Mapping[str, Sender],
    disruptions: DisruptionLog,
    contact_s: float,
) -> LaterRuns:
    """Find the runs later than ``contact_s`` after the ``max_crashes``-th crash.

    Runs sent by disrupted routers, or while the store or a link is disrupted, do not count.
    """
    crashes_s = sorted({run.crashed_at_s for run in runs if run.crashed_at_s is not None})
    if len(crashes_s) < max_crashes:
        return LaterRuns(len(crashes_s), [])
    counted_from_s = crashes_s[max_crashes - 1] + contact_s
    late = [
        run
        for run in runs
        if run.started_at_s > counted_from_s and not _is_excused(run, senders, disruptions)
    ]
    return LaterRuns(len(crashes_s), late)


def _is_excused(run: FatalRun, senders: Mapping[str, Sender], disruptions: DisruptionLog) -> bool:
    router = senders[run.request_id].router
    return disruptions.excuses(router, run.started_at_s) or disruptions.excuses(
        ALL_ROUTERS, run.started_at_s
    )
