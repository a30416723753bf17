"""Requests that crash replicas: crash reports between daemons, and refusals in the store.

Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.virtual_loop import run_virtually
from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.crash_history import CRASHES_TO_REFUSE
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.request_digest import request_digest
from winchfork.router.refusal_records import BUCKETS, bucket_key, is_refusal_key
from winchfork.router.refusal_writer import RefusalWriter


class Fleet:
    """Daemons that follow one store, each with a writer of refusals."""

    def __init__(self, store: MemoryStore, count: int, first: int = 1) -> None:
        self.network = Network()
        self.daemons = [
            Daemon(self.network, number, store=store) for number in range(first, first + count)
        ]
        for daemon in self.daemons:
            daemon.follow()
            generator = random.Random(daemon.ip)
            writer = RefusalWriter(daemon.state, daemon.store, generator)
            daemon.tasks.append(asyncio.create_task(writer.run()))

    def kill(self) -> None:
        for daemon in self.daemons:
            daemon.kill(self.network)

    def refusing_count(self, digest: bytes) -> int:
        return sum(daemon.state.crashes.refusal(digest) is not None for daemon in self.daemons)

    def expire_refusals(self, digest: bytes) -> None:
        """Let a refusal expire on every daemon."""
        for daemon in self.daemons:
            history = daemon.state.crashes.history
            history.refuse(digest, history.times_refused(digest), daemon.state.clock())

    def crash(self, number: int, incarnation: int, digest: bytes) -> None:
        """Let a replica crash while it runs a request that one daemon has sent."""
        tracker = self.daemons[number % len(self.daemons)].state.crashes
        listing = ReplicaListing("i", "s", "a:1", "z", 8, True, started_at_ms=incarnation)
        replica = RelayReplica(listing, {}, listing.incarnation)
        tracker.record_broken_run(replica, digest, silent=False)
        tracker.record_crash(replica, CrashEvidence.PORT_CLOSED)


Scenario = Callable[[MemoryStore, Fleet], Awaitable[None]]


def run_with_fleet(count: int, scenario: Scenario) -> None:
    async def main() -> None:
        store = MemoryStore()
        fleet = Fleet(store, count)
        await asyncio.sleep(6.0)
        await scenario(store, fleet)
        fleet.kill()

    run_virtually(main())


def refusal_keys(store: MemoryStore) -> list[str]:
    return [key for key in store.items if is_refusal_key(key)]


DIGEST = b"0123456789abcdef"
#: Longer than a first refusal, shorter than a repeated one.
QUARTER_HOUR_S = 900.0


class FleetTest(unittest.TestCase):
    def test_the_third_crash_is_known_to_every_daemon_and_written_once(self) -> None:
        for count in (3, 30):
            with self.subTest(daemons=count):

                async def scenario(store: MemoryStore, fleet: Fleet) -> None:
                    for number in range(CRASHES_TO_REFUSE):
                        fleet.crash(number, number + 1, DIGEST)
                        await asyncio.sleep(0.3)
                    self.assertEqual(fleet.refusing_count(DIGEST), len(fleet.daemons))
                    await asyncio.sleep(2.0)
                    self.assertEqual(refusal_keys(store), [bucket_key(DIGEST)])
                    self.assertEqual(store.items[bucket_key(DIGEST)].revision, store.revision)

                run_with_fleet(count, scenario)

    def test_crash_reports_reach_every_daemon_despite_lost_datagrams(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            generator = random.Random(5)
            store.down = True
            fleet.network.drop = lambda sender, receiver: generator.random() < 0.3
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
                await asyncio.sleep(0.3)
            await asyncio.sleep(2.7)
            self.assertEqual(fleet.refusing_count(DIGEST), len(fleet.daemons))

        run_with_fleet(7, scenario)

    def test_a_daemon_without_peers_learns_a_refusal_from_the_store(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            alone = fleet.daemons[0]
            fleet.network.drop = lambda sender, receiver: alone.ip in (sender, receiver)
            for number in range(1, 1 + CRASHES_TO_REFUSE):
                fleet.crash(1 + number % 2, number, DIGEST)
            await asyncio.sleep(2.5)
            self.assertIsNotNone(alone.state.crashes.refusal(DIGEST))

        run_with_fleet(3, scenario)

    def test_a_refusal_survives_the_restart_of_every_daemon(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            fleet.kill()
            successors = Fleet(store, 3)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing_count(DIGEST), 3)
            successors.kill()
            fleet.network.groups.update({daemon.ip: daemon.peers for daemon in fleet.daemons})

        run_with_fleet(3, scenario)

    def test_a_refusal_is_written_when_the_store_recovers(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            store.down = True
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.refusing_count(DIGEST), len(fleet.daemons))
            store.down = False
            await asyncio.sleep(3.0)
            self.assertEqual(refusal_keys(store), [bucket_key(DIGEST)])

        run_with_fleet(3, scenario)

    def test_the_refusals_in_the_store_are_bounded(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            calls_before = len(store.calls)
            for number in range(60):
                digest = request_digest("school", b"POST", "a", b"/x", b"%d" % number)
                for incarnation in range(CRASHES_TO_REFUSE):
                    fleet.crash(incarnation, 10 * number + incarnation + 1, digest)
                await asyncio.sleep(1.0)
            written = [name for name in store.calls[calls_before:] if name == "transact"]
            self.assertLessEqual(len(refusal_keys(store)), BUCKETS)
            # Each refusal costs about one write in total, not one for each daemon.
            self.assertLess(len(written), 100)

        run_with_fleet(3, scenario)

    def test_operators_release_a_request_by_removing_its_entry(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(2.0)
            store.remove(bucket_key(DIGEST))
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.refusing_count(DIGEST), 0)
            self.assertEqual(fleet.daemons[0].state.crashes.crash_count(DIGEST), 0)

        run_with_fleet(3, scenario)

    def test_a_clearance_reaches_every_daemon_and_is_not_undone_by_resends(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE - 1):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(0.2)
            fleet.daemons[2].state.crashes.record_success(DIGEST)
            await asyncio.sleep(3.0)
            counts = [daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons]
            self.assertEqual(counts, [0, 0, 0])

        run_with_fleet(3, scenario)

    def test_a_refused_request_is_retried_once_and_then_refused_for_long(self) -> None:
        """Guards against a long refusal of requests that were not the cause of the crashes."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            later_s = fleet.daemons[0].state.clock() + QUARTER_HOUR_S
            self.assertFalse(fleet.daemons[0].state.crashes.history.is_refused(DIGEST, later_s))
            fleet.expire_refusals(DIGEST)
            self.assertEqual(fleet.refusing_count(DIGEST), 0)
            self.assertEqual(fleet.daemons[0].state.crashes.crash_count(DIGEST), CRASHES_TO_REFUSE)
            fleet.crash(0, 9, DIGEST)
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.refusing_count(DIGEST), 3)
            for daemon in fleet.daemons:
                later_s = daemon.state.clock() + QUARTER_HOUR_S
                self.assertTrue(daemon.state.crashes.history.is_refused(DIGEST, later_s))
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing_count(DIGEST), 2)
            successors.kill()

        run_with_fleet(3, scenario)

    def test_a_success_after_a_refusal_clears_the_request_everywhere(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            fleet.expire_refusals(DIGEST)
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            await asyncio.sleep(1.0)
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            daemons = [*fleet.daemons, *successors.daemons]
            self.assertEqual(
                [daemon.state.crashes.crash_count(DIGEST) for daemon in daemons], [0] * 5
            )
            successors.kill()

        run_with_fleet(3, scenario)

    def test_a_request_that_succeeded_recently_is_not_refused_when_all_replicas_crash(self) -> None:
        """Guards against refusing a frequent request that ran on every replica that crashed."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
                self.assertEqual(fleet.refusing_count(DIGEST), 0)
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.refusing_count(DIGEST), 0)
            self.assertEqual(refusal_keys(store), [])

        run_with_fleet(3, scenario)

    def test_a_stored_refusal_is_withdrawn_if_another_daemon_saw_a_recent_success(self) -> None:
        """Three replicas crash before the clearance of the other daemon can arrive."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(0, number + 1, DIGEST)
            await asyncio.sleep(2.5)
            self.assertEqual(fleet.refusing_count(DIGEST), 0)
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing_count(DIGEST), 0)
            successors.kill()

        run_with_fleet(3, scenario)

    def test_an_old_success_does_not_prevent_a_refusal(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            await asyncio.sleep(5.0)
            for number in range(CRASHES_TO_REFUSE):
                fleet.crash(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
            self.assertEqual(fleet.refusing_count(DIGEST), 3)

        run_with_fleet(3, scenario)

    def test_a_cleared_crash_is_not_resent_beside_a_later_one(self) -> None:
        """Guards against resent crashes that were cleared and then count with a later crash."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            def clear() -> None:
                for daemon in fleet.daemons:
                    daemon.state.crashes.handle_cleared(DIGEST)

            for number in range(6):
                fleet.crash(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
                clear()
                await asyncio.sleep(0.3)
                worst = max(daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons)
                self.assertEqual(worst, 0)
                fleet.crash(0, 100 + number, DIGEST)
                await asyncio.sleep(0.5)
                worst = max(daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons)
                self.assertEqual(worst, 1)
                clear()
                await asyncio.sleep(0.2)

        run_with_fleet(3, scenario)

    def test_records_that_cannot_be_decoded_are_counted_and_refuse_nothing(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number, value in enumerate(
                (b"\xff\xfe", b"{}", b'{"digest": "QQ==", "refused_ms": 1, "times": 1}')
            ):
                store.put(f"winchfork/refused/{number:03x}", value)
            await asyncio.sleep(1.0)
            for daemon in fleet.daemons:
                self.assertEqual(daemon.state.crashes.history.refused_count, 0)
                self.assertEqual(daemon.state.metrics.documents_refused.value, 3)
                self.assertLess(daemon.age_s(), 3.0)

        run_with_fleet(3, scenario)
