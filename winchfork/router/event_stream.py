"""Splits a stream of server-sent events (WHATWG HTML) into whole events and reads their ids."""

from __future__ import annotations

import msgspec


class StreamEvent(msgspec.Struct, frozen=True):
    """One event with its closing empty line; ``event_id`` is None without a numeric id."""

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Buffers bytes until they form whole events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = _event_end(self._buffer)
            if end < 0:
                return events
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(StreamEvent(raw, _event_id(raw)))

    @property
    def incomplete_event(self) -> bytes:
        """Buffered bytes of the last event, which is not complete yet."""
        return self._buffer


def _event_end(data: bytes) -> int:
    ends = [
        position + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
