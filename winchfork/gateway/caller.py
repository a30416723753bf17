"""The caller of one request: its connection, deadline and event stream."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

from winchfork.boot_clock import boot_seconds
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.gateway.direct_stream import DirectStream

_PEEK_PERIOD_S = 0.2


class Waiter(Protocol):
    """The party a generation runs for: a connected caller, or a stored request."""

    deadline_at_s: float

    def check(self) -> Failure | None:
        """Return why work for this waiter should stop, or None."""
        ...

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, negative once it has passed."""
        ...


class StoredRequestWaiter:
    """The waiter of a stored request, which has a deadline but no connection."""

    def __init__(self, deadline_at_s: float) -> None:
        self.deadline_at_s = deadline_at_s

    def check(self) -> Failure | None:
        """Return a failure once the deadline has passed."""
        if self.remaining_s() > 0:
            return None
        return FailureKind.DEADLINE_EXCEEDED.because(
            "this run of the stored request exceeded its deadline"
        )

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at_s - boot_seconds()


class Caller:
    """A connected caller: checks its deadline and whether it has disconnected."""

    def __init__(self, connection: socket.socket, deadline_at_s: float) -> None:
        self.connection = connection
        self.deadline_at_s = deadline_at_s
        self._next_peek_s = 0.0
        self._disconnected = False
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN)

    def check(self) -> Failure | None:
        """Return why work for this caller should stop, or None."""
        now_s = boot_seconds()
        if now_s >= self.deadline_at_s:
            return FailureKind.DEADLINE_EXCEEDED.because(
                "the deadline passed", remedy="allow a later deadline", ran=RunState.UNKNOWN
            )
        if now_s >= self._next_peek_s:
            self._next_peek_s = now_s + _PEEK_PERIOD_S
            self._disconnected = self._disconnected or self._check_disconnected()
        if self._disconnected:
            return FailureKind.CALLER_DISCONNECTED.because("the caller closed the connection")
        return None

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at_s - boot_seconds()

    def _check_disconnected(self) -> bool:
        try:
            if not self._poll.poll(0):
                return False
            # Peeks at the TCP stream, since an SSLSocket cannot peek; a closed one reads as b"".
            return not socket.socket.recv(self.connection, 1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except (OSError, ValueError):
            return True


class EventStream:
    """Writes server-sent events; the HTTP response starts with the first one."""

    def __init__(
        self, start_response: Callable[..., Any], request_id: str, connection: socket.socket
    ) -> None:
        self._start_response = start_response
        self._request_id = request_id
        self._connection = connection
        self._body: DirectStream | None = None

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._body is not None

    def send(self, event: bytes) -> Failure | None:
        """Send one event without blocking; a failure means that the caller has disconnected."""
        if self._body is None:
            failure = self._start()
            if failure is not None:
                return failure
        assert self._body is not None
        return self._body.send(event)

    def finish(self) -> None:
        """Block until all events are written or the caller has disconnected."""
        if self._body is not None:
            self._body.wait_drained()

    def _start(self) -> Failure | None:
        headers = [
            ("Content-Type", "text/event-stream; charset=utf-8"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", self._request_id),
        ]
        try:
            # werkzeug writes the status and headers; the chunks are written to the socket directly.
            self._start_response("200 OK", headers)(b"")
        except OSError as error:
            return FailureKind.CALLER_DISCONNECTED.because(
                f"the caller stopped reading: {type(error).__name__}"
            )
        self._body = DirectStream(self._connection)
        return None
