"""What a daemon writes into the fleet's record of versions."""

from __future__ import annotations

import unittest

from winchfork.core.software_history import MAX_AGE_S, SoftwareHistory
from winchfork.core.version_register import REMOVAL_MARGIN_S, VersionRecord, VersionRegister
from winchfork.errors import Failure, FailureKind
from winchfork.router.software_records import is_software_record_key
from winchfork.router.version_records import (
    VERSION_RECORD_KEY,
    decode_version_record,
    encode_version_record,
)

ERA = 3
SPAN_S = 20.0


class VersionRegisterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.register = VersionRegister()
        self.history = SoftwareHistory()

    def list_version(self, software: str, now_s: float) -> None:
        self.history.record_listed("s", software, now_s)
        self.register.sightings.record_listed("s", software, now_s)

    def install(self, *versions: str, era: int = ERA) -> None:
        self.register.install(VersionRecord(era, {"s": versions}), 7)

    def revised(self, now_s: float) -> set[str] | None:
        record = self.register.revised(ERA, self.history, SPAN_S, now_s)
        return None if record is None else set(record.services.get("s", ()))

    def extended(self, now_s: float) -> set[str] | None:
        record = self.register.extended(ERA, SPAN_S, now_s)
        return None if record is None else set(record.services.get("s", ()))

    def test_no_record_is_written_before_the_history_is_complete(self) -> None:
        self.history.restart(0.0)
        self.list_version("v1", 1.0)
        self.assertIsNone(self.revised(SPAN_S - 1.0))
        self.list_version("v1", SPAN_S)
        self.assertEqual(self.revised(SPAN_S), {"v1"})

    def test_only_a_leader_writes_where_there_is_no_valid_record(self) -> None:
        self.history.seed({"s": ["v1"]}, 0.0)
        self.list_version("v1", 0.0)
        self.assertIsNone(self.extended(0.0))
        self.install("v1", era=ERA - 1)
        self.assertIsNone(self.extended(0.0))

    def test_a_version_that_is_missing_is_added(self) -> None:
        self.install("v1")
        self.list_version("v2", 0.0)
        self.assertEqual(self.extended(SPAN_S), {"v1", "v2"})
        self.assertEqual(self.revised(SPAN_S), {"v1", "v2"})
        self.assertIsNone(self.extended(SPAN_S + 1.0))

    def test_what_is_known_from_the_record_alone_is_not_added_again(self) -> None:
        self.install("v1")
        self.history.seed({"s": ["v1", "v2"]}, 0.0)
        self.assertIsNone(self.extended(1.0))

    def test_a_version_is_removed_after_the_span_and_a_margin(self) -> None:
        self.history.seed({"s": ["v1", "v2"]}, 0.0)
        self.install("v1", "v2")
        self.list_version("v1", SPAN_S + REMOVAL_MARGIN_S)
        self.assertIsNone(self.revised(SPAN_S + REMOVAL_MARGIN_S))
        self.assertEqual(self.revised(SPAN_S + REMOVAL_MARGIN_S + 1.0), {"v1"})

    def test_a_leader_that_may_have_missed_versions_removes_none(self) -> None:
        self.history.restart(0.0)
        self.install("v1", "v2")
        self.list_version("v1", SPAN_S)
        self.assertIsNone(self.revised(SPAN_S + REMOVAL_MARGIN_S - 1.0))

    def test_no_version_is_removed_that_the_history_may_have_forgotten(self) -> None:
        self.history.seed({"s": ["v1"]}, 0.0)
        self.install("v1", "v2")
        self.assertIsNone(self.register.revised(ERA, self.history, MAX_AGE_S, 1.0))

    def test_a_new_era_keeps_the_versions_of_the_record_before(self) -> None:
        """Guards against a version that the leader knows from the record alone."""
        self.install("v1", "v2", era=ERA - 1)
        self.register.begin_era(ERA - 1, is_informed=False)
        self.history.restart(0.0)
        self.install("v1", era=ERA - 1)
        self.list_version("v1", 1.0)
        self.assertEqual(self.revised(1.0), {"v1", "v2"})

    def test_a_gap_after_a_new_era_ends_what_was_known_before(self) -> None:
        self.install("v1", era=ERA - 1)
        self.register.begin_era(ERA - 1, is_informed=True)
        self.register.record_unseen()
        self.history.restart(0.0)
        self.assertIsNone(self.revised(1.0))

    def test_a_record_names_the_versions_that_are_new(self) -> None:
        self.install("v1")
        added = self.register.install(VersionRecord(ERA, {"s": ("v1", "v2"), "t": ("v1",)}), 8)
        self.assertEqual(added, {"s": {"v2"}, "t": {"v1"}})
        self.assertEqual(self.register.install(None, 9), {})
        self.assertFalse(self.register.is_valid(ERA))


class VersionRecordsTest(unittest.TestCase):
    def test_a_record_is_decoded_as_it_was_encoded(self) -> None:
        record = VersionRecord(ERA, {"s": ("v1", "")})
        self.assertEqual(decode_version_record(encode_version_record(record)), record)

    def test_a_garbled_record_is_a_failure(self) -> None:
        for value in (
            b"",
            b"\xff",
            b"[]",
            b'{"era":1}',
            b'{"era":null,"services":{}}',
            b"[" * 9999,
        ):
            failure = decode_version_record(value)
            assert isinstance(failure, Failure)
            self.assertIs(failure.kind, FailureKind.BAD_DOCUMENT)

    def test_the_key_is_not_one_of_a_rollout(self) -> None:
        self.assertFalse(is_software_record_key(VERSION_RECORD_KEY))


if __name__ == "__main__":
    unittest.main()
