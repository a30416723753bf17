"""Batches of records of begun streams, as archived in the store, and a reader's copy of them.

A record says what began a stream, and for how long that was kept when it was written. A missing
record means nothing: batches are written only at times, and may be lost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

import msgspec

from winchfork.core.stream_origin import KEY_BYTES, StreamOrigin

#: Longest life of a record in seconds, which takes one byte.
MAX_REMAINING_S = 255
#: Records that a reader keeps at most; the batches that were read first go first.
MAX_KEPT_RECORDS = 131_072


class StreamRecord(msgspec.Struct, frozen=True):
    """What began a stream; it may be forgotten after ``remaining_s``."""

    key: bytes
    origin: StreamOrigin
    remaining_s: float


class StreamGroup(msgspec.Struct, frozen=True, array_like=True):
    """Streams of one origin: their keys, and a byte for each with its remaining whole seconds."""

    service: str
    software: str
    keys: bytes
    remaining_s: bytes

    def find(self, key: bytes) -> int | None:
        """Return for how many seconds the record of a stream is kept; None if there is none."""
        at = self.keys.find(key)
        while at >= 0:
            if at % KEY_BYTES == 0:
                return self.remaining_s[at // KEY_BYTES]
            at = self.keys.find(key, at + 1)
        return None


class StreamBatch(msgspec.Struct, frozen=True, array_like=True):
    """The records of one entry of the store."""

    groups: tuple[StreamGroup, ...]

    @classmethod
    def of(cls, records: Iterable[StreamRecord]) -> StreamBatch:
        """Group records by their origin; lives are rounded up to whole seconds."""
        by_origin: dict[StreamOrigin, list[StreamRecord]] = {}
        for record in records:
            by_origin.setdefault(record.origin, []).append(record)
        return cls(
            tuple(
                StreamGroup(
                    origin.service,
                    origin.software,
                    b"".join(record.key for record in group),
                    bytes(_whole_seconds(record.remaining_s) for record in group),
                )
                for origin, group in by_origin.items()
            )
        )

    def __len__(self) -> int:
        return sum(len(group.remaining_s) for group in self.groups)

    @property
    def is_consistent(self) -> bool:
        """Whether each key is whole and has its remaining time."""
        return all(
            len(group.keys) == KEY_BYTES * len(group.remaining_s) and group.keys
            for group in self.groups
        )

    @property
    def longest_s(self) -> int:
        """The longest remaining time of a record, in seconds."""
        return max((max(group.remaining_s) for group in self.groups), default=0)

    def records(self) -> Iterator[StreamRecord]:
        """Return all records."""
        for group in self.groups:
            origin = StreamOrigin(group.service, group.software)
            for number, remaining_s in enumerate(group.remaining_s):
                first = number * KEY_BYTES
                yield StreamRecord(group.keys[first : first + KEY_BYTES], origin, remaining_s)

    def find(self, key: bytes) -> Iterator[StreamRecord]:
        """Return the records of a stream; several if its id was used for several streams."""
        for group in self.groups:
            remaining_s = group.find(key)
            if remaining_s is not None:
                yield StreamRecord(key, StreamOrigin(group.service, group.software), remaining_s)


class _KeptBatch(msgspec.Struct, frozen=True):
    batch: StreamBatch
    read_at_s: float

    @property
    def expires_at_s(self) -> float:
        return self.read_at_s + self.batch.longest_s


class ArchivedStreams:
    """The batches that one daemon has read, until their records expire. Times are in seconds.

    Batches are searched as they are: unpacking those of a large fleet would stall the event loop.
    """

    def __init__(self, max_records: int = MAX_KEPT_RECORDS) -> None:
        self._max_records = max_records
        self._batches: dict[str, _KeptBatch] = {}
        self._records = 0

    def __len__(self) -> int:
        return self._records

    def __contains__(self, name: object) -> bool:
        return name in self._batches

    def add(self, name: str, batch: StreamBatch, now_s: float) -> None:
        """Keep the batch under a key of the store, which was read just now."""
        self._remove([name])
        self._batches[name] = _KeptBatch(batch, now_s)
        self._records += len(batch)
        while self._records > self._max_records:
            self._remove([next(iter(self._batches))])

    def find(self, key: bytes, now_s: float) -> list[StreamRecord]:
        """Return the records of a stream that have not expired."""
        found = []
        for kept in self._batches.values():
            for record in kept.batch.find(key):
                remaining_s = kept.read_at_s + record.remaining_s - now_s
                if remaining_s > 0.0:
                    found.append(StreamRecord(key, record.origin, remaining_s))
        return found

    def remove_expired(self, now_s: float) -> None:
        """Forget batches of which every record has expired."""
        self._remove([name for name, kept in self._batches.items() if now_s >= kept.expires_at_s])

    def _remove(self, names: Iterable[str]) -> None:
        for name in names:
            kept = self._batches.pop(name, None)
            if kept is not None:
                self._records -= len(kept.batch)


def _whole_seconds(remaining_s: float) -> int:
    return min(MAX_REMAINING_S, max(1, math.ceil(remaining_s)))
