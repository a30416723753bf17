"""Faults of the store and of the routers' connections to it."""

from __future__ import annotations

import asyncio
import random

from standins.fault_proxy import Fault
from standins.soak.disruptions import ALL_ROUTERS
from standins.soak.faults.context import FaultContext
from standins.soak.routers import SoakRouter

MIN_FAULT_S, MAX_FAULT_S = 1.0, 6.0
#: Maximum age of a backup when the store goes down to be restored from it.
MAX_BACKUP_AGE_S = 4.0
#: Downtime of the store during a restore.
MIN_DOWN_S, MAX_DOWN_S = 0.3, 2.5


class StoreFaults:
    """Faults of the whole store, of one router's link to it, or of the open connections."""

    def __init__(self, context: FaultContext, generator: random.Random) -> None:
        self._context = context
        self._random = generator

    async def store_down(self) -> None:
        """Let the store refuse every call."""
        with self._context.disruptions.during("store down"):
            self._context.platform.store.down = True
            await asyncio.sleep(self._draw_duration_s())
            self._context.platform.store.down = False

    async def comes_back_from_copy(self) -> None:
        """Take the store down and restore it from a backup a few seconds old, at times twice.

        Does nothing while a router runs an earlier build, which may not support eras.
        """
        if any(router.runs_earlier_build for router in self._context.routers):
            return
        store = self._context.platform.store
        for _ in range(self._random.choice((1, 1, 2))):
            copy = store.back_up()
            await asyncio.sleep(self._random.uniform(0.0, MAX_BACKUP_AGE_S))
            with self._context.disruptions.during("store comes back from a copy"):
                store.down = True
                await asyncio.sleep(self._random.uniform(MIN_DOWN_S, MAX_DOWN_S))
                store.restore(copy)
                store.down = False

    async def link_cut(self) -> None:
        """Delay or stall one router's link to the store, or stall only the answers."""
        router = self._free()
        if router is not None:
            fault = self._random.choice((Fault.DELAY, Fault.STALL, Fault.STALL_ANSWERS))
            await self._inject_link_fault(router, fault, ALL_ROUTERS)

    async def turned_away(self) -> None:
        """Let the store reset the connections of one or two routers, or answer them with 503.

        It counts as a fault of these routers, not of a link: only they are excused.
        """
        count = self._random.choice((1, 1, 2))
        fault = self._random.choice((Fault.REFUSE, Fault.ANSWER_503))
        drawn = [router for router in (self._free() for _ in range(count)) if router]
        distinct = {router.number: router for router in drawn}.values()
        each = [self._inject_link_fault(router, fault, router.number) for router in distinct]
        await asyncio.gather(*each)

    async def resets(self) -> None:
        """Reset every connection to the store."""
        for router in self._context.routers:
            self._context.disruptions.record_instant("reset", router.number)
            router.proxy.reset_all()

    async def silent_connections(self) -> None:
        """Blackhole all open connections to the store and the replicas; new ones work."""
        for router in self._context.routers:
            self._context.disruptions.record_instant("silent connections", router.number)
            router.proxy.blackhole_open_connections()
        platform = self._context.platform
        for operator in (platform.model_rollouts, platform.application_rollouts):
            for replica in operator.replicas:
                replica.blackhole_open_connections()

    async def _inject_link_fault(self, router: SoakRouter, fault: Fault, excused: int) -> None:
        async with router.link_fault:
            with self._context.disruptions.during(f"link {router.number} {fault.value}", excused):
                router.proxy.fault = fault
                if fault is Fault.REFUSE:
                    router.proxy.reset_all()
                await asyncio.sleep(self._draw_duration_s())
                router.proxy.fault = Fault.NONE

    def _draw_duration_s(self) -> float:
        return self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def _free(self) -> SoakRouter | None:
        free = [item for item in self._context.routers if not item.link_fault.locked()]
        return self._random.choice(free) if free else None
