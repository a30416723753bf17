"""Active runs of suspect requests, on this daemon and as reported by others.

A suspect request runs once at a time. One under which two replicas have crashed is exclusive: it
shares no replica with another such request, so that the next crash can be attributed to one of
them. Reports of other daemons are advisory and expire: a lost one may only make the attribution
less certain.
"""

from __future__ import annotations

import msgspec


class SuspectRun(msgspec.Struct, frozen=True):
    """A run of a suspect request, which ends at ``until_s`` at the latest.

    No other exclusive run may share the replica of a run with ``is_exclusive`` set.
    """

    incarnation: int
    until_s: float
    is_exclusive: bool


class SuspectRuns:
    """Runs by the daemon that sent them and request digest. Times in seconds. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, bytes], SuspectRun] = {}

    def begin(self, daemon: str, digest: bytes, run: SuspectRun) -> None:
        """Record that a daemon has sent a suspect request."""
        self._runs[daemon, digest] = run

    def end(self, daemon: str, digest: bytes) -> SuspectRun | None:
        """Remove and return a daemon's run that has ended; None if it was not known."""
        return self._runs.pop((daemon, digest), None)

    def is_running(self, digest: bytes, now_s: float) -> bool:
        """Whether a run of a request is active."""
        self._forget(now_s)
        return any(key[1] == digest for key in self._runs)

    def exclusive_incarnations(self, now_s: float) -> frozenset[int]:
        """Return the incarnations with an exclusive run."""
        self._forget(now_s)
        return frozenset(run.incarnation for run in self._runs.values() if run.is_exclusive)

    def _forget(self, now_s: float) -> None:
        for key in [key for key, run in self._runs.items() if now_s >= run.until_s]:
            del self._runs[key]
