"""Encodes and decodes the store's record of the versions that may have begun streams."""

from __future__ import annotations

import msgspec

from winchfork.core.version_register import VersionRecord
from winchfork.decoding import decode_json
from winchfork.errors import Failure

VERSION_RECORD_KEY = "winchfork/software-versions"


def encode_version_record(record: VersionRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_version_record(value: bytes) -> VersionRecord | Failure:
    """Decode a stored record."""
    return decode_json(value, VersionRecord, "record of software versions")
