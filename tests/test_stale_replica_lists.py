"""Streams of a new version that are taken up at a router whose list of replicas is old."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Sequence

from standins.deployment import LoopbackDeployment
from standins.resuming_callers import (
    ResumableStream,
    check_resumptions,
    check_versions,
    send_resumable_stream,
)
from standins.router_isolation import LostDatagrams, RouterIsolation
from tests.loopback_case import FAMILIES, LoopbackTestCase

NEW_VERSION = "v1.1"
#: The longest attempt; it bounds how long ago a stream that is taken up may have begun.
ATTEMPT_TIMEOUT_MS = 800
#: Seconds for which one version serves alone, so that a router may conclude that it began a stream.
ALONE_S = 13.8
#: Seconds for which streams are sent after the longest isolation.
SENDING_AFTER_S = 0.4
#: Seconds from the beginning of an isolation until replicas join.
JOINING_S = 0.05
STREAMS_PER_S = 80
MIN_TOKENS, MAX_TOKENS = 20, 70
TRUNCATED_SHARE = 0.5
MIN_TAKEN_UP = 12


@dataclasses.dataclass(frozen=True)
class Isolation:
    """One router that loses the store, and the datagrams of ``lost``, before replicas join."""

    router: int
    lasts_s: float
    lost: LostDatagrams = LostDatagrams.ALL


def share_gone_on(streams: Sequence[ResumableStream]) -> str:
    """Return how many of the attempts that took streams up brought events."""
    attempts = [attempt for stream in streams for attempt in stream.resumptions]
    return f"{sum(bool(attempt.events) for attempt in attempts)} of {len(attempts)}"


class StaleReplicaListsTest(LoopbackTestCase):
    routers = 6
    simulate_links = True
    contracts = "base"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams: list[ResumableStream] = []
        #: Ids of the streams that are taken up at routers in touch only.
        self.in_touch_ids: set[str] = set()
        self.behind: list[int] = []
        self.isolated: set[int] = set()

    def make_deployment(self) -> LoopbackDeployment:
        deployment = super().make_deployment()
        # With one attempt each break reaches the caller.
        deployment.configuration["Routes"][0] |= {"TimeoutMs": ATTEMPT_TIMEOUT_MS, "MaxAttempts": 1}
        self.isolation = RouterIsolation(deployment)
        return deployment

    async def replace_replicas(self) -> None:
        """Replace two of the four replicas by ones of a new version under new ids."""
        for replica in self.deployment.model_replicas[:2]:
            (await replica.crash()).lapse()
        for number in range(2):
            new = self.deployment.new_model_replica(f"i-new-{number}", NEW_VERSION)
            self.addAsyncCleanup(new.stop)
            await new.start()
        for replica in self.deployment.all_model_replicas:
            replica.truncated_share = TRUNCATED_SHARE

    async def isolate(self, isolation: Isolation) -> None:
        self.isolation.isolate(isolation.router, isolation.lost)
        self.isolated.add(isolation.router)
        await asyncio.sleep(isolation.lasts_s)
        self.isolation.heal(isolation.router)
        self.isolated.discard(isolation.router)

    def choose_address(self, attempt_id: str) -> str:
        """Begin at a router that is never isolated; take most streams up at isolated ones."""
        stream_id, _, attempt = attempt_id.rpartition("-")
        in_touch = [index for index in range(self.routers) if index not in self.behind]
        may_be_behind = int(attempt) > 0 and stream_id not in self.in_touch_ids
        indexes = sorted(self.isolated) if may_be_behind and self.isolated else in_touch
        return self.deployment.settings[self.random.choice(indexes)].caller_address

    async def send_streams(self, seconds: float) -> None:
        tasks = []
        for number in range(int(seconds * STREAMS_PER_S)):
            stream = ResumableStream(
                f"stream-{number}", self.random.randrange(MIN_TOKENS, MAX_TOKENS)
            )
            self.streams.append(stream)
            if number % 4 == 0:
                self.in_touch_ids.add(stream.request_id)
            family = self.random.randrange(FAMILIES)
            sent = send_resumable_stream(stream, family, self.choose_address)
            tasks.append(asyncio.create_task(sent))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*tasks)

    async def take_up_behind(self, *isolations: Isolation) -> None:
        """Replace replicas while routers are isolated, and check versions and resumptions."""
        self.behind = [isolation.router for isolation in isolations]
        await asyncio.sleep(ALONE_S)
        isolating = [asyncio.create_task(self.isolate(item)) for item in isolations]
        await asyncio.sleep(JOINING_S)
        await self.replace_replicas()
        longest_s = max(isolation.lasts_s for isolation in isolations)
        await self.send_streams(longest_s - JOINING_S + SENDING_AFTER_S)
        await asyncio.gather(*isolating)
        judged = [item for item in self.streams if item.request_id in self.in_touch_ids]
        others = [item for item in self.streams if item.request_id not in self.in_touch_ids]
        self.assertGreater(sum(len(item.resumptions) for item in others), MIN_TAKEN_UP)
        self.assertGreater(sum(len(item.resumptions) for item in judged), MIN_TAKEN_UP)
        findings = [*check_versions(self.streams), *check_resumptions(judged)]
        figures = f"gone on: {share_gone_on(others)} behind, {share_gone_on(judged)} in touch"
        self.assertEqual(findings, [], figures)

    async def test_a_router_that_is_cut_off_while_replicas_join(self) -> None:
        """Guards against the only version of an old list being taken for a new one's streams."""
        await self.take_up_behind(Isolation(0, 2.5))

    async def test_several_routers_that_are_cut_off_for_different_times(self) -> None:
        """Guards against conclusions of routers that are behind together, or that hear nothing."""
        await self.take_up_behind(
            Isolation(0, 1.0), Isolation(2, 2.0, LostDatagrams.RECEIVED), Isolation(4, 2.0)
        )
