"""Streams that are taken up at a router process which was suspended while replicas joined."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from standins.deployment import PlatformStandins
from standins.router_processes import RouterProcesses
from tests.loopback_case import MAX_WAIT_S, SEED
from tests.streams_taken_up import (
    ALONE_S,
    JOINING_S,
    StreamsTakenUp,
    allow_one_attempt,
    replace_replicas,
)

ROUTERS = 6
#: Index of the router that is suspended.
SUSPENDED = 0
SUSPENSION_S = 1.3
#: Seconds after the suspension until the router hears its peers and the store again.
DEAF_S = 1.0


class SuspendedRoutersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.platform = PlatformStandins(contracts="base")
        allow_one_attempt(self.platform)
        self.fleet = RouterProcesses(self.platform, ROUTERS, Path(folder.name))
        self.addAsyncCleanup(self.fleet.stop)
        await asyncio.wait_for(self.fleet.start(), MAX_WAIT_S)
        self.random = random.Random(SEED)
        self.is_behind = False

    def choose_address(self, may_be_behind: bool) -> str:
        """Begin at a router that runs; take most streams up at the one that is behind."""
        if may_be_behind and self.is_behind:
            return self.fleet.routers[SUSPENDED].address
        others = [item for index, item in enumerate(self.fleet.routers) if index != SUSPENDED]
        return self.random.choice(others).address

    async def suspend(self) -> None:
        self.is_behind = True
        self.fleet.isolate(SUSPENDED)
        await self.fleet.suspend(SUSPENDED, SUSPENSION_S)
        await asyncio.sleep(DEAF_S)
        self.fleet.heal(SUSPENDED)
        self.is_behind = False

    async def test_a_router_that_wakes_before_its_links_while_replicas_join(self) -> None:
        """Guards against a list that is judged by the time at which the router last ran."""
        await asyncio.sleep(ALONE_S)
        suspending = asyncio.create_task(self.suspend())
        await asyncio.sleep(JOINING_S)
        for replica in await replace_replicas(self.platform):
            self.addAsyncCleanup(replica.stop)
        streams = StreamsTakenUp(self.random)
        await streams.send(SUSPENSION_S + DEAF_S, self.choose_address)
        await suspending
        self.assertEqual(streams.findings(), [], streams.figures())
