"""A zone that is partitioned from the others while callers can still reach it."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from tests.large_fleet import LargeFleet, run_in_large_fleet
from tests.peer_support import Daemon
from tests.relay_support import (
    HANG_TIMEOUT_S,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    caller_request,
    chunk,
    event,
    never_answering,
    read_answer,
    stream_head,
)
from winchfork.core.routing import RouteKind
from winchfork.core.zone_reachability import (
    HUB_REPORT_TTL_S,
    MIN_FAILED_REPLICAS,
    SILENCE_TIMEOUT_S,
    ZoneReachability,
)


class ZoneReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = ZoneReachability("z1")
        for zone in ("z1", "z2", "z3"):
            self.reachability.record_message(zone, 10.0)

    def fail_replicas(self, zone: str, count: int, now_s: float) -> None:
        for number in range(count):
            self.reachability.record_failure(zone, number, now_s)

    def test_silent_zone_with_failed_replicas_is_unreachable(self) -> None:
        late_s = 10.0 + SILENCE_TIMEOUT_S + 0.1
        self.fail_replicas("z2", MIN_FAILED_REPLICAS, late_s)
        self.assertEqual(self.reachability.detect_unreachable(late_s), {"z2"})

    def test_silent_zone_without_failed_replicas_stays_in_use(self) -> None:
        self.assertEqual(self.reachability.detect_unreachable(60.0), frozenset())

    def test_failed_replicas_do_not_make_a_zone_that_sends_unreachable(self) -> None:
        self.fail_replicas("z2", 9, 10.1)
        self.assertEqual(self.reachability.detect_unreachable(10.2), frozenset())

    def test_one_message_makes_a_zone_reachable_again(self) -> None:
        self.fail_replicas("z2", MIN_FAILED_REPLICAS, 12.0)
        self.assertTrue(self.reachability.detect_unreachable(12.0))
        self.reachability.record_message("z2", 12.1)
        self.assertFalse(self.reachability.detect_unreachable(14.0))

    def test_hub_report_expires(self) -> None:
        self.assertEqual(self.reachability.adopt(("z2",), 10.0, is_isolated=True), {"z2"})
        self.assertEqual(self.reachability.adopt(("z2",), 10.5, is_isolated=True), frozenset())
        self.assertTrue(self.reachability.is_isolated(10.6))
        self.assertEqual(self.reachability.unreachable(10.5 + HUB_REPORT_TTL_S), frozenset())
        self.assertFalse(self.reachability.is_isolated(10.5 + HUB_REPORT_TTL_S))

    def test_zone_that_knows_no_other_is_not_isolated(self) -> None:
        self.assertFalse(ZoneReachability("z1").detect_isolated(99.0, 1.0))
        self.assertTrue(self.reachability.detect_isolated(99.0, 1.0))


def partition_zone(fleet: LargeFleet, zone: str) -> list[Daemon]:
    """Partition a zone from the other zones and from the store; return its daemons."""
    inside = [daemon for daemon in fleet.daemons if daemon.state.settings.zone == zone]
    ips = {daemon.ip for daemon in inside}
    fleet.network.drop = lambda sender, receiver: (sender in ips) != (receiver in ips)
    for daemon in inside:
        daemon.store.cut = True
    return inside


def heal(fleet: LargeFleet) -> None:
    fleet.network.drop = lambda sender, receiver: False
    for daemon in fleet.daemons:
        daemon.store.cut = False


def fail_replicas(daemons: list[Daemon], zone: str) -> None:
    """Let two of the daemons, and a peer that each asks, not reach the zone's replicas."""
    for daemon in daemons[:2]:
        for replica in daemon.state.fleet.replicas():
            if replica.listing.zone == zone:
                daemon.state.record_unreachable(replica, "silent", confirmed=True)


class ZonePartitionTest(unittest.TestCase):
    def in_fleet(self, scenario: Callable[[LargeFleet], object]) -> None:
        async def with_replicas(fleet: LargeFleet) -> None:
            for number in range(6):
                zone = ("z1", "z2", "z3")[number % 3]
                fleet.put_replica(
                    f"r-{number}", Service="s", Zone=zone, Address=f"10.9.0.{number}:1"
                )
            await asyncio.sleep(1.0)
            await scenario(fleet)  # type: ignore[misc]

        run_in_large_fleet(with_replicas)

    def test_all_daemons_avoid_unreachable_zones_until_the_partition_ends(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            inside = partition_zone(fleet, "z2")
            outside = [daemon for daemon in fleet.daemons if daemon not in inside]
            await asyncio.sleep(0.8)
            fail_replicas(inside, "z1")
            fail_replicas(inside, "z3")
            fail_replicas(outside, "z2")
            await asyncio.sleep(0.4)
            for daemon in inside:
                zones = {
                    item.listing.zone
                    for item in daemon.state.replica_selector.candidates("s", set())
                }
                self.assertEqual(zones, {"z2"})
            for daemon in outside:
                zones = {
                    item.listing.zone
                    for item in daemon.state.replica_selector.candidates("s", set())
                }
                self.assertNotIn("z2", zones)
            heal(fleet)
            await asyncio.sleep(1.0)
            for daemon in fleet.daemons:
                found = {
                    item.replica_id for item in daemon.state.replica_selector.candidates("s", set())
                }
                self.assertTrue({f"r-{number}" for number in range(6)} <= found)

        self.in_fleet(scenario)

    def test_partitioned_zone_reports_not_ready_before_its_keys_expire(self) -> None:
        """Callers' entry points need some seconds to react, during which requests are served."""

        async def scenario(fleet: LargeFleet) -> None:
            inside = partition_zone(fleet, "z2")
            outside = [daemon for daemon in fleet.daemons if daemon not in inside]
            await asyncio.sleep(2.3)
            self.assertFalse(any(daemon.state.ready for daemon in inside))
            self.assertTrue(all(daemon.state.api_keys_fresh for daemon in inside))
            self.assertTrue(all(daemon.state.ready for daemon in outside))
            heal(fleet)
            await asyncio.sleep(1.5)
            self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))

        self.in_fleet(scenario)

    def test_daemons_stay_ready_when_the_store_is_down_for_all(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            fleet.store.down = True
            await asyncio.sleep(3.0)
            self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))

        self.in_fleet(scenario)


class OpenAnswersOfLostZoneTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.silent = ScriptedReplica(never_answering)
        self.other = ScriptedReplica(self.stream)
        await self.silent.start()
        await self.other.start()

    async def asyncTearDown(self) -> None:
        await self.silent.stop()
        await self.other.stop()

    @staticmethod
    async def stream(
        request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(stream_head(request) + chunk(event(1)) + chunk(b"") + b"")
        await writer.drain()
        return True

    async def relay_to_silent_replica(
        self, *, resumable: bool
    ) -> tuple[RelayUnderTest, asyncio.StreamReader]:
        relay = RelayUnderTest(kind=RouteKind.STREAMING, resumable=resumable, max_attempts=2)
        relay.configure()
        relay.add(self.silent, "i-far", zone="z2")
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        reader, writer = await relay.connect()
        self.addCleanup(writer.close)
        writer.write(caller_request(method="POST", body=b"x"))
        while not self.silent.received:
            await asyncio.sleep(0.01)
        relay.add(self.other, "i-near", zone="z1")
        await asyncio.sleep(0.4)
        return relay, reader

    async def test_resumable_stream_moves_at_once_when_its_zone_is_lost(self) -> None:
        """Guards against waiting for the connection to time out."""
        relay, reader = await self.relay_to_silent_replica(resumable=True)
        relay.state.zone_outage_handler.update_reachability(("z2",), is_isolated=False)
        answer = await asyncio.wait_for(read_answer(reader), HANG_TIMEOUT_S)
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.other.received), 1)

    async def test_request_that_may_run_only_once_stays_on_its_replica(self) -> None:
        relay, _ = await self.relay_to_silent_replica(resumable=False)
        relay.state.zone_outage_handler.update_reachability(("z2",), is_isolated=False)
        await asyncio.sleep(0.1)
        self.assertEqual(self.other.received, [])
        self.assertFalse(self.silent.closed_by_router.is_set())

    async def test_failures_of_other_kinds_abort_no_answer(self) -> None:
        """A long wait for an answer does not show that its replica has failed."""
        relay, _ = await self.relay_to_silent_replica(resumable=True)
        replica = relay.state.fleet.get("i-far")
        assert replica is not None
        for reporter in ("n8", "n9"):
            relay.state.record_failure_report(replica.incarnation_hash, reporter)
        relay.state.record_failure(replica, "did not come up", certain=True)
        await asyncio.sleep(0.65)
        relay.service.sweep(relay.state.clock())
        await asyncio.sleep(0.05)
        self.assertEqual(self.other.received, [])
        self.assertFalse(self.silent.closed_by_router.is_set())

    async def test_stopping_daemon_moves_no_answer(self) -> None:
        """Guards against a stream that is moved in a planned stop, refused and truncated."""
        relay, _ = await self.relay_to_silent_replica(resumable=True)
        relay.state.stopping = True
        replica = relay.state.fleet.get("i-far")
        assert replica is not None
        relay.state.zone_outage_handler.update_reachability(("z2",), is_isolated=False)
        relay.state.on_unresponsive(replica)
        replica.loading_until_s = relay.state.clock() + 1.5
        await asyncio.sleep(0.1)
        self.assertEqual(self.other.received, [])
        self.assertFalse(self.silent.closed_by_router.is_set())

    async def test_open_answers_of_a_replica_that_falls_silent_are_moved(self) -> None:
        relay, reader = await self.relay_to_silent_replica(resumable=True)
        replica = relay.state.fleet.get("i-far")
        assert replica is not None
        relay.state.on_unresponsive(replica)
        answer = await asyncio.wait_for(read_answer(reader), HANG_TIMEOUT_S)
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
