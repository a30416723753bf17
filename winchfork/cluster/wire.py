"""The peer protocol's datagrams: typed messages in MessagePack, authenticated by a shared key.

A datagram is ``tag (16 bytes) + type number (1 byte) + the message's fields as an array``. Nested
messages are arrays of their fields, enums their values. The tag is a keyed BLAKE2b over the rest of
the datagram. Every message is idempotent, so a replayed datagram changes nothing.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from winchfork.constants import MAX_DATAGRAM_BYTES
from winchfork.core.peer_message import PeerMessage
from winchfork.decoding import DECODE_ERRORS
from winchfork.errors import Failure, FailureKind

_TAG_BYTES = 16
_BODY_START = _TAG_BYTES + 1
#: The type number takes one byte.
_MAX_TYPES = 256


class PeerCodec:
    """Encodes and decodes messages; the index of a type in ``message_types`` is its type number."""

    def __init__(self, key: bytes, message_types: tuple[type[PeerMessage], ...]) -> None:
        if len(message_types) > _MAX_TYPES:
            raise ValueError(f"at most {_MAX_TYPES} message types, not {len(message_types)}")
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._numbers = {
            message_type: bytes([number]) for number, message_type in enumerate(message_types)
        }
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = [msgspec.msgpack.Decoder(message_type) for message_type in message_types]

    def encode(self, message: PeerMessage) -> bytes | Failure:
        """Return the datagram of ``message``, or a failure when it is too large."""
        body = self._numbers[type(message)] + self._encoder.encode(message)
        if len(body) + _TAG_BYTES > MAX_DATAGRAM_BYTES:
            return FailureKind.BAD_DATAGRAM.because(
                f"{type(message).__name__} takes {len(body)} bytes; the limit is "
                f"{MAX_DATAGRAM_BYTES - _TAG_BYTES}"
            )
        return self._tag(body) + body

    def decode(self, datagram: bytes) -> PeerMessage | Failure:
        """Return the message of ``datagram``; a failure when its tag or its body is invalid."""
        if not hmac.compare_digest(datagram[:_TAG_BYTES], self._tag(datagram[_TAG_BYTES:])):
            return FailureKind.BAD_DATAGRAM.because("the authentication tag does not match")
        try:
            decoder = self._decoders[datagram[_TAG_BYTES]]
            message: PeerMessage = decoder.decode(memoryview(datagram)[_BODY_START:])
        except (*DECODE_ERRORS, IndexError) as error:
            return FailureKind.BAD_DATAGRAM.because(
                f"the body cannot be decoded: {type(error).__name__}"
            )
        return message

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=_TAG_BYTES).digest()
