"""Builds that run beside each other: what the build before writes is read, and the other way round.

The files hold what the last landing wrote. A message that it cannot read would leave it without
work, rollouts and documents for as long as machines are replaced one after the other.
"""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from typing import Any

import msgspec

from tests.peer_samples import (
    KEY,
    MESSAGES,
    RECORD,
    REFUSAL,
    UPDATE,
    encoded_messages,
    encoded_records,
)
from winchfork.cluster.wire import PeerCodec
from winchfork.core.peer_message import PeerMessage
from winchfork.errors import Failure, FailureKind
from winchfork.router.document_parts import UpdateAssembler
from winchfork.router.peer_messages import PEER_MESSAGE_TYPES, DocumentPart
from winchfork.router.refusal_records import decode_refusal
from winchfork.router.software_records import decode_record

EARLIER: dict[str, dict[str, str]] = json.loads(
    (Path(__file__).parent / "earlier_build.json").read_text()
)


class Later(PeerMessage, frozen=True):
    """A type that a later build adds."""

    number: int


def with_more_fields(value: Any) -> Any:
    """Return what a later build may write: one more field in a message and in each part of it."""
    if isinstance(value, PeerMessage):
        fields = [with_more_fields(getattr(value, name)) for name in value.__struct_fields__]
        return [*fields, "added"]
    if isinstance(value, tuple):
        return [with_more_fields(item) for item in value]
    return value


class EarlierBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = PeerCodec(KEY, PEER_MESSAGE_TYPES)

    def test_a_sample_of_each_type_is_there(self) -> None:
        self.assertEqual({type(message) for message in MESSAGES}, set(PEER_MESSAGE_TYPES))

    def test_its_messages_are_read(self) -> None:
        for message in MESSAGES:
            earlier = EARLIER["messages"].get(type(message).__name__)
            if earlier is not None:
                self.assertEqual(self.codec.decode(bytes.fromhex(earlier)), message)

    def test_it_reads_this_builds_messages(self) -> None:
        """The bytes are the same; a type that it does not know may be left unread."""
        written = encoded_messages()
        self.assertEqual({name: written[name] for name in EARLIER["messages"]}, EARLIER["messages"])

    def test_its_update_of_entries_is_put_together(self) -> None:
        part = self.codec.decode(bytes.fromhex(EARLIER["messages"]["DocumentPart"]))
        assert isinstance(part, DocumentPart)
        self.assertEqual(UpdateAssembler().add(part), UPDATE)

    def test_records_in_the_store_are_read_both_ways(self) -> None:
        self.assertEqual(decode_record(EARLIER["records"]["software"].encode()), RECORD)
        self.assertEqual(decode_refusal(EARLIER["records"]["refusal"].encode()), REFUSAL)
        self.assertEqual(encoded_records(), EARLIER["records"])

    def test_a_later_builds_fields_are_passed_over(self) -> None:
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                body = msgspec.msgpack.encode(with_more_fields(message))
                decoded = msgspec.msgpack.decode(body, type=type(message))
                self.assertEqual(decoded, message)
        record = EARLIER["records"]["software"].replace("{", '{"added":[1],', 1)
        self.assertEqual(decode_record(record.encode()), RECORD)

    def test_a_later_builds_type_is_refused_alone(self) -> None:
        later = PeerCodec(KEY, (*PEER_MESSAGE_TYPES, Later))
        datagram = later.encode(Later(1))
        assert isinstance(datagram, bytes)
        refused = self.codec.decode(datagram)
        assert isinstance(refused, Failure)
        self.assertIs(refused.kind, FailureKind.BAD_DATAGRAM)
