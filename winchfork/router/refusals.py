"""The router's own error answers: status, Retry-After and a JSON body with the reason."""

from __future__ import annotations

import json
import random

import msgspec

from winchfork.errors import Failure, FailureKind, RunState
from winchfork.router.http_types import Headers

_STATUS = {
    FailureKind.INVALID_REQUEST: 400,
    FailureKind.UNAUTHENTICATED: 401,
    FailureKind.NOT_FOUND: 404,
    FailureKind.SENDER_STALLED: 408,
    FailureKind.BODY_TOO_LARGE: 413,
    FailureKind.QUOTA_EXCEEDED: 429,
    FailureKind.HEADER_TOO_LARGE: 431,
    # Not 503: an earlier attempt has run, and the caller must not retry.
    FailureKind.CRASHES_REPLICAS: 500,
}
#: Seconds in Retry-After when the failure gives no estimate.
DEFAULT_RETRY_AFTER_S = 0.25
#: Largest jitter added to Retry-After: a share of the wait, but at least MIN_JITTER_S seconds. The
#: minimum spreads callers of a daemon whose bucket or queue is free at one moment.
JITTER_SHARE = 0.5
MIN_JITTER_S = 0.1


class RefusalAnswer(msgspec.Struct, frozen=True):
    """A whole answer made by the router."""

    status: int
    headers: Headers
    body: bytes


def refusal_answer(
    failure: Failure, request_id: str | None, generator: random.Random
) -> RefusalAnswer:
    """Return the answer for ``failure``.

    Status 503 guarantees that the request did not run; 502 and 504 guarantee nothing.
    """
    status = _status(failure)
    body = json.dumps(
        {
            "code": failure.kind.value,
            "reason": failure.reason,
            "remedy": failure.remedy,
            "ran": failure.ran.value,
        }
    ).encode()
    headers: Headers = [(b"Content-Type", b"application/json")]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin-1")))
    if status in (429, 503):
        wait_s = failure.retry_after_s or DEFAULT_RETRY_AFTER_S
        wait_s += generator.random() * max(MIN_JITTER_S, JITTER_SHARE * wait_s)
        headers.append((b"Retry-After", f"{wait_s:.2f}".encode()))
    return RefusalAnswer(status, headers, body)


def _status(failure: Failure) -> int:
    known = _STATUS.get(failure.kind)
    if known is not None:
        return known
    if failure.ran is RunState.NOT_RUN:
        return 503
    return 504 if failure.kind is FailureKind.DEADLINE_EXCEEDED else 502
