"""The room of brittle replicas, shared by many daemons. Virtual time and network."""

from __future__ import annotations

import asyncio
import unittest

from tests.brittle_fleet import SERVICE, BrittleFleet
from tests.peer_support import Daemon, Network, run_with_daemons
from winchfork.core.learned_room import GROW_AFTER_S, LearnedRoom, dealt_places

CONTACT_S = 3.0
TOLERATED_PER_S = 3.0
OVERLOAD = 1.5
MIN_USE = 2 / 3


class DealtPlacesTest(unittest.TestCase):
    def test_all_places_are_dealt_once_and_evenly(self) -> None:
        for room, replicas, daemons in ((16, 4, 3), (4, 4, 15), (32, 9, 7), (1, 5, 3), (7, 6, 420)):
            held = [
                sum(
                    dealt_places(room, replica, replicas, daemon, daemons)
                    for replica in range(replicas)
                )
                for daemon in range(daemons)
            ]
            self.assertEqual(sum(held), room * replicas)
            self.assertLessEqual(max(held) - min(held), replicas)

    def test_a_daemon_without_known_peers_has_the_whole_room(self) -> None:
        self.assertEqual(dealt_places(8, 0, 1, 0, 0), 8)


class LearnedRoomTest(unittest.TestCase):
    def test_an_unknown_room_is_halved_and_a_probed_one_shrinks_by_one(self) -> None:
        room = LearnedRoom(16, 16)
        room.record_rejection(10.0, TOLERATED_PER_S)
        self.assertEqual(room.room, 8)
        room.update(8, 10.0 + GROW_AFTER_S)
        self.assertEqual(room.room, 9)
        room.record_rejection(12.0, TOLERATED_PER_S)
        self.assertEqual(room.room, 8)

    def test_a_room_that_is_not_used_does_not_grow(self) -> None:
        """Guards against a room that was never tried when many requests come at once."""
        room = LearnedRoom(16, 4)
        room.update(1, 100.0)
        self.assertEqual(room.room, 4)

    def test_probes_become_rare_while_they_are_rejected(self) -> None:
        room = LearnedRoom(16, 4)
        grown, now_s = 0, 0.0
        while now_s < 60.0:
            now_s += 0.5
            room.update(room.room, now_s)
            if room.room > 4:
                grown += 1
                room.record_rejection(now_s, TOLERATED_PER_S)
        self.assertLessEqual(grown, 8)
        self.assertEqual(room.room, 4)


class BrittleFleetTest(unittest.TestCase):
    def test_replicas_reject_few_requests_while_their_room_is_used(self) -> None:
        """Guards against daemons that fill a replica together, each within its own view."""
        for count in (3, 15, 42):

            async def scenario(network: Network, daemons: list[Daemon]) -> None:
                fleet = BrittleFleet(network, daemons, 6, 16, TOLERATED_PER_S)
                await fleet.overload(CONTACT_S, OVERLOAD)
                from_s = daemons[0].state.clock()
                served = sum(replica.served for replica in fleet.replicas)
                await fleet.overload(10.0, OVERLOAD)
                served = sum(replica.served for replica in fleet.replicas) - served
                for replica in fleet.replicas:
                    rejected = replica.max_rejected_in_a_second(from_s)
                    self.assertLessEqual(rejected, TOLERATED_PER_S)
                self.assertGreaterEqual(served, MIN_USE * 10.0 * fleet.capacity_per_s)

            with self.subTest(daemons=count):
                run_with_daemons(count, scenario)

    def test_all_daemons_hear_the_word_and_its_end(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            fleet = BrittleFleet(network, daemons, 2, 16, TOLERATED_PER_S)
            known = daemons[0].state.fleet.get("b-0")
            assert known is not None
            daemons[0].state.brittle.record_word(known, TOLERATED_PER_S)
            await asyncio.sleep(0.5)
            for daemon in daemons:
                self.assertIsNotNone(daemon.state.brittle.word_of(SERVICE))
            fleet.per_s = None
            await fleet.overload(2.0, 0.5)
            await asyncio.sleep(1.0)
            for daemon in daemons:
                self.assertIsNone(daemon.state.brittle.word_of(SERVICE))

        for count in (3, 42):
            run_with_daemons(count, scenario)
