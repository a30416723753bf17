"""Tests placement and copies of cached parts in a deployment of two regions."""

from __future__ import annotations

import random
import unittest

from tests.test_relay_placement import SCOPE, fleet_of, prompt
from winchfork.core.part_index import PartIndex, shared_keys
from winchfork.core.placement_request import CacheStoreChoice, PromptPlacementRequest, RelayDecision
from winchfork.core.region_delay import PRIOR_ROUND_TRIP_S, RegionDelay
from winchfork.core.region_map import Distance, RegionMap
from winchfork.core.relay_placement import place_prompt
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import CacheStore, EngineProfile, RoutingTable, Service
from winchfork.core.task_placement import TaskPlacementRequest, place_task
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState

REGIONS = RegionMap({"a1": "a", "a2": "a", "b1": "b", "b2": "b"})
ZONES = ("a1", "a2", "b1", "b2")
#: Tokens per second. A copy within a zone takes half as long as a prefill, one between regions five
#: times as long.
PREFILL_RATE = 50_000.0
COPY_RATE = 106_000.0
CROSS_REGION_COST_S = 0.09


def place(
    replicas: list[RelayReplica],
    index: PartIndex | None = None,
    family: str = "f",
    zone: str = "a1",
    stores: dict[str, CacheStoreChoice] | None = None,
) -> RelayDecision:
    request = PromptPlacementRequest(
        prompt(family),
        SCOPE,
        zone,
        copy_tokens_per_s=COPY_RATE,
        prefill_tokens_per_s=PREFILL_RATE,
        stores=stores or {},
        regions=REGIONS,
        cross_region_cost_s=CROSS_REGION_COST_S,
    )
    sources = [*replicas, *(choice.store for choice in (stores or {}).values())]
    decision = place_prompt(request, replicas, sources, index or PartIndex())
    assert decision is not None
    return decision


class RegionMapTest(unittest.TestCase):
    def test_distances(self) -> None:
        self.assertIs(REGIONS.distance("a1", "a1"), Distance.SAME_ZONE)
        self.assertIs(REGIONS.distance("a1", "a2"), Distance.SAME_REGION)
        self.assertIs(REGIONS.distance("a1", "b1"), Distance.OTHER_REGION)
        self.assertEqual(REGIONS.regions_among(("b2", "a1", "b1")), ["a", "b"])

    def test_a_zone_without_a_region_counts_as_the_same_region(self) -> None:
        self.assertIs(REGIONS.distance("a1", "new"), Distance.SAME_REGION)
        self.assertFalse(REGIONS.is_cross_region("new", "b1"))


class HomesTest(unittest.TestCase):
    def test_a_family_has_a_home_in_each_region_and_is_placed_in_the_callers(self) -> None:
        """Guards against a single home, for which half of all prompts cross regions."""
        replicas = fleet_of(12, ZONES)
        for number in range(20):
            family = f"f{number}"
            homes: dict[str, set[str]] = {}
            for zone in ZONES:
                chosen = place(replicas, family=family, zone=zone).replica
                self.assertFalse(REGIONS.is_cross_region(zone, chosen.listing.zone))
                homes.setdefault(REGIONS.region_of(zone), set()).add(chosen.replica_id)
            self.assertEqual({region: len(ids) for region, ids in homes.items()}, {"a": 1, "b": 1})

    def test_prompts_cross_regions_when_only_their_own_has_a_queue(self) -> None:
        replicas = fleet_of(8, ZONES)
        for replica in replicas:
            if replica.listing.zone.startswith("a"):
                replica.peer_pending_prefill_tokens = int(0.4 * PREFILL_RATE)
        self.assertTrue(place(replicas).replica.listing.zone.startswith("b"))

    def test_a_region_without_replicas_is_served_by_the_other(self) -> None:
        replicas = fleet_of(8, ("b1", "b2"))
        self.assertEqual(place(replicas, zone="a1").replica, place(replicas, zone="b1").replica)

    def test_a_task_crosses_regions_only_if_it_saves_more_than_the_round_trip(self) -> None:
        replicas = fleet_of(2, ("a1", "b1"))
        replicas[0].in_flight = 8
        task = TaskPlacementRequest("a1", 0.0, REGIONS, cross_region_cost_s=0.03)
        near = place_task(task, replicas)
        assert near is not None
        self.assertEqual(near.replica.listing.zone, "a1")
        replicas[0].in_flight = 32
        far = place_task(task, replicas)
        assert far is not None
        self.assertEqual(far.replica.listing.zone, "b1")


class CopiesTest(unittest.TestCase):
    def test_nothing_is_copied_from_another_region_if_prefill_is_faster(self) -> None:
        """Guards against underestimating the time of copies between regions."""
        replicas, index = fleet_of(4, ZONES), PartIndex()
        keys = shared_keys(SCOPE, prompt("f"), 1)
        for replica in replicas:
            if replica.listing.zone.startswith("b"):
                index.record_cached(keys, replica.incarnation_hash, 1.0)
        decision = place(replicas, index)
        self.assertEqual(REGIONS.region_of(decision.replica.listing.zone), "a")
        self.assertIsNone(decision.copy_from)
        self.assertEqual(decision.prefill_tokens, prompt("f").prompt_tokens)

    def test_the_nearest_of_several_replicas_is_copied_from(self) -> None:
        replicas, index = fleet_of(8, ZONES), PartIndex()
        keys = shared_keys(SCOPE, prompt("f"), 1)
        home = place(replicas).replica
        for replica in replicas:
            if replica is not home:
                index.record_cached(keys, replica.incarnation_hash, 1.0)
                replica.peer_pending_prefill_tokens = 100_000
        decision = place(replicas, index)
        self.assertIs(decision.replica, home)
        assert decision.copy_from is not None
        self.assertEqual(decision.copy_from.listing.zone, home.listing.zone)

    def test_the_store_of_the_replicas_region_is_queried_and_saved_to(self) -> None:
        replicas = fleet_of(8, ZONES)
        near, far = fleet_of(1, ("a1",))[0], fleet_of(2, ("a1", "b1"))[1]
        near.incarnation_hash, far.incarnation_hash = 1, 2
        both = {"a": CacheStoreChoice(near, COPY_RATE), "b": CacheStoreChoice(far, COPY_RATE)}
        decision = place(replicas, stores=both)
        self.assertIs(decision.copy_from, near)
        self.assertIs(decision.save_to, near)
        alone = place(replicas, stores={"b": CacheStoreChoice(far, COPY_RATE)})
        self.assertIsNone(alone.copy_from)
        self.assertIsNone(alone.save_to)

    def test_each_region_assigns_a_family_to_one_of_its_own_stores(self) -> None:
        zones = {"k1": "a1", "k2": "a2", "k3": "b1"}
        services = [
            Service(name, store=CacheStore(f"{name}:1", zone, 1000)) for name, zone in zones.items()
        ]
        engine = EngineProfile(12, 90_000, 327_680, 280_000.0, ("m",))
        settings = RouterSettings("n", "b2", "b", "", "", "", "", regions=REGIONS)
        state = RouterState(settings, lambda: 0.0, random.Random(1))
        state.install_table(RoutingTable(1, [], [Service("s", engine=engine), *services]))
        homes = [state.cache_store_choices("s", prompt(f"f{number}")) for number in range(40)]
        self.assertEqual({choices["b"].store.listing.address for choices in homes}, {"k3:1"})
        self.assertEqual(
            {choices["a"].store.listing.address for choices in homes}, {"k1:1", "k2:1"}
        )


class RegionDelayTest(unittest.TestCase):
    def test_the_cross_region_cost_follows_measured_round_trips(self) -> None:
        delay = RegionDelay()
        for _ in range(100):
            delay.record_reply(0.2)
        self.assertAlmostEqual(delay.round_trip_s, 0.2, places=2)
        self.assertGreater(delay.prompt_crossing_s, 0.5)

    def test_one_late_reply_has_little_effect(self) -> None:
        delay = RegionDelay()
        delay.record_reply(30.0)
        self.assertLess(delay.round_trip_s, 1.5 * PRIOR_ROUND_TRIP_S)


if __name__ == "__main__":
    unittest.main()
