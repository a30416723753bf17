"""Faults between the routers' machines: what they tell each other is lost."""

from __future__ import annotations

import asyncio
import random

from standins.fault_proxy import Fault
from standins.soak.cut_machines import CutMachines
from standins.soak.disruptions import EVERYBODY
from standins.soak.faults.scene import Scene
from standins.soak.routers import RouterUnderSoak

LEAST_FAULT_S, MOST_FAULT_S = 1.0, 6.0


class PeerFaults:
    """Cuts one machine at a time off from the others."""

    def __init__(self, scene: Scene, generator: random.Random, cut: CutMachines) -> None:
        self._scene = scene
        self._random = generator
        self._cut = cut

    async def peers_cut(self) -> None:
        """A machine and the others lose each other's datagrams; the store answers all of them.

        Nobody is excused: what holds by the store has to hold.
        """
        router = self._random.choice(self._scene.routers)
        self._scene.disruptions.tell(f"datagrams of router {router.number} are lost")
        await self._lose_datagrams(router)
        self._scene.disruptions.tell(f"datagrams of router {router.number} pass")

    async def zone_cut(self) -> None:
        """A zone's only machine loses the others and the store; callers still reach it."""
        free = [item for item in self._scene.routers if not item.link_fault.locked()]
        if not free:
            return
        router = self._random.choice(free)
        async with router.link_fault:
            with self._scene.disruptions.during(f"zone of router {router.number} cut", EVERYBODY):
                router.proxy.fault = Fault.SILENCE
                await self._lose_datagrams(router)
                router.proxy.fault = Fault.NONE

    async def _lose_datagrams(self, router: RouterUnderSoak) -> None:
        self._cut.write({router.machine_ip})
        await asyncio.sleep(self._random.uniform(LEAST_FAULT_S, MOST_FAULT_S))
        self._cut.write(set())
