"""Collects the head of an answer within limits, while the parser reads it."""

from __future__ import annotations

from winchfork.core.memory_budget import Reservation
from winchfork.router.http_types import Headers
from winchfork.router.read_buffer import READ_BYTES

#: Limits on the head of an answer, and on its trailers. Each header costs more memory than its
#: bytes, so that their number is limited as well.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 256
#: Bytes of a header line besides its name and value.
_LINE_BYTES = 4


class AnswerRejectedError(Exception):
    """The answer exceeds a limit; the message says which."""


class AnswerHeadReader:
    """The head of one answer after the other; methods raise AnswerRejectedError."""

    def __init__(self, reservation: Reservation) -> None:
        self._reservation = reservation
        self.reason = b""
        self.headers: Headers = []
        #: Whether a head has begun and is not complete.
        self.is_reading = False
        #: Bytes of whole lines.
        self._line_bytes = 0
        self._trailers = 0
        #: Bytes of reads since the parser last reported anything: it keeps a line, or the extension
        #: of a chunk, until it is whole.
        self._unfinished_bytes = 0

    def begin(self) -> None:
        """Begin the head of another answer."""
        self.reason = b""
        self.headers = []
        self.is_reading = True
        self._line_bytes = self._trailers = 0

    def end(self) -> None:
        """Record that the head is complete, or that nothing more is read."""
        self.is_reading = False
        self._reservation.resize(0)

    def record_progress(self) -> None:
        """Record that the parser has reported a part of the answer."""
        self._unfinished_bytes = 0

    def record_read(self, size: int) -> None:
        """Count a read that is parsed next."""
        self._unfinished_bytes += size
        if self._unfinished_bytes > MAX_HEAD_BYTES + READ_BYTES:
            raise AnswerRejectedError(f"the answer has a line of more than {MAX_HEAD_BYTES} bytes")
        if self.is_reading:
            self._reservation.grow(size)

    def add_reason(self, reason: bytes) -> None:
        """Append to the reason phrase, which may arrive in pieces."""
        self.reason += reason
        self._add_line(len(reason))

    def add_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or drop a trailer, which may follow the body."""
        self._unfinished_bytes = 0
        self._add_line(len(name) + len(value) + _LINE_BYTES)
        if self.is_reading:
            self.headers.append((name, value))
        else:
            self._trailers += 1
        if len(self.headers) + self._trailers > MAX_HEADERS:
            raise AnswerRejectedError(f"the answer has more than {MAX_HEADERS} headers")

    def _add_line(self, size: int) -> None:
        self._line_bytes += size
        if self._line_bytes > MAX_HEAD_BYTES:
            raise AnswerRejectedError(f"the answer's head is larger than {MAX_HEAD_BYTES} bytes")
