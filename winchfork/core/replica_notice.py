"""What replicas say of themselves in their answers: that they drain, or want a pause.

Such a notice concerns one incarnation. Draining is for good, a backoff has an end. Neither the
platform's list nor a peer takes a notice back. Times are monotonic seconds, given in.
"""

from __future__ import annotations

import enum

import msgspec

#: The longest backoff that is heeded, in seconds. A replica that asks for more is tried once in
#: this time, so that a value written wrongly does not cost it for good.
MAX_BACKOFF_S = 600.0


class AnswerNotice(msgspec.Struct, frozen=True):
    """What one answer says of the replica that gave it.

    ``backoff_s`` are the seconds for which it wants no requests; None: it asks for nothing.
    ``unreadable`` says which words could not be read; empty where all could.
    """

    draining: bool = False
    backoff_s: float | None = None
    unreadable: str = ""

    @property
    def is_empty(self) -> bool:
        """Whether the answer says nothing of its replica."""
        return not self.draining and self.backoff_s is None and not self.unreadable


class NoticeChange(enum.Enum):
    """What an answer's notice has changed."""

    NOTHING = "nothing"
    DRAINING = "draining"
    #: A backoff has begun; one that only becomes longer is no change.
    BACKOFF = "backoff"


class ReplicaNotice(msgspec.Struct):
    """What one incarnation has said of itself so far."""

    draining: bool = False
    backoff_until_s: float = 0.0

    def note(self, notice: AnswerNotice, now_s: float) -> NoticeChange:
        """Take in what an answer says that was read at ``now_s``."""
        if notice.draining and not self.draining:
            self.draining = True
            return NoticeChange.DRAINING
        if notice.backoff_s:
            return self._back_off(notice.backoff_s, now_s)
        return NoticeChange.NOTHING

    def _back_off(self, backoff_s: float, now_s: float) -> NoticeChange:
        was_backing_off = now_s < self.backoff_until_s
        until_s = now_s + min(backoff_s, MAX_BACKOFF_S)
        self.backoff_until_s = max(self.backoff_until_s, until_s)
        return NoticeChange.NOTHING if was_backing_off else NoticeChange.BACKOFF
