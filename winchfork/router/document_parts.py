"""Splits compressed updates of store entries into datagrams and reassembles them.

Parts are accepted in order only, for one update at a time per sender. If a part is lost, the update
is discarded and the receiver has to request it again.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.decoding import DECODE_ERRORS
from winchfork.errors import Failure, FailureKind
from winchfork.router.peer_messages import DocumentPart, EraDocumentPart

#: Maximum number of bytes of a compressed update in one datagram.
MAX_PART_BYTES = 8_192
#: Limit of an update's decompressed size; larger ones are rejected.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024
#: Limits on the compressed size of an update, and on the updates that are collected at a time.
MAX_PACKED_BYTES = 8 * 1024 * 1024
MAX_PARTIAL_UPDATES = 16
_ITEMS = msgspec.msgpack.Decoder(tuple[TableItem, ...])


def split_update(
    sender_id: str, update: TableUpdate
) -> Sequence[DocumentPart] | Sequence[EraDocumentPart]:
    """Return the datagrams that carry ``update``, in order.

    They name the era only if the update has one.
    """
    packed = zlib.compress(msgspec.msgpack.encode(update.items), level=1)
    parts = [
        DocumentPart(
            sender_id,
            update.base.revision,
            update.at.revision,
            update.complete,
            update.after_outage,
            offset,
            len(packed),
            packed[offset : offset + MAX_PART_BYTES],
        )
        for offset in range(0, len(packed), MAX_PART_BYTES)
    ]
    era = update.at.era
    return [EraDocumentPart(era, part) for part in parts] if era else parts


class _PartialUpdate(msgspec.Struct):
    """The parts received so far of an update from ``base`` to ``at``."""

    base: StorePosition
    at: StorePosition
    data: bytearray = msgspec.field(default_factory=bytearray)


class UpdateAssembler:
    """Reassembles the newest update of each sender. Not thread-safe."""

    def __init__(self) -> None:
        self._partial_updates: dict[str, _PartialUpdate] = {}

    def add(self, part: DocumentPart, era: int = 0) -> TableUpdate | Failure | None:
        """Add a part; return the update once it is complete, None until then.

        Returns a Failure if the update is too large, or complete and cannot be decoded.
        """
        base = StorePosition(era, part.base_revision)
        at = StorePosition(era, part.at_revision)
        collected = self._partial_updates.pop(part.sender_id, None)
        if part.offset == 0:
            collected = _PartialUpdate(base, at)
        if collected is None or (collected.base, collected.at) != (base, at):
            return None
        if part.offset != len(collected.data):
            return None
        collected.data += part.data
        if max(part.total, len(collected.data)) > MAX_PACKED_BYTES:
            return FailureKind.BAD_DATAGRAM.because(
                f"a document update has more than {MAX_PACKED_BYTES} bytes"
            )
        if len(collected.data) < part.total:
            self._keep(part.sender_id, collected)
            return None
        return _unpack(part, collected)

    def _keep(self, sender_id: str, update: _PartialUpdate) -> None:
        """Keep an update that is not complete; the one that grew longest ago gives way."""
        if len(self._partial_updates) >= MAX_PARTIAL_UPDATES:
            self._partial_updates.pop(next(iter(self._partial_updates)))
        self._partial_updates[sender_id] = update


def _unpack(part: DocumentPart, collected: _PartialUpdate) -> TableUpdate | Failure:
    try:
        unpacking = zlib.decompressobj()
        items = _ITEMS.decode(unpacking.decompress(collected.data, MAX_UNPACKED_BYTES))
    except (zlib.error, *DECODE_ERRORS) as error:
        return FailureKind.BAD_DATAGRAM.because(
            f"document update cannot be decoded: {type(error).__name__}"
        )
    return TableUpdate(collected.base, collected.at, part.complete, part.after_outage, items)
