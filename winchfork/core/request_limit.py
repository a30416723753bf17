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
USED_SHARE = 0.95
WINDOW_S = 4.0
#: Seconds by which a request may go before its time, if the one before went late: a place waits for
#: its daemon's next request.
EARLY_S = 0.2
#: Requests a second that are sent to a replica in any case, also to one that takes none: without an
#: answer nobody learns that its limit has ended.
LEAST_PER_S = 0.2
#: Seconds after a change of the fleet's daemons in which a daemon does not begin to send in
#: another's place: longer than it takes until all have heard of the change, since until then both
#: may take themselves for the holder.
SETTLE_S = 4.0
#: Seconds without a word on a limit after which the others may try in turn: longer than the pause
#: between two requests to a replica that takes none. And seconds that each has.
SILENCE_S = 8.0
TURN_S = 2.0


class LimitChange(enum.Enum):
    """What a word on a limit has changed."""

    NOTHING = "nothing"
    BEGUN = "begun"
    CHANGED = "changed"
    ENDED = "ended"


class LimitOrder(msgspec.Struct, frozen=True):
    """This daemon's place, from 0, in the order of all ``daemons`` for one replica."""

    place: int = 0
    daemons: int = 1


def most_holders(per_s: float, daemons: int) -> int:
    """Return how many daemons may share a limit, so that no window holds too many requests.

    More holders find requests for it sooner, each being a daemon with callers of its own.
    """
    allowed = WINDOW_S * max(per_s, LEAST_PER_S) + 1.0
    for holders in range(max(1, min(daemons, int(per_s))), 1, -1):
        each = int((WINDOW_S + EARLY_S) / _interval_s(per_s, holders)) + 1
        if holders * each <= allowed:
            return holders
    return 1


def _interval_s(per_s: float, holders: int) -> float:
    return holders / max(LEAST_PER_S, USED_SHARE * per_s)


class RequestLimit(msgspec.Struct):
    """The limit of one incarnation, as far as known, and when this daemon may send to it.

    ``per_s`` is None while it names none. ``heard_s`` is when the newest word on it was heard by
    any daemon: one that names it, or one that ended it.
    """

    per_s: float | None = None
    heard_s: float = -math.inf
    order: LimitOrder = LimitOrder()
    #: How many daemons may send to it.
    holders: int = 1
    #: Until then another daemon may still send in this daemon's place.
    settles_s: float = -math.inf
    #: When the last request was due, or was sent if that was later.
    _last_due_s: float = -math.inf
    #: Whether this daemon has had a place since the limit began.
    _is_placed: bool = False

    # Words

    def name(self, per_s: float, heard_s: float) -> LimitChange:
        """Take in that a limit was named in an answer; an older word changes nothing."""
        if heard_s < self.heard_s:
            return LimitChange.NOTHING
        self.heard_s = heard_s
        known_per_s, self.per_s = self.per_s, per_s
        if known_per_s != per_s:
            self.holders = most_holders(per_s, self.order.daemons)
        if known_per_s is None:
            self._is_placed = False
            return LimitChange.BEGUN
        return LimitChange.NOTHING if known_per_s == per_s else LimitChange.CHANGED

    def end(self, heard_s: float) -> LimitChange:
        """Take in that an answer named no limit any more; an older word changes nothing."""
        if self.per_s is None or heard_s < self.heard_s:
            return LimitChange.NOTHING
        self.per_s = None
        self.heard_s = heard_s
        return LimitChange.ENDED

    def may_be_ended_by_answer(self, sent_s: float) -> bool:
        """Whether the answer to a request that was sent then was written after the last word.

        Answers may pass each other; one that was asked for after the word was not written before.
        """
        return self.per_s is not None and sent_s > self.heard_s

    def has_ended_since(self, sent_s: float) -> bool:
        """Whether a limit has ended after a request was sent.

        Its answer may have been written before, and would begin the limit again for all.
        """
        return self.per_s is None and self.heard_s > sent_s

    def adopt(self, former: RequestLimit) -> None:
        """Take over what was heard as an earlier incarnation's word and is this one's own."""
        self.per_s = former.per_s
        self.holders = former.holders
        self.heard_s = former.heard_s
        self._last_due_s = former._last_due_s

    # This daemon's part

    def take_place(self, order: LimitOrder, settles_s: float) -> None:
        """Take a place in the order; one that becomes a holder sends nothing before ``settles_s``.

        One that is a holder already goes on.
        """
        was_holder = self._is_placed and self.is_holder
        self._is_placed = True
        self.order = order
        self.holders = most_holders(self.per_s or 0.0, order.daemons)
        if self.is_holder and not was_holder:
            self.settles_s = settles_s

    @property
    def is_holder(self) -> bool:
        """Whether this daemon is one of them, by a limit that is known."""
        return self.per_s is not None and self.order.place < self.holders

    @property
    def interval_s(self) -> float:
        """Seconds between two requests of one holder."""
        return _interval_s(self.per_s or 0.0, self.holders)

    def opens_in_s(self, now_s: float) -> float:
        """Return in how many seconds this daemon may send a request; 0: now, infinite: others."""
        if self.per_s is None:
            return 0.0
        if self.is_holder:
            due_s = self._last_due_s + self.interval_s - EARLY_S
            return max(0.0, due_s - now_s, self.settles_s - now_s)
        return 0.0 if self._has_turn(now_s) else math.inf

    def _has_turn(self, now_s: float) -> bool:
        """Whether it is this daemon's turn to try, nobody having said anything for long."""
        silent_s = now_s - self.heard_s - SILENCE_S
        if silent_s < 0.0 or now_s - self._last_due_s < SILENCE_S:
            return False
        turn = self.holders + int(silent_s / TURN_S)
        return turn % self.order.daemons == self.order.place

    def note_sent(self, now_s: float) -> None:
        """A request is sent to it."""
        if self.per_s is None or not self.is_holder:
            self._last_due_s = now_s
        else:
            self._last_due_s = max(now_s, self._last_due_s + self.interval_s)
