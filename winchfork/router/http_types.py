"""HTTP/1.1 messages as the router handles them: raw header pairs, whole bodies, typed progress."""

from __future__ import annotations

import msgspec

Header = tuple[bytes, bytes]
Headers = list[Header]

#: Headers that concern one connection only (RFC 9110, section 7.6.1, and RFC 9112).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of ``name`` (lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers, keep: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that travel on: neither hop-by-hop nor named by Connection.

    ``keep`` are names in lower case that Connection cannot remove.
    """
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    removed = HOP_BY_HOP | (named - keep)
    return [(key, value) for key, value in headers if key.lower() not in removed]


def render_headers(start_line: bytes, headers: Headers) -> bytes:
    """Return a message head, with its empty line."""
    lines = [start_line]
    lines += [key + b": " + value for key, value in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


class IncomingRequest(msgspec.Struct):
    """A caller's request, read whole. ``received_s`` is when its first byte was seen."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    http_10: bool
    keep_alive: bool
    received_at_s: float

    @property
    def path(self) -> str:
        """The target without its query, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The Host header as text."""
        return (find_header(self.headers, b"host") or b"").decode("latin-1").strip()


class AnswerHead(msgspec.Struct, frozen=True):
    """A replica's status and headers. ``length`` is None where no Content-Length was given."""

    status: int
    reason: bytes
    headers: Headers
    length: int | None


class AnswerData(msgspec.Struct, frozen=True):
    """A piece of an answer's body, unframed."""

    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True):
    """The answer is whole."""


class AnswerTruncated(msgspec.Struct, frozen=True):
    """The connection ended or spoke nonsense before the answer was whole.

    ``silent``: nothing that was sent has been acknowledged for a while.
    """

    reason: str
    silent: bool = False


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller closed its connection."""


class TimerFired(msgspec.Struct, frozen=True):
    """A timer of the request went off; ``name`` says which."""

    name: str


class MoveRequested(msgspec.Struct, frozen=True):
    """The replica named is about to load weights: a stream that can be resumed had better move."""

    replica_id: str


RequestEvent = (
    AnswerHead
    | AnswerData
    | AnswerEnd
    | AnswerTruncated
    | CallerDisconnected
    | TimerFired
    | MoveRequested
)
