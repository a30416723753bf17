"""Peer messages and updates that are handled late, after a stall or a partition. Virtual time."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import cast
from unittest import mock

from tests.relay_support import RelayUnderTest
from tests.test_weights_bounds import MODEL, FollowingFleet
from tests.virtual_loop import run_virtually, stall_loop
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.router.peer_messages import (
    VersionAgeEntry,
    VersionAgeQuery,
    VersionAgeReply,
    VersionAges,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.version_age_exchange import MAX_REPLY_S, VersionAgeExchange


class LateVersionAgesTest(unittest.TestCase):
    """Version ages from a peer that are read only after a stall of this process.

    Guards against dating a version by the time of reading, which is too late.
    """

    def test_after_a_stall_versions_are_dated_by_the_earliest_arrival(self) -> None:
        for ticked in (False, True):
            with self.subTest(ticked_before_it_is_read=ticked):
                relay = run_virtually(self._read_late(ticked))
                named_s = relay.state.weights_versions["m"].versions[0].published_at_s
                self.assertLessEqual(named_s, 1000.0)

    async def _read_late(self, ticked: bool) -> RelayUnderTest:
        relay = RelayUnderTest()
        state = relay.state
        state.stall_detector.tick(state.clock())
        stall_loop(2.7)
        if ticked:
            state.stall_detector.tick(state.clock())
        exchange = VersionAgeExchange(state, cast(PeerMessenger, None))
        exchange.handle_report(VersionAges((VersionAgeEntry("m", 4, 10),)))
        return relay

    def test_without_a_stall_replies_are_dated_by_their_query(self) -> None:
        async def scenario() -> float:
            relay = RelayUnderTest()
            state = relay.state
            for _ in range(10):
                state.stall_detector.tick(state.clock())
                await asyncio.sleep(0.2)
            history = state.weights_versions["m"] = VersionHistory()
            history.add(4, state.clock() - 5.0, assumed=True)
            peers = mock.Mock()
            peers.view.is_full_mesh, peers.view.others = True, ()
            exchange = VersionAgeExchange(state, peers)
            queried_s = state.clock()
            exchange.tick(queried_s)
            (query,) = [
                call.args[1]
                for call in peers.send_each.call_args_list
                if isinstance(call.args[1], VersionAgeQuery)
            ]
            await asyncio.sleep(0.1)
            exchange.handle_reply(VersionAgeReply(query.nonce, (VersionAgeEntry("m", 4, 500),)))
            self.assertFalse(history.versions[0].assumed)
            return queried_s - history.versions[0].published_at_s

        self.assertAlmostEqual(run_virtually(scenario()), 0.5)

    def test_a_report_is_dated_no_later_than_from_the_start_of_the_process(self) -> None:
        """It may have been sent to this process at any time since."""

        async def scenario() -> tuple[float, bool]:
            relay = RelayUnderTest()
            state = relay.state
            await asyncio.sleep(2.0)
            exchange = VersionAgeExchange(state, mock.Mock())
            exchange.handle_report(VersionAges((VersionAgeEntry("m", 4, 500),)))
            (published,) = state.weights_versions["m"].versions
            return state.started_at_s - published.published_at_s, published.assumed

        self.assertEqual(run_virtually(scenario()), (0.5, True))

    def test_a_report_that_is_read_after_a_stall_does_not_lower_an_exact_date(self) -> None:
        """Guards against dates that get earlier with each stall, and are passed on as exact."""

        async def scenario() -> float:
            relay = RelayUnderTest()
            state = relay.state
            state.stall_detector.tick(state.clock())
            named_s = state.clock() - 1.0
            history = state.weights_versions["m"] = VersionHistory()
            history.add(4, named_s)
            stall_loop(2.7)
            state.stall_detector.tick(state.clock())
            exchange = VersionAgeExchange(state, mock.Mock())
            exchange.handle_report(VersionAges((VersionAgeEntry("m", 4, 3700),)))
            return history.versions[0].published_at_s - named_s

        self.assertAlmostEqual(run_virtually(scenario()), 0.0)

    def test_a_reply_that_is_read_late_is_dropped(self) -> None:
        """It would date a version much too early; another query follows."""

        async def scenario() -> bool:
            relay = RelayUnderTest()
            state = relay.state
            history = state.weights_versions["m"] = VersionHistory()
            history.add(4, state.clock() - 5.0, assumed=True)
            peers = mock.Mock()
            peers.view.is_full_mesh, peers.view.others = True, ()
            exchange = VersionAgeExchange(state, peers)
            exchange.tick(state.clock())
            nonce = peers.send_each.call_args_list[-1].args[1].nonce
            stall_loop(MAX_REPLY_S + 0.1)
            exchange.handle_reply(VersionAgeReply(nonce, (VersionAgeEntry("m", 4, 500),)))
            return history.versions[0].assumed

        self.assertTrue(run_virtually(scenario()))

    def test_replies_to_unknown_queries_are_dropped(self) -> None:
        relay = run_virtually(self._read_reply_to_nothing())
        self.assertEqual(relay.state.weights_versions, {})

    async def _read_reply_to_nothing(self) -> RelayUnderTest:
        relay = RelayUnderTest()
        exchange = VersionAgeExchange(relay.state, mock.Mock())
        exchange.handle_reply(VersionAgeReply(7, (VersionAgeEntry("m", 4, 500),)))
        return relay


class LateUpdateTest(unittest.TestCase):
    def test_a_relayed_version_is_dated_by_the_watchers_own_last_proof(self) -> None:
        """Guards against dating a version that a peer relays by the time of the relay.

        The watcher was cut off from the store, so the version may be as old as its last proof.
        """

        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            while isolated.age_s() < 1.9:
                await asyncio.sleep(0.01)
            proven_s = isolated.state.freshness.proven_at_s
            known = isolated.state.store_position
            later = StorePosition(known.era, known.revision + 1)
            document = json.dumps({"Model": MODEL, "Version": 2}).encode()
            named = TableItem(f"op/version/{MODEL}", later.revision, document)
            isolated.sync.install_update(TableUpdate(known, later, False, False, (named,)))
            (newest,) = (
                item
                for item in isolated.state.weights_versions[MODEL].versions
                if item.version == 2
            )
            self.assertLessEqual(newest.published_at_s, proven_s)
            self.assertTrue(newest.assumed)

        run_virtually(main())
