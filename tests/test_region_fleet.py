"""Daemons in two regions: traffic between the regions, and partitions between them."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.test_platform_documents import CONFIGURATION
from tests.virtual_loop import run_virtually
from winchfork.core.member import Member
from winchfork.core.region_map import RegionMap
from winchfork.core.zone_hubs import HUBS_PER_REGION, FleetView
from winchfork.router.peer_messages import FailureReport

REGIONS = RegionMap({"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "b3": "b"})
DAEMONS = 42
STABILIZATION_S = 10.0


class TwoRegions:
    """Daemons in six zones of two regions, with a store that is near the first region."""

    def __init__(self) -> None:
        self.network = Network()
        self.store = MemoryStore()
        self.put_configuration(3)
        zones = REGIONS.zones
        self.daemons = [
            Daemon(self.network, number, zones[number % len(zones)], self.store, regions=REGIONS)
            for number in range(1, DAEMONS + 1)
        ]
        self.crossed_bytes = 0
        self.region_of_ip = {
            daemon.ip: REGIONS.region_of(daemon.state.settings.zone) for daemon in self.daemons
        }
        self.network.on_sent = self._count
        for daemon in self.daemons:
            delay_s = 0.001 if self.region_of_ip[daemon.ip] == "a" else 0.026
            daemon.peers.store_delay_s = lambda delay_s=delay_s: delay_s  # type: ignore[misc]
            daemon.follow()

    def _count(self, sender: str, receiver: str, data: bytes) -> None:
        if self.region_of_ip.get(sender) != self.region_of_ip.get(receiver):
            self.crossed_bytes += len(data)

    def put_configuration(self, version: int) -> None:
        document = {**CONFIGURATION, "Version": version}
        self.store.put("op/config", json.dumps(document).encode())

    def of_region(self, region: str) -> list[Daemon]:
        return [daemon for daemon in self.daemons if self.region_of_ip[daemon.ip] == region]

    def region_hubs(self, region: str) -> list[Daemon]:
        ids = [hub.member_id for hub in self.of_region(region)[0].peers.view.region_hubs]
        by_id = {daemon.state.settings.node_id: daemon for daemon in self.daemons}
        return [by_id[member_id] for member_id in ids]

    def kill(self, daemon: Daemon) -> None:
        daemon.kill(self.network)
        self.daemons.remove(daemon)

    def cut(self) -> None:
        """Drop all datagrams between the regions, and cut the second region off from the store."""
        region_of = self.region_of_ip
        self.network.drop = lambda sender, receiver: region_of[sender] != region_of[receiver]
        for daemon in self.of_region("b"):
            daemon.store.cut = True

    def heal(self) -> None:
        self.network.drop = lambda sender, receiver: False
        for daemon in self.daemons:
            daemon.store.cut = False

    def work_seen(self, daemons: list[Daemon], replica_id: str = "i-1") -> Counter[int]:
        """Count the daemons by the number of peers' requests that they see on a replica."""
        seen: Counter[int] = Counter()
        for daemon in daemons:
            daemon.state.fleet.refresh()
            replica = daemon.state.fleet.get(replica_id)
            assert replica is not None
            seen[replica.peer_in_flight] += 1
        return seen


def send_work(daemon: Daemon, requests: int, replica_id: str = "i-1") -> None:
    replica = daemon.state.fleet.get(replica_id)
    assert replica is not None
    for number in range(requests):
        replica.record_sent(number, 100, daemon.state.clock() + 30.0)
    daemon.state.on_work_sent()


def in_two_regions(scenario: Callable[[TwoRegions], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = TwoRegions()
        await asyncio.sleep(STABILIZATION_S)
        await scenario(fleet)

    run_virtually(main())


class RegionHubsTest(unittest.TestCase):
    def test_all_daemons_see_the_same_hubs_of_each_region(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            for region, other in (("a", "b"), ("b", "a")):
                seen = {
                    tuple(hub.member_id for hub in daemon.peers.view.region_hubs)
                    for daemon in fleet.of_region(region)
                } | {
                    tuple(hub.member_id for hub in daemon.peers.view.other_region_hubs)
                    for daemon in fleet.of_region(other)
                }
                self.assertEqual(len(seen), 1)
                self.assertEqual(len(seen.pop()), HUBS_PER_REGION)

        in_two_regions(scenario)

    def test_with_one_region_there_are_no_hubs_of_other_regions(self) -> None:
        members = [Member(f"n{number}", f"z{number % 3}", "", "", 1) for number in range(30)]
        view = FleetView.of(members[0], members)
        self.assertEqual(view.other_region_hubs, ())
        self.assertEqual(view.same_region_hubs, view.other_zone_hubs)

    def test_the_region_nearest_to_the_store_watches_it_and_leads(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            watchers = fleet.daemons[0].peers.view.watchers
            self.assertEqual({REGIONS.region_of(watcher.zone) for watcher in watchers}, {"a"})
            leaders = [daemon for daemon in fleet.daemons if daemon.leadership.fence]
            self.assertEqual(len(leaders), 1)
            self.assertEqual(fleet.region_of_ip[leaders[0].ip], "a")
            reads_before = {daemon.ip: daemon.store.reads for daemon in fleet.of_region("b")}
            fleet.put_configuration(4)
            await asyncio.sleep(0.2)
            versions = {
                daemon.state.routing_table.version
                for daemon in fleet.daemons
                if daemon.state.routing_table
            }
            self.assertEqual(versions, {4})
            for daemon in fleet.of_region("b"):
                self.assertEqual(daemon.store.reads, reads_before[daemon.ip])

        in_two_regions(scenario)


class ExchangeTest(unittest.TestCase):
    def test_the_work_of_one_region_is_known_in_the_other(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            senders = fleet.of_region("a")
            for daemon in senders:
                send_work(daemon, 2)
            await asyncio.sleep(0.6)
            self.assertEqual(fleet.work_seen(fleet.of_region("b")), Counter({42: 21}))
            self.assertEqual(fleet.work_seen(senders), Counter({40: 21}))

        in_two_regions(scenario)

    def test_traffic_between_busy_regions_is_bounded(self) -> None:
        """Guards against all hubs sending to all hubs of the other region on each tick."""

        async def scenario(fleet: TwoRegions) -> None:
            fleet.crossed_bytes = 0
            for step in range(40):
                for daemon in fleet.daemons:
                    send_work(daemon, 1, f"i-{1 + step % 2}")
                await asyncio.sleep(0.25)
            self.assertLess(fleet.crossed_bytes / 10.0, 30_000)

        in_two_regions(scenario)

    def test_the_second_region_hub_takes_over_when_the_first_is_lost(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            fleet.kill(fleet.region_hubs("a")[0])
            senders = fleet.of_region("a")
            for daemon in senders:
                send_work(daemon, 1)
            await asyncio.sleep(1.4)
            self.assertEqual(fleet.work_seen(fleet.of_region("b")), Counter({len(senders): 21}))

        in_two_regions(scenario)

    def test_a_broadcast_reaches_every_daemon_of_both_regions(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            received: Counter[str] = Counter()
            for daemon in fleet.daemons:
                daemon.peers.register_handler(
                    FailureReport,
                    lambda message, ip=daemon.ip: received.update([ip]),  # type: ignore[misc]
                )
            sender = next(item for item in fleet.daemons if not item.peers.view.is_hub)
            for _ in range(2):
                sender.peers.broadcast(FailureReport("n1", 7))
                await asyncio.sleep(1.0)
            others = {daemon.ip for daemon in fleet.daemons} - {sender.ip}
            self.assertEqual(set(received) - {sender.ip}, others)
            self.assertGreaterEqual(min(received[ip] for ip in others), 2)
            self.assertLessEqual(max(received.values()), 8)

        in_two_regions(scenario)


class PartitionTest(unittest.TestCase):
    def test_regions_continue_during_a_partition_and_recover_after_it(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            fleet.cut()
            for daemon in fleet.daemons:
                send_work(daemon, 1)
            await asyncio.sleep(3.0)
            self.assertEqual(fleet.work_seen(fleet.of_region("b")), Counter({20: 21}))
            self.assertTrue(all(daemon.state.ready for daemon in fleet.of_region("a")))
            await asyncio.sleep(3.0)
            self.assertFalse(any(daemon.state.ready for daemon in fleet.of_region("b")))
            fleet.put_configuration(9)
            fleet.heal()
            await asyncio.sleep(4.0)
            self.assertEqual(fleet.work_seen(fleet.of_region("b")), Counter({41: 21}))
            self.assertTrue(all(daemon.state.ready for daemon in fleet.daemons))
            versions = {
                daemon.state.routing_table.version
                for daemon in fleet.daemons
                if daemon.state.routing_table
            }
            self.assertEqual(versions, {9})

        in_two_regions(scenario)

    def test_a_lossy_link_delays_updates_but_loses_none(self) -> None:
        async def scenario(fleet: TwoRegions) -> None:
            region_of, turn = fleet.region_of_ip, iter(range(1_000_000))
            fleet.network.drop = lambda sender, receiver: (
                region_of[sender] != region_of[receiver] and next(turn) % 3 == 0
            )
            for daemon in fleet.of_region("a"):
                send_work(daemon, 1)
            for version in range(10, 14):
                fleet.put_configuration(version)
                await asyncio.sleep(1.5)
            self.assertEqual(fleet.work_seen(fleet.of_region("b")), Counter({21: 21}))
            versions = {
                daemon.state.routing_table.version
                for daemon in fleet.daemons
                if daemon.state.routing_table
            }
            self.assertEqual(versions, {13})

        in_two_regions(scenario)


if __name__ == "__main__":
    unittest.main()
