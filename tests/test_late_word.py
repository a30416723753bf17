"""Words of peers that waited in a socket while this process stood still. Virtual time."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from tests.relay_support import RelayUnderTest
from tests.virtual_loop import run_virtually, stand_still
from winchfork.router.peer_messages import NamedNote, NamedVersions
from winchfork.router.peer_port import PeerPort
from winchfork.router.version_news import VersionNews


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
                named_s = relay.state.versions["m"].named[0].heard_s
                self.assertLessEqual(named_s, 1000.0)

    async def _read_late(self, ticked: bool) -> RelayUnderTest:
        relay = RelayUnderTest()
        state = relay.state
        state.standstill.tick(state.clock())
        stand_still(2.7)
        if ticked:
            state.standstill.tick(state.clock())
        news = VersionNews(state, cast(PeerPort, None))
        news.take_named(NamedVersions((NamedNote("m", 4, 10),)))
        return relay

    def test_without_a_standstill_it_is_dated_by_its_age(self) -> None:
        async def scenario() -> float:
            relay = RelayUnderTest()
            state = relay.state
            for _ in range(10):
                state.standstill.tick(state.clock())
                await asyncio.sleep(0.2)
            news = VersionNews(state, cast(PeerPort, None))
            news.take_named(NamedVersions((NamedNote("m", 4, 500),)))
            return state.clock() - state.versions["m"].named[0].heard_s

        self.assertAlmostEqual(run_virtually(scenario()), 0.5)
