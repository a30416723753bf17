"""Unanswered probes of this daemon, and probes that it relays for other members.

A nonce identifies a probe. Times are seconds of one clock, passed in by the caller.
"""

from __future__ import annotations

import msgspec

from winchfork.constants import HEARTBEAT_PERIOD_S, SUSPECT_AFTER_S

#: Bounds the table of relayed probes: those of some seconds on a busy daemon.
MAX_RELAYED = 64


class OpenProbe(msgspec.Struct):
    """A probe by this daemon; ``helpers_asked`` once other members were asked to probe too."""

    nonce: int
    target_id: str
    sent_at_s: float
    helpers_asked: bool = False


class RelayedProbe(msgspec.Struct, frozen=True):
    """A probe relayed for another member, with that member's address and nonce."""

    address: str
    nonce: int


class OverdueProbes(msgspec.Struct, frozen=True):
    """Probes that other members are to repeat now, and probes that are given up."""

    unanswered: list[OpenProbe]
    lost: list[OpenProbe]


class OpenProbes:
    """Open probes by nonce. Not thread-safe."""

    def __init__(self) -> None:
        self._last_nonce = 0
        self._open: dict[int, OpenProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}

    def begin(self, target_id: str, now_s: float) -> int:
        """Return the nonce of a new probe, which is tracked only if its target is known."""
        nonce = self._next_nonce()
        if target_id:
            self._open[nonce] = OpenProbe(nonce, target_id, now_s)
        return nonce

    def begin_relayed(self, address: str, asked_nonce: int) -> int:
        """Return the nonce of a new probe that is relayed for the member at ``address``."""
        nonce = self._next_nonce()
        self._relayed[nonce] = RelayedProbe(address, asked_nonce)
        if len(self._relayed) > MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        return nonce

    def pop(self, nonce: int) -> OpenProbe | None:
        """Remove and return an answered probe; None if it is not open."""
        return self._open.pop(nonce, None)

    def pop_relayed(self, nonce: int) -> RelayedProbe | None:
        """Remove and return an answered relayed probe; None if it is not known."""
        return self._relayed.pop(nonce, None)

    def pop_overdue(self, now_s: float) -> OverdueProbes:
        """Return the probes that have become overdue; drop those that are given up."""
        overdue = OverdueProbes([], [])
        for nonce, probe in list(self._open.items()):
            age_s = now_s - probe.sent_at_s
            if age_s >= SUSPECT_AFTER_S:
                del self._open[nonce]
                overdue.lost.append(probe)
            elif age_s >= HEARTBEAT_PERIOD_S and not probe.helpers_asked:
                probe.helpers_asked = True
                overdue.unanswered.append(probe)
        return overdue

    def _next_nonce(self) -> int:
        self._last_nonce += 1
        return self._last_nonce
