"""All daemons count the bound on replaced weights from the same time. Virtual time.

Guards against a daemon that restarts the bound because it alone lost the store, and so keeps using
replaced weights for too long. Only a store outage for the whole fleet may restart the bound.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.virtual_loop import run_virtually
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.member import Probe
from winchfork.core.store_outage import MAX_WATCH_S, StoreOutage, StoreOutageDetector
from winchfork.core.store_position import StorePosition
from winchfork.router.settings import RouterBounds
from winchfork.router.store_sync import LATE_ANSWER_S, START_GRACE_S

DAEMONS = 5
MODEL = "daka510000"
BOUND_S = 8.0
BOUNDS = RouterBounds(weights_s=BOUND_S)
#: Time from the end of an outage until the bound is counted again.
STABILIZATION_S = 2.5
#: How much earlier than the bound a daemon may stop using old weights.
TOLERANCE_S = 0.8
#: How much later it may: the delay of a store's answer.
ANSWER_DELAY_S = 0.05


class FollowingFleet:
    """Daemons that follow one store."""

    def __init__(self, daemons: int = DAEMONS) -> None:
        self.store = MemoryStore()
        self.network = Network()
        self.daemons = [
            Daemon(self.network, number, store=self.store, bounds=BOUNDS)
            for number in range(1, daemons + 1)
        ]
        for daemon in self.daemons:
            daemon.follow()
        self.named_s = 0.0

    def name(self, version: int) -> None:
        document = json.dumps({"Model": MODEL, "Version": version}).encode()
        self.store.put(f"op/version/{MODEL}", document)
        self.named_s = asyncio.get_running_loop().time()

    async def fail_a_call(self, daemon: Daemon) -> None:
        """Make one read of a daemon fail; the store answers it again at once."""
        reads = daemon.store.reads
        daemon.store.cut = True
        while daemon.store.reads == reads:
            await asyncio.sleep(0.01)
        daemon.store.cut = False

    def cut_off(self, daemon: Daemon) -> None:
        """Cut one daemon off from the store and from its peers."""
        self.network.drop = lambda sender, receiver: daemon.ip in (sender, receiver)
        daemon.store.cut = True

    def reconnect(self, daemon: Daemon) -> None:
        """Undo :meth:`cut_off`."""
        self.network.drop = lambda sender, receiver: False
        daemon.store.cut = False

    def allowed_s(self, daemon: Daemon) -> float:
        """Return how long after the naming of version 2 a daemon still allows version 1."""
        return daemon.state.weights_versions[MODEL].expires_at_s(1, BOUND_S) - self.named_s


def follow(scenario: Callable[[FollowingFleet], Awaitable[None]], daemons: int = DAEMONS) -> None:
    async def main() -> None:
        fleet = FollowingFleet(daemons)
        await asyncio.sleep(4.0)
        fleet.name(2)
        await asyncio.sleep(1.0)
        await scenario(fleet)

    run_virtually(main())


class BoundsTestCase(unittest.TestCase):
    def assert_near_bound(self, allowed_s: float) -> None:
        self.assertGreater(allowed_s, BOUND_S - TOLERANCE_S)
        self.assertLess(allowed_s, BOUND_S + ANSWER_DELAY_S)


class SlowStartTest(unittest.TestCase):
    """Guards against a grace period that counts from the first list instead of the process start.

    A slow start would then extend the use of replaced weights.
    """

    def test_the_start_grace_counts_from_the_start_of_the_process(self) -> None:
        for took_s in (0.0, 0.3, 2.9, 5.0):
            granted_s = run_virtually(self.granted_s(took_s))
            self.assertAlmostEqual(granted_s, max(0.0, START_GRACE_S - took_s), delta=0.05)

    async def granted_s(self, took_s: float) -> float:
        """Return how long a daemon allows replaced weights after a start that took ``took_s``."""
        store = MemoryStore()
        document = json.dumps({"Model": MODEL, "Version": 3}).encode()
        store.put(f"op/version/{MODEL}", document)
        await asyncio.sleep(2 * BOUND_S)
        daemon = Daemon(Network(), 1, store=store, bounds=BOUNDS)
        daemon.state.started_at_s -= took_s
        ready_s = daemon.state.clock()
        daemon.follow()
        while MODEL not in daemon.state.weights_versions:
            await asyncio.sleep(0.01)
        return daemon.state.weights_versions[MODEL].expires_at_s(2, BOUND_S) - ready_s


class BoundsTest(BoundsTestCase):
    def test_a_single_failed_call_of_one_daemon_restarts_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            await fleet.fail_a_call(fleet.daemons[0])
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                self.assert_near_bound(fleet.allowed_s(daemon))

        follow(scenario)

    def test_a_store_that_rejects_one_daemon_restarts_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            fleet.daemons[0].store.cut = True
            await asyncio.sleep(4.5)
            fleet.daemons[0].store.cut = False
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                self.assert_near_bound(fleet.allowed_s(daemon))

        follow(scenario)

    def test_failures_of_one_daemon_are_no_outage_while_a_change_ends_all_watches(self) -> None:
        """Guards against proofs that get so old in a healthy fleet that they suggest an outage."""

        async def scenario(fleet: FollowingFleet) -> None:
            await asyncio.sleep(2.05)
            fleet.daemons[0].store.cut = True
            await asyncio.sleep(0.1)
            fleet.store.put("op/other", b"x")
            await asyncio.sleep(1.2)
            fleet.daemons[0].store.cut = False
            await asyncio.sleep(3.0)
            for daemon in fleet.daemons:
                self.assert_near_bound(fleet.allowed_s(daemon))

        follow(scenario)

    def test_proofs_in_a_healthy_fleet_stay_more_recent_than_in_an_outage(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            oldest_s = 0.0
            for number in range(400):
                if number % 63 == 0:
                    fleet.store.put("op/other", bytes(number))
                await asyncio.sleep(0.05)
                oldest_s = max(oldest_s, *(daemon.age_s() for daemon in fleet.daemons))
            self.assertLess(oldest_s, MAX_WATCH_S - LATE_ANSWER_S)

        follow(scenario)

    def test_an_outage_for_all_daemons_restarts_the_bound_on_all(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            fleet.store.down = True
            await asyncio.sleep(4.5)
            fleet.store.down = False
            outage_end_s = asyncio.get_running_loop().time() - fleet.named_s
            await asyncio.sleep(3.0)
            expected_s = outage_end_s + STABILIZATION_S + BOUND_S
            latest_s = outage_end_s + BOUNDS.contact_s + BOUND_S
            for daemon in fleet.daemons:
                self.assertGreater(fleet.allowed_s(daemon), expected_s - TOLERANCE_S)
                self.assertLess(fleet.allowed_s(daemon), latest_s)

        follow(scenario)

    def test_all_peers_of_a_small_fleet_are_probed_while_the_store_does_not_answer(self) -> None:
        """Heartbeats alone probe only one peer each half second."""

        async def scenario(fleet: FollowingFleet) -> None:
            prober = fleet.daemons[0]
            probed: set[str] = set()

            def record_probe(sender: str, receiver: str, data: bytes) -> None:
                if sender == prober.ip and isinstance(prober.peers._codec.decode(data), Probe):
                    probed.add(receiver)

            fleet.network.on_sent = record_probe
            prober.store.cut = True
            while not prober.state.store_outage.is_suspected:
                await asyncio.sleep(0.01)
            probed.clear()
            await asyncio.sleep(0.45)
            self.assertEqual(probed, {daemon.ip for daemon in fleet.daemons[1:]})

        follow(scenario)

    def test_an_isolated_daemon_restarts_no_bound(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            await asyncio.sleep(4.5)
            fleet.reconnect(isolated)
            await asyncio.sleep(2.0)
            self.assert_near_bound(fleet.allowed_s(isolated))

        follow(scenario)


class SeparateFailuresTest(BoundsTestCase):
    """No daemon reaches the store for a while, each for its own reason, but the store is up.

    Guards against an outage that is assumed because a single peer confirms it. More than half of
    the peers have to, and late replies do not count.
    """

    def test_one_peer_that_was_rejected_too_does_not_confirm_an_outage(self) -> None:
        async def scenario(fleet: FollowingFleet) -> None:
            *rejected, stalled = fleet.daemons
            for daemon in rejected:
                daemon.store.cut = True
            stall = asyncio.create_task(stalled.stall(3.2, fleet.network))
            await asyncio.sleep(0.8)
            fleet.name(3)
            await stall
            await asyncio.sleep(0.3)
            for daemon in rejected:
                daemon.store.cut = False
            await asyncio.sleep(2.0)
            for daemon in fleet.daemons:
                allowed_s = (
                    daemon.state.weights_versions[MODEL].expires_at_s(2, BOUND_S) - fleet.named_s
                )
                self.assertLess(allowed_s, BOUND_S + ANSWER_DELAY_S, daemon.ip)

        follow(scenario, daemons=3)


class StoreOutageDetectorTest(unittest.TestCase):
    """The findings of one daemon whose last proof dates from 100 s."""

    def setUp(self) -> None:
        self.detector = StoreOutageDetector(90.0, has_peers=True)
        self.detector.record_answer(100.0)

    def fail_twice(self, first_s: float) -> None:
        self.detector.record_failure(first_s - 1.0, first_s)
        self.detector.record_failure(first_s + 0.1, first_s + 0.2)

    def test_three_findings_together_show_an_outage(self) -> None:
        self.fail_twice(101.0)
        self.detector.record_peer_reply("n2", 99.5, asked_s=102.6, replied_s=102.6)
        self.detector.record_answer(104.0)
        self.assertEqual(self.detector.pop_ended(), StoreOutage(100.0, 104.0))
        self.assertIsNone(self.detector.pop_ended())

    def test_a_failed_call_that_spans_a_stall_does_not_count(self) -> None:
        self.detector.record_failure(100.0, 104.0)
        self.detector.record_peer_reply("n2", 99.5, asked_s=104.0, replied_s=104.0)
        self.detector.record_answer(104.1)
        self.assertIsNone(self.detector.pop_ended())

    def test_a_peer_that_reached_the_store_meanwhile_rules_an_outage_out(self) -> None:
        self.fail_twice(101.0)
        self.detector.record_peer_reply("n2", 102.0, asked_s=102.6, replied_s=102.6)
        self.detector.record_answer(104.0)
        self.assertIsNone(self.detector.pop_ended())

    def test_a_peer_whose_watch_may_still_be_waiting_does_not_count(self) -> None:
        self.fail_twice(101.0)
        self.detector.record_peer_reply("n2", 99.5, asked_s=102.0, replied_s=102.0)
        self.detector.record_answer(104.0)
        self.assertIsNone(self.detector.pop_ended())

    def test_enough_peers_have_to_agree_and_late_replies_do_not_count(self) -> None:
        for agreeing, reply_s, is_outage in ((1, 0.0, False), (2, 0.0, True), (2, 0.6, False)):
            detector = StoreOutageDetector(90.0, has_peers=True)
            detector.peers_needed = 2
            detector.record_answer(100.0)
            detector.record_failure(100.0, 101.0)
            detector.record_failure(101.1, 101.2)
            for asked_s in (102.6, 103.0):
                for peer in range(agreeing):
                    replied_s = asked_s + (reply_s if peer else 0.0)
                    detector.record_peer_reply(f"n{peer}", 99.5, asked_s, replied_s)
            detector.record_answer(104.0)
            self.assertIs(detector.pop_ended() is not None, is_outage, (agreeing, reply_s))

    def test_the_outage_ends_with_the_first_proof_of_a_peer(self) -> None:
        self.fail_twice(101.0)
        self.detector.record_peer_reply("n2", 99.5, asked_s=102.6, replied_s=102.6)
        self.detector.record_peer_reply("n2", 103.5, asked_s=103.6, replied_s=103.6)
        self.detector.record_answer(104.0)
        self.assertEqual(self.detector.pop_ended(), StoreOutage(100.0, 103.5))

    def test_a_daemon_without_peers_takes_a_short_failure_for_no_outage(self) -> None:
        for answered_s, is_outage in ((102.4, False), (102.6, True)):
            alone = StoreOutageDetector(90.0, has_peers=False)
            alone.record_answer(100.0)
            alone.record_failure(100.0, 100.5)
            alone.record_failure(100.6, 100.7)
            alone.record_answer(answered_s)
            self.assertIs(alone.pop_ended() is not None, is_outage)

    def test_a_second_failed_call_that_spans_a_stall_does_not_count(self) -> None:
        self.detector.record_failure(100.0, 101.0)
        self.detector.record_failure(101.1, 104.0)
        self.detector.record_peer_reply("n2", 99.5, asked_s=104.0, replied_s=104.0)
        self.detector.record_answer(104.1)
        self.assertIsNone(self.detector.pop_ended())

    def test_a_failure_before_a_peers_proof_is_forgotten(self) -> None:
        self.detector.record_failure(99.0, 101.0)
        self.detector.record_peer_reply("n2", 101.5, asked_s=101.6, replied_s=101.6)
        self.assertFalse(self.detector.is_suspected)
        self.detector.record_failure(158.0, 160.6)
        self.detector.record_peer_reply("n2", 101.0, asked_s=161.0, replied_s=161.0)
        self.detector.record_answer(163.0)
        self.assertIsNone(self.detector.pop_ended())

    def test_a_daemon_that_starts_during_an_outage_gets_its_start_from_peers(self) -> None:
        detector = StoreOutageDetector(102.0, has_peers=True)
        detector.record_peer_reply("n2", 99.5, asked_s=102.1, replied_s=102.1)
        detector.record_failure(102.0, 102.1)
        detector.record_failure(102.3, 102.4)
        detector.record_peer_reply("n2", 99.5, asked_s=102.5, replied_s=102.5)
        detector.record_answer(103.0)
        self.assertEqual(detector.pop_ended(), StoreOutage(99.5, 103.0))


class NamedDuringDisconnectionTest(BoundsTestCase):
    """Guards against a bound that starts only when a disconnected daemon learns of a version."""

    def test_a_version_named_while_a_daemon_was_cut_off_is_not_dated_later(self) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            late = fleet.daemons[0]
            fleet.cut_off(late)
            await asyncio.sleep(2.0)
            fleet.name(2)
            await asyncio.sleep(3.0)
            fleet.reconnect(late)
            await asyncio.sleep(1.5)
            self.assertLess(fleet.allowed_s(late), BOUND_S + ANSWER_DELAY_S)
            self.assertGreater(fleet.allowed_s(late), BOUND_S - 2.0 - TOLERANCE_S - 1.6)

        run_virtually(main())

    def test_entries_of_the_first_watch_after_failures_are_not_dated_now(self) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            await asyncio.sleep(1.8)
            fleet.name(2)
            await asyncio.sleep(1.5)
            isolated.store.cut = False
            while MODEL not in isolated.state.weights_versions:
                await asyncio.sleep(0.005)
            self.assertLess(fleet.allowed_s(isolated), BOUND_S + 0.1)

        run_virtually(main())

    def test_a_relayed_update_after_a_disconnection_is_not_dated_now(self) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            await asyncio.sleep(3.0)
            known = isolated.state.store_position
            later = StorePosition(known.era, known.revision + 1)
            document = json.dumps({"Model": MODEL, "Version": 2}).encode()
            named = TableItem(f"op/version/{MODEL}", later.revision, document)
            isolated.sync.install_update(TableUpdate(known, later, False, False, (named,)))
            left_s = (
                isolated.state.weights_versions[MODEL].expires_at_s(1, BOUND_S)
                - isolated.state.clock()
            )
            self.assertLess(left_s, BOUND_S - isolated.age_s() + 0.1)

        run_virtually(main())

    def test_entries_after_a_short_disconnection_are_dated_by_the_last_proof(self) -> None:
        """Guards against a start grace that counts from the end of a disconnection.

        A daemon that has listed before knows all entries up to its last proof.
        """

        async def main() -> None:
            fleet = FollowingFleet()
            short_s = 4.0
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            bounds = msgspec.structs.replace(isolated.state.settings.bounds, weights_s=short_s)
            isolated.state.settings = msgspec.structs.replace(
                isolated.state.settings, bounds=bounds
            )
            fleet.cut_off(isolated)
            await asyncio.sleep(0.1)
            fleet.name(2)
            await asyncio.sleep(2.3)
            isolated.store.cut = False
            while MODEL not in isolated.state.weights_versions:
                await asyncio.sleep(0.005)
            allowed_s = (
                isolated.state.weights_versions[MODEL].expires_at_s(1, short_s) - fleet.named_s
            )
            self.assertLess(allowed_s, short_s + 0.1)

        run_virtually(main())

    def test_an_assumed_date_is_not_reported_to_peers_as_exact(self) -> None:
        """Guards against peers that adopt a disconnected daemon's early date."""

        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            await asyncio.sleep(5.8)
            fleet.name(2)
            await asyncio.sleep(0.2)
            fleet.reconnect(isolated)
            await asyncio.sleep(3.0)
            for daemon in fleet.daemons[1:]:
                self.assert_near_bound(fleet.allowed_s(daemon))
            self.assertLess(fleet.allowed_s(isolated), BOUND_S + ANSWER_DELAY_S)

        run_virtually(main())

    def test_a_version_named_during_a_stall_is_not_dated_later(self) -> None:
        """Covers a pending answer with the version, and one with another change before it."""
        for other_change in (False, True):
            with self.subTest(other_change=other_change):
                self._name_during_a_stall(other_change)

    def test_a_version_named_during_a_short_stall_is_not_dated_later(self) -> None:
        """Guards against a date from when a busy process reads an answer that has long arrived."""

        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            stalled = fleet.daemons[0]
            stall = asyncio.create_task(stalled.stall(0.7, fleet.network))
            await asyncio.sleep(0.05)
            fleet.name(2)
            await stall
            await asyncio.sleep(0.5)
            self.assertLess(fleet.allowed_s(stalled), BOUND_S + ANSWER_DELAY_S)

        run_virtually(main())

    def _name_during_a_stall(self, other_change: bool) -> None:
        async def main() -> None:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            stalled = fleet.daemons[0]
            stall = asyncio.create_task(stalled.stall(3.0, fleet.network))
            await asyncio.sleep(0.2)
            if other_change:
                fleet.store.put("op/other", b"x")
            await asyncio.sleep(0.1)
            fleet.name(2)
            await stall
            await asyncio.sleep(0.5)
            self.assertLess(fleet.allowed_s(stalled), BOUND_S + ANSWER_DELAY_S)

        run_virtually(main())
