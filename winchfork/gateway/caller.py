"""The caller's side of one request: its connection, its deadline, and its stream."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable
from typing import Any

from winchfork.errors import Failure, FailureKind, RunState

_PEEK_PERIOD_S = 0.05


class Caller:
    """Tells whether anyone still waits for the answer."""

    def __init__(self, connection: socket.socket | None, deadline_at_s: float) -> None:
        self._connection = connection
        self.deadline_at_s = deadline_at_s
        self._next_peek_s = 0.0
        self._left = False

    def check(self) -> Failure | None:
        """Return why work for this caller should stop, or None."""
        now_s = time.monotonic()
        if now_s >= self.deadline_at_s:
            return FailureKind.DEADLINE_EXCEEDED.because(
                "the deadline passed", remedy="allow a later deadline", ran=RunState.UNKNOWN
            )
        if now_s >= self._next_peek_s:
            self._next_peek_s = now_s + _PEEK_PERIOD_S
            self._left = self._left or self._has_left()
        if self._left:
            return FailureKind.CALLER_LEFT.because("the caller closed the connection")
        return None

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at_s - time.monotonic()

    def _has_left(self) -> bool:
        if self._connection is None:
            return False
        try:
            readable, _, _ = select.select([self._connection], [], [], 0)
            # The plain socket's method, since a TLS socket cannot peek; closing shows either way.
            return bool(readable) and not socket.socket.recv(
                self._connection, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except (BlockingIOError, InterruptedError):
            return False
        except (OSError, ValueError):
            return True


class EventStream:
    """Writes server-sent events through the WSGI write callable; starts at the first event."""

    def __init__(self, start_response: Callable[..., Any], request_id: str) -> None:
        self._start_response = start_response
        self._request_id = request_id
        self._write: Callable[[bytes], Any] | None = None

    @property
    def started(self) -> bool:
        """Whether the status line has gone out."""
        return self._write is not None

    def send(self, event: bytes) -> Failure | None:
        """Send one event; a failure means that the caller is gone or stopped reading."""
        try:
            if self._write is None:
                headers = [
                    ("Content-Type", "text/event-stream; charset=utf-8"),
                    ("Cache-Control", "no-store"),
                    ("X-Request-Id", self._request_id),
                ]
                self._write = self._start_response("200 OK", headers)
            assert self._write is not None
            self._write(event)
        except OSError as error:
            return FailureKind.CALLER_LEFT.because(
                f"the caller stopped reading: {type(error).__name__}"
            )
        return None
