"""A client HTTP/1.1 connection to a replica, a peer or the store, with one exchange at a time.

Answers that the exchange does not accept as its own are read and dropped, since a server may send a
surplus answer. Data outside an exchange closes the connection. An answer without framing is
complete when the server closes the connection in order; a reset truncates it.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

import httptools
import msgspec

from winchfork.core.memory_budget import BufferKind, MemoryBudget
from winchfork.decoding import read_count
from winchfork.router.answer_head import AnswerHeadReader, AnswerRejectedError
from winchfork.router.http_types import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    AnswerTruncated,
    Headers,
    find_header,
)
from winchfork.router.read_buffer import BoundedReadProtocol

#: Milliseconds after which unacknowledged data ends the connection. Longer than the silence of a
#: second or so that a sound replica may have, and the retransmission that follows it. It also
#: decides when keep-alive probes give up, whatever their number.
USER_TIMEOUT_MS = 3_000
#: TCP keep-alive: idle seconds before the first probe, seconds between probes, unanswered probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: Seconds before the announced end of keep-alive in which a connection is not reused.
KEEPALIVE_MARGIN_S = 0.5
#: Interim answers (1xx), and answers to other requests, that may come before an exchange's own.
MAX_INTERIM_ANSWERS = 32
MAX_OTHER_ANSWERS = 32
#: Bytes of a request's body that are written at a time, so that the transport copies no more.
WRITE_BYTES = 64 * 1024


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Set TCP options that detect an unresponsive peer."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Exchange(msgspec.Struct):
    """One request on a connection, and the callbacks for its answer.

    ``deliver`` receives the parts of the answer. ``on_head`` is called with the head of every
    answer, including those that ``is_own`` then rejects. ``no_body``: the answer has no body.
    """

    deliver: Callable[[AnswerPart], None]
    is_own: Callable[[AnswerHead], bool]
    no_body: bool = False
    on_head: Callable[[AnswerHead], None] = lambda head: None


class RelayLeg(msgspec.Struct, frozen=True):
    """The peer at the other end of a connection, which relays requests to replicas."""

    peer_id: str
    peer_address: str


class ReplicaConnection(BoundedReadProtocol):
    """One connection. :meth:`start` begins an exchange.

    ``on_idle`` is called when the exchange has ended, and when the connection has closed.
    """

    def __init__(self, on_idle: Callable[[ReplicaConnection], None], memory: MemoryBudget) -> None:
        super().__init__()
        self._on_idle = on_idle
        self.memory = memory
        self._head = AnswerHeadReader(memory.open(BufferKind.ANSWER_HEAD, self.shed))
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._is_own_answer = False
        self._interim = False
        self._until_close = False
        self._reusable = True
        self._in_answer = False
        #: Pieces of the body in the read that is being parsed.
        self._body: list[bytes] = []
        #: The rest of the request's body; it is written as the other side reads.
        self._unsent_body = memoryview(b"")
        self._writing_paused = False
        self._interim_answers = 0
        self._other_answers = 0
        self.closed = False
        #: Set if requests go to a peer, which relays them to the replica.
        self.relay: RelayLeg | None = None
        self.idle_since_s = 0.0
        #: When this side knew that the connection was up, on the loop's clock.
        self.opened_at_s = math.inf
        self.reusable_until_s = float("inf")
        self.exchanges = 0

    # Use of the connection

    def start(self, head: bytes, body: bytes, exchange: Exchange) -> None:
        """Send a request; ``exchange`` receives the answer up to its end or truncation."""
        assert self._transport is not None and self._exchange is None
        self._exchange = exchange
        self.exchanges += 1
        self._interim_answers = self._other_answers = 0
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        if len(body) <= WRITE_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._unsent_body = memoryview(body)
            self._write_body()

    def abandon(self) -> None:
        """End the exchange without its answer and close the connection."""
        self._exchange = None
        self.close()

    def shed(self) -> None:
        """Break the answer off, for lack of memory to hold it."""
        self._fail("shed for lack of memory")

    def close(self) -> None:
        """Close at once; unsent data is dropped."""
        self.closed = True
        self._unsent_body = memoryview(b"")
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def is_usable(self, now_s: float) -> bool:
        """Whether a new exchange may start at ``now_s``."""
        return (
            not self.closed
            and self._exchange is None
            and now_s < self.reusable_until_s
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def pause(self) -> None:
        """Pause reading (backpressure), unless the exchange is over and the connection is idle."""
        if self._exchange is None or self._transport is None or self._transport.is_closing():
            return
        self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at_s = self._loop.time()
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if no exchange is in progress."""
        if self._exchange is None or self._parser is None:
            self.close()
            return
        try:
            self._head.record_read(len(data))
            self._parser.feed_data(data)
            self._deliver_body()
        except AnswerRejectedError as error:
            self._fail(str(error))
        except httptools.HttpParserUpgrade:
            self._fail("received a protocol upgrade")
        except httptools.HttpParserError as error:
            # An answer that a callback has already completed stays complete.
            self._fail(_rejection(error))

    def eof_received(self) -> bool:
        """Complete an answer without framing; any other answer is truncated."""
        if (
            self._exchange is not None
            and self._in_answer
            and self._is_own_answer
            and self._until_close
        ):
            self._complete(reusable=False, framed=False)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Truncate the exchange in progress."""
        self.closed = True
        self._head.end()
        self._fail(_close_reason(error), silent=isinstance(error, TimeoutError))

    def pause_writing(self) -> None:
        """Stop writing the request's body until the other side has read."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on writing the request's body."""
        self._writing_paused = False
        self._write_body()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new answer."""
        self._head.begin()
        self._in_answer = True
        if self._exchange is None:
            self.close()

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase, which may arrive in pieces."""
        self._head.add_reason(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._head.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Deliver the head if the answer belongs to the exchange."""
        self._head.end()
        if self._exchange is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        self._interim = status < 200
        if self._interim:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise AnswerRejectedError(f"more than {MAX_INTERIM_ANSWERS} interim answers")
            return
        headers = self._head.headers
        head = AnswerHead(status, self._head.reason, headers, _content_length(headers))
        chunked = b"chunked" in (find_header(headers, b"transfer-encoding") or b"").lower()
        bodyless = status in (204, 304) or self._exchange.no_body
        self._until_close = head.length is None and not chunked and not bodyless
        self._update_persistence(head)
        self._exchange.on_head(head)
        self._is_own_answer = self._exchange.is_own(head)
        if not self._is_own_answer:
            self._check_other_answer()
            return
        self._exchange.deliver(head)
        if self._exchange.no_body:
            self._complete(reusable=False)

    def on_body(self, data: bytes) -> None:
        """Collect body data of the exchange's answer."""
        self._head.record_progress()
        if self._is_own_answer and self._exchange is not None and not self._interim:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the exchange if this was its final answer."""
        self._head.record_progress()
        self._in_answer = False
        if self._interim or not self._is_own_answer or self._exchange is None:
            return
        self._complete(reusable=self._reusable)

    # Internals

    def _check_other_answer(self) -> None:
        """Reject an answer to another request that cannot be skipped, or one too many of them."""
        if self._until_close:
            raise AnswerRejectedError("received an answer to another request, without framing")
        self._other_answers += 1
        if self._other_answers > MAX_OTHER_ANSWERS:
            raise AnswerRejectedError(f"more than {MAX_OTHER_ANSWERS} answers to other requests")

    def _update_persistence(self, head: AnswerHead) -> None:
        connection = (find_header(head.headers, b"connection") or b"").lower()
        self._reusable = b"close" not in connection and not self._until_close
        announced = find_header(head.headers, b"keep-alive")
        if announced is not None:
            self._update_keep_alive(announced)

    def _update_keep_alive(self, announced: bytes) -> None:
        for pair in announced.split(b","):
            name, _, value = pair.strip().partition(b"=")
            timeout_s = read_count(value.strip())
            if name.strip().lower() == b"timeout" and timeout_s is not None:
                usable_s = max(0.0, timeout_s - KEEPALIVE_MARGIN_S)
                self.reusable_until_s = self._loop.time() + usable_s

    def _write_body(self) -> None:
        while self._unsent_body and not self._writing_paused and not self.closed:
            assert self._transport is not None
            piece, self._unsent_body = (
                self._unsent_body[:WRITE_BYTES],
                self._unsent_body[WRITE_BYTES:],
            )
            self._transport.write(piece)

    def _deliver_body(self) -> None:
        """Deliver the body data of a read at once: each part costs much more than its bytes."""
        if not self._body:
            return
        data = b"".join(self._body)
        self._body.clear()
        if self._exchange is not None:
            self._exchange.deliver(AnswerData(data))

    def _complete(self, *, reusable: bool, framed: bool = True) -> None:
        self._deliver_body()
        exchange, self._exchange = self._exchange, None
        self._is_own_answer = False
        self.idle_since_s = self._loop.time()
        unsent = self._transport is None or self._transport.get_write_buffer_size() > 0
        if not reusable or unsent or self._unsent_body:
            self.close()
        if exchange is not None:
            exchange.deliver(AnswerEnd(framed))
        self._on_idle(self)

    def _fail(self, reason: str, *, silent: bool = False) -> None:
        self._deliver_body()
        exchange, self._exchange = self._exchange, None
        self.close()
        if exchange is not None:
            exchange.deliver(AnswerTruncated(reason, silent))
        self._on_idle(self)


def _rejection(error: httptools.HttpParserError) -> str:
    """Return why the parser stopped: a limit that a callback has found exceeded, or its own."""
    if isinstance(error.__context__, AnswerRejectedError):
        return str(error.__context__)
    return f"received invalid HTTP: {type(error).__name__}"


def _close_reason(error: Exception | None) -> str:
    if error is None:
        return "closed"
    return "timed out" if isinstance(error, TimeoutError) else "reset"


def _content_length(headers: Headers) -> int | None:
    value = find_header(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else None
