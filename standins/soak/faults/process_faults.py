"""Faults of router processes: kills, planned stops and stalls."""

from __future__ import annotations

import asyncio
import random
import signal

from standins.replica_server import ReceivedOrder
from standins.soak.disruptions import KILL, PLANNED_STOP, STALL
from standins.soak.faults.context import FaultContext
from standins.soak.routers import SoakRouter

#: Number and duration of the stalls in a series of leader stalls.
MIN_STALLS_IN_SERIES, MAX_STALLS_IN_SERIES = 2, 4
MIN_STALL_S, MAX_STALL_S = 2.0, 4.0
#: Time for which a series waits for an order of the next leader.
MAX_SUCCESSOR_WAIT_S = 8.0
_POLL_INTERVAL_S = 0.01


class ProcessFaults:
    """Faults of a router drawn at random, or of successive leaders."""

    def __init__(
        self, context: FaultContext, generator: random.Random, violations: list[str]
    ) -> None:
        self._context = context
        self._random = generator
        self._violations = violations
        self._stall_count = 0

    async def kill(self) -> None:
        """Send SIGKILL and restart the process within a second."""
        router = self._free()
        if router is None:
            return
        async with router.process_fault:
            with self._context.disruptions.during(KILL, router.number):
                await router.end_process(signal.SIGKILL)
                await asyncio.sleep(self._random.random())
                await router.start()

    async def planned_stop(self) -> None:
        """Send SIGTERM and restart the process once it has ended."""
        router = self._free()
        if router is None:
            return
        async with router.process_fault:
            with self._context.disruptions.during(PLANNED_STOP, router.number):
                has_handler = router.handles_signal(signal.SIGTERM)
                code = await router.end_process(signal.SIGTERM)
                if code != 0 and (has_handler or code != -signal.SIGTERM):
                    self._violations.append(f"a planned stop ended with {code}")
                await router.start()

    async def standstill(self) -> None:
        """Stall a router drawn at random."""
        router = self._free()
        if router is not None:
            await self._stall(router, 0.5 + 4.0 * self._random.random())

    async def leader_standstills(self) -> None:
        """Stall the sender of the last order, then its successor, and so on."""
        stalls = []
        since = self._last_order()
        for _ in range(self._random.randint(MIN_STALLS_IN_SERIES, MAX_STALLS_IN_SERIES)):
            since = await self._next_order(since)
            leader = self._holder(since)
            if leader is None or leader.process_fault.locked():
                break
            for_s = self._random.uniform(MIN_STALL_S, MAX_STALL_S)
            stalls.append(asyncio.create_task(self._stall(leader, for_s)))
            # Let the task acquire the leader's lock before the next poll.
            await asyncio.sleep(0)
        await asyncio.gather(*stalls)

    async def _stall(self, router: SoakRouter, for_s: float) -> None:
        async with router.process_fault:
            with self._context.disruptions.during(STALL, router.number):
                router.pause(True)
                await asyncio.sleep(for_s)
                self._stall_count += 1
                # Every second stall is a suspension of the machine. It is not drawn at random, so
                # that the faults of existing seeds stay the same.
                if self._stall_count % 2:
                    router.add_suspension(for_s)
                router.pause(False)

    async def _next_order(self, since: ReceivedOrder | None) -> ReceivedOrder | None:
        """Wait for an order other than ``since`` whose holder has no fault; None on a timeout."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_SUCCESSOR_WAIT_S
        while loop.time() < until_s:
            last = self._last_order()
            holder = self._holder(last)
            if last != since and holder is not None and not holder.process_fault.locked():
                return last
            await asyncio.sleep(_POLL_INTERVAL_S)
        return None

    def _last_order(self) -> ReceivedOrder | None:
        last = [
            item.orders[-1] for item in self._context.platform.all_model_replicas if item.orders
        ]
        return max(last, key=lambda order: order.received_at_s, default=None)

    def _holder(self, order: ReceivedOrder | None) -> SoakRouter | None:
        if order is None:
            return None
        return next((item for item in self._context.routers if item.node_id == order.holder), None)

    def _free(self) -> SoakRouter | None:
        free = [item for item in self._context.routers if not item.process_fault.locked()]
        return self._random.choice(free) if free else None
