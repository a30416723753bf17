"""The peer protocol's datagrams: frozen dataclasses in cbor2, authenticated by a shared key.

A datagram is ``tag (16 bytes) + cbor([type number, field, field, ...])``. Nested dataclasses are
arrays of their fields, enums their values, tuples arrays. The tag is a keyed BLAKE2b over the body;
every message is idempotent, so a replayed datagram changes nothing that the first did not.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import hashlib
import hmac
import types
import typing
from collections.abc import Mapping
from typing import Any

import cbor2

from winchfork.constants import MAX_DATAGRAM_BYTES
from winchfork.errors import Failure, FailureKind

_TAG_BYTES = 16


class PeerCodec:
    """Encodes and decodes the registered message types; the order of registration is the wire."""

    def __init__(self, key: bytes, message_types: tuple[type, ...]) -> None:
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._types = message_types
        self._numbers = {message_type: number for number, message_type in enumerate(message_types)}

    def encode(self, message: Any) -> bytes | Failure:
        """Return the datagram of ``message``."""
        body = cbor2.dumps([self._numbers[type(message)], *_fields(message)])
        if len(body) + _TAG_BYTES > MAX_DATAGRAM_BYTES:
            return FailureKind.BAD_DATAGRAM.because(
                f"{type(message).__name__} takes {len(body)} bytes; the most is "
                f"{MAX_DATAGRAM_BYTES - _TAG_BYTES}"
            )
        return self._tag(body) + body

    def decode(self, datagram: bytes) -> Any | Failure:
        """Return the message of ``datagram``; anything not made with the key is refused."""
        tag, body = datagram[:_TAG_BYTES], datagram[_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            return FailureKind.BAD_DATAGRAM.because("the authentication tag does not match")
        try:
            number, *values = cbor2.loads(body)
            return _build(self._types[number], values)
        except (cbor2.CBORDecodeError, TypeError, ValueError, IndexError, KeyError) as error:
            return FailureKind.BAD_DATAGRAM.because(f"unreadable body: {type(error).__name__}")

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=_TAG_BYTES).digest()


def _fields(message: Any) -> list[Any]:
    return [_to_plain(getattr(message, name)) for name, _ in _shape(message.__class__)]


def _to_plain(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (bool, int, float, str, bytes)) or value is None:
        return value
    if isinstance(value, Mapping):
        return {key: _to_plain(item) for key, item in value.items()}
    if isinstance(value, (tuple, list)):
        return [_to_plain(item) for item in value]
    return _fields(value)


@functools.cache
def _shape(message_type: Any) -> tuple[tuple[str, Any], ...]:
    hints = typing.get_type_hints(message_type)
    return tuple((field.name, hints[field.name]) for field in dataclasses.fields(message_type))


def _build(message_type: type, values: list[Any]) -> Any:
    shape = _shape(message_type)
    if len(values) != len(shape):
        raise ValueError(f"{message_type.__name__} has {len(shape)} fields, not {len(values)}")
    return message_type(
        *(_from_plain(hint, value) for (_, hint), value in zip(shape, values, strict=True))
    )


def _from_plain(hint: Any, value: Any) -> Any:
    if hint in (int, str, bytes, bool):
        if type(value) is not hint:
            raise TypeError(f"expected {hint.__name__}")
        return value
    if hint is float:
        return float(value)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        inner = [part for part in typing.get_args(hint) if part is not type(None)]
        return None if value is None else _from_plain(inner[0], value)
    if origin is tuple:
        part = typing.get_args(hint)
        if len(part) == 2 and part[1] is Ellipsis:
            return tuple(_from_plain(part[0], item) for item in value)
        return tuple(_from_plain(inner, item) for inner, item in zip(part, value, strict=True))
    if origin is not None and issubclass(origin, Mapping):
        key_hint, value_hint = typing.get_args(hint)
        return {
            _from_plain(key_hint, key): _from_plain(value_hint, item) for key, item in value.items()
        }
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(value)
    return _build(hint, value)
