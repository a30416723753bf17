"""Decides which of the connections that wait to be accepted are served, by how long they waited.

The operating system queues new connections in order of arrival and does not tell their age. If the
queue was last seen empty ``t`` seconds ago, none of them has waited longer than ``t``. A queue that
stays non-empty shows that connections arrive faster than they can be served. Their requests would
be read too late, so they are closed unread, and their callers can try another daemon. Times are
seconds of one clock, passed in by the caller.
"""

from __future__ import annotations

#: Seconds for which the queue may stay non-empty before the connections in it are closed.
MAX_STANDING_S = 0.4


class AcceptQueue:
    """The age of the queue of one listening socket. Not thread-safe."""

    def __init__(self, max_standing_s: float = MAX_STANDING_S) -> None:
        self._max_standing_s = max_standing_s
        #: When the first of the waiting connections was noticed; None while the queue is empty.
        self._standing_since_s: float | None = None

    def mark_waiting(self, now_s: float) -> None:
        """Record that a connection waits."""
        if self._standing_since_s is None:
            self._standing_since_s = now_s

    def mark_empty(self) -> None:
        """Record that no connection waits."""
        self._standing_since_s = None

    def is_overdue(self, now_s: float) -> bool:
        """Whether the waiting connections have to be closed unread until the queue is empty."""
        if self._standing_since_s is None:
            return False
        return now_s - self._standing_since_s > self._max_standing_s
