"""Bad software versions, and helpers that wait for the phases of a rollout."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tests.rollout_fleet import (
    ANSWER_S,
    DURATION_S,
    Answer,
    Behaviour,
    Request,
    RolloutFleet,
    healthy,
)
from winchfork.core.software_state import SoftwarePhase

#: Turns an answer into a bad one.
Degrade = Callable[[Answer], Answer]


def failing(answer: Answer) -> Answer:
    return Answer(failed=True)


def slowed(answer: Answer) -> Answer:
    return Answer(answer.failed, 5 * ANSWER_S)


def bad_version(
    degrade: Degrade, matches: Callable[[Request], bool] = lambda request: True, share: float = 0.35
) -> Behaviour:
    """Return a behaviour in which v2 degrades a share of its answers to requests that match."""

    def behaviour(request: Request, generator: random.Random) -> Answer:
        answer = healthy(request, generator)
        if request.software == "v2" and matches(request) and generator.random() < share:
            return degrade(answer)
        return answer

    return behaviour


def phase_is(fleet: RolloutFleet, phase: SoftwarePhase) -> bool:
    return fleet.record().phase is phase


async def wait_until(condition: Callable[[], bool], max_wait_s: float = 2 * DURATION_S) -> None:
    for _ in range(int(max_wait_s / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition did not become true in time")
