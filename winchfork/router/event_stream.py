"""Splits a stream of server-sent events (WHATWG HTML) into whole events and reads their ids."""

from __future__ import annotations

import re

import msgspec

from winchfork.decoding import MAX_ID_DIGITS, read_count

#: Limit on one event.
MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
#: Bytes of the longest mark, less one: a mark may begin in bytes that have been searched before.
_MARK_OVERLAP = 3


class StreamEvent(msgspec.Struct, frozen=True):
    """One event with its closing empty line; ``event_id`` is None without a numeric id."""

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Buffers bytes until they form whole events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Bytes of the buffer that hold no end of an event.
        self._searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that they complete."""
        self._buffer += data
        events: list[StreamEvent] = []
        begins = 0
        searched = max(0, self._searched - _MARK_OVERLAP)
        while (mark := _EVENT_END.search(self._buffer, searched)) is not None:
            raw = bytes(self._buffer[begins : mark.end()])
            events.append(StreamEvent(raw, _event_id(raw)))
            begins = searched = mark.end()
        if begins:
            del self._buffer[:begins]
        self._searched = len(self._buffer)
        return events

    @property
    def is_too_large(self) -> bool:
        """Whether the event that is not complete yet exceeds the limit."""
        return len(self._buffer) > MAX_EVENT_BYTES

    @property
    def incomplete_event(self) -> bytes:
        """Buffered bytes of the last event, which is not complete yet."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """How many bytes of the last event are buffered."""
        return len(self._buffer)


def _event_id(raw: bytes) -> int | None:
    if b"id:" not in raw:
        return None
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return read_count(value.strip(), MAX_ID_DIGITS)
    return None
