"""Reading of the platform's settings file."""

from __future__ import annotations

import unittest

from winchfork.errors import Failure, FailureKind
from winchfork.platform.settings import parse_settings, read_settings

EXAMPLE = """\
Node=front-thamel-hall-1
Role=router
Ip=10.1.0.30
Zone=thamel-hall
Region=bagmati
Zones.thamel-hall=bagmati
Zones.patan-hall=bagmati
ListenAddresses.Front=10.1.0.30:8782
ListenAddresses.Readiness=10.1.0.30:8789
ListenAddresses.Control=10.1.0.30:8783
InternalPorts=7340,7355
Seeds=10.1.0.30:8783,10.2.0.22:8783
HeartbeatMs=1200
Limits.MemoryMb=300
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.FailClosed=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.LeaseMs=3000
Bounds.VersionMs=8000
Platform.Address=10.200.1.7:8784
Platform.ttl_min_ms=1000
Something.New=of no concern
"""


class SettingsTest(unittest.TestCase):
    def test_a_full_file_is_parsed(self) -> None:
        settings = parse_settings(EXAMPLE)
        assert not isinstance(settings, Failure)
        self.assertEqual(settings.node_id, "front-thamel-hall-1")
        self.assertEqual(settings.caller_address, "10.1.0.30:8782")
        self.assertEqual(settings.readiness_address, "10.1.0.30:8789")
        self.assertEqual(settings.store_address, "10.200.1.7:8784")
        self.assertEqual(settings.peer_ports, (7340, 7355))
        self.assertEqual(settings.seeds, ("10.1.0.30:8783", "10.2.0.22:8783"))
        self.assertEqual(settings.regions.zones, ("patan-hall", "thamel-hall"))
        self.assertEqual(settings.bounds.revoke_s, 5.0)
        self.assertEqual(settings.bounds.weights_s, 8.0)
        self.assertTrue(settings.bounds.fail_closed)

    def test_invalid_settings_are_failures_with_key_and_remedy(self) -> None:
        for old, new, key in (
            ("Node=front-thamel-hall-1\n", "", "Node"),
            ("Bounds.RevokeMs=5000", "Bounds.RevokeMs=soon", "Bounds.RevokeMs"),
            ("Front=10.1.0.30:8782", "Front=nowhere", "ListenAddresses.Front"),
            ("InternalPorts=7340,7355", "InternalPorts=many", "InternalPorts"),
        ):
            problem = parse_settings(EXAMPLE.replace(old, new))
            assert isinstance(problem, Failure), key
            self.assertEqual(problem.kind, FailureKind.INVALID_SETTINGS)
            self.assertIn(key, problem.reason)
            self.assertTrue(problem.remedy)

    def test_a_missing_file_is_a_typed_failure(self) -> None:
        problem = read_settings({"WINCHFORK_BOOT": "/nowhere/at/all"})
        assert isinstance(problem, Failure)
        self.assertEqual(problem.kind, FailureKind.INVALID_SETTINGS)
