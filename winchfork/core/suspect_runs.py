"""Runs of suspected requests that are under way, on this daemon and on others as far as they tell.

A suspect runs once at a time, and one under which two replicas have ended shares no replica with
another such: what ends there next is then told from what was only near. Advice with an age, like
all that daemons tell each other: a lost message costs certainty, never a promise.
"""

from __future__ import annotations

import msgspec


class SuspectRun(msgspec.Struct, frozen=True):
    """A run of a suspected request; ``until_s`` is when it has ended at the latest.

    ``alone``: no other such run may share its replica.
    """

    incarnation: int
    until_s: float
    is_exclusive: bool


class SuspectRuns:
    """Runs by the daemon that sent them and by digest. Times are seconds. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, bytes], SuspectRun] = {}

    def begin(self, daemon: str, digest: bytes, run: SuspectRun) -> None:
        """Record that a daemon has sent a suspect."""
        self._runs[daemon, digest] = run

    def end(self, daemon: str, digest: bytes) -> SuspectRun | None:
        """Record that a daemon's run is over; None if it was not known."""
        return self._runs.pop((daemon, digest), None)

    def is_running(self, digest: bytes, now_s: float) -> bool:
        """Whether a run of a request is under way."""
        self._forget(now_s)
        return any(key[1] == digest for key in self._runs)

    def exclusive_incarnations(self, now_s: float) -> frozenset[int]:
        """Return the incarnations on which a suspect runs that shares no replica."""
        self._forget(now_s)
        return frozenset(run.incarnation for run in self._runs.values() if run.is_exclusive)

    def _forget(self, now_s: float) -> None:
        for key in [key for key, run in self._runs.items() if now_s >= run.until_s]:
            del self._runs[key]
