"""Reads what a replica's answer states about the replica: draining, backoff, limits."""

from __future__ import annotations

import math
import re

from winchfork.core.replica_notice import AnswerNotice
from winchfork.platform import names
from winchfork.router.http_types import AnswerHead, find_header

_LEAVING = names.SERVER_LEAVING.lower()
_LIMIT = names.SERVER_LIMIT.lower()
_BRITTLE = names.SERVER_BRITTLE.lower()
_RETRY_AFTER = names.RETRY_AFTER.lower()
_NOT_EXECUTED = names.NOT_EXECUTED.lower()
#: Prefix of the headers in which a replica describes itself. Unknown ones are reported by name,
#: since they may ask for something that this build does not do.
_REPLICA_PREFIX = b"server-"
#: A standard HTTP header with the same prefix; not a notice.
_SERVER_TIMING = b"server-timing"
#: Value of ``Server-Leaving`` for a replica that drains.
_LEAVING_VALUE = b"1"
#: A number of requests per second: no sign, no exponent.
_DECIMAL = re.compile(rb"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")
_STATUS_UNAVAILABLE = 503
_STATUS_TOO_MANY = 429
_EMPTY_NOTICE = AnswerNotice()
_MAX_SHOWN_CHARS = 40


def read_notice(head: AnswerHead) -> AnswerNotice:
    """Return the notice in an answer's headers.

    ``Retry-After`` is the replica's backoff on a 503, and on a 429 with ``X-Not-Executed``. On any
    other 429 it comes from the application and is for the caller; on other statuses it is ignored.
    If headers repeat, the longest backoff and the lowest limit apply.
    """
    found = [item for item in head.headers if _may_be_notice(item[0].lower())]
    if not found:
        return _EMPTY_NOTICE
    collected = _NoticeHeaders(_is_replica_backoff(head))
    for name, value in found:
        collected.add(name, value)
    return collected.to_notice()


def _may_be_notice(name: bytes) -> bool:
    """Whether a header may belong to a notice; a cheap filter, as most answers have no notice."""
    return name.startswith(_REPLICA_PREFIX) or name == _RETRY_AFTER


class _NoticeHeaders:
    """Collects the notice headers of one answer."""

    def __init__(self, reads_retry_after: bool) -> None:
        self._reads_retry_after = reads_retry_after
        self._draining = False
        self._backoffs_s: list[float] = []
        self._limits_per_s: list[float] = []
        self._names_limit = False
        self._brittle_per_s: list[float] = []
        self._unreadable: list[str] = []
        self._unknown: list[str] = []

    def add(self, name: bytes, value: bytes) -> None:
        """Add one header."""
        lowered = name.lower()
        if lowered == _LEAVING:
            self._draining = self._draining or value.strip() == _LEAVING_VALUE
            self._check(name, value, value.strip() == _LEAVING_VALUE)
        elif lowered == _LIMIT:
            self._add_limit(name, value)
        elif lowered == _BRITTLE:
            self._add_brittle(name, value)
        elif self._reads_retry_after and lowered == _RETRY_AFTER:
            seconds = _seconds(value)
            self._backoffs_s += [] if seconds is None else [seconds]
            self._check(name, value, seconds is not None)
        elif lowered.startswith(_REPLICA_PREFIX) and lowered != _SERVER_TIMING:
            self._unknown.append(lowered[:_MAX_SHOWN_CHARS].decode("latin-1"))

    def to_notice(self) -> AnswerNotice:
        """Return the notice that the added headers form."""
        return AnswerNotice(
            self._draining,
            max(self._backoffs_s, default=None),
            ", ".join(self._unreadable),
            min(self._limits_per_s, default=None),
            self._names_limit,
            tuple(self._unknown),
            min(self._brittle_per_s, default=None),
        )

    def _add_brittle(self, name: bytes, value: bytes) -> None:
        """Add the rejections a second that the replica bears; the least counts."""
        texts = [text.strip() for text in value.split(b",")]
        readable = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
        self._brittle_per_s += readable
        self._check(name, value, len(readable) == len(texts))

    def _add_limit(self, name: bytes, value: bytes) -> None:
        """Add a limit; proxies join repeated headers with commas."""
        self._names_limit = True
        texts = [text.strip() for text in value.split(b",")]
        readable = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
        self._limits_per_s += readable
        self._check(name, value, len(readable) == len(texts))

    def _check(self, name: bytes, value: bytes, is_readable: bool) -> None:
        if not is_readable:
            shown = f"{name.decode('latin-1')} holds {value[:_MAX_SHOWN_CHARS]!r}"
            self._unreadable.append(shown)


def _is_replica_backoff(head: AnswerHead) -> bool:
    """Whether ``Retry-After`` in this answer is a backoff of the replica."""
    if head.status == _STATUS_TOO_MANY:
        return find_header(head.headers, _NOT_EXECUTED) is not None
    return head.status == _STATUS_UNAVAILABLE


def _seconds(value: bytes) -> float | None:
    """Return a non-negative number of seconds; None for a date or any other value."""
    try:
        seconds = float(value.decode("latin-1"))
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0.0 else None
