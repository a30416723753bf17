"""Notices in replicas' answers: draining, backoff and request limit.

A notice concerns one incarnation. Draining is permanent, a backoff ends. Neither the platform's
list nor a peer can revoke a notice. Times are monotonic seconds, passed in by the caller.
"""

from __future__ import annotations

import enum
import math

import msgspec

from winchfork.core.request_limit import RequestLimit

#: Upper bound, in seconds, of the backoff that a replica may request. A trial after this time keeps
#: a wrong value from disabling the replica for good.
MAX_BACKOFF_S = 600.0
#: Shortest backoff in seconds that is reported to peers. A replica that is full for a moment may
#: ask one daemon for a shorter one; if all heeded it, the replica would be idle.
MIN_REPORTED_BACKOFF_S = 2.0
#: Upper bound, in seconds, of a backoff that a peer reports; the trial after it tells if the
#: replica asks for more.
MAX_REPORTED_BACKOFF_S = 60.0
#: Largest jitter added to a backoff, as a share of it, so that daemons do not resume together.
BACKOFF_JITTER_SHARE = 0.1
#: Seconds for which a replica is paused if its draining was reported by a peer only, or may have
#: been announced by an earlier incarnation. A draining replica ends within some seconds; any other
#: is tried again after this time.
UNCONFIRMED_DRAINING_S = 15.0
#: Assumed bound, in seconds, on the clock difference between a replica and this machine.
CLOCK_TOLERANCE_S = 0.5
#: Longest time in seconds for which an unanswered trial request holds back other requests. A
#: replica that still wants none refuses it within a round trip, between regions too.
TRIAL_S = 0.25


class AnswerNotice(msgspec.Struct, frozen=True):
    """The notice in one answer of a replica.

    ``backoff_s`` is the requested backoff in seconds, None without one. ``unreadable`` describes
    the headers that could not be parsed; empty if all could. ``limit_per_s`` is the limit in
    requests per second over all daemons; None with ``has_limit`` means a limit that could not be
    parsed. ``unknown_names`` are the names of headers that this version does not support.
    """

    draining: bool = False
    backoff_s: float | None = None
    unreadable: str = ""
    limit_per_s: float | None = None
    has_limit: bool = False
    unknown_names: tuple[str, ...] = ()
    #: Rejections a second for want of room that the replica bears; None if it does not say.
    brittle_per_s: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the answer carries no notice."""
        has_request = self.draining or self.has_limit or self.backoff_s is not None
        return not (has_request or self.unreadable or self.unknown_names)


class ReportedPause(msgspec.Struct, frozen=True):
    """A replica's draining or remaining backoff in seconds, as reported by a peer."""

    draining: bool
    backoff_s: float

    @property
    def is_empty(self) -> bool:
        """Whether it reports neither draining nor a backoff."""
        return not self.draining and self.backoff_s <= 0.0


class NoticeChange(enum.Enum):
    """The change that an answer's notice has caused."""

    NOTHING = "nothing"
    DRAINING = "draining"
    #: A backoff has begun; extending one is no change.
    BACKOFF = "backoff"


class ReplicaNotice(msgspec.Struct):
    """The accumulated notices of one incarnation, and whether they allow a request now.

    After a backoff a single trial request is sent; others follow once it was not refused. The
    methods here ignore ``limit``, which the caller has to check separately.
    """

    draining: bool = False
    backoff_until_s: float = 0.0
    #: The end of the backoff to report to peers.
    reported_backoff_until_s: float = 0.0
    #: Until when a peer's report of draining is relied on.
    reported_draining_until_s: float = -math.inf
    #: When draining or a backoff was last received.
    received_at_s: float = -math.inf
    #: Its limit on requests per second over all daemons.
    limit: RequestLimit = msgspec.field(default_factory=RequestLimit)
    _needs_trial: bool = False
    _trial_sent_s: float | None = None

    def record(self, notice: AnswerNotice, now_s: float, jitter: float = 0.0) -> NoticeChange:
        """Record the notice of an answer received at ``now_s``; ``jitter`` is from 0 to 1."""
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
        """Begin or extend a backoff; True if none was in progress."""
        was_backing_off = now_s < self.backoff_until_s
        bounded_s = min(backoff_s, MAX_BACKOFF_S)
        until_s = now_s + bounded_s * (1.0 + BACKOFF_JITTER_SHARE * jitter)
        if backoff_s >= MIN_REPORTED_BACKOFF_S:
            self.reported_backoff_until_s = max(self.reported_backoff_until_s, until_s)
        self._pause_until(until_s)
        return not was_backing_off

    def _pause_until(self, until_s: float) -> None:
        self.backoff_until_s = max(self.backoff_until_s, until_s)
        self._needs_trial = True
        self._trial_sent_s = None

    def apply_peer_pause(self, pause: ReportedPause, now_s: float) -> bool:
        """Apply a peer's report; False if the replica is draining or already paused as long.

        Draining reported by a peer causes a pause with a trial request at its end, not permanent
        draining.
        """
        if pause.draining:
            pause_s = UNCONFIRMED_DRAINING_S
            self.reported_draining_until_s = now_s + pause_s
        else:
            pause_s = min(pause.backoff_s, MAX_REPORTED_BACKOFF_S)
        if self.draining or now_s + pause_s <= self.backoff_until_s:
            return False
        self._pause_until(now_s + pause_s)
        return True

    def adopt(self, previous: ReplicaNotice, started_s: float, now_s: float) -> bool:
        """Adopt from an earlier incarnation's notice what this incarnation may have sent.

        Answers do not identify the incarnation, and a replica may answer before it is listed. So
        everything received since ``started_s`` may be this one's own. Draining is adopted as a
        pause only, because it may be the earlier incarnation's. False if nothing was adopted.
        """
        adopts_limit = self._adopt_limit(previous.limit, started_s)
        if previous.received_at_s <= started_s - CLOCK_TOLERANCE_S:
            return adopts_limit
        until_s = now_s + UNCONFIRMED_DRAINING_S if previous.draining else previous.backoff_until_s
        if until_s <= now_s:
            return adopts_limit
        self._pause_until(until_s)
        return True

    def _adopt_limit(self, previous: RequestLimit, started_s: float) -> bool:
        if previous.per_s is None or previous.received_at_s <= started_s - CLOCK_TOLERANCE_S:
            return False
        if previous.received_at_s > self.limit.received_at_s:
            self.limit.adopt(previous)
        return True

    def is_draining(self, now_s: float) -> bool:
        """Whether it has announced draining to this daemon, or recently to a peer."""
        return self.draining or now_s < self.reported_draining_until_s

    def is_backing_off(self, now_s: float) -> bool:
        """Whether a backoff or another pause is in progress."""
        return now_s < self.backoff_until_s

    def available_in_s(self, now_s: float) -> float:
        """Return the seconds until a pause or trial allows a request; 0: now.

        Does not consider draining.
        """
        if self.is_backing_off(now_s):
            return self.backoff_until_s - now_s
        if self._needs_trial and self._trial_sent_s is not None:
            return max(0.0, self._trial_sent_s + TRIAL_S - now_s)
        return 0.0

    def accepts_requests(self, now_s: float) -> bool:
        """Whether it is neither draining nor paused at ``now_s``."""
        return not self.draining and self.available_in_s(now_s) <= 0.0

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent; the first one after a backoff is the trial request."""
        self.limit.record_sent(now_s)
        if self._needs_trial and self._trial_sent_s is None and not self.is_backing_off(now_s):
            self._trial_sent_s = now_s

    def record_answer(self, sent_s: float, *, refused: bool) -> None:
        """Record the answer to a request sent at ``sent_s``.

        If it was sent after the pause, it completes the trial; a refusal requires another trial.
        """
        if not self._needs_trial or sent_s < self.backoff_until_s:
            return
        self._trial_sent_s = None
        self._needs_trial = refused
