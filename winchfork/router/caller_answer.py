"""Relays replicas' answers to the caller and tracks how far each answer has been sent."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from winchfork.router.caller_connection import CallerConnection
from winchfork.router.event_stream import EventSplitter, StreamEvent
from winchfork.router.http_types import AnswerHead, end_to_end
from winchfork.router.outcomes import BufferedAnswer

_LENGTH = b"content-length"


class CallerAnswer:
    """The answer to one caller's request.

    A stream that continues at another replica keeps the head of the first one.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._head: AnswerHead | None = None
        self.started = False
        self.ended = False
        self.last_event_id: int | None = None
        self.events = 0
        self._complete = False

    @property
    def truncated(self) -> bool:
        """Whether the answer has begun and was not completed."""
        return self.started and not self._complete

    def send_buffered(self, answer: BufferedAnswer) -> None:
        """Send a whole answer to the caller."""
        head = answer.head
        headers = [pair for pair in end_to_end(head.headers) if pair[0].lower() != _LENGTH]
        # An answer to HEAD keeps its Content-Length although it has no body.
        length = len(answer.body) if answer.body or head.length is None else head.length
        self.started = self.ended = self._complete = True
        self._connection.start_answer(head.status, head.reason, headers, length)
        if answer.body:
            self._connection.write_body(answer.body)
        self._connection.finish_answer()

    def send_events(self, head: AnswerHead, events: Sequence[StreamEvent]) -> None:
        """Send whole events to the caller, except those that the caller already has."""
        new = [event.raw for event in events if self._advance(event)]
        if not new:
            return
        if not self.started:
            self.started = True
            headers = [pair for pair in end_to_end(head.headers) if pair[0].lower() != _LENGTH]
            self._connection.start_answer(head.status, head.reason, headers, None)
        self.events += len(new)
        self._connection.write_body(b"".join(new))

    def _advance(self, event: StreamEvent) -> bool:
        """Return whether an event is new to the caller."""
        if event.event_id is None:
            return True
        if self.last_event_id is not None and event.event_id <= self.last_event_id:
            return False
        self.last_event_id = event.event_id
        return True

    def finish(self) -> None:
        """End a complete stream."""
        self.ended = self._complete = True
        self._connection.finish_answer()

    def abort(self) -> None:
        """End an incomplete answer so that the caller sees it as truncated."""
        self.ended = True
        self._connection.abort_answer()


class StreamRelay:
    """Splits one replica's stream into events and sends the whole ones to the caller.

    ``on_first_event`` is called before the first one is sent.
    """

    def __init__(
        self, answer: CallerAnswer, head: AnswerHead, on_first_event: Callable[[], None]
    ) -> None:
        self._answer = answer
        self._on_first_event = on_first_event
        self._head = head
        self._splitter = EventSplitter()
        self.events = 0

    def feed(self, data: bytes) -> int:
        """Send the events that ``data`` completes; return how many there were."""
        events = self._splitter.feed(data)
        if events and not self.events:
            self._on_first_event()
        self._answer.send_events(self._head, events)
        self.events += len(events)
        return len(events)

    @property
    def pending_bytes(self) -> int:
        """Bytes of the event that is not complete yet."""
        return self._splitter.incomplete_bytes

    @property
    def is_too_large(self) -> bool:
        """Whether that event exceeds the limit."""
        return self._splitter.is_too_large

    @property
    def truncated(self) -> bool:
        """Whether the stream stopped inside an event, or before its first."""
        return bool(self._splitter.incomplete_event.strip()) or self.events == 0
