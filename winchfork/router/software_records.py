"""The durable records of software rollouts as entries of the platform's store."""

from __future__ import annotations

import msgspec

from winchfork.core.software_state import SoftwareState
from winchfork.errors import Failure, FailureKind

_PREFIX = "winchfork/software/"


def software_record_key(service: str) -> str:
    """Return the key of a service's record."""
    return _PREFIX + service


def service_of_record(key: str) -> str:
    """Return the service whose record has a key."""
    return key.removeprefix(_PREFIX)


def is_software_record_key(key: str) -> bool:
    """Whether an entry is such a record."""
    return key.startswith(_PREFIX)


def encode_record(record: SoftwareState) -> bytes:
    """Return a record as it is stored."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> SoftwareState | Failure:
    """Read a stored record."""
    try:
        return msgspec.json.decode(value, type=SoftwareState)
    except (msgspec.DecodeError, RecursionError) as error:
        return FailureKind.BAD_DOCUMENT.because(f"record of a software rollout: {error}")
