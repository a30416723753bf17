"""Encodes and decodes the durable records of software rollouts in the store."""

from __future__ import annotations

import msgspec

from winchfork.core.software_state import SoftwareState
from winchfork.decoding import decode_json
from winchfork.errors import Failure

_PREFIX = "winchfork/software/"


def software_record_key(service: str) -> str:
    """Return the key of a service's record."""
    return _PREFIX + service


def service_of_record(key: str) -> str:
    """Return the service that a record's key belongs to."""
    return key.removeprefix(_PREFIX)


def is_software_record_key(key: str) -> bool:
    """Whether a store key is that of a rollout record."""
    return key.startswith(_PREFIX)


def encode_record(record: SoftwareState) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> SoftwareState | Failure:
    """Decode a stored record."""
    return decode_json(value, SoftwareState, "software rollout record")
