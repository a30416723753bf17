"""Replicas whose entries lapse while the store is down, in a fleet of daemons. Virtual time.

Guards against sound replicas that all daemons drop together when the store is back, until their
entries are written again.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.test_platform_documents import REPLICA
from tests.virtual_loop import run_virtually
from winchfork.core.store_outage import StoreOutageDetector
from winchfork.router.document_installer import RELISTING_GRACE_S

OUTAGE_S = 4.5
REPLICAS = ["i-1", "i-2"]


class ListedFleet:
    """Three daemons that follow a store in which two replicas are listed."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.network = Network()
        for replica_id in REPLICAS:
            self.write_again(replica_id)
        self.daemons: list[Daemon] = []
        for _ in range(3):
            self.start_daemon()

    def start_daemon(self) -> None:
        daemon = Daemon(self.network, len(self.daemons) + 1, store=self.store)
        daemon.follow()
        self.daemons.append(daemon)

    def write_again(self, replica_id: str) -> None:
        self.store.put(f"servers/{replica_id}", json.dumps(REPLICA).encode())

    async def let_entries_lapse(self) -> None:
        """Take the store down until the replicas' entries have lapsed."""
        self.store.down = True
        await asyncio.sleep(OUTAGE_S)
        for replica_id in REPLICAS:
            self.store.remove(f"servers/{replica_id}")

    def known(self) -> list[list[str]]:
        """Return the listed replicas of each daemon."""
        return [
            sorted(replica.replica_id for replica in daemon.state.fleet.replicas())
            for daemon in self.daemons
        ]

    def has_heard_all(self) -> bool:
        """Whether every daemon knows all changes."""
        return all(daemon.state.store_position >= self.store.at for daemon in self.daemons)

    def expire(self) -> None:
        for daemon in self.daemons:
            daemon.sync.expire_missing_replicas(daemon.state.clock())


def play(scenario: Callable[[ListedFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = ListedFleet()
        await asyncio.sleep(4.0)
        await scenario(fleet)

    run_virtually(main())


class LapsesInOutagesTest(unittest.TestCase):
    async def assert_kept_until_written_again(self, fleet: ListedFleet) -> None:
        """Check that all daemons keep the replicas, of which only one is written again."""
        await asyncio.sleep(1.0)
        self.assertTrue(fleet.has_heard_all())
        fleet.expire()
        self.assertEqual(fleet.known(), [REPLICAS] * 3)
        fleet.write_again("i-1")
        await asyncio.sleep(RELISTING_GRACE_S)
        fleet.expire()
        self.assertEqual(fleet.known(), [["i-1"]] * 3)

    def test_replicas_are_kept_by_daemons_that_watch(self) -> None:
        async def scenario(fleet: ListedFleet) -> None:
            await fleet.let_entries_lapse()
            fleet.store.down = False
            await self.assert_kept_until_written_again(fleet)

        play(scenario)

    def test_replicas_are_kept_by_daemons_that_hear_of_the_lapses_from_a_peer(self) -> None:
        async def scenario(fleet: ListedFleet) -> None:
            await fleet.let_entries_lapse()
            for daemon in fleet.daemons[1:]:
                daemon.store.cut = True
            fleet.store.down = False
            await self.assert_kept_until_written_again(fleet)

        play(scenario)

    def test_replicas_are_kept_by_daemons_updated_by_a_peer_that_has_just_started(self) -> None:
        async def scenario(fleet: ListedFleet) -> None:
            fleet.daemons.pop().kill(fleet.network)
            await fleet.let_entries_lapse()
            for daemon in fleet.daemons:
                daemon.store.cut = True
            fleet.store.down = False
            fleet.start_daemon()
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.has_heard_all())
            self.assertEqual(fleet.known()[:2], [REPLICAS] * 2)

        play(scenario)

    def test_replicas_are_kept_by_daemons_updated_by_a_peer_that_stalled_in_the_outage(
        self,
    ) -> None:
        async def scenario(fleet: ListedFleet) -> None:
            stalled, *others = fleet.daemons
            stall = asyncio.create_task(stalled.stall(OUTAGE_S + 0.2, fleet.network))
            await fleet.let_entries_lapse()
            for daemon in others:
                daemon.store.cut = True
            fleet.store.down = False
            await stall
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.has_heard_all())
            self.assertEqual(fleet.known()[1:], [REPLICAS] * 2)

        play(scenario)

    def test_a_daemon_that_the_store_alone_rejects_gives_no_grace(self) -> None:
        """Its peers have reached the store, so no entry has lapsed for lack of renewal."""

        async def scenario(fleet: ListedFleet) -> None:
            rejected = fleet.daemons[0]
            rejected.store.cut = True
            await asyncio.sleep(OUTAGE_S)
            fleet.store.remove("servers/i-1")
            rejected.store.cut = False
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.known(), [["i-2"]] * 3)

        play(scenario)


class LapseDetectionTest(unittest.TestCase):
    """The findings of one daemon whose last proof dates from 100 s; heartbeats last 1.2 s."""

    def setUp(self) -> None:
        self.detector = StoreOutageDetector(90.0, has_peers=True, heartbeat_s=1.2)
        self.detector.record_answer(100.0)
        self.detector.record_failure(100.0, 100.3)
        self.detector.record_failure(100.4, 100.5)

    def test_entries_lapse_in_an_outage_of_two_heartbeats_and_not_in_a_shorter_one(self) -> None:
        self.detector.record_answer(102.3)
        self.assertFalse(self.detector.may_have_lapsed_since(100.0))
        self.detector.record_failure(102.4, 102.5)
        self.detector.record_failure(102.6, 102.7)
        self.detector.record_answer(104.8)
        self.assertTrue(self.detector.may_have_lapsed_since(102.3))

    def test_entries_held_by_the_store_when_it_is_back_have_not_lapsed(self) -> None:
        self.detector.record_answer(104.0)
        self.assertTrue(self.detector.may_have_lapsed_since(103.9))
        self.assertFalse(self.detector.may_have_lapsed_since(104.0))

    def test_no_entry_lapses_while_a_peer_reaches_the_store(self) -> None:
        self.detector.record_peer_reply("n2", 102.0, asked_s=102.6, replied_s=102.6)
        self.detector.record_answer(104.0)
        self.assertFalse(self.detector.may_have_lapsed_since(100.0))

    def test_a_peer_that_reaches_the_store_first_ends_the_outage(self) -> None:
        self.detector.record_peer_reply("n2", 103.5, asked_s=103.6, replied_s=103.6)
        self.detector.record_answer(103.7)
        self.assertTrue(self.detector.may_have_lapsed_since(100.0))
        self.assertFalse(self.detector.may_have_lapsed_since(103.5))


if __name__ == "__main__":
    unittest.main()
