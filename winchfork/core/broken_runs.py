"""Runs whose connection broke, until it is settled whether their replica ended.

A broken connection alone says little: a reset, a lost answer, a refused connection too many and a
cut look alike. That the replica ended is told later: its port is closed, its entry lapses, or
another incarnation is in its place. Times are seconds of one clock, given in.
"""

from __future__ import annotations

import enum

import msgspec

#: Evidence that comes later than this after a break is of another event: an entry lapses after
#: three heartbeats (3.6 s by default), and replicas are back after some seconds.
EVIDENCE_WINDOW_S = 6.0


class CrashEvidence(enum.Enum):
    """What has shown that an incarnation has ended."""

    #: Its machine refuses connections to its port.
    PORT_CLOSED = "port_closed"
    #: Its entry has lapsed, though it had not said that it would leave.
    ENTRY_LAPSED = "entry_lapsed"
    #: Another incarnation is in its place.
    REPLACED = "replaced"


class _BrokenRun(msgspec.Struct):
    at_s: float
    #: Nothing was acknowledged any more: the way to the replica may be cut.
    silent: bool
    #: The replica was reached after the break, so it is doubtful that it ended.
    reached_since: bool = False


class BrokenRuns:
    """Broken runs by incarnation and digest. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: dict[int, dict[bytes, _BrokenRun]] = {}

    def record(self, incarnation: int, digest: bytes, at_s: float, *, silent: bool) -> None:
        """Record that the connection of a run broke."""
        self._forget(at_s)
        self._runs.setdefault(incarnation, {})[digest] = _BrokenRun(at_s, silent)

    def mark_reached(self, incarnation: int, asked_s: float) -> None:
        """Record that a new connection to the replica came up that was asked for at ``asked_s``."""
        for run in self._runs.get(incarnation, {}).values():
            run.reached_since = run.reached_since or run.at_s <= asked_s

    def clear(self, digest: bytes) -> None:
        """Record that a run of a request has ended well since: its breaks say nothing of it."""
        for runs in self._runs.values():
            runs.pop(digest, None)

    def pop_crashed(
        self, incarnation: int, evidence: CrashEvidence, now_s: float
    ) -> tuple[bytes, ...]:
        """Take out the requests that an incarnation was running when it ended.

        A lapsed entry of a replica that fell silent shows no more than a cut.
        """
        self._forget(now_s)
        runs = self._runs.get(incarnation, {})
        cut = evidence is CrashEvidence.ENTRY_LAPSED
        settled = tuple(digest for digest, run in runs.items() if not (cut and run.silent))
        for digest in settled:
            del runs[digest]
        if not runs:
            self._runs.pop(incarnation, None)
        return settled

    def count_unconfirmed(self, digest: bytes, now_s: float) -> int:
        """Return how many incarnations may have ended under a request, as far as is not told."""
        self._forget(now_s)
        count = 0
        for runs in self._runs.values():
            run = runs.get(digest)
            count += run is not None and not run.silent and not run.reached_since
        return count

    def _forget(self, now_s: float) -> None:
        for incarnation, runs in list(self._runs.items()):
            for digest in [
                key for key, run in runs.items() if now_s - run.at_s > EVIDENCE_WINDOW_S
            ]:
                del runs[digest]
            if not runs:
                del self._runs[incarnation]
