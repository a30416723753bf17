"""Invalid input to each interface is refused with a typed failure that names the mistake."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec

from winchfork.cluster.messages import MESSAGE_TYPES, LookupRequest
from winchfork.cluster.wire import PeerCodec
from winchfork.control import winchfork_pb2 as pb
from winchfork.control.convert import (
    configuration_from_message,
    configuration_message_from_json,
    configuration_to_message,
)
from winchfork.core.configuration import Configuration, Rule, Tenant, TrafficClass
from winchfork.emulator.workload import HIMAL, VIGIE
from winchfork.errors import Failure, FailureKind
from winchfork.logs import format_event
from winchfork.settings import load_settings

_GOOD = """
[daemon]
id = "one"
zone = "east"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:7000"
rpc_address = "127.0.0.1:9000"
cluster_key = "0123456789abcdef"
[platform]
key_value_endpoints = ["http://127.0.0.1:2379"]
machine_list_url = "http://127.0.0.1:2380/machines"
"""


class SettingsTest(unittest.TestCase):
    CASES = (
        ('zone = "east"', "", "daemon.zone"),
        ('id = "one"', 'id = "One Two"', "daemon.id"),
        ("127.0.0.1:8080", "localhost:8080", "daemon.http_address"),
        ("127.0.0.1:7000", "127.0.0.1:70000", "daemon.peer_address"),
        ("127.0.0.1:9000", "127.0.0.1", "daemon.rpc_address"),
        ("0123456789abcdef", "short", "daemon.cluster_key"),
        ("[platform]", 'colour = "red"\n[platform]', "daemon.colour"),
        ("[platform]", 'policy = "best"\n[platform]', "daemon.policy"),
        ('["http://127.0.0.1:2379"]', "[]", "platform.key_value_endpoints"),
        ("[platform]", "[limits]\nworkers = 0\n[platform]", "limits.workers"),
        ("[platform]", "[claims]\nrestart_margin_s = 0.1\n[platform]", "claims"),
        ("[daemon]", "[daemon", "is not TOML"),
    )

    def _load(self, text: str) -> Any:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.toml"
            path.write_text(text)
            return load_settings(str(path), {})

    def test_valid_settings_load(self) -> None:
        self.assertNotIsInstance(self._load(_GOOD), Failure)

    def test_each_mistake_names_file_key_and_remedy(self) -> None:
        for old, new, place in self.CASES:
            with self.subTest(place=place):
                failure = self._load(_GOOD.replace(old, new))
                assert isinstance(failure, Failure), place
                self.assertIs(failure.kind, FailureKind.INVALID_SETTINGS)
                self.assertIn(place, failure.reason)
                self.assertIn("settings.toml", failure.reason)
                self.assertTrue(failure.remedy)

    def test_missing_file(self) -> None:
        failure = load_settings("/nowhere/settings.toml", {})
        assert isinstance(failure, Failure)
        self.assertIn("cannot be read", failure.reason)


class ConfigurationTest(unittest.TestCase):
    CASES = (
        ("{", "cannot be read"),
        ('{"tenant": []}', "tenant"),
        ('{"tenants": [{"name": "A B"}]}', "tenants.0.name"),
        ('{"tenants": [{"name": "a", "api_key_sha256": ["xyz"]}]}', "api_key_sha256"),
        ('{"tenants": [{"name": "a"}, {"name": "a"}]}', "defined twice"),
        ('{"traffic_classes": [{"name": "c", "priority": 12}]}', "priority"),
        ('{"traffic_classes": [{"name": "c", "deadline_s": -1}]}', "deadline_s"),
        ('{"pools": [{"name": "p", "kind": "boat"}]}', "kind"),
        ('{"pools": [{"name": "p", "kind": "engine"}]}', "names its model"),
        (
            '{"pools": [{"name": "p", "kind": "application", "traffic_class": "no"}]}',
            "no known traffic class",
        ),
        ('{"rules": [{"name": "r", "traffic_class": "no"}]}', "no known traffic class"),
    )

    def test_configurations_round_trip_through_the_schema(self) -> None:
        """Guards against values of 0 that come back as the defaults."""
        edge = Configuration(
            tenants=(Tenant(name="a"),),
            traffic_classes=(
                TrafficClass(name="c", priority=0, first_token_weight=0, recompute_weight=0),
            ),
            rules=(Rule(name="r", may_wait=False, repeatable=False),),
        )
        for configuration in (HIMAL.configuration(), VIGIE.configuration(), edge):
            message = configuration_to_message(configuration)
            self.assertEqual(configuration_from_message(message), configuration)

    def test_each_mistake_is_a_typed_failure_that_names_it(self) -> None:
        for text, place in self.CASES:
            with self.subTest(text=text):
                message = configuration_message_from_json(text)
                result = (
                    configuration_from_message(message)
                    if isinstance(message, pb.Configuration)
                    else message
                )
                assert isinstance(result, Failure), text
                self.assertIs(result.kind, FailureKind.INVALID_CONFIGURATION)
                self.assertIn(place, result.reason)


class DatagramTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = PeerCodec(b"a key of sixteen bytes", MESSAGE_TYPES)

    def _signed(self, body: bytes) -> bytes:
        return self.codec._tag(body) + body

    def _numbered(self, number: int, fields: object) -> bytes:
        return self._signed(bytes([number]) + msgspec.msgpack.encode(fields))

    def test_round_trip(self) -> None:
        message = LookupRequest(7, (1, 2, 1 << 63))
        datagram = self.codec.encode(message)
        assert isinstance(datagram, bytes)
        self.assertEqual(self.codec.decode(datagram), message)

    def test_a_field_that_a_later_build_adds_is_ignored(self) -> None:
        """Builds of different ages run side by side during an update of the fleet."""
        number = MESSAGE_TYPES.index(LookupRequest)
        message = LookupRequest(7, (1,))
        for added in (1, "text", [1, 2], None):
            self.assertEqual(self.codec.decode(self._numbered(number, [7, [1], added])), message)
        unsigned = bytes(16) + bytes([number]) + msgspec.msgpack.encode([7, [1], 1])
        self.assertIsInstance(self.codec.decode(unsigned), Failure)

    def test_every_invalid_datagram_is_refused(self) -> None:
        good = self.codec.encode(LookupRequest(7, (1, 2)))
        assert isinstance(good, bytes)
        other = PeerCodec(b"another key of sixteen", MESSAGE_TYPES).encode(LookupRequest(7, (1,)))
        assert isinstance(other, bytes)
        number = MESSAGE_TYPES.index(LookupRequest)
        bad = (
            b"",
            b"x" * 10,
            good[:-1],
            good + b"x",
            bytes([good[0] ^ 1]) + good[1:],
            other,
            self._signed(b""),
            self._signed(b"\xff\xff"),
            self._signed(bytes([number])),
            self._numbered(number, "text"),
            self._numbered(255, [1]),
            self._numbered(number, [7]),
            self._numbered(number, [7, [[1]]]),
            self._numbered(number, []),
            self._numbered(number, {"at": 7}),
            self._numbered(number, [7.5, [1]]),
            self._numbered(number, ["seven", [1]]),
            self._numbered(number, [7, ["one"]]),
            self._numbered(number, [7, [1]]) + b"x",
            self._signed(bytes([number]) + msgspec.msgpack.encode([7, [1]]) + b"x"),
        )
        for datagram in bad:
            with self.subTest(datagram=datagram[:24]):
                failure = self.codec.decode(datagram)
                assert isinstance(failure, Failure), failure
                self.assertIs(failure.kind, FailureKind.BAD_DATAGRAM)


class LogTest(unittest.TestCase):
    def test_a_value_cannot_inject_a_line_or_a_pair(self) -> None:
        line = format_event("e", {"prompt": 'x"\nlevel=ERROR event=forged\x1b[31m a=b'})
        self.assertNotIn("\n", line)
        self.assertNotIn("\x1b", line)
        self.assertTrue(line.startswith('event=e prompt="'))
        self.assertEqual(line.count(" event=forged"), 1)
        self.assertTrue(line.endswith('"'))


if __name__ == "__main__":
    unittest.main()
