"""Wire and store compatibility with the previous build, which runs beside this one in an upgrade.

``earlier_build.json`` holds the messages and records as encoded by the previous build.
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


class LaterMessage(PeerMessage, frozen=True):
    """A message type that a later build adds."""

    number: int


def with_added_fields(value: Any) -> Any:
    """Return a value as a later build may encode it, with a field added to each message in it."""
    if isinstance(value, PeerMessage):
        fields = [with_added_fields(getattr(value, name)) for name in value.__struct_fields__]
        return [*fields, "added"]
    if isinstance(value, tuple):
        return [with_added_fields(item) for item in value]
    return value


class EarlierBuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = PeerCodec(KEY, PEER_MESSAGE_TYPES)

    def test_there_is_a_sample_of_each_message_type(self) -> None:
        self.assertEqual({type(message) for message in MESSAGES}, set(PEER_MESSAGE_TYPES))

    def test_earlier_messages_are_decoded(self) -> None:
        for message in MESSAGES:
            earlier = EARLIER["messages"].get(type(message).__name__)
            if earlier is not None:
                self.assertEqual(self.codec.decode(bytes.fromhex(earlier)), message)

    def test_messages_are_encoded_as_by_the_earlier_build(self) -> None:
        """Message types that the earlier build does not know are not compared."""
        written = encoded_messages()
        self.assertEqual({name: written[name] for name in EARLIER["messages"]}, EARLIER["messages"])

    def test_an_earlier_update_of_entries_is_assembled(self) -> None:
        part = self.codec.decode(bytes.fromhex(EARLIER["messages"]["DocumentPart"]))
        assert isinstance(part, DocumentPart)
        self.assertEqual(UpdateAssembler().add(part), UPDATE)

    def test_records_in_the_store_are_compatible_both_ways(self) -> None:
        self.assertEqual(decode_record(EARLIER["records"]["software"].encode()), RECORD)
        self.assertEqual(decode_refusal(EARLIER["records"]["refusal"].encode()), REFUSAL)
        self.assertEqual(encoded_records(), EARLIER["records"])

    def test_unknown_fields_of_a_later_build_are_ignored(self) -> None:
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                body = msgspec.msgpack.encode(with_added_fields(message))
                decoded = msgspec.msgpack.decode(body, type=type(message))
                self.assertEqual(decoded, message)
        record = EARLIER["records"]["software"].replace("{", '{"added":[1],', 1)
        self.assertEqual(decode_record(record.encode()), RECORD)

    def test_an_unknown_message_type_of_a_later_build_is_refused(self) -> None:
        later = PeerCodec(KEY, (*PEER_MESSAGE_TYPES, LaterMessage))
        datagram = later.encode(LaterMessage(1))
        assert isinstance(datagram, bytes)
        refused = self.codec.decode(datagram)
        assert isinstance(refused, Failure)
        self.assertIs(refused.kind, FailureKind.BAD_DATAGRAM)
