"""How many requests a second one replica takes from all daemons together, and this daemon's part.

A replica names its limit in answers; it holds for one incarnation, for as long as answers say so.
An equal part for each daemon would not do: with a bucket of one request each, ``D`` daemons may
send ``D`` at once, whatever the limit. So only a few daemons may send, at most as many as the limit
has whole requests a second: the first ones in an order that all daemons have for this replica. Each
of these holders spaces its requests, mostly by about a second, and all others send elsewhere.

If nobody says anything of a limit for a while, because its holders are gone, get no callers or find
cheaper replicas, the other daemons may try one request each, in turn. Times are monotonic seconds,
given in.
"""

from __future__ import annotations

import enum
import math

import msgspec

#: Part of a limit that is used, and the seconds over which no more than the limit and one request
#: are sent, however the holders' requests fall. They do not act in step, and each may send one more
#: than its rate in such a time: the part that is left makes room for that.
MAX_UTILIZATION = 0.95
WINDOW_S = 4.0
#: Seconds by which a request may go before its time, if the one before went late: a place waits for
#: its daemon's next request.
MAX_EARLY_S = 0.2
#: Requests a second that are sent to a replica in any case, also to one that takes none: without an
#: answer nobody learns that its limit has ended.
MIN_REQUESTS_PER_S = 0.2
#: Seconds after a change of the fleet's daemons in which a daemon does not begin to send in
#: another's place: longer than it takes until all have heard of the change, since until then both
#: may take themselves for the holder.
STABILIZATION_S = 4.0
#: Seconds without a word on a limit after which the others may try in turn: longer than the pause
#: between two requests to a replica that takes none. And seconds that each has.
TRIAL_AFTER_SILENCE_S = 8.0
TRIAL_TURN_S = 2.0


class LimitChange(enum.Enum):
    """What a word on a limit has changed."""

    NOTHING = "nothing"
    BEGUN = "begun"
    CHANGED = "changed"
    ENDED = "ended"


class LimitPosition(msgspec.Struct, frozen=True):
    """This daemon's place, from 0, in the order of all ``daemons`` for one replica."""

    rank: int = 0
    daemons: int = 1


def max_holders(per_s: float, daemons: int) -> int:
    """Return how many daemons may share a limit, so that no window holds too many requests.

    More holders find requests for it sooner, each being a daemon with callers of its own.
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
    """The limit of one incarnation, as far as known, and when this daemon may send to it.

    ``per_s`` is None while it names none. ``heard_s`` is when the newest word on it was heard by
    any daemon: one that names it, or one that ended it.
    """

    per_s: float | None = None
    received_at_s: float = -math.inf
    position: LimitPosition = LimitPosition()
    #: How many daemons may send to it.
    holders: int = 1
    #: Until then another daemon may still send in this daemon's place.
    stable_at_s: float = -math.inf
    #: When the last request was due, or was sent if that was later.
    _last_due_s: float = -math.inf
    #: Whether this daemon has had a place since the limit began.
    _has_position: bool = False

    # Words

    def update(self, per_s: float, received_at_s: float) -> LimitChange:
        """Take in that a limit was named in an answer; an older word changes nothing."""
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
        """Take in that an answer named no limit any more; an older word changes nothing."""
        if self.per_s is None or received_at_s < self.received_at_s:
            return LimitChange.NOTHING
        self.per_s = None
        self.received_at_s = received_at_s
        return LimitChange.ENDED

    def may_be_ended_by_answer(self, sent_s: float) -> bool:
        """Whether the answer to a request that was sent then was written after the last word.

        Answers may pass each other; one that was asked for after the word was not written before.
        """
        return self.per_s is not None and sent_s > self.received_at_s

    def has_ended_since(self, sent_s: float) -> bool:
        """Whether a limit has ended after a request was sent.

        Its answer may have been written before, and would begin the limit again for all.
        """
        return self.per_s is None and self.received_at_s > sent_s

    def adopt(self, former: RequestLimit) -> None:
        """Take over what was heard as an earlier incarnation's word and is this one's own."""
        self.per_s = former.per_s
        self.holders = former.holders
        self.received_at_s = former.received_at_s
        self._last_due_s = former._last_due_s

    # This daemon's part

    def set_position(self, position: LimitPosition, stable_at_s: float) -> None:
        """Take a place in the order; one that becomes a holder sends nothing before ``settles_s``.

        One that is a holder already goes on.
        """
        was_holder = self._has_position and self.is_holder
        self._has_position = True
        self.position = position
        self.holders = max_holders(self.per_s or 0.0, position.daemons)
        if self.is_holder and not was_holder:
            self.stable_at_s = stable_at_s

    @property
    def is_holder(self) -> bool:
        """Whether this daemon is one of them, by a limit that is known."""
        return self.per_s is not None and self.position.rank < self.holders

    @property
    def interval_s(self) -> float:
        """Seconds between two requests of one holder."""
        return _interval_s(self.per_s or 0.0, self.holders)

    def available_in_s(self, now_s: float) -> float:
        """Return in how many seconds this daemon may send a request; 0: now, infinite: others."""
        if self.per_s is None:
            return 0.0
        if self.is_holder:
            due_s = self._last_due_s + self.interval_s - MAX_EARLY_S
            return max(0.0, due_s - now_s, self.stable_at_s - now_s)
        return 0.0 if self._has_trial_turn(now_s) else math.inf

    def _has_trial_turn(self, now_s: float) -> bool:
        """Whether it is this daemon's turn to try, nobody having said anything for long."""
        silent_s = now_s - self.received_at_s - TRIAL_AFTER_SILENCE_S
        if silent_s < 0.0 or now_s - self._last_due_s < TRIAL_AFTER_SILENCE_S:
            return False
        turn = self.holders + int(silent_s / TRIAL_TURN_S)
        return turn % self.position.daemons == self.position.rank

    def record_sent(self, now_s: float) -> None:
        """A request is sent to it."""
        if self.per_s is None or not self.is_holder:
            self._last_due_s = now_s
        else:
            self._last_due_s = max(now_s, self._last_due_s + self.interval_s)
