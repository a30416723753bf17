"""How many requests a replica admits at once, learned from what it rejects and what it runs.

All daemons apply the same reports of rejections, and so arrive at about the same room. Each may use
the places that are dealt to it. Times are monotonic seconds, passed in by the caller.
"""

from __future__ import annotations

import msgspec

#: Factor by which the room shrinks on a rejection while it is not known.
SHRINK_FACTOR = 0.5
#: Seconds within which a second rejection means that the room is not known any more.
REPEATED_S = 1.0
#: Seconds after a rejection, or after the room last grew, until it may grow by one place.
GROW_AFTER_S = 1.0
#: Upper bound of that time, which doubles with each rejection that follows a growth.
MAX_GROW_AFTER_S = 16.0
#: Bounds in seconds of the pause after a rejection.
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.0


def dealt_places(room: int, replica: int, replicas: int, daemon: int, daemons: int) -> int:
    """Return how many of a replica's places are dealt to a daemon.

    ``replica`` and ``daemon`` are positions in orders that all daemons share. The places of each
    replica go to consecutive daemons; the first daemon of each is chosen so that those of all
    replicas are spread evenly.
    """
    if daemons <= 0:
        return room
    first = replica * daemons // max(1, replicas)
    offset = (daemon - first) % daemons
    return room // daemons + (offset < room % daemons)


class LearnedRoom(msgspec.Struct):
    """The room of one incarnation; ``ceiling`` is the most that it is taken to have."""

    ceiling: int
    room: int
    paused_until_s: float = 0.0
    grows_at_s: float = 0.0
    grow_after_s: float = GROW_AFTER_S
    rejected_at_s: float = float("-inf")
    #: Whether the last change of the room was a growth.
    _grown: bool = False
    #: Whether nearly all places were in use since the last change.
    _used: bool = False

    def record_rejection(self, now_s: float, tolerated_per_s: float) -> None:
        """Record that the replica rejected a request for want of room.

        Further rejections of the same moment change nothing. One that follows a growth only takes
        the grown place back; after any other the room is unknown, so the replica is paused.
        """
        since_s = now_s - self.rejected_at_s
        if self._grown and since_s >= REPEATED_S:
            self.room -= 1
            self.grow_after_s = min(MAX_GROW_AFTER_S, 2.0 * self.grow_after_s)
        elif since_s >= MIN_PAUSE_S:
            self.room = int(self.room * SHRINK_FACTOR)
            pause_s = 2.0 / tolerated_per_s if tolerated_per_s > 0 else MAX_PAUSE_S
            self.paused_until_s = now_s + min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s))
        self.room = max(1, self.room)
        self._set_changed(now_s, grown=False)
        self.rejected_at_s = now_s

    def apply_report(self, room: int, now_s: float, tolerated_per_s: float) -> None:
        """Apply a peer's report of a rejection, after which it knew of ``room`` places."""
        self.record_rejection(now_s, tolerated_per_s)
        self.room = max(1, min(self.room, room))

    def apply_hint(self, fraction: float, now_s: float) -> None:
        """Shrink to the fraction of the ceiling that another replica of the service has shown.

        A room that is known by the replica's own rejections is not changed.
        """
        if self.rejected_at_s > float("-inf"):
            return
        room = max(1, round(self.ceiling * fraction))
        if room < self.room:
            self.room = room
            self._set_changed(now_s, grown=False)
            self.paused_until_s = max(self.paused_until_s, now_s + MIN_PAUSE_S)

    @property
    def fraction(self) -> float:
        """The room as a fraction of the ceiling."""
        return self.room / self.ceiling

    def update(self, running: int, now_s: float) -> None:
        """Let the room grow if it is due, given the requests that all daemons run there."""
        self._used = self._used or running >= self.room - 1
        if now_s >= self.grows_at_s and self._used and self.room < self.ceiling:
            self.room += 1
            self._set_changed(now_s, grown=True)

    def pause_left_s(self, now_s: float) -> float:
        """Return for how long no request may be sent."""
        return max(0.0, self.paused_until_s - now_s)

    def _set_changed(self, now_s: float, *, grown: bool) -> None:
        self._grown = grown
        self._used = False
        self.grows_at_s = now_s + self.grow_after_s
