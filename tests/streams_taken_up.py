"""Streams of two versions that break and are taken up, most of them at routers that are behind."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from standins.deployment import PlatformStandins
from standins.replica_server import ReplicaServer
from standins.resuming_callers import (
    ResumableStream,
    check_resumptions,
    check_versions,
    send_resumable_stream,
)
from tests.loopback_case import FAMILIES

NEW_VERSION = "v1.1"
#: The longest attempt; it bounds how long ago a stream that is taken up may have begun.
ATTEMPT_TIMEOUT_MS = 1000
#: Seconds for which one version serves alone, so that a router may conclude that it began a stream.
ALONE_S = 14.0
#: Seconds from the beginning of a fault until replicas join.
JOINING_S = 0.05
STREAMS_PER_S = 60
MIN_TOKENS, MAX_TOKENS = 20, 70
TRUNCATED_SHARE = 0.5
#: One of this many streams is taken up at routers in touch only.
IN_TOUCH_PERIOD = 3
MIN_TAKEN_UP = 12


def allow_one_attempt(platform: PlatformStandins) -> None:
    """Configure one short attempt a request, so that each break reaches the caller."""
    platform.configuration["Routes"][0] |= {"TimeoutMs": ATTEMPT_TIMEOUT_MS, "MaxAttempts": 1}


async def replace_replicas(platform: PlatformStandins) -> list[ReplicaServer]:
    """Replace two of the four replicas by ones of a new version, which are returned.

    From then on replicas break streams off.
    """
    for replica in platform.model_replicas[:2]:
        (await replica.crash()).lapse()
    joined = [platform.new_model_replica(f"i-new-{number}", NEW_VERSION) for number in range(2)]
    for replica in joined:
        await replica.start()
    for replica in platform.all_model_replicas:
        replica.truncated_share = TRUNCATED_SHARE
    return joined


class StreamsTakenUp:
    """Sends streams; those of ``in_touch`` are never taken up at a router that is behind."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self.in_touch: list[ResumableStream] = []
        self.others: list[ResumableStream] = []

    async def send(self, seconds: float, choose_address: Callable[[bool], str]) -> None:
        """Send streams for a while, and wait for all attempts.

        ``choose_address`` is told whether an attempt may be sent to a router that is behind.
        """
        tasks = []
        for number in range(int(seconds * STREAMS_PER_S)):
            tokens = self._random.randrange(MIN_TOKENS, MAX_TOKENS)
            stream = ResumableStream(f"stream-{number}", tokens)
            stays_in_touch = number % IN_TOUCH_PERIOD == 0
            (self.in_touch if stays_in_touch else self.others).append(stream)
            sent = self._send(stream, choose_address, stays_in_touch=stays_in_touch)
            tasks.append(asyncio.create_task(sent))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(
        self,
        stream: ResumableStream,
        choose_address: Callable[[bool], str],
        *,
        stays_in_touch: bool,
    ) -> None:
        def choose(attempt_id: str) -> str:
            return choose_address(bool(stream.attempts) and not stays_in_touch)

        await send_resumable_stream(stream, self._random.randrange(FAMILIES), choose)

    def findings(self) -> list[str]:
        """Return what is wrong with versions and resumptions, or with the test."""
        findings = check_versions([*self.in_touch, *self.others])
        findings += check_resumptions(self.in_touch)
        for streams in (self.in_touch, self.others):
            if sum(len(stream.resumptions) for stream in streams) < MIN_TAKEN_UP:
                findings.append("too few streams were taken up")
        return findings

    def figures(self) -> str:
        """Return how many of the attempts that took streams up brought events."""
        return f"gone on: {_gone_on(self.others)} behind, {_gone_on(self.in_touch)} in touch"


def _gone_on(streams: Sequence[ResumableStream]) -> str:
    attempts = [attempt for stream in streams for attempt in stream.resumptions]
    return f"{sum(bool(attempt.events) for attempt in attempts)} of {len(attempts)}"
