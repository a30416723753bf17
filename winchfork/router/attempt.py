"""One attempt of a request at one replica: sends it and turns the answer into a typed outcome."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from winchfork.core.memory_budget import SMALL_BYTES, BufferKind
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.routing import RouteKind
from winchfork.router.caller_answer import CallerAnswer, StreamRelay
from winchfork.router.event_stream import MAX_EVENT_BYTES
from winchfork.router.header_codec import AnswerFields, HeaderCodec
from winchfork.router.http_types import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    AnswerTruncated,
    AttemptPart,
    RequestEvent,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import BufferedAnswer, Delivered, MayHaveRun, NotRun, Outcome
from winchfork.router.relay_messages import RelayFailure, read_relay_failure
from winchfork.router.replica_connection import Exchange, RelayLeg, ReplicaConnection

#: The largest answer in bytes that is buffered until it is whole.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class AttemptPlan(msgspec.Struct):
    """A request rendered for one replica, with the expected cost of the run.

    ``prefill_tokens`` are the prompt tokens that the replica has to process, ``memory_tokens`` the
    most cache memory that the run may use, in tokens. ``expected_end_at_s`` is when the run is
    expected to end, on the loop's clock. ``expected_s`` is the expected time in seconds to the
    first event, or to the whole answer if it has no events. ``start_margin_s`` is the longest time
    that the run was expected to take to begin. ``no_body``: the answer has no body.
    """

    replica: RelayReplica
    head: bytes
    body: bytes
    request_id: str
    kind: RouteKind
    prefill_tokens: int
    memory_tokens: int
    model: str
    weights_version: int | None
    no_body: bool
    expected_end_at_s: float
    expected_s: float = 1.0
    start_margin_s: float = 0.0
    #: Version of the replica's software as of the placement; empty if the platform gives none.
    software: str = ""
    #: Id of the last event that the caller has; None for a stream from its beginning.
    resume_after: int | None = None
    #: Called once, when the first event has been received.
    on_prefill_done: Callable[[], None] = lambda: None
    #: Called once, before the first event is sent to the caller.
    on_first_event: Callable[[], None] = lambda: None
    #: Called when the head of this request's answer has been received.
    on_head: Callable[[], None] = lambda: None
    #: Called with the notice in each answer head on the connection; the flag says whether the head
    #: is authentic and answers this request.
    on_notice: Callable[[AnswerNotice, bool], None] = lambda notice, is_answer: None
    #: Called each time that whole events have been received.
    on_events: Callable[[], None] = lambda: None


class Attempt:
    """One exchange, between :meth:`start` and :meth:`end`.

    The parts of its answer go to the inbox, marked with ``number``; the reader passes them to
    :meth:`handle`. ``number`` is 1 for the first attempt of a request.
    """

    def __init__(
        self,
        number: int,
        plan: AttemptPlan,
        connection: ReplicaConnection,
        inbox: Inbox[RequestEvent],
        answer: CallerAnswer,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
    ) -> None:
        self.number = number
        self.plan = plan
        #: When the request was sent, in seconds of ``clock``.
        self.sent_at_s = 0.0
        #: Whether a backup was considered because of this attempt's silence.
        self.backup_offered = False
        self._connection = connection
        self._inbox = inbox
        self._answer = answer
        self._header_codec = header_codec
        self._clock = clock
        self._head: AnswerHead | None = None
        #: Fields of the last head received on the connection, and of this request's answer.
        self._last_fields: AnswerFields | None = None
        self._fields: AnswerFields | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._body_reservation = connection.memory.open(BufferKind.ANSWER_BODY, connection.shed)
        self._event_reservation = connection.memory.open(BufferKind.EVENT, connection.shed)
        self._growth = connection.memory.growth
        self._stream: StreamRelay | None = None
        self._pending_prefill_tokens = plan.prefill_tokens
        self._prefill_done = False
        #: Why reading is paused: the caller reads slowly; there is no room for a large answer.
        self._paused_by_caller = False
        self._paused_for_room = False
        self._last_received_at_s = 0.0

    def start(self) -> None:
        """Send the request."""
        plan = self.plan
        plan.replica.record_sent(
            id(self), plan.prefill_tokens, plan.expected_end_at_s, plan.memory_tokens
        )
        exchange = Exchange(self._deliver, self._is_own, plan.no_body, self._read_head)
        self.sent_at_s = self._last_received_at_s = self._clock()
        self._connection.start(plan.head, plan.body, exchange)

    def end(self) -> None:
        """Record at the replica that the attempt is over; the connection is idle or closed."""
        self._release_pending_prefill()
        self._growth.leave(self)
        self._body_reservation.resize(0)
        self._event_reservation.resize(0)
        self.plan.replica.record_ended(id(self), self.plan.memory_tokens)

    def abandon(self) -> None:
        """Close the connection without waiting for the rest of the answer."""
        self._connection.abandon()

    @property
    def replica(self) -> RelayReplica:
        """The replica that this attempt was sent to."""
        return self.plan.replica

    @property
    def relay(self) -> RelayLeg | None:
        """The peer that relays the request; None if it was sent to the replica itself."""
        return self._connection.relay

    @property
    def is_answering(self) -> bool:
        """Whether the head of an answer was received that may be delivered."""
        if self._head is None or self._fields is None:
            return False
        return self._fields.authentic and 200 <= self._head.status < 300

    @property
    def has_first_event(self) -> bool:
        """Whether the first event of the stream has been received."""
        return self._prefill_done

    @property
    def events(self) -> int:
        """How many whole events of the stream have been received."""
        return self._stream.events if self._stream is not None else 0

    @property
    def silent_s(self) -> float:
        """Seconds since a part of the answer was received or the request was sent.

        It is 0 while reading is paused, since a silence then says nothing of the replica.
        """
        return 0.0 if self._is_paused else self._clock() - self._last_received_at_s

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the replica (backpressure)."""
        was_paused = self._is_paused
        self._paused_by_caller = paused
        self._apply_pause(was_paused)

    def _pause_for_room(self, paused: bool) -> None:
        was_paused = self._is_paused
        self._paused_for_room = paused
        self._apply_pause(was_paused)

    @property
    def _is_paused(self) -> bool:
        return self._paused_by_caller or self._paused_for_room

    def _apply_pause(self, was_paused: bool) -> None:
        if self._is_paused:
            self._connection.pause()
        elif was_paused:
            self._last_received_at_s = self._clock()
            self._connection.resume()

    def handle(self, part: AnswerPart) -> Outcome | None:
        """Process a part of the answer; return the outcome if the attempt has ended with it."""
        if isinstance(part, AnswerEnd):
            return self._handle_end(framed=part.framed)
        if isinstance(part, AnswerTruncated):
            return self._handle_truncation(part)
        self._last_received_at_s = self.replica.last_received_at_s = self._clock()
        if isinstance(part, AnswerHead):
            return self._handle_head(part)
        return self._handle_data(part.data)

    def _deliver(self, part: AnswerPart) -> None:
        if isinstance(part, AnswerData):
            self._body_reservation.grow(len(part.data))
        self._inbox.put(AttemptPart(self.number, part))

    def _read_head(self, head: AnswerHead) -> None:
        fields = self._last_fields = self._header_codec.read_answer(head)
        is_answer = fields.authentic and fields.request_id == self.plan.request_id
        self.plan.on_notice(fields.notice, is_answer)

    def _is_own(self, head: AnswerHead) -> bool:
        if self.relay is not None and read_relay_failure(head) is not None:
            return True
        assert self._last_fields is not None
        return self._last_fields.may_answer(self.plan.request_id)

    def _handle_head(self, head: AnswerHead) -> Outcome | None:
        self._head = head
        self._fields = self._last_fields
        self.plan.on_head()
        assert self._fields is not None
        version = self._fields.weights_version
        if version is not None and self.plan.model:
            versions = self.plan.replica.versions
            versions[self.plan.model] = max(version, versions.get(self.plan.model, 0))
        streaming = self.plan.kind is RouteKind.STREAMING
        if streaming and 200 <= head.status < 300 and self._fields.authentic:
            self._stream = StreamRelay(self._answer, head, self.plan.on_first_event)
        return None

    def _handle_data(self, data: bytes) -> Outcome | None:
        if self._stream is not None:
            self._body_reservation.grow(-len(data))
            if self._stream.feed(data):
                self._record_events()
            self._event_reservation.resize(self._stream.pending_bytes)
            if self._stream.is_too_large:
                self.abandon()
                return MayHaveRun(f"the stream has an event of more than {MAX_EVENT_BYTES} bytes")
            return None
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BUFFERED_BYTES:
            self.abandon()
            return MayHaveRun("the answer exceeds the buffer limit")
        if self._body_bytes > SMALL_BYTES:
            self._growth.enter(self, self._pause_for_room)
        return None

    def _record_events(self) -> None:
        if not self._prefill_done:
            self._prefill_done = True
            self._release_pending_prefill()
            self.plan.on_prefill_done()
        self.plan.on_events()

    def _handle_end(self, *, framed: bool) -> Outcome:
        assert self._head is not None and self._fields is not None
        relay_failure = read_relay_failure(self._head) if self.relay is not None else None
        if relay_failure is not None:
            reason = f"the peer did not relay the request: {relay_failure.value}"
            unproven = relay_failure is RelayFailure.UNPROVEN
            return NotRun(reason, sent=False, relay_failed=not unproven, unproven=unproven)
        if self._stream is not None:
            return self._end_stream(framed=framed)
        answer = BufferedAnswer(self._head, b"".join(self._body), self._fields.status_means_not_run)
        self._body.clear()
        self._body_reservation.resize(0)
        status = self._head.status
        if self._fields.not_run or self._fields.misdirected:
            return NotRun(
                f"replica answered {status}",
                sent=True,
                retry_same_replica=self._wrong_version(),
                other_incarnation=self._other_incarnation(),
            )
        if self._answer.started:
            return MayHaveRun(f"replica answered {status} to a resumed stream")
        if 200 <= status < 300:
            if not self._fields.authentic or self.plan.kind is RouteKind.STREAMING:
                return MayHaveRun(f"replica answered {status} without proof of origin")
            self._answer.send_buffered(answer)
            return Delivered(status, framed)
        return MayHaveRun(f"replica answered {status}", answer)

    def _wrong_version(self) -> bool:
        """Whether the replica refused because its weights version is not the expected one."""
        if self.plan.weights_version is None or self._fields is None:
            return False
        own = self._fields.replica_id == self.plan.replica.replica_id
        return self._fields.misdirected and own

    def _other_incarnation(self) -> str:
        """Return the id of the replica that refused if it is not the intended one, else ""."""
        fields = self._fields
        if fields is None or not fields.misdirected or fields.replica_id is None:
            return ""
        own = fields.replica_id == self.plan.replica.replica_id
        return "" if own else fields.replica_id

    def _end_stream(self, *, framed: bool) -> Outcome:
        assert self._stream is not None
        if self._stream.truncated:
            # An answer without framing ends with the connection, even in the middle of an event.
            return MayHaveRun(
                "the stream ended inside an event or before the first", truncated=True
            )
        self._answer.finish()
        return Delivered(200, framed)

    def _handle_truncation(self, item: AnswerTruncated) -> Outcome:
        if self._head is not None and self._fields is not None and self._fields.not_run:
            return NotRun("the connection ended inside the replica's refusal", True)
        # The end of a relayed answer does not tell whether the peer, a link or the replica failed.
        silent = item.silent or self.relay is not None
        return MayHaveRun(f"connection {item.reason}", truncated=True, silent=silent)

    def _release_pending_prefill(self) -> None:
        self.plan.replica.record_prefilled(self._pending_prefill_tokens)
        self._pending_prefill_tokens = 0
