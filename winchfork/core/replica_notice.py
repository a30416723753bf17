"""What replicas say of themselves in their answers: that they drain, or want a pause.

Such a notice concerns one incarnation. Draining is for good, a backoff has an end. Neither the
platform's list nor a peer takes a notice back. Times are monotonic seconds, given in.
"""

from __future__ import annotations

import enum
import math

import msgspec

from winchfork.core.request_limit import RequestLimit

#: The longest backoff that is heeded, in seconds. A replica that asks for more is tried once in
#: this time, so that a value written wrongly does not cost it for good.
MAX_BACKOFF_S = 600.0
#: The shortest backoff that peers are told of, and the longest that they heed, in seconds. A
#: shorter one may be asked of one daemon by a replica that is full for a moment; told to all it
#: would leave the replica idle. A longer one is heard again from the replica by the trial after it.
MIN_REPORTED_BACKOFF_S = 2.0
MAX_REPORTED_BACKOFF_S = 60.0
#: Part of a backoff that is added to it, as drawn: daemons that were turned away together do not
#: come back together.
BACKOFF_JITTER_SHARE = 0.1
#: Seconds for which a replica is left alone that may have said, before it was listed, that it
#: leaves: one that does serves on for some seconds and ends, any other is tried after this time.
UNCONFIRMED_DRAINING_S = 15.0
#: Seconds by which the clocks of a replica and of this machine are taken to differ.
CLOCK_TOLERANCE_S = 0.5
#: Seconds that the first request after a backoff goes alone: a replica that still wants none turns
#: it away within a round trip, between regions too.
TRIAL_S = 0.25


class AnswerNotice(msgspec.Struct, frozen=True):
    """What one answer says of the replica that gave it.

    ``backoff_s`` are the seconds for which it wants no requests; None: it asks for nothing.
    ``unreadable`` says which words could not be read; empty where all could. ``limit_per_s`` is how
    many requests a second it takes from all daemons together; None with ``names_limit``: it names
    a limit that could not be read. ``unknown`` are names of words that this build does not know.
    """

    draining: bool = False
    backoff_s: float | None = None
    unreadable: str = ""
    limit_per_s: float | None = None
    has_limit: bool = False
    unknown_names: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the answer says nothing of its replica."""
        asks = self.draining or self.has_limit or self.backoff_s is not None
        return not (asks or self.unreadable or self.unknown_names)


class ReportedPause(msgspec.Struct, frozen=True):
    """What a replica has said to a peer: that it drains, or that it wants a pause from now."""

    draining: bool
    backoff_s: float

    @property
    def is_empty(self) -> bool:
        """Whether it asks for nothing."""
        return not self.draining and self.backoff_s <= 0.0


class NoticeChange(enum.Enum):
    """What an answer's notice has changed."""

    NOTHING = "nothing"
    DRAINING = "draining"
    #: A backoff has begun; one that only becomes longer is no change.
    BACKOFF = "backoff"


class ReplicaNotice(msgspec.Struct):
    """What one incarnation has said of itself so far, and whether it may be sent requests by that.

    How many it may be sent is told by ``limit`` alone, which no other method here asks. After a
    backoff one request goes first, on trial, and the others once it was not turned away.
    """

    draining: bool = False
    backoff_until_s: float = 0.0
    #: The end of the pause that it has asked this daemon for, if peers are to know of it.
    reported_backoff_until_s: float = 0.0
    #: When it last said something of itself.
    received_at_s: float = -math.inf
    #: How many requests a second it takes from all daemons together.
    limit: RequestLimit = msgspec.field(default_factory=RequestLimit)
    _needs_trial: bool = False
    _trial_sent_s: float | None = None

    def record(self, notice: AnswerNotice, now_s: float, jitter: float = 0.0) -> NoticeChange:
        """Take in what an answer says that was read at ``now_s``; ``draw`` is from 0 to 1."""
        change = NoticeChange.NOTHING
        if notice.draining or notice.backoff_s:
            self.received_at_s = now_s
        if notice.backoff_s and self._back_off(notice.backoff_s, now_s, jitter):
            change = NoticeChange.BACKOFF
        if notice.draining and not self.draining:
            self.draining = True
            change = NoticeChange.DRAINING
        return change

    def _back_off(self, backoff_s: float, now_s: float, jitter: float) -> bool:
        """Begin a backoff or make it longer; True if none was under way."""
        was_backing_off = now_s < self.backoff_until_s
        heeded_s = min(backoff_s, MAX_BACKOFF_S)
        until_s = now_s + heeded_s * (1.0 + BACKOFF_JITTER_SHARE * jitter)
        if backoff_s >= MIN_REPORTED_BACKOFF_S:
            self.reported_backoff_until_s = max(self.reported_backoff_until_s, until_s)
        self._pause_until(until_s)
        return not was_backing_off

    def _pause_until(self, until_s: float) -> None:
        self.backoff_until_s = max(self.backoff_until_s, until_s)
        self._needs_trial = True
        self._trial_sent_s = None

    def apply_peer_pause(self, pause: ReportedPause, now_s: float) -> bool:
        """Pause for what the replica has said to a peer; False if it is left alone by then anyway.

        Draining that is not its own word to this daemon is a pause, with a trial at its end.
        """
        pause_s = (
            UNCONFIRMED_DRAINING_S
            if pause.draining
            else min(pause.backoff_s, MAX_REPORTED_BACKOFF_S)
        )
        if self.draining or now_s + pause_s <= self.backoff_until_s:
            return False
        self._pause_until(now_s + pause_s)
        return True

    def adopt(self, former: ReplicaNotice, started_s: float, now_s: float) -> bool:
        """Take over what was heard as an earlier incarnation's word and may be this one's own.

        An answer does not tell which incarnation gave it, and one that has started may answer
        before it is listed. Draining is taken over as a pause: if it was the other's word, it must
        not cost this one for good. False where all was heard before this one ``started_s``.
        """
        adopts_limit = self._adopt_limit(former.limit, started_s)
        if former.received_at_s <= started_s - CLOCK_TOLERANCE_S:
            return adopts_limit
        until_s = now_s + UNCONFIRMED_DRAINING_S if former.draining else former.backoff_until_s
        if until_s <= now_s:
            return adopts_limit
        self._pause_until(until_s)
        return True

    def _adopt_limit(self, former: RequestLimit, started_s: float) -> bool:
        if former.per_s is None or former.received_at_s <= started_s - CLOCK_TOLERANCE_S:
            return False
        if former.received_at_s > self.limit.received_at_s:
            self.limit.adopt(former)
        return True

    def is_backing_off(self, now_s: float) -> bool:
        """Whether the pause that it asked for lasts."""
        return now_s < self.backoff_until_s

    def available_in_s(self, now_s: float) -> float:
        """Return in how many seconds it may be sent a request, as far as it has asked for pauses.

        0: now. A draining replica never may, whatever this says.
        """
        if self.is_backing_off(now_s):
            return self.backoff_until_s - now_s
        if self._needs_trial and self._trial_sent_s is not None:
            return max(0.0, self._trial_sent_s + TRIAL_S - now_s)
        return 0.0

    def accepts_requests(self, now_s: float) -> bool:
        """Whether it may be sent a request now by what it has said."""
        return not self.draining and self.available_in_s(now_s) <= 0.0

    def record_sent(self, now_s: float) -> None:
        """A request is sent to it: after a backoff the first is the trial."""
        self.limit.record_sent(now_s)
        if self._needs_trial and self._trial_sent_s is None and not self.is_backing_off(now_s):
            self._trial_sent_s = now_s

    def record_answer(self, sent_s: float, *, refused: bool) -> None:
        """A request that was sent then has been answered; the trial's answer decides."""
        if not self._needs_trial or sent_s < self.backoff_until_s:
            return
        self._trial_sent_s = None
        self._needs_trial = refused
