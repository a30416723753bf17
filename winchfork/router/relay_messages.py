"""What routers say to each other over HTTP to relay requests to replicas.

A relayed request is the replica's own request with one more header, the replica's address, and
with the start time of the incarnation that it is meant for, if no other may run it. The answer is
the replica's own, or a failure of the relay, which has a header of its own. One hop only: a relay
never asks another peer.
"""

from __future__ import annotations

import enum

from winchfork.decoding import read_count
from winchfork.router.http_types import AnswerHead, Headers, find_header

#: Request header: the address of the replica.
RELAY_TO = b"x-winchfork-relay-to"
#: Request header: the start time of the only incarnation that may run the request, in milliseconds
#: since 1970. Without it any may.
RELAY_INCARNATION = b"x-winchfork-relay-incarnation"
#: Answer header of a relay's own failure: a :class:`RelayFailure`.
RELAY_FAILURE = b"x-winchfork-relay-failure"
#: Path at which a peer says whether it reaches the replica; any other path is relayed.
REACH_PATH = "/.winchfork/reach"
REACHED_STATUS = 204
FAILED_STATUS = 502
_HEADERS = (RELAY_TO, RELAY_INCARNATION, RELAY_FAILURE)


class RelayFailure(enum.Enum):
    """Why a relay did not send a request; it has not run."""

    #: The replica's machine refuses connections.
    REFUSED = "refused"
    #: The replica cannot be reached from the relay.
    UNREACHABLE = "unreachable"
    #: The relay stops, carries too much already or does not know the replica.
    UNAVAILABLE = "unavailable"
    #: The relay's connection is not known to lead to the incarnation.
    UNPROVEN = "unproven"


def add_relay_target(head: bytes, address: str, started_at_ms: int = 0) -> bytes:
    """Return a request's head with headers that name the replica's address and incarnation.

    ``started_at_ms`` is 0 if any incarnation may run the request.
    """
    line, _, rest = head.partition(b"\r\n")
    if started_at_ms:
        rest = b"%b: %d\r\n%b" % (RELAY_INCARNATION, started_at_ms, rest)
    return b"%b\r\n%b: %b\r\n%b" % (line, RELAY_TO, address.encode(), rest)


def read_relay_incarnation(headers: Headers) -> int:
    """Return the start time of the only incarnation that may run a request; 0 if any may."""
    value = find_header(headers, RELAY_INCARNATION) or b""
    return read_count(value) or 0


def read_relay_failure(head: AnswerHead) -> RelayFailure | None:
    """Return the relay's failure in an answer; None if it is the replica's answer."""
    value = find_header(head.headers, RELAY_FAILURE)
    return parse_relay_failure(value) if value is not None else None


def parse_relay_failure(value: bytes) -> RelayFailure:
    """Return a failure by its name; an unknown one is ``UNAVAILABLE``."""
    try:
        return RelayFailure(value.decode("latin-1"))
    except ValueError:
        return RelayFailure.UNAVAILABLE


def without_relay_headers(headers: Headers) -> Headers:
    """Return headers without those of this module."""
    return [pair for pair in headers if pair[0].lower() not in _HEADERS]
