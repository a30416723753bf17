"""Decoding of operators' documents and replicas' entries in the platform's format."""

from __future__ import annotations

import json
import unittest

from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.routing import RouteKind, RoutingTable
from winchfork.errors import Failure, FailureKind
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.router.documents import Document, ReplicaRemoved, UnreadableReplica, WeightsTarget
from winchfork.stores.async_key_value import StoreItem

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-27eya6u",
            "Host": "jepu9.example",
            "PathPrefix": "/lepu270/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "huvo11a", "Weight": 90},
                {"Service": "kafi81c", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "AllowAnonymous": False,
            "StickySessions": True,
            "Resumable": True,
            "GapTargetMs": 500,
        },
        {
            "Name": "r-6sz9frg",
            "Host": "hulo84.example",
            "PathPrefix": "/xapu221/ny95/",
            "Kind": "unsafe",
            "TimeoutMs": 15000,
            "Service": "kafi81c",
            "MaxAttempts": 1,
        },
    ],
    "Services": [
        {
            "Name": "huvo11a",
            "HealthCheckPath": "/health",
            "MaxConnections": 360,
            "Protocol": "h1",
            "Tls": False,
            "Engine": {
                "Slots": 64,
                "KvCapacityTokens": 110556,
                "KvTokenBytes": 163840,
                "LinkMbps": 1100000.0,
                "Backups": True,
                "Stride": 4,
                "MaxInFlight": 12,
                "PinMs": 4000.0,
                "HoldMs": 2000.0,
                "handle_s": 5.0,
                "Models": [{"Name": "daka510000"}],
            },
        },
        {"Name": "kafi81c", "HealthCheckPath": "/health", "MaxConnections": 100},
        {
            "Name": "wuno96b",
            "KvStoreAddress": "172.20.0.2:8781",
            "Zone": "patan-hall",
            "KvCapacityTokens": 777391,
        },
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "sese880", "ApiKeys": ["k1", "k2"], "Priority": 1, "Isolated": True}],
}
REPLICA = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "thamel-hall",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Stage": "both",
    "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
    "Sequence": 4,
}


def read(key: str, value: object) -> Document | Failure | None:
    data = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
    return PlatformDocumentCodec().read(StoreItem(key, data, 5))


class DocumentsTest(unittest.TestCase):
    def test_a_full_configuration_is_decoded(self) -> None:
        table = read("op/config", CONFIGURATION)
        assert isinstance(table, RoutingTable)
        first, second = table.routes
        self.assertEqual((first.kind, first.timeout_s), (RouteKind.STREAMING, 6.0))
        self.assertEqual([share.service for share in first.shares], ["huvo11a", "kafi81c"])
        self.assertTrue(first.resumable and first.repeatable and first.session_affinity)
        self.assertEqual((first.gap_target_s, first.target_latency_s), (0.5, 0.8))
        self.assertEqual([share.service for share in second.shares], ["kafi81c"])
        self.assertFalse(second.repeatable)
        engine = table.services["huvo11a"].engine
        assert engine is not None
        self.assertEqual((engine.slots, engine.token_bytes), (64, 163840))
        store = next(iter(table.cache_stores()), None)
        assert store is not None
        self.assertEqual(store.address, "172.20.0.2:8781")
        tenant = table.tenant_of("k2")
        assert tenant is not None
        self.assertTrue(tenant.isolated)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)

    def test_a_draining_replica_does_not_accept_work(self) -> None:
        ready = read("servers/i-1", REPLICA)
        draining = read("servers/i-1", {**REPLICA, "State": "draining"})
        assert isinstance(ready, ReplicaListing) and isinstance(draining, ReplicaListing)
        self.assertTrue(ready.accepting)
        self.assertFalse(draining.accepting)
        self.assertEqual(ready.versions, {"daka510000": 1})
        self.assertEqual(read("servers/i-1", None), ReplicaRemoved("i-1"))

    def test_a_new_sequence_number_alone_gives_an_equal_listing(self) -> None:
        self.assertEqual(
            read("servers/i-1", REPLICA), read("servers/i-1", {**REPLICA, "Sequence": 9})
        )

    def test_a_weights_target_is_decoded(self) -> None:
        self.assertEqual(
            read("op/version/daka510000", {"Model": "daka510000", "Version": 2}),
            WeightsTarget("daka510000", 2),
        )

    def test_unrelated_and_removed_entries_are_ignored(self) -> None:
        self.assertIsNone(read("winchfork/leader", b"n1"))
        self.assertIsNone(read("op/config", None))

    def test_malformed_documents_are_failures_that_name_the_key(self) -> None:
        broken = json.loads(json.dumps(CONFIGURATION))
        del broken["Routes"][0]["Host"]
        for key, value in (
            ("op/config", b"{"),
            ("op/config", broken),
            ("op/config", {"Version": "seven"}),
            ("servers/i-1", {**REPLICA, "Address": 7}),
            ("op/version/m", b"\xff"),
        ):
            problem = read(key, value)
            if isinstance(problem, UnreadableReplica):
                self.assertEqual(key, f"servers/{problem.replica_id}")
                problem = problem.failure
            assert isinstance(problem, Failure), key
            self.assertEqual(problem.kind, FailureKind.BAD_DOCUMENT)
            self.assertIn(key, problem.reason)
