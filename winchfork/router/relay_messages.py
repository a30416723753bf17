"""What routers say to each other over HTTP to relay requests to replicas.

A relayed request is the replica's own request with one more header, the replica's address. The
answer is the replica's own, or a failure of the relay, which has a header of its own. One hop only:
a relay never asks another peer.
"""

from __future__ import annotations

import enum

from winchfork.router.http_types import AnswerHead, Headers, find_header

#: Request header: the address of the replica.
RELAY_TO = b"x-winchfork-relay-to"
#: Answer header of a relay's own failure: a :class:`RelayFailure`.
RELAY_FAILURE = b"x-winchfork-relay-failure"
#: Path at which a peer says whether it reaches the replica; any other path is relayed.
REACH_PATH = "/.winchfork/reach"
REACHED_STATUS = 204
FAILED_STATUS = 502


class RelayFailure(enum.Enum):
    """Why a relay did not send a request; it has not run."""

    #: The replica's machine refuses connections.
    REFUSED = "refused"
    #: The replica cannot be reached from the relay.
    UNREACHABLE = "unreachable"
    #: The relay stops, carries too much already or does not know the replica.
    UNAVAILABLE = "unavailable"


def add_relay_target(head: bytes, address: str) -> bytes:
    """Return a request's head with the header that names the replica's address."""
    line, _, rest = head.partition(b"\r\n")
    return b"%b\r\n%b: %b\r\n%b" % (line, RELAY_TO, address.encode(), rest)


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
    return [pair for pair in headers if pair[0].lower() not in (RELAY_TO, RELAY_FAILURE)]
