"""Batches of stream records: their encoding, what a reader keeps of them, and who archives."""

from __future__ import annotations

import unittest

import msgspec

from winchfork.core.archive_placement import MEMBERS_PER_ARCHIVER, ArchivePlacement
from winchfork.core.member import Member
from winchfork.core.stream_batch import ArchivedStreams, StreamBatch, StreamRecord
from winchfork.core.stream_origin import KEY_BYTES, StreamOrigin, stream_key
from winchfork.errors import Failure, FailureKind
from winchfork.router.stream_records import (
    POSITION_PREFIX,
    decode_batch,
    encode_batch,
    is_stream_batch_key,
    stream_batch_key,
)

ORIGINS = (StreamOrigin("s", "v1"), StreamOrigin("s", "v1.1"))


def record(name: str, software: int = 0, remaining_s: float = 20.0) -> StreamRecord:
    return StreamRecord(stream_key("school", name), ORIGINS[software], remaining_s)


def members(count: int) -> list[Member]:
    return [Member(f"n{number}", "z", f"10.0.0.1:{number}", "", 1) for number in range(count)]


class StreamRecordsTest(unittest.TestCase):
    def test_a_batch_is_decoded_as_it_was_written(self) -> None:
        records = [record(f"stream-{number}", number % 2, 5.0 + number) for number in range(9)]
        batch = decode_batch(encode_batch(StreamBatch.of(records)))
        assert isinstance(batch, StreamBatch)
        self.assertEqual([list(batch.find(item.key)) for item in records], [[i] for i in records])
        self.assertEqual(list(batch.find(stream_key("school", "never"))), [])

    def test_a_record_is_kept_no_shorter_than_it_was(self) -> None:
        batch = StreamBatch.of([record("stream-1", remaining_s=4.2), record("2", remaining_s=999)])
        self.assertEqual([item.remaining_s for item in batch.find(record("stream-1").key)], [5])
        self.assertEqual(batch.longest_s, 255)

    def test_a_record_takes_few_bytes(self) -> None:
        value = encode_batch(StreamBatch.of([record(f"stream-{n}", n % 2) for n in range(1000)]))
        self.assertLess(len(value), 1000 * (KEY_BYTES + 2))

    def test_garbled_batches_are_refused(self) -> None:
        short = StreamBatch.of([StreamRecord(b"short", ORIGINS[0], 9.0)])
        good = encode_batch(StreamBatch.of([record("stream-1")]))
        texts = msgspec.msgpack.encode([[["s", "v1", "x" * KEY_BYTES, 7]]])
        for value in (b"", b"\xc1", b"[]", good[:-1], good + b"x", encode_batch(short), texts):
            with self.subTest(value=value):
                refused = decode_batch(value)
                assert isinstance(refused, Failure)
                self.assertIs(refused.kind, FailureKind.BAD_DOCUMENT)

    def test_a_key_across_two_others_is_no_record(self) -> None:
        """Guards against a stream that is found in the middle of two keys."""
        first, second = bytes(range(KEY_BYTES)), bytes(range(100, 100 + KEY_BYTES))
        batch = StreamBatch.of([StreamRecord(key, ORIGINS[0], 9.0) for key in (first, second)])
        self.assertEqual(list(batch.find((first + second)[3 : 3 + KEY_BYTES])), [])
        self.assertEqual(len(list(batch.find(second))), 1)

    def test_keys_of_batches_differ_by_start(self) -> None:
        self.assertNotEqual(stream_batch_key("n1", 1, 0), stream_batch_key("n1", 2, 0))
        self.assertTrue(is_stream_batch_key(stream_batch_key("n1", 1, 0)))
        self.assertFalse(is_stream_batch_key(POSITION_PREFIX))


class ArchivedStreamsTest(unittest.TestCase):
    def test_records_of_several_batches_are_found(self) -> None:
        streams = ArchivedStreams()
        for software in (0, 1):
            streams.add(f"batch-{software}", StreamBatch.of([record("twice", software)]), 100.0)
        found = {item.origin for item in streams.find(record("twice").key, 100.0)}
        self.assertEqual(found, set(ORIGINS))

    def test_a_record_expires_after_its_remaining_time(self) -> None:
        streams = ArchivedStreams()
        batch = StreamBatch.of([record("short", remaining_s=5.0), record("long", remaining_s=50.0)])
        streams.add("batch", batch, 100.0)
        self.assertEqual(streams.find(record("short").key, 106.0), [])
        self.assertEqual(streams.find(record("long").key, 106.0)[0].remaining_s, 44.0)
        streams.remove_expired(149.0)
        self.assertIn("batch", streams)
        streams.remove_expired(150.0)
        self.assertEqual(len(streams), 0)

    def test_the_number_of_records_is_bounded(self) -> None:
        streams = ArchivedStreams(max_records=10)
        for number in range(5):
            names = [f"{number}-{index}" for index in range(4)]
            streams.add(f"{number}", StreamBatch.of([record(name) for name in names]), 100.0)
        self.assertEqual(len(streams), 8)
        self.assertEqual(streams.find(record("0-0").key, 100.0), [])
        self.assertEqual(len(streams.find(record("4-3").key, 100.0)), 1)


class ArchivePlacementTest(unittest.TestCase):
    def test_a_few_members_archive(self) -> None:
        for count, expected in ((1, 1), (7, 2), (2 * MEMBERS_PER_ARCHIVER + 1, 3), (420, 17)):
            self.assertEqual(len(ArchivePlacement(members(count)).archivers), expected)
        self.assertEqual(ArchivePlacement([]).archivers_of(bytes(KEY_BYTES)), [])

    def test_each_record_has_two_archivers_in_a_small_fleet_and_one_in_a_large(self) -> None:
        for count, expected in ((1, 1), (7, 2), (50, 2), (51, 1), (420, 1)):
            archivers = ArchivePlacement(members(count)).archivers_of(bytes(KEY_BYTES))
            self.assertEqual(len(archivers), expected)

    def test_streams_are_spread_over_the_archivers(self) -> None:
        placement = ArchivePlacement(members(420))
        counts: dict[str, int] = {}
        for number in range(1700):
            (archiver,) = placement.archivers_of(stream_key("school", f"stream-{number}"))
            counts[archiver.member_id] = counts.get(archiver.member_id, 0) + 1
        self.assertEqual(len(counts), 17)
        self.assertLess(max(counts.values()), 200)

    def test_another_member_replaces_an_archiver_that_goes(self) -> None:
        fleet = members(100)
        before = ArchivePlacement(fleet).archivers
        gone = sorted(before)[0][0]
        after = ArchivePlacement([item for item in fleet if item.member_id != gone]).archivers
        self.assertEqual(len(after & before), len(before) - 1)


if __name__ == "__main__":
    unittest.main()
