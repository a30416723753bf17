"""Words of peers that waited in a socket while this process stood still. Virtual time."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import cast

from tests.relay_support import RelayUnderTest
from tests.test_weights_bounds import MODEL, FollowingFleet
from tests.virtual_loop import run_virtually, stall_loop
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.router.peer_messages import VersionAgeEntry, VersionAges
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.weights_exchange import WeightsExchange


class LateWordTest(unittest.TestCase):
    """A peer's word on when a version was named, read only after an own standstill.

    A process stood still for 2.7 s while a version was named and a peer told it so. It read that on
    waking, dated it by its own time, 1.7 s too late, and told another that had just started: three
    requests began 4.18 s after the naming with a bound of 4 s ("weights_left_s=1.63441").
    """

    def test_it_is_dated_by_when_it_may_have_come(self) -> None:
        for ticked in (False, True):
            with self.subTest(ticked_before_it_is_read=ticked):
                relay = run_virtually(self._read_late(ticked))
                named_s = relay.state.weights_versions["m"].versions[0].received_at_s
                self.assertLessEqual(named_s, 1000.0)

    async def _read_late(self, ticked: bool) -> RelayUnderTest:
        relay = RelayUnderTest()
        state = relay.state
        state.stall_detector.tick(state.clock())
        stall_loop(2.7)
        if ticked:
            state.stall_detector.tick(state.clock())
        news = WeightsExchange(state, cast(PeerMessenger, None))
        news.handle_version_ages(VersionAges((VersionAgeEntry("m", 4, 10),)))
        return relay

    def test_without_a_standstill_it_is_dated_by_its_age(self) -> None:
        async def scenario() -> float:
            relay = RelayUnderTest()
            state = relay.state
            for _ in range(10):
                state.stall_detector.tick(state.clock())
                await asyncio.sleep(0.2)
            news = WeightsExchange(state, cast(PeerMessenger, None))
            news.handle_version_ages(VersionAges((VersionAgeEntry("m", 4, 500),)))
            return state.clock() - state.weights_versions["m"].versions[0].received_at_s

        self.assertAlmostEqual(run_virtually(scenario()), 0.5)


class LateUpdateTest(unittest.TestCase):
    def test_what_a_watcher_has_from_a_peer_is_dated_by_its_own_last_proof(self) -> None:
        """Two routers of three were cut from the store for 1.4 s, in which a version was named.

        One of them had it from the third, with a proof 1.9 s old, dated it by that moment as heard
        in time, and its word replaced the other's cautious guess: six requests began 4.35 s after
        the naming with a bound of 4 s ("weights_left_s=1.29361").
        """

        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            deaf = fleet.daemons[0]
            fleet.cut_off(deaf)
            while deaf.age_s() < 1.9:
                await asyncio.sleep(0.01)
            proven_s = deaf.state.freshness.proven_at_s
            known = deaf.state.store_position
            later = StorePosition(known.era, known.revision + 1)
            document = json.dumps({"Model": MODEL, "Version": 2}).encode()
            named = TableItem(f"op/version/{MODEL}", later.revision, document)
            deaf.sync.install_update(TableUpdate(known, later, False, False, (named,)))
            (newest,) = (
                item for item in deaf.state.weights_versions[MODEL].versions if item.version == 2
            )
            self.assertLessEqual(newest.received_at_s, proven_s)
            self.assertTrue(newest.assumed)

        run_virtually(main())
