"""Every daemon counts the bound on replaced weights from the same moment. Virtual time.

A leading daemon stood still for three seconds and wrote, on waking, `store_lost reason="... no
answer within 2.50 s"` and 0.05 s later `store_regained`. The store had answered everybody else all
the time. The daemon took its own silence for an outage of all and began the bound on replaced
weights anew (`weights_bound_restarted heard_before_s=4.05 begins_in_s=2.5`): it alone went on
giving requests to them, and the last began 11.3 s after the newer version had been named, where 8 s
are allowed. Whatever keeps one daemon from hearing the store moves no bound that others hold; only
an outage for all does, since then nobody could bring replicas to the newer weights.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.virtual_loop import run_virtually
from winchfork.core.store_outage import StoreOutage, StoreOutageWatch
from winchfork.router.settings import RouterBounds

DAEMONS = 5
MODEL = "daka510000"
BOUND_S = 8.0
BOUNDS = RouterBounds(weights_s=BOUND_S)
#: Seconds from an outage's end until the store counts as stable, less the margin kept of it.
SETTLING_S = 2.5
#: Seconds by which daemons may differ: news on its way, pauses between tries.
TOLERANCE_S = 0.8


class FollowingFleet:
    """Daemons that follow one store; the first is the one that trouble finds."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.network = Network()
        self.daemons = [
            Daemon(self.network, number, store=self.store, bounds=BOUNDS)
            for number in range(1, DAEMONS + 1)
        ]
        for daemon in self.daemons:
            daemon.follow()
        self.named_s = 0.0

    def name(self, version: int) -> None:
        document = json.dumps({"Model": MODEL, "Version": version}).encode()
        self.store.put(f"op/version/{MODEL}", document)
        self.named_s = asyncio.get_running_loop().time()

    async def fail_a_call(self, daemon: Daemon) -> None:
        """Have the watch of one daemon fail, and answer it again at once."""
        reads = daemon.store.reads
        daemon.store.cut = True
        while daemon.store.reads == reads:
            await asyncio.sleep(0.01)
        daemon.store.cut = False

    def allowed_s(self, daemon: Daemon) -> float:
        """Return for how long after the naming the weights before it are allowed there."""
        return daemon.state.versions[MODEL].due_s(1, BOUND_S) - self.named_s


def follow(scenario: Callable[[FollowingFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = FollowingFleet()
        await asyncio.sleep(4.0)
        fleet.name(2)
        await asyncio.sleep(1.0)
        await scenario(fleet)

    run_virtually(main())


class BoundsTest(unittest.TestCase):
    def test_a_call_that_fails_here_alone_moves_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            await fleet.fail_a_call(fleet.daemons[0])
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                self.assertLess(abs(fleet.allowed_s(daemon) - BOUND_S), TOLERANCE_S)

        follow(scenario)

    def test_a_store_that_turns_one_daemon_away_moves_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            fleet.daemons[0].store.cut = True
            await asyncio.sleep(4.5)
            fleet.daemons[0].store.cut = False
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                self.assertLess(abs(fleet.allowed_s(daemon) - BOUND_S), TOLERANCE_S)

        follow(scenario)

    def test_after_an_outage_for_all_the_bound_begins_anew_for_all(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            fleet.store.down = True
            await asyncio.sleep(4.5)
            fleet.store.down = False
            back_s = asyncio.get_running_loop().time() - fleet.named_s
            await asyncio.sleep(3.0)
            expected_s = back_s + SETTLING_S + BOUND_S
            for daemon in fleet.daemons:
                self.assertLess(abs(fleet.allowed_s(daemon) - expected_s), TOLERANCE_S)

        follow(scenario)

    def test_a_daemon_that_hears_nobody_moves_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            alone = fleet.daemons[0]
            fleet.network.drop = lambda sender, receiver: alone.ip in (sender, receiver)
            alone.store.cut = True
            await asyncio.sleep(4.5)
            alone.store.cut = False
            fleet.network.drop = lambda sender, receiver: False
            await asyncio.sleep(2.0)
            self.assertLess(abs(fleet.allowed_s(alone) - BOUND_S), TOLERANCE_S)

        follow(scenario)


class OutageWatchTest(unittest.TestCase):
    """One daemon's findings, with a last proof at 100 s."""

    def setUp(self) -> None:
        self.watch = StoreOutageWatch(90.0, has_peers=True)
        self.watch.note_answer(100.0)

    def fail_twice(self, first_s: float) -> None:
        self.watch.note_failure(first_s - 1.0, first_s)
        self.watch.note_failure(first_s + 0.1, first_s + 0.2)

    def test_all_three_findings_make_an_outage(self) -> None:
        self.fail_twice(101.0)
        self.watch.note_peer(99.5, asked_s=102.6)
        self.watch.note_answer(104.0)
        self.assertEqual(self.watch.take_ended(), StoreOutage(100.0, 104.0))
        self.assertIsNone(self.watch.take_ended())

    def test_a_call_that_spans_a_standstill_is_no_finding(self) -> None:
        self.watch.note_failure(100.0, 104.0)
        self.watch.note_peer(99.5, asked_s=104.0)
        self.watch.note_answer(104.1)
        self.assertIsNone(self.watch.take_ended())

    def test_a_peer_that_reached_the_store_meanwhile_speaks_against_it(self) -> None:
        self.fail_twice(101.0)
        self.watch.note_peer(102.0, asked_s=102.6)
        self.watch.note_answer(104.0)
        self.assertIsNone(self.watch.take_ended())

    def test_a_peer_that_may_still_be_watching_says_nothing(self) -> None:
        self.fail_twice(101.0)
        self.watch.note_peer(99.5, asked_s=102.0)
        self.watch.note_answer(104.0)
        self.assertIsNone(self.watch.take_ended())

    def test_peers_learn_of_the_return_first(self) -> None:
        self.fail_twice(101.0)
        self.watch.note_peer(99.5, asked_s=102.6)
        self.watch.note_peer(103.5, asked_s=103.6)
        self.watch.note_answer(104.0)
        self.assertEqual(self.watch.take_ended(), StoreOutage(100.0, 103.5))

    def test_a_daemon_that_starts_in_an_outage_learns_from_peers_since_when(self) -> None:
        watch = StoreOutageWatch(102.0, has_peers=True)
        watch.note_peer(99.5, asked_s=102.1)
        watch.note_failure(102.0, 102.1)
        watch.note_failure(102.3, 102.4)
        watch.note_peer(99.5, asked_s=102.5)
        watch.note_answer(103.0)
        self.assertEqual(watch.take_ended(), StoreOutage(99.5, 103.0))


class NamedDuringTroubleTest(unittest.TestCase):
    """When a version was named may be seconds before it is heard of."""

    def test_a_version_named_while_a_daemon_could_not_hear_is_not_named_later_for_it(self) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            late = fleet.daemons[0]
            fleet.network.drop = lambda sender, receiver: late.ip in (sender, receiver)
            late.store.cut = True
            await asyncio.sleep(2.0)
            fleet.name(2)
            await asyncio.sleep(3.0)
            late.store.cut = False
            fleet.network.drop = lambda sender, receiver: False
            await asyncio.sleep(1.5)
            self.assertLess(fleet.allowed_s(late), BOUND_S + TOLERANCE_S)
            self.assertGreater(fleet.allowed_s(late), BOUND_S - 2.0 - TOLERANCE_S - 1.6)

        run_virtually(main())

    def test_a_version_named_during_a_standstill_is_not_named_later_for_it(self) -> None:
        """Also where the answer that lay there brought something else, and the next brings it."""
        for other_news in (False, True):
            with self.subTest(other_news=other_news):
                self._name_during_a_standstill(other_news)

    def _name_during_a_standstill(self, other_news: bool) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            frozen = fleet.daemons[0]
            standing = asyncio.create_task(frozen.stand_still(3.0, fleet.network))
            await asyncio.sleep(0.2)
            if other_news:
                fleet.store.put("op/other", b"x")
            await asyncio.sleep(0.1)
            fleet.name(2)
            await standing
            await asyncio.sleep(0.5)
            self.assertLess(fleet.allowed_s(frozen), BOUND_S + TOLERANCE_S)

        run_virtually(main())
