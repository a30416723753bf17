"""What a replica's answer says of the replica itself, read from the platform's headers."""

from __future__ import annotations

import math

from winchfork.core.replica_notice import AnswerNotice
from winchfork.platform import names
from winchfork.router.http_types import AnswerHead, find_header

_LEAVING = names.SERVER_LEAVING.lower()
_RETRY_AFTER = names.RETRY_AFTER.lower()
_NOT_EXECUTED = names.NOT_EXECUTED.lower()
#: The one value that says that a replica leaves.
_IS_LEAVING = b"1"
_STATUS_UNAVAILABLE = 503
_STATUS_TOO_MANY = 429
_NOTHING = AnswerNotice()
_MOST_SHOWN = 40


def read_notice(head: AnswerHead) -> AnswerNotice:
    """Return what an answer says of its replica.

    The wait of a 503 is the replica's own. That of a 429 is too if it proves that the request did
    not run; otherwise it is the application's word to the caller. Of several waits the longest
    counts. On other answers the header means something else.
    """
    draining = False
    backoff_s: float | None = None
    unreadable: list[str] = []
    waits = _is_own_wait(head)
    for name, value in head.headers:
        lowered = name.lower()
        if lowered == _LEAVING:
            draining = draining or value.strip() == _IS_LEAVING
            if value.strip() != _IS_LEAVING:
                unreadable.append(_shown(name, value))
        elif waits and lowered == _RETRY_AFTER:
            seconds = _seconds(value)
            if seconds is None:
                unreadable.append(_shown(name, value))
            else:
                backoff_s = max(seconds, backoff_s or 0.0)
    if not draining and backoff_s is None and not unreadable:
        return _NOTHING
    return AnswerNotice(draining, backoff_s, ", ".join(unreadable))


def _is_own_wait(head: AnswerHead) -> bool:
    """Whether a wait in this answer is the replica's word on itself."""
    if head.status == _STATUS_TOO_MANY:
        return find_header(head.headers, _NOT_EXECUTED) is not None
    return head.status == _STATUS_UNAVAILABLE


def _seconds(value: bytes) -> float | None:
    """Return a wait in seconds, which may have a fraction; None for dates and anything else."""
    try:
        seconds = float(value.decode("latin-1"))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0.0 else None


def _shown(name: bytes, value: bytes) -> str:
    return f"{name.decode('latin-1')} holds {value[:_MOST_SHOWN]!r}"
