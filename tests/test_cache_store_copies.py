"""Tests copies from cache stores: lookups of unknown parts, copy rates and configuration."""

from __future__ import annotations

import random
import unittest

from tests.test_relay_placement import COPY_RATE, SCOPE, fleet_of, prompt, store_choices
from winchfork.core.part_index import PartIndex, shared_keys
from winchfork.core.placement_request import PromptPlacementRequest
from winchfork.core.prompt_parts import Prompt, PromptPart
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_placement import place_prompt
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import CacheStore, EngineProfile, RoutingTable, Service
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState

ENGINE = EngineProfile(64, 100_000, 20_000, 500_000.0, ("m",))


class UnknownPartsTest(unittest.TestCase):
    def test_a_daemon_without_data_queries_the_store(self) -> None:
        """Guards against repeated prefill of stored parts after a restart of the daemon."""
        replicas, store = fleet_of(3), fleet_of(9)[8]
        placement = PromptPlacementRequest(
            prompt("f"), SCOPE, "z1", copy_tokens_per_s=COPY_RATE, stores=store_choices(store)
        )
        decision = place_prompt(placement, replicas, [*replicas, store], PartIndex())
        assert decision is not None
        self.assertIs(decision.copy_from, store)
        self.assertIs(decision.save_to, store)

    def test_the_store_is_not_queried_for_short_prompts(self) -> None:
        replicas, store = fleet_of(3), fleet_of(9)[8]
        short = Prompt("m", (PromptPart("f", 100), PromptPart("own", 400)), 500)
        placement = PromptPlacementRequest(
            short, SCOPE, "z1", copy_tokens_per_s=COPY_RATE, stores=store_choices(store)
        )
        decision = place_prompt(placement, replicas, [*replicas, store], PartIndex())
        assert decision is not None
        self.assertIsNone(decision.copy_from)


class StoreLinkTest(unittest.TestCase):
    def place(self, store_tokens_per_s: float) -> bool:
        """Return whether a prompt that is also in the store waits for its holder's queue."""
        replicas, index, store = fleet_of(2), PartIndex(), fleet_of(9)[8]
        request = prompt("f")
        keys = shared_keys(SCOPE, request, 1)
        holder = replicas[0]
        index.record_cached(keys, holder.incarnation_hash, 1.0)
        index.record_cached(keys, store.incarnation_hash, 1.0)
        holder.pending_prefill_tokens = 2000
        placement = PromptPlacementRequest(
            request,
            SCOPE,
            "z1",
            copy_tokens_per_s=1.0,
            stores=store_choices(store, store_tokens_per_s),
        )
        decision = place_prompt(placement, replicas, [store], index)
        assert decision is not None
        return decision.replica is holder

    def test_copies_from_a_store_use_the_rate_of_its_own_link(self) -> None:
        self.assertTrue(self.place(store_tokens_per_s=50_000.0))
        self.assertFalse(self.place(store_tokens_per_s=5_000_000.0))

    def configured(self) -> RouterState:
        """Return a state with a service and a cache store behind a slower link."""
        store = CacheStore("10.0.0.1:1", "z1", 1000, 25_000.0)
        services = [Service("s", engine=ENGINE), Service("k", store=store)]
        state = RouterState(
            RouterSettings("n", "z1", "g", "", "", "", ""), lambda: 0.0, random.Random(1)
        )
        state.install_table(RoutingTable(1, [], services))
        return state

    def test_the_rate_is_bounded_by_the_slower_link(self) -> None:
        state = self.configured()
        store = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        self.assertEqual(state.copy_tokens_per_s("s"), 3_125_000.0)
        self.assertEqual(state.copy_tokens_per_s("s", store), 156_250.0)

    def test_a_store_that_is_reconfigured_to_another_zone_moves_there(self) -> None:
        """The store keeps its address and moves to another region.

        Guards against stores that stay in their first region until the daemon restarts.
        """
        settings = RouterSettings(
            "n", "z1", "g", "", "", "", "", regions=RegionMap({"z1": "west", "z2": "east"})
        )
        state = RouterState(settings, lambda: 0.0, random.Random(1))
        homes: list[dict[str, RelayReplica]] = []
        for version, zone in ((1, "z1"), (2, "z2")):
            store = CacheStore("10.0.0.1:1", zone, 1000, 25_000.0)
            services = [Service("s", engine=ENGINE), Service("k", store=store)]
            state.install_table(RoutingTable(version, [], services))
            homes.append(state.cache_stores.stores_by_region(prompt("f"), settings.regions))
        self.assertEqual([list(found) for found in homes], [["west"], ["east"]])
        self.assertEqual(homes[1]["east"].listing.zone, "z2")

    def test_a_store_with_the_same_address_keeps_its_identity(self) -> None:
        state = self.configured()
        before = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        store = CacheStore("10.0.0.1:1", "z2", 1000, 25_000.0)
        services = [Service("s", engine=ENGINE), Service("k", store=store)]
        state.install_table(RoutingTable(2, [], services))
        after = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        self.assertIs(before, after)

    def test_a_store_removed_from_the_configuration_fails_no_running_request(self) -> None:
        """A request uses the same store for all its attempts."""
        state = self.configured()
        store = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        state.install_table(RoutingTable(2, [], [Service("s", engine=ENGINE)]))
        self.assertEqual(state.copy_tokens_per_s("s", store), 3_125_000.0)
