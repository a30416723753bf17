"""Streams of a new version that are taken up at a router whose list of replicas is old."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.deployment import LoopbackDeployment
from standins.router_isolation import LostDatagrams, RouterIsolation
from tests.loopback_case import LoopbackTestCase
from tests.streams_taken_up import (
    ALONE_S,
    JOINING_S,
    StreamsTakenUp,
    allow_one_attempt,
    replace_replicas,
)

#: Seconds for which streams are sent after the longest isolation.
SENDING_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True)
class Isolation:
    """One router that loses the store, and the datagrams of ``lost``, before replicas join."""

    router: int
    lasts_s: float
    lost: LostDatagrams = LostDatagrams.ALL


class StaleReplicaListsTest(LoopbackTestCase):
    routers = 6
    simulate_links = True
    contracts = "base"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams = StreamsTakenUp(self.random)
        #: The routers that are isolated at some time, and those that are now.
        self.behind: set[int] = set()
        self.isolated: set[int] = set()

    def make_deployment(self) -> LoopbackDeployment:
        deployment = super().make_deployment()
        allow_one_attempt(deployment)
        self.isolation = RouterIsolation(deployment)
        return deployment

    async def isolate(self, isolation: Isolation) -> None:
        self.isolation.isolate(isolation.router, isolation.lost)
        self.isolated.add(isolation.router)
        await asyncio.sleep(isolation.lasts_s)
        self.isolation.heal(isolation.router)
        self.isolated.discard(isolation.router)

    def choose_address(self, may_be_behind: bool) -> str:
        """Begin at a router that is never isolated; take most streams up at isolated ones."""
        in_touch = sorted(set(range(self.routers)) - self.behind)
        indexes = sorted(self.isolated) if may_be_behind and self.isolated else in_touch
        return self.deployment.settings[self.random.choice(indexes)].caller_address

    async def take_up_behind(self, *isolations: Isolation) -> None:
        """Replace replicas while routers are isolated, and check versions and resumptions."""
        self.behind = {isolation.router for isolation in isolations}
        await asyncio.sleep(ALONE_S)
        isolating = [asyncio.create_task(self.isolate(item)) for item in isolations]
        await asyncio.sleep(JOINING_S)
        for replica in await replace_replicas(self.deployment):
            self.addAsyncCleanup(replica.stop)
        longest_s = max(isolation.lasts_s for isolation in isolations)
        await self.streams.send(longest_s - JOINING_S + SENDING_AFTER_S, self.choose_address)
        await asyncio.gather(*isolating)
        self.assertEqual(self.streams.findings(), [], self.streams.figures())

    async def test_a_router_that_is_cut_off_while_replicas_join(self) -> None:
        """Guards against the only version of an old list being taken for a new one's streams."""
        await self.take_up_behind(Isolation(0, 2.3))

    async def test_several_routers_that_are_cut_off_for_different_times(self) -> None:
        """Guards against conclusions of routers that are behind together, or that hear nothing."""
        await self.take_up_behind(
            Isolation(0, 1.0), Isolation(2, 1.5, LostDatagrams.RECEIVED), Isolation(4, 1.5)
        )
