"""Runs whose connection broke, kept until it is known whether their replica crashed.

A broken connection alone does not show a crash: a reset, a lost answer, a refused connection and a
network partition look the same. A crash is confirmed later by :class:`CrashEvidence`. An answer
without framing that ends in order may have been cut short by a crash, so its run is kept as well,
until the replica is reached again. Times are seconds of one clock, passed in by the caller.
"""

from __future__ import annotations

import enum

import msgspec

#: Evidence is attributed to a broken run for this long after the break. Later evidence is of
#: another event: an entry lapses after three heartbeats (3.6 s by default), and replicas return
#: within seconds.
EVIDENCE_WINDOW_S = 6.0


class CrashEvidence(enum.Enum):
    """The observation that shows that an incarnation has crashed."""

    #: The machine refuses connections to the replica's port.
    PORT_CLOSED = "port_closed"
    #: The replica's entry expired without an announced departure.
    ENTRY_LAPSED = "entry_lapsed"
    #: Another incarnation runs in its place.
    REPLACED = "replaced"


class _BrokenRun(msgspec.Struct):
    at_s: float
    #: The connection broke because sent data was not acknowledged, as in a network partition.
    silent: bool
    #: The replica accepted a connection after the break, so a crash is unlikely.
    reached_since: bool = False
    #: The connection was closed in order at the end of an answer without framing.
    in_order: bool = False


class BrokenRuns:
    """Broken runs by incarnation and digest. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: dict[int, dict[bytes, _BrokenRun]] = {}

    def record(
        self, incarnation: int, digest: bytes, at_s: float, *, silent: bool, in_order: bool = False
    ) -> None:
        """Record that the connection of a run broke, or ended ``in_order`` without framing."""
        self._forget(at_s)
        self._runs.setdefault(incarnation, {})[digest] = _BrokenRun(at_s, silent, in_order=in_order)

    def mark_reached(self, incarnation: int, asked_s: float) -> tuple[bytes, ...]:
        """Record that a connection to the replica succeeded that was requested at ``asked_s``.

        Removes and returns the requests whose answers ended in order before.
        """
        runs = self._runs.get(incarnation, {})
        for run in runs.values():
            run.reached_since = run.reached_since or run.at_s <= asked_s
        succeeded = tuple(
            digest for digest, run in runs.items() if run.in_order and run.reached_since
        )
        for digest in succeeded:
            del runs[digest]
        return succeeded

    def clear(self, digest: bytes) -> None:
        """Discard the broken runs of a request that has since succeeded."""
        for runs in self._runs.values():
            runs.pop(digest, None)

    def pop_crashed(
        self, incarnation: int, evidence: CrashEvidence, now_s: float
    ) -> tuple[bytes, ...]:
        """Remove and return the requests that an incarnation was running when it crashed.

        An expired entry does not confirm a crash for silent runs: a partition has the same effect.
        """
        self._forget(now_s)
        runs = self._runs.get(incarnation, {})
        may_be_partition = evidence is CrashEvidence.ENTRY_LAPSED
        crashed = tuple(
            digest for digest, run in runs.items() if not (may_be_partition and run.silent)
        )
        for digest in crashed:
            del runs[digest]
        if not runs:
            self._runs.pop(incarnation, None)
        return crashed

    def count_unconfirmed(self, digest: bytes, now_s: float) -> int:
        """Return how many incarnations may have crashed under a request without confirmation."""
        self._forget(now_s)
        count = 0
        for runs in self._runs.values():
            run = runs.get(digest)
            if run is not None and not run.in_order:
                count += not run.silent and not run.reached_since
        return count

    def _forget(self, now_s: float) -> None:
        for incarnation, runs in list(self._runs.items()):
            for digest in [
                key for key, run in runs.items() if now_s - run.at_s > EVIDENCE_WINDOW_S
            ]:
                del runs[digest]
            if not runs:
                del self._runs[incarnation]
