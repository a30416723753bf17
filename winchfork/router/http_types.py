"""HTTP/1.1 messages, and the events that a request in progress receives."""

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
    """Return the end-to-end headers: neither hop-by-hop nor named by Connection.

    ``keep`` are names in lower case that Connection cannot remove.
    """
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    removed = HOP_BY_HOP | (named - keep)
    return [(key, value) for key, value in headers if key.lower() not in removed]


def render_headers(start_line: bytes, headers: Headers) -> bytes:
    """Return a message head, including its closing empty line."""
    lines = [start_line]
    lines += [key + b": " + value for key, value in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


class IncomingRequest(msgspec.Struct):
    """A caller's request with its whole body; ``received_at_s`` is when its first byte was read."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    http_10: bool
    keep_alive: bool
    received_at_s: float

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The value of the Host header."""
        return (find_header(self.headers, b"host") or b"").decode("latin-1").strip()


class AnswerHead(msgspec.Struct, frozen=True):
    """A replica's status and headers. ``length`` is None where no Content-Length was given."""

    status: int
    reason: bytes
    headers: Headers
    length: int | None


class AnswerData(msgspec.Struct, frozen=True):
    """A piece of an answer's body, without its framing."""

    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True):
    """The answer is complete.

    ``framed`` is False if only the end of the connection shows it.
    """

    framed: bool = True


class AnswerTruncated(msgspec.Struct, frozen=True):
    """The connection closed, or received invalid HTTP, before the answer was complete.

    ``silent``: it timed out because the other side acknowledged nothing.
    """

    reason: str
    silent: bool = False


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller closed its connection."""


class TimerFired(msgspec.Struct, frozen=True):
    """The timer ``name`` of the request fired."""

    name: str


AnswerPart = AnswerHead | AnswerData | AnswerEnd | AnswerTruncated


class AttemptPart(msgspec.Struct, frozen=True):
    """A part of the answer to the attempt with this number."""

    attempt: int
    part: AnswerPart


class WeightsExpiring(msgspec.Struct, frozen=True):
    """The attempt's weights expire soon: unless its stream has begun, it may be sent elsewhere."""

    attempt: int


class WeightsExpired(msgspec.Struct, frozen=True):
    """The attempt's weights expire: it has to end unless its stream has begun."""

    attempt: int


class BackupReady(msgspec.Struct, frozen=True):
    """The connection for a backup attempt was opened, or could not be.

    ``opening`` identifies which one, since one that was dropped may still be announced.
    """

    opening: object


RequestEvent = (
    AttemptPart | CallerDisconnected | TimerFired | WeightsExpiring | WeightsExpired | BackupReady
)
