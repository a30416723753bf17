"""Tests of the soak's faults on a virtual clock: series of leader stalls, and lanes."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from pathlib import Path

from standins.deployment import ZONES, PlatformStandins
from standins.replica_server import ReceivedOrder
from standins.soak.disruptions import DisruptionLog
from standins.soak.faults import process_faults
from standins.soak.faults.context import FaultContext
from standins.soak.faults.process_faults import ProcessFaults
from standins.soak.lanes import Lane
from standins.soak.routers import SoakRouter
from tests.virtual_loop import run_virtually

#: Interval of a leader's orders.
ORDER_PERIOD_S = 0.5
#: Time until a successor's first order.
SUCCESSOR_DELAY_S = 4.5
MAX_SERIES_S = 60.0


class StallRecordingRouter(SoakRouter):
    """A router without a process that records its stalls."""

    def __init__(self, platform: PlatformStandins, number: int, zone: str) -> None:
        super().__init__(platform, number, zone, Path())
        self.stalls: list[tuple[float, float]] = []
        self._since_s = 0.0

    @property
    def is_stalled(self) -> bool:
        """Whether the router is stalled now."""
        return self.process_fault.locked()

    def pause(self, paused: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        if paused:
            self._since_s = now_s
        else:
            self.stalls.append((self._since_s, now_s))


class LeaderStallsTest(unittest.TestCase):
    def test_a_series_stalls_the_holder_of_the_last_order(self) -> None:
        stalled, orders = run_virtually(self._series(leaders=True))
        self.assertGreaterEqual(len(stalled), process_faults.MIN_STALLS_IN_SERIES)
        self.assertLessEqual(len(stalled), process_faults.MAX_STALLS_IN_SERIES)
        for (from_s, until_s), holder in stalled:
            last = max(
                (order for order in orders if order.received_at_s <= from_s),
                key=lambda o: o.received_at_s,
            )
            self.assertEqual(last.holder, holder)
            self.assertLess(from_s - last.received_at_s, ORDER_PERIOD_S)
            self.assertGreaterEqual(until_s - from_s, process_faults.MIN_STALL_S)
            self.assertLessEqual(until_s - from_s, process_faults.MAX_STALL_S + 1e-6)
        holders = [holder for _, holder in stalled]
        self.assertTrue(all(one != other for one, other in zip(holders, holders[1:], strict=False)))

    def test_without_orders_the_series_ends(self) -> None:
        stalled, _ = run_virtually(self._series(leaders=False))
        self.assertEqual(stalled, [])

    async def _series(
        self, *, leaders: bool
    ) -> tuple[list[tuple[tuple[float, float], str]], list[ReceivedOrder]]:
        platform = PlatformStandins()
        routers = [StallRecordingRouter(platform, n, zone) for n, zone in enumerate(ZONES, start=1)]
        loop = asyncio.get_running_loop()
        log = DisruptionLog(3.0, loop.time, lambda line: None)
        faults = ProcessFaults(FaultContext(routers, platform, log), random.Random(7), [])
        orders = platform.model_replicas[0].orders
        leading = asyncio.create_task(self._lead(routers, orders)) if leaders else None
        began_s = loop.time()
        await faults.leader_standstills()
        self.assertLess(loop.time() - began_s, MAX_SERIES_S)
        if leading is not None:
            leading.cancel()
        stalled = [(times, item.node_id) for item in routers for times in item.stalls]
        return sorted(stalled), orders

    async def _lead(self, routers: list[StallRecordingRouter], orders: list[ReceivedOrder]) -> None:
        """Add a leader's orders; another router takes over when the leader is stalled."""
        leader = routers[0]
        fence = 1
        while True:
            if leader.is_stalled:
                await asyncio.sleep(SUCCESSOR_DELAY_S)
                leader = next(
                    item for item in routers if item is not leader and not item.is_stalled
                )
                fence += 1
            at_s = asyncio.get_running_loop().time()
            orders.append(ReceivedOrder(at_s, leader.node_id, fence))
            await asyncio.sleep(ORDER_PERIOD_S)


class LaneTest(unittest.TestCase):
    def test_faults_of_a_lane_do_not_overlap_and_stop_in_time(self) -> None:
        run_virtually(self._run_lane())

    async def _run_lane(self) -> None:
        loop = asyncio.get_running_loop()
        spans: list[tuple[float, float]] = []

        async def fault() -> None:
            began_s = loop.time()
            await asyncio.sleep(2.0)
            spans.append((began_s, loop.time()))

        until_s = loop.time() + 20.0
        counts: Counter[str] = Counter()
        await Lane("lane", [fault], max_pause_s=1.0).run(random.Random(3), until_s, counts)
        self.assertEqual(counts["fault"], len(spans))
        self.assertGreaterEqual(len(spans), 7)
        for (_, ended_s), (began_s, _) in zip(spans, spans[1:], strict=False):
            self.assertLessEqual(ended_s, began_s)
        self.assertLess(spans[-1][0], until_s)


if __name__ == "__main__":
    unittest.main()
