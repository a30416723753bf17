"""Detects from one daemon's observations that the store was out for every daemon. No I/O, no clock.

A failed call here may have a local cause: a stall of this process, a dead connection, or a store
that rejects only this machine. An outage for all daemons is therefore reported only if three
conditions hold:

- no daemon is known to have reached the store for ``MAX_WATCH_S``;
- calls that were started in that time failed here;
- enough peers (``peers_needed``) replied that they had not reached the store either.

Whether entries may have lapsed for lack of renewal is a different question, on which the loss of
sound replicas depends. It is answered with yes unless a peer is known to have reached the store.
"""

from __future__ import annotations

import math

import msgspec

#: A daemon has lost the store after this long without an answer: longest watch plus call timeout.
MAX_WATCH_S = 2.5
#: A later reply confirms no outage: the peer may have stalled and not tried to reach the store.
MAX_REPLY_DELAY_S = 0.5
#: Shortest outage in which a replica's entry may lapse, in heartbeats of the replica. An entry
#: lapses after three heartbeats of silence, one of which may have passed when the outage begins.
LAPSE_HEARTBEATS = 2


class StoreOutage(msgspec.Struct, frozen=True):
    """A period without contact to the store, from the last answer before it to the first after."""

    started_at_s: float
    ended_at_s: float


class StoreOutageDetector:
    """Collects one daemon's observations. Times are monotonic seconds of this daemon.

    Without peers (``has_peers`` false), its own observations decide. ``heartbeat_s`` is the period
    in which replicas renew their entries.
    """

    def __init__(self, started_s: float, *, has_peers: bool, heartbeat_s: float = 1.2) -> None:
        self._has_peers = has_peers
        self._shortest_lapse_s = LAPSE_HEARTBEATS * heartbeat_s
        self._started_s = started_s
        #: Latest time at which the store is known to have answered a daemon (a proof).
        self._proven_s = -math.inf
        self._first_failure_s: float | None = None
        #: Number of peers that must confirm that they had not reached the store.
        self.peers_needed = 1
        #: Start of the first call since the last proof that began after a failure and failed too.
        self._first_fresh_failure_at_s = math.inf
        #: By peer: when the request was sent whose reply first confirmed the outage.
        self._peers_agreed_at_s: dict[str, float] = {}
        self._ended: StoreOutage | None = None
        #: End of the latest time without contact to the store in which entries may have lapsed.
        self._lapses_until_s = -math.inf

    @property
    def is_suspected(self) -> bool:
        """Whether this daemon's own calls fail, so that its peers should be asked."""
        return self._first_failure_s is not None

    def record_failure(self, begun_s: float, failed_s: float) -> None:
        """Record a failed call of this daemon.

        The first failure in a row may be due to a dead connection or a stall of this process; calls
        that begin after it are not affected by that.
        """
        if self._first_failure_s is None:
            self._first_failure_s = failed_s
        elif begun_s >= self._first_failure_s and failed_s - begun_s <= MAX_WATCH_S:
            self._first_fresh_failure_at_s = min(self._first_fresh_failure_at_s, begun_s)

    def record_answer(self, at_s: float) -> None:
        """Record that the store answered a call of this daemon that began at ``at_s``."""
        self._first_failure_s = None
        self._record_proof(at_s)

    def record_peer_reply(
        self, peer_id: str, proven_at_s: float, asked_s: float, replied_s: float
    ) -> None:
        """Record a peer's reply to the question when the store last answered it."""
        if proven_at_s > self._proven_s:
            self._record_proof(proven_at_s)
            return
        is_prompt = replied_s - asked_s <= MAX_REPLY_DELAY_S
        if is_prompt and asked_s - self._unreached_since_s >= MAX_WATCH_S:
            self._peers_agreed_at_s.setdefault(peer_id, asked_s)

    def pop_ended(self) -> StoreOutage | None:
        """Return an outage that has ended, or None; each outage is returned once."""
        ended, self._ended = self._ended, None
        return ended

    def may_have_lapsed_since(self, at_s: float) -> bool:
        """Whether entries that the store held at ``at_s`` may have lapsed for lack of renewal.

        That is, whether a time has ended since then in which no daemon is known to have reached the
        store and which was long enough for entries to lapse.
        """
        return self._lapses_until_s > at_s

    @property
    def _unreached_since_s(self) -> float:
        return self._proven_s if math.isfinite(self._proven_s) else self._started_s

    def _record_proof(self, at_s: float) -> None:
        if at_s <= self._proven_s:
            return
        if self._failed_before(at_s) and at_s - self._unreached_since_s >= self._shortest_lapse_s:
            self._lapses_until_s = at_s
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
        """Whether the observations since the last proof show an outage for all daemons."""
        agreeing = sum(asked_s < at_s for asked_s in self._peers_agreed_at_s.values())
        peers_agree = agreeing >= self.peers_needed or not self._has_peers
        is_long = at_s - self._unreached_since_s >= MAX_WATCH_S
        return self._failed_before(at_s) and peers_agree and is_long

    def _failed_before(self, at_s: float) -> bool:
        """Whether calls failed here between the last proof and ``at_s``, and not due to a stall."""
        return self._first_fresh_failure_at_s < at_s
