"""Encodes and decodes the archived records of begun streams in the store."""

from __future__ import annotations

import msgspec

from winchfork.core.stream_batch import StreamBatch
from winchfork.decoding import DECODE_ERRORS
from winchfork.errors import Failure, FailureKind

STREAMS_PREFIX = "winchfork/streams/"
#: No key has this prefix; listing it shows the store's position.
POSITION_PREFIX = "winchfork/streams-position/"
_DECODER = msgspec.msgpack.Decoder(StreamBatch)


def stream_batch_key(node_id: str, start_id: int, number: int) -> str:
    """Return the key of a batch; no two starts of a daemon use the same."""
    return f"{STREAMS_PREFIX}{node_id}-{start_id:08x}/{number}"


def is_stream_batch_key(key: str) -> bool:
    """Whether a store key is that of a batch."""
    return key.startswith(STREAMS_PREFIX)


def encode_batch(batch: StreamBatch) -> bytes:
    """Encode a batch for the store."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> StreamBatch | Failure:
    """Decode a stored batch."""
    try:
        batch = _DECODER.decode(value)
    except DECODE_ERRORS as error:
        return FailureKind.BAD_DOCUMENT.because(f"stream records cannot be decoded: {error}")
    if not batch.is_consistent:
        return FailureKind.BAD_DOCUMENT.because("stream records have keys of a wrong length")
    return batch
