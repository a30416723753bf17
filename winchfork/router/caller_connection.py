"""The server side of one caller's HTTP/1.1 connection.

Requests are read whole before they are handled, so that they can be retried, and are served one at
a time. Sizes and timeouts come from the configured :class:`CallerLimits`. An answer that cannot be
completed closes the connection, so that the caller sees it as truncated.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

import httptools

from winchfork.core.memory_budget import SMALL_BYTES, BufferKind, MemoryBudget
from winchfork.core.routing import CallerLimits
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.http_types import (
    REASONS,
    Headers,
    IncomingRequest,
    find_header,
    render_headers,
)
from winchfork.router.read_buffer import READ_BYTES, BoundedReadProtocol
from winchfork.router.replica_connection import set_socket_options

#: Pipelined requests on one connection at which reading pauses.
MAX_PIPELINED = 4
#: Bytes buffered for a slow caller above which reading from the replica pauses.
HIGH_WATER_BYTES = 64 * 1024
#: Memory in bytes that a header takes besides its name and value.
HEADER_OVERHEAD_BYTES = 128
#: Seconds for which the rest of a refused request is read and dropped. Closing at once would reset
#: the connection, and the caller might lose the answer.
LINGER_S = 1.0
#: Speed that a large body must keep while memory is short, from some seconds after its request.
MIN_BODY_BYTES_PER_S = 64 * 1024
MIN_BODY_TIME_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerHandler(Protocol):
    """Serves the requests of callers' connections."""

    @property
    def memory(self) -> MemoryBudget:
        """The budget of what the connections buffer."""
        ...

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        ...

    def start_request(
        self, connection: CallerConnection, request: IncomingRequest
    ) -> ActiveRequest:
        """Start serving a request that has been read whole."""
        ...

    def refuse_malformed(self, connection: CallerConnection, failure: Failure) -> None:
        """Refuse input that is not a valid request."""
        ...

    def connection_opened(self, connection: CallerConnection) -> None:
        """Handle a new connection."""
        ...

    def connection_closed(self, connection: CallerConnection) -> None:
        """Handle the end of a connection."""
        ...


class ActiveRequest(Protocol):
    """A request in progress, which reacts to events of its connection."""

    def caller_disconnected(self) -> None:
        """Handle the loss of the connection before the answer was complete."""
        ...

    def set_backpressure(self, paused: bool) -> None:
        """Pause or resume the answer's source as the caller's write buffer fills and empties."""
        ...


class CallerConnection(BoundedReadProtocol):
    """One connection from a caller."""

    def __init__(self, handler: CallerHandler) -> None:
        super().__init__()
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body = bytearray()
        #: Length of the body as announced; 0 if it is not.
        self._announced_bytes = 0
        self._trailer_bytes = 0
        #: Bytes of reads since the parser last reported a part of the body or a trailer.
        self._unfinished_bytes = 0
        self._request_started_at_s = 0.0
        self._reading_head = False
        self._reading_body = False
        self._refused = False
        self._pipelined: deque[IncomingRequest] = deque()
        self._active: ActiveRequest | None = None
        self._request: IncomingRequest | None = None
        self._chunked = False
        self._last_activity_at_s = self._loop.time()
        self._memory = handler.memory
        self._reading_reservation = self._memory.open(BufferKind.REQUEST, self._shed_reading)
        self._request_reservation = self._memory.open(BufferKind.REQUEST)
        self._unsent_reservation = self._memory.open(BufferKind.UNSENT, self._shed_unsent)
        self.close_after_answer = False

    # State, for the periodic sweep and for a planned stop

    @property
    def busy(self) -> bool:
        """Whether a request is being read, queued or served."""
        return bool(self._active or self._pipelined or self._reading_head or self._reading_body)

    @property
    def has_unsent(self) -> bool:
        """Whether the caller has not read all that was written to it, as far as is known here."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def enforce_timeouts(self, now_s: float) -> None:
        """Refuse a request that arrives too slowly; close a connection that is idle too long."""
        self._record_unsent()
        limits = self._handler.limits()
        if self._active is not None or self._pipelined:
            return
        if self._reading_head or self._reading_body:
            limit_s = limits.header_timeout_s if self._reading_head else limits.idle_timeout_s
            since_s = self._request_started_at_s if self._reading_head else self._last_activity_at_s
            if now_s - since_s > limit_s:
                self._refuse(
                    FailureKind.SENDER_STALLED.because("the request timed out while it was read")
                )
            elif self._memory.is_short and self._is_slow_body(now_s):
                self._refuse(FailureKind.SENDER_STALLED.because("the body arrives too slowly"))
        elif now_s - self._last_activity_at_s > limits.idle_timeout_s:
            self.close()

    def close_when_idle(self) -> None:
        """Close the connection after the current answer, or at once if it is idle."""
        self.close_after_answer = True
        if not self.busy:
            self.close()

    def close(self) -> None:
        """Close the connection once the written bytes have been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    # Answers

    def start_answer(
        self, status: int, reason: bytes, headers: Headers, length: int | None
    ) -> None:
        """Write an answer's head; without ``length``, frame the body as chunks or by closing."""
        request = self._request
        bodyless = status in (204, 304) or (request is not None and request.method == b"HEAD")
        http_10 = request is not None and request.http_10
        lines = list(headers)
        self._chunked = False
        if length is not None:
            lines.append((b"Content-Length", str(length).encode()))
        elif not bodyless and not http_10:
            self._chunked = True
            lines.append((b"Transfer-Encoding", b"chunked"))
        elif not bodyless:
            self.close_after_answer = True
        if request is not None and not request.keep_alive:
            self.close_after_answer = True
        if self.close_after_answer:
            lines.append((b"Connection", b"close"))
        start_line = b"HTTP/1.1 %d %s" % (status, reason or REASONS.get(status, b"Unknown"))
        self._write(render_headers(start_line, lines))

    def write_body(self, data: bytes) -> None:
        """Write a piece of the body."""
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def finish_answer(self) -> None:
        """End a complete answer and serve the next pipelined request, if any."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._after_answer()

    def abort_answer(self) -> None:
        """Close the connection without ending the answer, so that it is seen as truncated."""
        self._active = None
        self._pipelined.clear()
        self.close()

    def write_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        self.start_answer(status, b"", headers, len(body))
        if body and not (self._request is not None and self._request.method == b"HEAD"):
            self._write(body)
        self._after_answer()

    def _after_answer(self) -> None:
        self._active = None
        self._request = None
        self._record_requests()
        self._last_activity_at_s = self._loop.time()
        if self.close_after_answer:
            self._pipelined.clear()
            if self._refused:
                self._linger()
            else:
                self.close()
        elif self._pipelined:
            self._loop.call_soon(self._serve_next)
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _linger(self) -> None:
        """Close the side of this process, and the connection when the caller has closed its own."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(LINGER_S, self.close)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._record_unsent()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection to the handler."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading at the pipelining limit."""
        if self._refused:
            return
        self._last_activity_at_s = self._loop.time()
        if self._reading_head:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.close_after_answer = True
        except httptools.HttpParserCallbackError:
            pass  # A callback has already refused the request.
        except httptools.HttpParserError as error:
            self._refuse(
                FailureKind.INVALID_REQUEST.because(f"invalid HTTP: {type(error).__name__}")
            )
        self._record_requests()
        self._check_unfinished(len(data))
        if len(self._pipelined) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close the connection when the caller has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the active request and the handler."""
        active, self._active = self._active, None
        self._pipelined.clear()
        self._reading_reservation.resize(0)
        self._request_reservation.resize(0)
        self._unsent_reservation.resize(0)
        if active is not None:
            active.caller_disconnected()
        self._handler.connection_closed(self)

    def pause_writing(self) -> None:
        """Signal backpressure to the active request."""
        if self._active is not None:
            self._active.set_backpressure(True)

    def resume_writing(self) -> None:
        """End backpressure on the active request."""
        self._record_unsent()
        if self._active is not None:
            self._active.set_backpressure(False)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._announced_bytes = self._trailer_bytes = 0
        self._request_started_at_s = self._loop.time()
        self._reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in pieces."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; a trailer, which may follow the body, is dropped."""
        if self._reading_head:
            self._headers.append((name, value))
            return
        self._unfinished_bytes = 0
        self._trailer_bytes += len(name) + len(value)
        if self._trailer_bytes > self._handler.limits().header_bytes:
            self._refuse(FailureKind.HEADER_TOO_LARGE.because("the trailers are too large"))

    def on_headers_complete(self) -> None:
        """Check the announced sizes; answer ``Expect: 100-continue``."""
        self._reading_head = False
        self._reading_body = True
        self._unfinished_bytes = 0
        limits = self._handler.limits()
        size = len(self._target) + sum(len(key) + len(value) + 4 for key, value in self._headers)
        if size > limits.header_bytes:
            self._refuse(FailureKind.HEADER_TOO_LARGE.because("the header is too large"))
            return
        length = find_header(self._headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > limits.body_bytes:
            self._refuse(FailureKind.BODY_TOO_LARGE.because("the body is too large"))
            return
        self._announced_bytes = int(length) if length is not None and length.isdigit() else 0
        if not self._memory.has_room_for(self._announced_bytes):
            self._refuse(_no_room(self._announced_bytes))
            return
        self._record_requests()
        expect = find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self._write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Append to the body, up to the configured limit."""
        if self._refused:
            return
        self._unfinished_bytes = 0
        self._body += data
        size = len(self._body)
        if size > self._handler.limits().body_bytes:
            self._refuse(FailureKind.BODY_TOO_LARGE.because("the body is too large"))
        elif size > max(SMALL_BYTES, self._announced_bytes) and not self._memory.has_room:
            self._refuse(_no_room(size))

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._reading_body = False
        if self._refused:
            return
        request = IncomingRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=bytes(self._body),
            http_10=self._parser.get_http_version() == "1.0",
            keep_alive=self._parser.should_keep_alive(),
            received_at_s=self._request_started_at_s,
        )
        self._body = bytearray()
        self._announced_bytes = 0
        self._pipelined.append(request)
        if self._active is None:
            self._serve_next()

    # Internals

    def _check_unfinished(self, size: int) -> None:
        """Refuse a head, a trailer or a chunk's extension that grows without an end."""
        self._unfinished_bytes += size
        max_bytes = self._handler.limits().header_bytes
        if self._reading_head and self._header_bytes > max_bytes:
            self._refuse(FailureKind.HEADER_TOO_LARGE.because("the header is too large"))
        elif self._reading_body and self._unfinished_bytes > max_bytes + READ_BYTES:
            self._refuse(FailureKind.HEADER_TOO_LARGE.because("a line of the body is too large"))

    def _is_slow_body(self, now_s: float) -> bool:
        """Whether a large body, for which room is kept, arrives too slowly."""
        took_s = now_s - self._request_started_at_s
        if self._announced_bytes <= SMALL_BYTES or took_s < MIN_BODY_TIME_S:
            return False
        return len(self._body) < took_s * MIN_BODY_BYTES_PER_S

    def _record_requests(self) -> None:
        """Update the reservations of the request that is read, and of those that wait or run."""
        reading = self._header_bytes if self._reading_head else 0
        if self._reading_head or self._reading_body:
            reading += len(self._headers) * HEADER_OVERHEAD_BYTES
            reading += max(len(self._body), self._announced_bytes)
        self._reading_reservation.resize(reading)
        size = sum(len(request.body) for request in self._pipelined)
        size += len(self._request.body) if self._request is not None else 0
        self._request_reservation.resize(size)

    def _shed_reading(self) -> None:
        """Refuse the request that is being read, for lack of memory."""
        self._refuse(_no_room(len(self._body)))

    def _shed_unsent(self) -> None:
        """Close the connection, whose caller reads too slowly for the memory that is left."""
        if self._transport is not None:
            self._transport.abort()

    def _record_unsent(self) -> None:
        if self._transport is not None:
            self._unsent_reservation.resize(self._transport.get_write_buffer_size())

    def _serve_next(self) -> None:
        if self._active is not None or not self._pipelined:
            return
        if self._transport is None or self._transport.is_closing():
            return
        self._request = self._pipelined.popleft()
        try:
            active: ActiveRequest | None = self._handler.start_request(self, self._request)
        except Exception as error:  # noqa: BLE001 - a request whose start fails gets an answer too
            log_event("request_error", "ERROR", error=repr(error))
            active = None
            if self._request is not None:
                self._refuse(FailureKind.INTERNAL.because(repr(error)))
        if self._request is not None:
            self._active = active

    def _refuse(self, failure: Failure) -> None:
        if self._refused:
            return
        self._refused = True
        self._reading_head = False
        self._reading_body = False
        self._headers = []
        self._body = bytearray()
        self._reading_reservation.resize(0)
        self.close_after_answer = True
        if self._active is None:
            self._handler.refuse_malformed(self, failure)
        else:
            self.close()


def _no_room(size: int) -> Failure:
    return FailureKind.OVERLOADED.because(
        f"there is no memory for a body of {size} bytes now", remedy="send it again after the wait"
    )
