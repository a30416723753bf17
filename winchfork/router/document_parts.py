"""Updates of the store's entries as datagrams: packed, cut into parts, put together again.

A part that is lost costs the update; the receiver asks again. Parts are put together in order, and
one update at a time from each sender.
"""

from __future__ import annotations

import zlib

import msgspec

from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.errors import Failure, FailureKind
from winchfork.router.peer_messages import DocumentPart

#: Bytes of a packed update in one datagram.
PART_BYTES = 8_192
#: An update that unpacks to more than this is refused.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024
_ITEMS = msgspec.msgpack.Decoder(tuple[TableItem, ...])


def split_update(sender_id: str, update: TableUpdate) -> list[DocumentPart]:
    """Return the datagrams that carry ``update``, in order."""
    packed = zlib.compress(msgspec.msgpack.encode(update.items), level=1)
    return [
        DocumentPart(
            sender_id,
            update.base_revision,
            update.at_revision,
            update.complete,
            update.after_outage,
            offset,
            len(packed),
            packed[offset : offset + PART_BYTES],
        )
        for offset in range(0, len(packed), PART_BYTES)
    ]


class PartCollector:
    """Puts the parts of each sender's newest update together."""

    def __init__(self) -> None:
        self._collected: dict[str, tuple[DocumentPart, bytearray]] = {}

    def add(self, part: DocumentPart) -> TableUpdate | Failure | None:
        """Take a part in; return the update when it was the last one, None before that."""
        if part.offset == 0:
            data = bytearray()
        else:
            first, data = self._collected.pop(part.sender_id, (part, bytearray()))
            same = (first.base_revision, first.at_revision) == (
                part.base_revision,
                part.at_revision,
            )
            if not same or part.offset != len(data):
                return None
        data += part.data
        if len(data) < part.total:
            self._collected[part.sender_id] = (part, data)
            return None
        return _unpack(part, bytes(data))


def _unpack(part: DocumentPart, packed: bytes) -> TableUpdate | Failure:
    try:
        unpacking = zlib.decompressobj()
        items = _ITEMS.decode(unpacking.decompress(packed, MAX_UNPACKED_BYTES))
    except (zlib.error, msgspec.DecodeError) as error:
        return FailureKind.BAD_DATAGRAM.because(f"unreadable update: {type(error).__name__}")
    return TableUpdate(
        part.base_revision, part.at_revision, part.complete, part.after_outage, items
    )
