"""Which streams a daemon knows, for how long, and where their records are kept."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from winchfork.core.member import Member
from winchfork.core.software_history import MAX_AGE_S, SoftwareHistory
from winchfork.core.stream_origin import (
    RECORD_COPIES,
    RecordPlacement,
    StreamOrigin,
    StreamOriginTable,
    stream_key,
)

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v2")
KEY = stream_key("school", "id-1")


def members(count: int, zones: int) -> list[Member]:
    """Return members in turns of zones."""
    return [
        Member(f"n{number}", f"z{number % zones}", f"10.0.0.{number}:1", "", 1)
        for number in range(count)
    ]


class StreamKeyTest(unittest.TestCase):
    def test_a_caller_cannot_name_the_stream_of_another(self) -> None:
        """Guards against ids that collide over tenants, also where their names join with the id."""
        self.assertNotEqual(stream_key("school", "id-1"), stream_key("press", "id-1"))
        self.assertNotEqual(stream_key("a", "bc"), stream_key("ab", "c"))


class StreamOriginTableTest(unittest.TestCase):
    def test_an_origin_is_known_until_it_expires(self) -> None:
        table = StreamOriginTable()
        table.record(KEY, V1, 10.0)
        self.assertEqual(table.find(KEY, 9.9), V1)
        self.assertIsNone(table.find(KEY, 10.0))
        table.remove_expired(10.0)
        self.assertEqual(len(table), 0)

    def test_a_later_record_extends_the_time_and_never_shortens_it(self) -> None:
        table = StreamOriginTable()
        table.record(KEY, V1, 10.0)
        table.record(KEY, V1, 20.0)
        table.record(KEY, V1, 5.0)
        self.assertEqual(table.find(KEY, 19.9), V1)

    def test_an_id_that_began_two_streams_is_unknown(self) -> None:
        """Guards against a guess between two versions."""
        table = StreamOriginTable()
        table.record(KEY, V1, 10.0)
        table.record(KEY, V2, 10.0)
        table.record(KEY, V2, 10.0)
        self.assertIsNone(table.find(KEY, 1.0))
        self.assertEqual(table.remaining(1.0), [])

    def test_a_flood_of_streams_is_bounded(self) -> None:
        table = StreamOriginTable(max_streams=100)
        for number in range(1000):
            table.record(stream_key("", str(number)), V1, 10.0)
        self.assertEqual(len(table), 100)
        self.assertEqual(table.find(stream_key("", "999"), 1.0), V1)


class RecordPlacementTest(unittest.TestCase):
    def test_owners_are_in_different_zones_and_even(self) -> None:
        placement = RecordPlacement(members(420, 6))
        counts: Counter[str] = Counter()
        for number in range(2000):
            owners = placement.owners(stream_key("", str(number)), RECORD_COPIES)
            self.assertEqual(len({owner.zone for owner in owners}), RECORD_COPIES)
            counts.update(owner.member_id for owner in owners)
        self.assertLess(max(counts.values()), 6 * 2000 * RECORD_COPIES / 420)

    def test_owners_are_found_with_other_members_known(self) -> None:
        """Guards against records that are asked for where they are not."""
        fleet = members(60, 3)
        generator = random.Random(1)
        for number in range(300):
            key = stream_key("", str(number))
            written = RecordPlacement(generator.sample(fleet, 58)).owners(key, RECORD_COPIES)
            asked = RecordPlacement(generator.sample(fleet, 58)).owners(key, 2 * RECORD_COPIES)
            shared = {owner.member_id for owner in written} & {owner.member_id for owner in asked}
            self.assertGreaterEqual(len(shared), 1)

    def test_all_members_own_in_a_small_fleet(self) -> None:
        self.assertEqual(len(RecordPlacement(members(2, 2)).owners(KEY, RECORD_COPIES)), 2)
        self.assertEqual(RecordPlacement([]).owners(KEY, RECORD_COPIES), [])


class SoftwareHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = SoftwareHistory()
        self.history.restart(0.0)
        self.now_s = 0.0

    def observe(self, seconds: float, *versions: str) -> None:
        """Observe the same versions for some seconds."""
        for _ in range(int(seconds)):
            self.now_s += 1.0
            for software in versions:
                self.history.record_listed("s", software, self.now_s)

    def only_version(self) -> str | None:
        return self.history.only_version("s", 20.0, self.now_s)

    def test_a_version_alone_for_long_began_every_stream(self) -> None:
        self.observe(29, "v1")
        self.assertIsNone(self.only_version())
        self.observe(1, "v1")
        self.assertEqual(self.only_version(), "v1")

    def test_a_second_version_ends_the_period(self) -> None:
        """Guards against a stream of a version that was listed only for a while."""
        self.observe(40, "v1")
        self.observe(1, "v1", "v2")
        self.assertIsNone(self.only_version())
        self.observe(30, "v1")
        self.assertIsNone(self.only_version())
        self.observe(1, "v1")
        self.assertEqual(self.only_version(), "v1")

    def test_a_version_that_was_listed_between_two_looks_ends_the_period(self) -> None:
        """Guards against a replica that came and left while nobody looked at the list."""
        self.observe(40, "v1")
        self.history.record_listed("s", "v2", self.now_s + 0.1)
        self.observe(1, "v1")
        self.assertIsNone(self.only_version())

    def test_a_replaced_version_ends_the_period(self) -> None:
        self.observe(40, "v1")
        self.observe(2, "v2")
        self.assertIsNone(self.only_version())

    def test_no_replicas_for_a_while_conclude_nothing_else(self) -> None:
        self.observe(40, "v1")
        self.observe(5)
        self.assertEqual(self.only_version(), "v1")

    def test_missed_entries_prove_nothing(self) -> None:
        """Guards against versions that came and went while this daemon was cut off."""
        self.observe(40, "v1")
        self.history.restart(self.now_s)
        self.observe(29, "v1")
        self.assertIsNone(self.only_version())
        self.observe(1, "v1")
        self.assertEqual(self.only_version(), "v1")

    def test_nothing_is_known_before_the_first_list(self) -> None:
        self.history = SoftwareHistory()
        self.observe(60, "v1")
        self.assertIsNone(self.only_version())

    def test_a_seed_stands_for_the_time_before_it(self) -> None:
        self.history = SoftwareHistory()
        self.history.seed({"s": ["v1"]}, self.now_s)
        self.assertEqual(self.only_version(), "v1")
        self.observe(1, "v1", "v2")
        self.assertIsNone(self.only_version())

    def test_nothing_is_concluded_of_a_time_that_is_forgotten(self) -> None:
        """Guards against a version that began a very long stream and was forgotten."""
        self.history.seed({"s": ["v1"]}, self.now_s)
        self.assertIsNone(self.history.only_version("s", MAX_AGE_S, self.now_s))

    def test_versions_of_long_ago_are_forgotten(self) -> None:
        self.observe(1, "v1")
        self.now_s += 1_000.0
        self.history.forget_old(self.now_s)
        self.assertEqual(self.history.versions("s", 10_000.0, self.now_s), frozenset())
