"""A replica's limit on requests per second over all daemons, and this daemon's share of it.

Replicas announce a limit in their answers; it holds for one incarnation until an answer omits it.
Only a few daemons, the holders, may send to a limited replica: the first ones in an order that all
daemons compute alike. There is at least one, and at most one for each whole request per second of
the limit. Each holder spaces its requests evenly; all other daemons use other replicas.
An equal share for every daemon would not do: with a bucket of one request each, all daemons could
send one at once, whatever the limit.

If no report of a limit arrives for a while, for example because the holders have no requests, the
other daemons take turns to send one trial request each. Times are monotonic seconds, passed in by
the caller.
"""

from __future__ import annotations

import enum
import math

import msgspec

#: Share of a limit that the holders use together. They do not act in step, and each may send one
#: request more than its rate in a window; the rest makes room for that.
MAX_UTILIZATION = 0.95
#: Length in seconds of the window in which the holders together send at most one request more than
#: the limit allows.
WINDOW_S = 4.0
#: Seconds by which a request may be sent before it is due. It makes up for a request before it that
#: was sent late, because permits wait for the next request of their daemon.
MAX_EARLY_S = 0.2
#: Requests per second that are allowed even under a lower limit, so that its end is noticed.
MIN_REQUESTS_PER_S = 0.2
#: Seconds after a membership change for which a new holder sends nothing, since the previous one
#: may not yet know of the change. Longer than a change takes to reach all daemons.
STABILIZATION_S = 4.0
#: Seconds without a report of a limit after which non-holders take turns to send trial requests;
#: has to exceed ``1 / MIN_REQUESTS_PER_S``.
TRIAL_AFTER_SILENCE_S = 8.0
#: Length in seconds of one daemon's turn for a trial request.
TRIAL_TURN_S = 2.0


class LimitChange(enum.Enum):
    """The change that a report of a limit has caused."""

    NOTHING = "nothing"
    BEGUN = "begun"
    CHANGED = "changed"
    ENDED = "ended"


class LimitPosition(msgspec.Struct, frozen=True):
    """This daemon's rank, from 0, in the order of all ``daemons`` for one replica."""

    rank: int = 0
    daemons: int = 1


def max_holders(per_s: float, daemons: int) -> int:
    """Return how many daemons may share a limit of ``per_s`` requests per second.

    It is the largest number for which the holders together send at most one request more than the
    limit allows in any ``WINDOW_S``. With more holders, one of them has a request for a permit
    sooner, since each serves callers of its own.
    """
    allowed = WINDOW_S * max(per_s, MIN_REQUESTS_PER_S) + 1.0
    for holders in range(max(1, min(daemons, int(per_s))), 1, -1):
        each = int((WINDOW_S + MAX_EARLY_S) / _interval_s(per_s, holders)) + 1
        if holders * each <= allowed:
            return holders
    return 1


def _interval_s(per_s: float, holders: int) -> float:
    return holders / max(MIN_REQUESTS_PER_S, MAX_UTILIZATION * per_s)


class RequestLimit(msgspec.Struct):
    """The known limit of one incarnation, and when this daemon may send to it.

    ``per_s`` is the limit in requests per second, None without one. ``received_at_s`` is when any
    daemon last received an answer that announced or ended the limit.
    """

    per_s: float | None = None
    received_at_s: float = -math.inf
    position: LimitPosition = LimitPosition()
    #: Number of daemons that may send to it.
    holders: int = 1
    #: Until then a previous holder may still send, and this daemon as a new holder must not.
    stable_at_s: float = -math.inf
    #: When the last request was due, or was sent if that was later.
    _last_due_s: float = -math.inf
    #: Whether :meth:`set_position` was called since the limit began.
    _has_position: bool = False

    # Reports of the limit

    def update(self, per_s: float, received_at_s: float) -> LimitChange:
        """Record that an answer announced the limit; a report older than the last is ignored."""
        if received_at_s < self.received_at_s:
            return LimitChange.NOTHING
        self.received_at_s = received_at_s
        known_per_s, self.per_s = self.per_s, per_s
        if known_per_s != per_s:
            self.holders = max_holders(per_s, self.position.daemons)
        if known_per_s is None:
            self._has_position = False
            return LimitChange.BEGUN
        return LimitChange.NOTHING if known_per_s == per_s else LimitChange.CHANGED

    def clear(self, received_at_s: float) -> LimitChange:
        """Record that an answer omitted the limit; a report older than the last is ignored."""
        if self.per_s is None or received_at_s < self.received_at_s:
            return LimitChange.NOTHING
        self.per_s = None
        self.received_at_s = received_at_s
        return LimitChange.ENDED

    def may_be_ended_by_answer(self, sent_s: float) -> bool:
        """Whether the answer to a request sent at ``sent_s`` is newer than the last report.

        Answers may arrive out of order, so only requests sent after the last report qualify.
        """
        return self.per_s is not None and sent_s > self.received_at_s

    def has_ended_since(self, sent_s: float) -> bool:
        """Whether the limit has ended since a request was sent.

        A limit in the answer to that request may be outdated.
        """
        return self.per_s is None and self.received_at_s > sent_s

    def adopt(self, previous: RequestLimit) -> None:
        """Adopt a limit that was attributed to an earlier incarnation but is this one's."""
        self.per_s = previous.per_s
        self.holders = previous.holders
        self.received_at_s = previous.received_at_s
        self._last_due_s = previous._last_due_s

    # This daemon's share

    def set_position(self, position: LimitPosition, stable_at_s: float) -> None:
        """Set this daemon's rank; a daemon that becomes a holder waits until ``stable_at_s``.

        One that was a holder before may continue at once.
        """
        was_holder = self._has_position and self.is_holder
        self._has_position = True
        self.position = position
        self.holders = max_holders(self.per_s or 0.0, position.daemons)
        if self.is_holder and not was_holder:
            self.stable_at_s = stable_at_s

    @property
    def is_holder(self) -> bool:
        """Whether a limit is known and this daemon is one of its holders."""
        return self.per_s is not None and self.position.rank < self.holders

    @property
    def interval_s(self) -> float:
        """Seconds between two requests from one holder."""
        return _interval_s(self.per_s or 0.0, self.holders)

    def available_in_s(self, now_s: float) -> float:
        """Return the seconds until this daemon may send; infinite if only other daemons may."""
        if self.per_s is None:
            return 0.0
        if self.is_holder:
            due_s = self._last_due_s + self.interval_s - MAX_EARLY_S
            return max(0.0, due_s - now_s, self.stable_at_s - now_s)
        return 0.0 if self._has_trial_turn(now_s) else math.inf

    def _has_trial_turn(self, now_s: float) -> bool:
        """Whether no report has arrived for long and it is this daemon's turn for a trial."""
        silent_s = now_s - self.received_at_s - TRIAL_AFTER_SILENCE_S
        if silent_s < 0.0 or now_s - self._last_due_s < TRIAL_AFTER_SILENCE_S:
            return False
        turn = self.holders + int(silent_s / TRIAL_TURN_S)
        return turn % self.position.daemons == self.position.rank

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent."""
        if self.per_s is None or not self.is_holder:
            self._last_due_s = now_s
        else:
            self._last_due_s = max(now_s, self._last_due_s + self.interval_s)
