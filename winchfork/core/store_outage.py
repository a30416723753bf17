"""Whether the store was away for every daemon, as far as one daemon can tell. No I/O, no clock.

A call that failed here says nothing about the others: this process may have stood still, its
connection may have fallen silent, or the store may have turned this machine away alone. Bounds that
all daemons share begin anew only after an outage for all, so that is asserted on three findings
together: nobody is known to have reached the store for longer than any sound watch takes, calls
begun afresh failed here meanwhile, and most peers say when asked that they had not reached it
either. One is not enough: the store may turn away two daemons at once, or a peer may have stood
still.
"""

from __future__ import annotations

import math

import msgspec

#: Seconds after which a daemon without a newer proof has lost the store: its longest wait of one
#: watch and that call's time limit.
MAX_WATCH_S = 2.5
#: A peer that answers later than this may have stood still, and then has not tried to reach it.
MAX_REPLY_DELAY_S = 0.5


class StoreOutage(msgspec.Struct, frozen=True):
    """A time in which nobody reached the store, from its last proof to its first one after."""

    started_at_s: float
    ended_at_s: float


class StoreOutageDetector:
    """Collects one daemon's findings. Times are monotonic seconds of this daemon.

    ``has_peers``: whether there are others to ask; without, its own findings have to do.
    """

    def __init__(self, started_s: float, *, has_peers: bool) -> None:
        self._has_peers = has_peers
        self._started_s = started_s
        self._proven_s = -math.inf
        self._first_failure_s: float | None = None
        #: Peers that have to say that they had not reached the store.
        self.peers_needed = 1
        #: When the first call begun afresh that failed since the last proof began, and when each
        #: peer was first asked that had no newer proof either.
        self._first_fresh_failure_at_s = math.inf
        self._peers_agreed_at_s: dict[str, float] = {}
        self._ended: StoreOutage | None = None

    @property
    def is_suspected(self) -> bool:
        """Whether this daemon's own calls fail, so that its peers had better be asked."""
        return self._first_failure_s is not None

    def record_failure(self, begun_s: float, failed_s: float) -> None:
        """Take in that an own call failed.

        The first of a row may have gone over a connection that had fallen silent, or have run out
        of time while this process stood still; what was begun after it was noticed has not.
        """
        if self._first_failure_s is None:
            self._first_failure_s = failed_s
        elif begun_s >= self._first_failure_s and failed_s - begun_s <= MAX_WATCH_S:
            self._first_fresh_failure_at_s = min(self._first_fresh_failure_at_s, begun_s)

    def record_answer(self, at_s: float) -> None:
        """Take in that the store answered a call of this daemon that began at ``at_s``."""
        self._first_failure_s = None
        self._record_proof(at_s)

    def record_peer_reply(
        self, peer_id: str, proven_at_s: float, asked_s: float, replied_s: float
    ) -> None:
        """Take in a peer's reply: when the store last answered it, and when the peer was asked."""
        if proven_at_s > self._proven_s:
            self._record_proof(proven_at_s)
            return
        is_prompt = replied_s - asked_s <= MAX_REPLY_DELAY_S
        if is_prompt and asked_s - self._unreached_since_s >= MAX_WATCH_S:
            self._peers_agreed_at_s.setdefault(peer_id, asked_s)

    def pop_ended(self) -> StoreOutage | None:
        """Return an outage that has ended, once."""
        ended, self._ended = self._ended, None
        return ended

    @property
    def _unreached_since_s(self) -> float:
        return self._proven_s if math.isfinite(self._proven_s) else self._started_s

    def _record_proof(self, at_s: float) -> None:
        if at_s <= self._proven_s:
            return
        if self._was_unreachable_until(at_s):
            self._ended = StoreOutage(self._unreached_since_s, at_s)
        self._proven_s = at_s
        if self._first_failure_s is not None and self._first_failure_s <= at_s:
            self._first_failure_s = None
        if self._first_fresh_failure_at_s <= at_s:
            self._first_fresh_failure_at_s = math.inf
        later = {
            peer: asked_s for peer, asked_s in self._peers_agreed_at_s.items() if asked_s > at_s
        }
        self._peers_agreed_at_s = later

    def _was_unreachable_until(self, at_s: float) -> bool:
        """Whether everything found since the last proof says that nobody reached the store."""
        failed_here = self._first_fresh_failure_at_s < at_s
        agreeing = sum(asked_s < at_s for asked_s in self._peers_agreed_at_s.values())
        others_agree = agreeing >= self.peers_needed or not self._has_peers
        return failed_here and others_agree and at_s - self._unreached_since_s >= MAX_WATCH_S
