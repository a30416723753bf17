"""Tests route matching, weighted traffic splits, tenants, cache scopes and cache stores."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from winchfork.core.prompt_parts import CacheScope, Prompt, PromptPart
from winchfork.core.routing import (
    CacheStore,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
    TenantPolicy,
    TrafficSplitter,
)
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState


def route(name: str, host: str, prefix: str, **changes: object) -> Route:
    fields: dict[str, object] = {
        "kind": RouteKind.SAFE,
        "timeout_s": 2.0,
        "target_latency_s": 0.3,
        "priority": 2,
        "shares": (ServiceShare("app", 1.0),),
    }
    fields.update(changes)
    return Route(name=name, host=host, path_prefix=prefix, **fields)  # type: ignore[arg-type]


class RoutingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RoutingTable(
            3,
            [route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")],
            [Service("app")],
            [TenantPolicy("school", ("key-1", "key-2"), priority=1)],
        )

    def test_the_longest_prefix_of_the_host_matches(self) -> None:
        self.assertEqual(self.table.match("a.example", "/x/y/z").name, "long")  # type: ignore[union-attr]
        self.assertEqual(self.table.match("A.example:80", "/x/z").name, "short")  # type: ignore[union-attr]
        self.assertIsNone(self.table.match("a.example", "/xy"))
        self.assertIsNone(self.table.match("b.example", "/x/"))

    def test_tenants_are_found_by_api_key(self) -> None:
        self.assertEqual(self.table.tenant_of("key-2").name, "school")  # type: ignore[union-attr]
        self.assertIsNone(self.table.tenant_of("key-3"))

    def test_only_safe_and_resumable_requests_may_be_retried(self) -> None:
        self.assertTrue(route("s", "h", "/").repeatable)
        self.assertFalse(route("u", "h", "/", kind=RouteKind.UNSAFE).repeatable)
        self.assertFalse(route("t", "h", "/", kind=RouteKind.STREAMING).repeatable)
        self.assertTrue(route("r", "h", "/", kind=RouteKind.STREAMING, resumable=True).repeatable)


class SplitTest(unittest.TestCase):
    def test_every_window_of_requests_follows_the_weights(self) -> None:
        split = route("r", "h", "/", shares=(ServiceShare("a", 90), ServiceShare("b", 10)))
        splitter = TrafficSplitter()
        chosen = [splitter.choose(split) for _ in range(200)]
        for start in range(150):
            window = Counter(chosen[start : start + 50])
            self.assertLessEqual(abs(window["b"] - 5), 1)

    def test_a_service_of_weight_zero_gets_nothing(self) -> None:
        split = route("r", "h", "/", shares=(ServiceShare("a", 1), ServiceShare("b", 0)))
        splitter = TrafficSplitter()
        self.assertEqual({splitter.choose(split) for _ in range(50)}, {"a"})

    def test_the_state_of_removed_routes_is_dropped(self) -> None:
        split = route("r", "h", "/", shares=(ServiceShare("a", 1), ServiceShare("b", 1)))
        splitter = TrafficSplitter()
        splitter.choose(split)
        splitter.forget_except([])
        self.assertEqual(splitter.choose(split), "a")


class CacheScopeTest(unittest.TestCase):
    def test_isolated_tenants_and_versions_never_share_a_namespace(self) -> None:
        names = {
            CacheScope.for_tenant("a", True, "m").namespace(1),
            CacheScope.for_tenant("b", True, "m").namespace(1),
            CacheScope.for_tenant("a", False, "m").namespace(1),
            CacheScope.for_tenant("a", False, "m").namespace(2),
            CacheScope.for_tenant("a", False, "n").namespace(2),
        }
        self.assertEqual(len(names), 5)
        shared = CacheScope.for_tenant("a", False, "m").namespace(1)
        self.assertEqual(shared, CacheScope.for_tenant("b", False, "m").namespace(1))

    def test_the_family_is_the_last_shared_part(self) -> None:
        parts = (PromptPart("h", 10), PromptPart("s", 20), PromptPart("own", 5))
        prompt = Prompt("m", parts, 35)
        self.assertEqual((prompt.family, prompt.shared_tokens), ("s", 30))
        self.assertEqual(Prompt("m", (), 35).family, "")


class CacheStoresTest(unittest.TestCase):
    def test_families_are_spread_over_the_stores_alike_on_every_daemon(self) -> None:
        """Guards against a single store that gets all families and saturates its link."""
        services = [
            Service(f"store{number}", store=CacheStore(f"10.0.0.{number}:1", f"z{number}", 1000))
            for number in range(3)
        ]
        homes = []
        for daemon in ("n1", "n2"):
            settings = RouterSettings(daemon, "z1", "g", "", "", "", "")
            state = RouterState(settings, lambda: 0.0, random.Random(daemon))
            state.install_table(RoutingTable(1, [], services))
            families = [
                Prompt("m", (PromptPart(f"f{number}", 9), PromptPart("own", 9)), 18)
                for number in range(90)
            ]
            regions = state.settings.regions
            stores = [
                state.cache_stores.stores_by_region(family, regions)[""] for family in families
            ]
            homes.append([store.listing.address for store in stores])
        self.assertEqual(homes[0], homes[1])
        self.assertEqual(len(set(homes[0])), 3)
        self.assertLess(max(Counter(homes[0]).values()), 45)
