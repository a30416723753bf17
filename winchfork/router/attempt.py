"""One attempt of a request at one replica, from the connection to its typed outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.routing import RouteKind
from winchfork.router.caller_answer import CallerAnswer, StreamReader
from winchfork.router.dialect import AnswerFields, Dialect
from winchfork.router.http_types import (
    AnswerBroken,
    AnswerData,
    AnswerEnd,
    AnswerHead,
    CallerLeft,
    MoveAway,
    TimeLimit,
)
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import (
    BufferedAnswer,
    Delivered,
    MayHaveRun,
    Moved,
    NotRun,
    Outcome,
    StopCause,
    Stopped,
)
from winchfork.router.replica_connection import Exchange, ReplicaConnection

#: A whole answer larger than this is not held back for a retry.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class AttemptPlan(msgspec.Struct):
    """What is sent where.

    ``unread_tokens`` is what the replica has to read of the prompt, ``memory_tokens`` what the run
    may come to take of its memory; ``ends_s`` when it is expected to end. ``expected_s`` is how
    long its first event, or a whole answer without events, is expected to take.
    """

    replica: RelayReplica
    message: bytes
    request_id: str
    kind: RouteKind
    unread_tokens: int
    memory_tokens: int
    model: str
    weights_version: int | None
    no_body: bool
    ends_s: float
    expected_s: float = 1.0
    on_read: Callable[[], None] = lambda: None
    #: Told what the head of each answer on the connection says of the replica, as it is read, and
    #: whether the replica's own program answers this request with it.
    on_notice: Callable[[AnswerNotice, bool], None] = lambda notice, is_answer: None
    on_events: Callable[[], None] = lambda: None


class Attempt:
    """Runs one exchange. After :meth:`run` the connection is free or closed."""

    def __init__(
        self,
        plan: AttemptPlan,
        connection: ReplicaConnection,
        inbox: Inbox,
        answer: CallerAnswer,
        dialect: Dialect,
    ) -> None:
        self.plan = plan
        self._connection = connection
        self._inbox = inbox
        self._answer = answer
        self._dialect = dialect
        self._head: AnswerHead | None = None
        #: The last head that came on the connection, and that of this request's answer.
        self._last_read: AnswerFields | None = None
        self._fields: AnswerFields | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._stream: StreamReader | None = None
        self._unread_counted = plan.unread_tokens
        self._read = False
        self._loop = asyncio.get_running_loop()
        self._heard_s = 0.0

    async def run(self) -> Outcome:
        """Send the request and follow its answer to the end."""
        plan = self.plan
        plan.replica.record_sent(id(self), plan.unread_tokens, plan.ends_s, plan.memory_tokens)
        exchange = Exchange(self._inbox.put, self._is_own, plan.no_body, self._read_head)
        try:
            self._connection.start(plan.message, exchange)
            self._heard_s = self._loop.time()
            while True:
                item = await self._inbox.get()
                if isinstance(item, AnswerHead | AnswerData):
                    self._heard_s = self._loop.time()
                outcome = self._step(item)
                if outcome is not None:
                    return outcome
        finally:
            self._note_read()
            plan.replica.record_ended(id(self), plan.memory_tokens)

    @property
    def replica(self) -> RelayReplica:
        """The replica at which this attempt is."""
        return self.plan.replica

    @property
    def has_begun(self) -> bool:
        """Whether the replica has begun to answer: its first event has come."""
        return self._read

    @property
    def silent_s(self) -> float:
        """Seconds since the request was sent, or since something was last heard of its answer."""
        return self._loop.time() - self._heard_s

    def pause(self, behind: bool) -> None:
        """Stop reading from the replica while the caller is behind."""
        if behind:
            self._connection.pause()
        else:
            self._connection.resume()

    def _step(self, item: object) -> Outcome | None:
        if isinstance(item, AnswerHead):
            return self._take_head(item)
        if isinstance(item, AnswerData):
            return self._take_data(item.data)
        if isinstance(item, AnswerEnd):
            return self._take_end()
        if isinstance(item, AnswerBroken):
            return self._take_break(item)
        if isinstance(item, CallerLeft):
            return self._stop(StopCause.CALLER_LEFT)
        if isinstance(item, TimeLimit):
            return self._stop(StopCause.DEADLINE)
        if isinstance(item, MoveAway) and item.replica_id == self.plan.replica.replica_id:
            self._abandon()
            return Moved()
        return None

    def _read_head(self, head: AnswerHead) -> None:
        fields = self._last_read = self._dialect.read_answer(head)
        is_answer = fields.authentic and fields.request_id == self.plan.request_id
        self.plan.on_notice(fields.notice, is_answer)

    def _is_own(self, head: AnswerHead) -> bool:
        fields = self._last_read
        assert fields is not None
        # A refusal that proves "not run" may come without an id; nothing else may.
        if fields.request_id is None:
            return fields.not_run or fields.misdirected
        return fields.request_id == self.plan.request_id

    def _take_head(self, head: AnswerHead) -> Outcome | None:
        self._head = head
        self._fields = self._last_read
        assert self._fields is not None
        version = self._fields.weights_version
        if version is not None and self.plan.model:
            versions = self.plan.replica.versions
            versions[self.plan.model] = max(version, versions.get(self.plan.model, 0))
        streaming = self.plan.kind is RouteKind.STREAMING
        if streaming and 200 <= head.status < 300 and self._fields.authentic:
            self._stream = StreamReader(self._answer, head)
        return None

    def _take_data(self, data: bytes) -> Outcome | None:
        if self._stream is not None:
            if self._stream.feed(data):
                self._note_events()
            return None
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BUFFERED_BYTES:
            self._abandon()
            return MayHaveRun("the answer is too large")
        return None

    def _note_events(self) -> None:
        if not self._read:
            self._read = True
            self._note_read()
            self.plan.on_read()
        self.plan.on_events()

    def _take_end(self) -> Outcome:
        assert self._head is not None and self._fields is not None
        if self._stream is not None:
            return self._end_stream()
        answer = BufferedAnswer(self._head, b"".join(self._body))
        status = self._head.status
        if self._fields.not_run or self._fields.misdirected:
            return NotRun(
                f"replica answered {status}",
                sent=True,
                same_replica=self._wrong_version(),
                other_replica=self._other_incarnation(),
            )
        if self._answer.started:
            return MayHaveRun(f"replica answered {status} to a resumed stream")
        if 200 <= status < 300:
            if not self._fields.authentic or self.plan.kind is RouteKind.STREAMING:
                return MayHaveRun(f"replica answered {status} without proof of origin")
            self._answer.give_whole(answer)
            return Delivered(status)
        return MayHaveRun(f"replica answered {status}", answer)

    def _wrong_version(self) -> bool:
        """Whether the right replica refused, for weights that it no longer has."""
        if self.plan.weights_version is None or self._fields is None:
            return False
        own = self._fields.replica_id == self.plan.replica.replica_id
        return self._fields.misdirected and own

    def _other_incarnation(self) -> str:
        """Return the replica that refused, if it is another than was asked, else ""."""
        fields = self._fields
        if fields is None or not fields.misdirected or fields.replica_id is None:
            return ""
        own = fields.replica_id == self.plan.replica.replica_id
        return "" if own else fields.replica_id

    def _end_stream(self) -> Outcome:
        assert self._stream is not None
        if self._stream.torn:
            # Without framing, a connection that ends in order looks like the end of the answer.
            return MayHaveRun("the stream ended inside an event", broke=True)
        self._answer.finish()
        return Delivered(200)

    def _take_break(self, item: AnswerBroken) -> Outcome:
        if self._head is not None and self._fields is not None and self._fields.not_run:
            return NotRun("the replica's refusal broke off", True)
        return MayHaveRun(f"connection {item.reason}", broke=True, silent=item.silent)

    def _stop(self, cause: StopCause) -> Outcome:
        self._abandon()
        return Stopped(cause)

    def _abandon(self) -> None:
        self._connection.abandon()
        self._inbox.drop_answers()

    def _note_read(self) -> None:
        self.plan.replica.record_prefilled(self._unread_counted)
        self._unread_counted = 0
