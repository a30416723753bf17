"""How many requests a second one replica takes from all daemons together, as it names in answers.

It holds for one incarnation, for as long as its answers say so. Times are monotonic seconds, given
in.
"""

from __future__ import annotations

import enum
import math

import msgspec


class LimitChange(enum.Enum):
    """What a word on a limit has changed."""

    NOTHING = "nothing"
    BEGUN = "begun"
    CHANGED = "changed"
    ENDED = "ended"


class RequestLimit(msgspec.Struct):
    """The limit of one incarnation, as far as known.

    ``per_s`` is None while it names none. ``heard_s`` is when the newest word on it was heard: one
    that names it, or one that ended it.
    """

    per_s: float | None = None
    heard_s: float = -math.inf

    def name(self, per_s: float, heard_s: float) -> LimitChange:
        """Take in that an answer names this limit."""
        self.heard_s = heard_s
        known_per_s, self.per_s = self.per_s, per_s
        if known_per_s is None:
            return LimitChange.BEGUN
        return LimitChange.NOTHING if known_per_s == per_s else LimitChange.CHANGED

    def end(self, sent_s: float, heard_s: float) -> LimitChange:
        """Take in that the answer to a request that was sent then names no limit.

        It counts if the request was sent after the last word that named one: only then was the
        answer written later, in whatever order answers come.
        """
        if self.per_s is None or sent_s <= self.heard_s:
            return LimitChange.NOTHING
        self.per_s = None
        self.heard_s = heard_s
        return LimitChange.ENDED
