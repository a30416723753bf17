"""What a replica's answer says of the replica itself, read from the platform's headers."""

from __future__ import annotations

import math
import re

from winchfork.core.replica_notice import AnswerNotice
from winchfork.platform import names
from winchfork.router.http_types import AnswerHead, find_header

_LEAVING = names.SERVER_LEAVING.lower()
_LIMIT = names.SERVER_LIMIT.lower()
_RETRY_AFTER = names.RETRY_AFTER.lower()
_NOT_EXECUTED = names.NOT_EXECUTED.lower()
#: How the names of headers begin in which replicas speak of themselves. One that is not known may
#: ask for something that this build does not do, and an operator is told its name.
_OWN_PREFIX = b"server-"
#: A standard header that begins in the same way: timings for a caller's developers.
_TIMING = b"server-timing"
#: The one value that says that a replica leaves.
_IS_LEAVING = b"1"
#: Requests a second: digits with a point or without, no sign and no exponent.
_DECIMAL = re.compile(rb"\d{1,15}(\.\d{0,15})?|\.\d{1,15}")
_STATUS_UNAVAILABLE = 503
_STATUS_TOO_MANY = 429
_NOTHING = AnswerNotice()
_MAX_SHOWN_CHARS = 40


def read_notice(head: AnswerHead) -> AnswerNotice:
    """Return what an answer says of its replica.

    The wait of a 503 is the replica's own. That of a 429 is too if it proves that the request did
    not run; otherwise it is the application's word to the caller. On other answers that header
    means something else. Of several waits the longest counts, of several limits the least.
    """
    found = [item for item in head.headers if _may_be_notice(item[0].lower())]
    if not found:
        return _NOTHING
    words = _NoticeHeaders(_is_replica_backoff(head))
    for name, value in found:
        words.add(name, value)
    return words.to_notice()


def _may_be_notice(name: bytes) -> bool:
    """Whether a header may be a word; nearly all answers hold none: 0.7 us each instead of 2.4."""
    return name.startswith(_OWN_PREFIX) or name == _RETRY_AFTER


class _NoticeHeaders:
    """The words of one answer, header by header."""

    def __init__(self, reads_retry_after: bool) -> None:
        self._reads_retry_after = reads_retry_after
        self._draining = False
        self._backoffs_s: list[float] = []
        self._limits_per_s: list[float] = []
        self._names_limit = False
        self._unreadable: list[str] = []
        self._unknown: list[str] = []

    def add(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        lowered = name.lower()
        if lowered == _LEAVING:
            self._draining = self._draining or value.strip() == _IS_LEAVING
            self._check(name, value, value.strip() == _IS_LEAVING)
        elif lowered == _LIMIT:
            self._add_limit(name, value)
        elif self._reads_retry_after and lowered == _RETRY_AFTER:
            seconds = _seconds(value)
            self._backoffs_s += [] if seconds is None else [seconds]
            self._check(name, value, seconds is not None)
        elif lowered.startswith(_OWN_PREFIX) and lowered != _TIMING:
            self._unknown.append(lowered[:_MAX_SHOWN_CHARS].decode("latin-1"))

    def to_notice(self) -> AnswerNotice:
        """Return what they come to."""
        return AnswerNotice(
            self._draining,
            max(self._backoffs_s, default=None),
            ", ".join(self._unreadable),
            min(self._limits_per_s, default=None),
            self._names_limit,
            tuple(self._unknown),
        )

    def _add_limit(self, name: bytes, value: bytes) -> None:
        """Read a limit; proxies join the values of several headers by commas."""
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
