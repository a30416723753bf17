"""Encodes and decodes the store's record of the versions that may have begun streams."""

from __future__ import annotations

import msgspec

from winchfork.core.version_register import VersionRecord
from winchfork.errors import Failure, FailureKind

VERSION_RECORD_KEY = "winchfork/software-versions"


def encode_version_record(record: VersionRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_version_record(value: bytes) -> VersionRecord | Failure:
    """Decode a stored record."""
    try:
        return msgspec.json.decode(value, type=VersionRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        return FailureKind.BAD_DOCUMENT.because(
            f"record of software versions cannot be decoded: {error}"
        )
