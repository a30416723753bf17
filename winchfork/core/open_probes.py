"""Probes that have not been answered, and those that were sent on for other members.

A nonce names a probe. Times are seconds of one clock, given in.
"""

from __future__ import annotations

import msgspec

from winchfork.constants import HEARTBEAT_PERIOD_S, SUSPECT_AFTER_S

#: Probes sent on for others that are remembered: some seconds of a busy helper.
MAX_RELAYED = 64


class OpenProbe(msgspec.Struct):
    """A probe by this daemon; ``helpers_asked``: other members were asked to probe as well."""

    nonce: int
    target_id: str
    sent_at_s: float
    helpers_asked: bool = False


class RelayedProbe(msgspec.Struct, frozen=True):
    """A probe sent on for a member, by that member's address and nonce."""

    address: str
    nonce: int


class OverdueProbes(msgspec.Struct, frozen=True):
    """Probes for which helpers have to be asked now, and those that are given up."""

    unanswered: list[OpenProbe]
    lost: list[OpenProbe]


class OpenProbes:
    """Open probes by nonce. Not thread-safe."""

    def __init__(self) -> None:
        self._last_nonce = 0
        self._open: dict[int, OpenProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}

    def begin(self, target_id: str, now_s: float) -> int:
        """Return the nonce of a new probe; without a known target its reply is not waited for."""
        nonce = self._take_nonce()
        if target_id:
            self._open[nonce] = OpenProbe(nonce, target_id, now_s)
        return nonce

    def begin_relayed(self, address: str, asked_nonce: int) -> int:
        """Return the nonce of a probe that is sent on for the member at an address."""
        nonce = self._take_nonce()
        self._relayed[nonce] = RelayedProbe(address, asked_nonce)
        if len(self._relayed) > MAX_RELAYED:
            del self._relayed[next(iter(self._relayed))]
        return nonce

    def pop(self, nonce: int) -> OpenProbe | None:
        """Close a probe that was answered; None if it is not open."""
        return self._open.pop(nonce, None)

    def pop_relayed(self, nonce: int) -> RelayedProbe | None:
        """Close a probe that was sent on and answered; None if it was none."""
        return self._relayed.pop(nonce, None)

    def pop_overdue(self, now_s: float) -> OverdueProbes:
        """Close the probes that are given up; return those that have become overdue since."""
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

    def _take_nonce(self) -> int:
        self._last_nonce += 1
        return self._last_nonce
