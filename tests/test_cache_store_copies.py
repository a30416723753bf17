"""What is copied from the store of kept cache: what it may keep unheard, and at which pace."""

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


class UnheardPartsTest(unittest.TestCase):
    def test_a_daemon_that_knows_nothing_asks_the_store(self) -> None:
        """A daemon that had restarted had every family read again that the store kept."""
        replicas, store = fleet_of(3), fleet_of(9)[8]
        placement = PromptPlacementRequest(
            prompt("f"), SCOPE, "z1", copy_tokens_per_s=COPY_RATE, stores=store_choices(store)
        )
        decision = place_prompt(placement, replicas, [*replicas, store], PartIndex())
        assert decision is not None
        self.assertIs(decision.copy_from, store)
        self.assertIs(decision.save_to, store)

    def test_parts_that_are_read_as_fast_as_asked_for_are_not_asked_for(self) -> None:
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
        """Return whether a prompt waits 50 ms for its keeper; the store keeps it as well."""
        replicas, index, store = fleet_of(2), PartIndex(), fleet_of(9)[8]
        request = prompt("f")
        keys = shared_keys(SCOPE, request, 1)
        keeper = replicas[0]
        index.record_cached(keys, keeper.order_hash, 1.0)
        index.record_cached(keys, store.order_hash, 1.0)
        keeper.pending_prefill_tokens = 2000
        placement = PromptPlacementRequest(
            request,
            SCOPE,
            "z1",
            copy_tokens_per_s=1.0,
            stores=store_choices(store, store_tokens_per_s),
        )
        decision = place_prompt(placement, replicas, [store], index)
        assert decision is not None
        return decision.replica is keeper

    def test_a_copy_over_a_slow_link_is_not_taken_for_one_between_engines(self) -> None:
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

    def test_the_rate_is_that_of_the_slower_link(self) -> None:
        state = self.configured()
        store = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        self.assertEqual(state.copy_tokens_per_s("s"), 3_125_000.0)
        self.assertEqual(state.copy_tokens_per_s("s", store), 156_250.0)

    def test_a_store_whose_zone_is_configured_anew_is_in_that_zone(self) -> None:
        """A store kept its address and was configured in another zone, in another region.

        It was known by its address and kept as it was known first: until the next start it went on
        as the store of the region that it had left, and the other one had none.
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

    def test_a_store_that_stays_keeps_its_identity(self) -> None:
        state = self.configured()
        before = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        store = CacheStore("10.0.0.1:1", "z2", 1000, 25_000.0)
        services = [Service("s", engine=ENGINE), Service("k", store=store)]
        state.install_table(RoutingTable(2, [], services))
        after = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        self.assertIs(before, after)

    def test_a_store_that_a_new_configuration_drops_fails_no_request_that_knows_it(self) -> None:
        """A request keeps its store over its attempts, and places itself anew for each."""
        state = self.configured()
        store = state.cache_stores.stores_by_region(prompt("f"), state.settings.regions)[""]
        state.install_table(RoutingTable(2, [], [Service("s", engine=ENGINE)]))
        self.assertEqual(state.copy_tokens_per_s("s", store), 3_125_000.0)
