"""The guard against requests that end replicas, among daemons and in the store. Virtual time."""

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
    """Daemons that follow one store, each with the duty that writes refusals."""

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

    def refusing(self, digest: bytes) -> int:
        return sum(daemon.state.crashes.refusal(digest) is not None for daemon in self.daemons)

    def end_refusals(self, digest: bytes) -> None:
        """Let the time of a refusal be over."""
        for daemon in self.daemons:
            ledger = daemon.state.crashes.ledger
            ledger.refuse(digest, ledger.times_refused(digest), daemon.state.clock())

    def end(self, number: int, incarnation: int, digest: bytes) -> None:
        """A replica ends under a request that one daemon has sent."""
        guard = self.daemons[number % len(self.daemons)].state.crashes
        listing = ReplicaListing("i", "s", "a:1", "z", 8, True, started_at_ms=incarnation)
        replica = RelayReplica(listing, {}, listing.incarnation)
        guard.record_broken_run(replica, digest, silent=False)
        guard.record_crash(replica, CrashEvidence.PORT_CLOSED)


Scenario = Callable[[MemoryStore, Fleet], Awaitable[None]]


def among(count: int, scenario: Scenario) -> None:
    async def main() -> None:
        store = MemoryStore()
        fleet = Fleet(store, count)
        await asyncio.sleep(6.0)
        await scenario(store, fleet)
        fleet.kill()

    run_virtually(main())


def refusals(store: MemoryStore) -> list[str]:
    return [key for key in store.items if is_refusal_key(key)]


DIGEST = b"0123456789abcdef"
#: The first refusal is over by then, the second is not.
QUARTER_HOUR_S = 900.0


class FleetTest(unittest.TestCase):
    def test_every_daemon_knows_the_third_end_at_once_and_one_writes_it(self) -> None:
        for count in (3, 30):
            with self.subTest(daemons=count):

                async def scenario(store: MemoryStore, fleet: Fleet) -> None:
                    for number in range(CRASHES_TO_REFUSE):
                        fleet.end(number, number + 1, DIGEST)
                        await asyncio.sleep(0.3)
                    self.assertEqual(fleet.refusing(DIGEST), len(fleet.daemons))
                    await asyncio.sleep(2.0)
                    self.assertEqual(refusals(store), [bucket_key(DIGEST)])
                    self.assertEqual(store.items[bucket_key(DIGEST)].revision, store.revision)

                among(count, scenario)

    def test_lost_datagrams_are_made_up_for_within_the_time_of_contact(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            generator = random.Random(5)
            store.down = True
            fleet.network.drop = lambda sender, receiver: generator.random() < 0.3
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
                await asyncio.sleep(0.3)
            await asyncio.sleep(2.7)
            self.assertEqual(fleet.refusing(DIGEST), len(fleet.daemons))

        among(7, scenario)

    def test_a_daemon_without_peers_learns_it_from_the_store(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            alone = fleet.daemons[0]
            fleet.network.drop = lambda sender, receiver: alone.ip in (sender, receiver)
            for number in range(1, 1 + CRASHES_TO_REFUSE):
                fleet.end(1 + number % 2, number, DIGEST)
            await asyncio.sleep(2.5)
            self.assertIsNotNone(alone.state.crashes.refusal(DIGEST))

        among(3, scenario)

    def test_it_outlasts_every_daemon(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            fleet.kill()
            successors = Fleet(store, 3)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing(DIGEST), 3)
            successors.kill()
            fleet.network.groups.update({daemon.ip: daemon.peers for daemon in fleet.daemons})

        among(3, scenario)

    def test_what_the_store_could_not_take_is_written_when_it_is_back(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            store.down = True
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(5.0)
            self.assertEqual(fleet.refusing(DIGEST), len(fleet.daemons))
            store.down = False
            await asyncio.sleep(3.0)
            self.assertEqual(refusals(store), [bucket_key(DIGEST)])

        among(3, scenario)

    def test_the_store_holds_no_more_however_many_bodies_are_sent(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            calls = len(store.calls)
            for number in range(60):
                digest = request_digest("school", b"POST", "a", b"/x", b"%d" % number)
                for incarnation in range(CRASHES_TO_REFUSE):
                    fleet.end(incarnation, 10 * number + incarnation + 1, digest)
                await asyncio.sleep(1.0)
            written = [name for name in store.calls[calls:] if name == "transact"]
            self.assertLessEqual(len(refusals(store)), BUCKETS)
            # Each refusal costs the fleet about one write, whoever comes first.
            self.assertLess(len(written), 100)

        among(3, scenario)

    def test_operators_release_a_request_by_removing_its_entry(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(2.0)
            store.remove(bucket_key(DIGEST))
            await asyncio.sleep(1.0)
            self.assertEqual(fleet.refusing(DIGEST), 0)
            self.assertEqual(fleet.daemons[0].state.crashes.crash_count(DIGEST), 0)

        among(3, scenario)

    def test_an_clearance_is_known_everywhere_and_not_undone_by_what_is_repeated(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE - 1):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(0.2)
            fleet.daemons[2].state.crashes.record_success(DIGEST)
            await asyncio.sleep(3.0)
            ends = [daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons]
            self.assertEqual(ends, [0, 0, 0])

        among(3, scenario)

    def test_a_refused_request_is_tried_once_more_and_then_refused_for_long(self) -> None:
        """Where weights ended replicas under any request, those refused are not lost for a day."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            later_s = fleet.daemons[0].state.clock() + QUARTER_HOUR_S
            self.assertFalse(fleet.daemons[0].state.crashes.ledger.is_refused(DIGEST, later_s))
            fleet.end_refusals(DIGEST)
            self.assertEqual(fleet.refusing(DIGEST), 0)
            self.assertEqual(fleet.daemons[0].state.crashes.crash_count(DIGEST), CRASHES_TO_REFUSE)
            fleet.end(0, 9, DIGEST)
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.refusing(DIGEST), 3)
            for daemon in fleet.daemons:
                later_s = daemon.state.clock() + QUARTER_HOUR_S
                self.assertTrue(daemon.state.crashes.ledger.is_refused(DIGEST, later_s))
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing(DIGEST), 2)
            successors.kill()

        among(3, scenario)

    def test_one_that_ends_well_when_it_is_tried_again_is_free_everywhere(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(number, number + 1, DIGEST)
            await asyncio.sleep(1.0)
            fleet.end_refusals(DIGEST)
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            await asyncio.sleep(1.0)
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            daemons = [*fleet.daemons, *successors.daemons]
            self.assertEqual(
                [daemon.state.crashes.crash_count(DIGEST) for daemon in daemons], [0] * 5
            )
            successors.kill()

        among(3, scenario)

    def test_a_body_that_many_send_is_not_refused_when_all_replicas_end(self) -> None:
        """It was on three replicas that ended within a second, and there was no fourth to run it.

        Seen in a soak: it had ended well 20 times in the second before, the last time 0.1 s before
        the first end, and 722 requests with that body were refused for the rest of the run.
        """

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
                self.assertEqual(fleet.refusing(DIGEST), 0)
            await asyncio.sleep(2.0)
            self.assertEqual(fleet.refusing(DIGEST), 0)
            self.assertEqual(refusals(store), [])

        among(3, scenario)

    def test_a_refusal_that_was_stored_too_soon_is_taken_back(self) -> None:
        """Three replicas end within some milliseconds: whoever knows better is heard after that."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(0, number + 1, DIGEST)
            await asyncio.sleep(2.5)
            self.assertEqual(fleet.refusing(DIGEST), 0)
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            self.assertEqual(successors.refusing(DIGEST), 0)
            successors.kill()

        among(3, scenario)

    def test_one_that_ended_well_long_before_is_refused_as_any_other(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            fleet.daemons[1].state.crashes.record_success(DIGEST)
            await asyncio.sleep(5.0)
            for number in range(CRASHES_TO_REFUSE):
                fleet.end(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
            self.assertEqual(fleet.refusing(DIGEST), 3)

        among(3, scenario)

    def test_a_cleared_end_is_not_told_again_beside_a_later_one(self) -> None:
        """Many send the same request: its runs end well, and break with replicas, in turn.

        Seen in a soak: ends that had been cleared were repeated while a newer one stood, and
        counted with it: "request_suspected ends=2", "ends=3" for a body that half of all sent. The
        run that ends well is another daemon's here, which all hear of.
        """

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            def clear() -> None:
                for daemon in fleet.daemons:
                    daemon.state.crashes.handle_cleared(DIGEST)

            for number in range(6):
                fleet.end(0, number + 1, DIGEST)
                await asyncio.sleep(0.3)
                clear()
                await asyncio.sleep(0.3)
                worst = max(daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons)
                self.assertEqual(worst, 0)
                fleet.end(0, 100 + number, DIGEST)
                await asyncio.sleep(0.5)
                worst = max(daemon.state.crashes.crash_count(DIGEST) for daemon in fleet.daemons)
                self.assertEqual(worst, 1)
                clear()
                await asyncio.sleep(0.2)

        among(3, scenario)

    def test_an_entry_that_nobody_can_read_refuses_nothing(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            for number, value in enumerate(
                (b"\xff\xfe", b"{}", b'{"digest": "QQ==", "refused_ms": 1, "times": 1}')
            ):
                store.put(f"winchfork/refused/{number:03x}", value)
            await asyncio.sleep(1.0)
            for daemon in fleet.daemons:
                self.assertEqual(daemon.state.crashes.ledger.refused_count, 0)
                self.assertEqual(daemon.state.metrics.documents_refused.value, 3)
                self.assertLess(daemon.age_s(), 3.0)

        among(3, scenario)
