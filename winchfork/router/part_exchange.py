"""Exchanges crashes, refusals and clearances of prompt parts between daemons.

Reports are resent, since a datagram may be lost and every daemon needs them. Many daemons may know
at once that a part has succeeded, so each waits for a random time and stays silent if another one
has cleared the part meanwhile.
"""

from __future__ import annotations

import functools
import math

from winchfork.router.crash_broadcast import (
    RESEND_DELAYS_S,
    CallLater,
    CrashBroadcast,
    chunks,
)
from winchfork.router.peer_messages import (
    ClearedRequests,
    PartRefusalEntry,
    PartRefusalReport,
    SuspectPartsReport,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Longest random delay of a clearance, in seconds for each daemon of the fleet and in all.
CLEARANCE_DELAY_PER_DAEMON_S = 0.004
MAX_CLEARANCE_DELAY_S = 0.3


class PartExchange:
    """Connects this process's part guard to its peers."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: CallLater,
    ) -> None:
        self._state = state
        self._guard = state.crashes.parts
        self._peers = peers
        self._call_later = call_later
        #: Cleared parts that peers have not been told of.
        self._pending_cleared: set[bytes] = set()
        self._guard.on_crash = CrashBroadcast(
            self._guard.history, peers, state.clock, call_later, SuspectPartsReport
        ).send
        self._guard.on_refused = self._broadcast_refusals
        self._guard.on_cleared = self._schedule_clearance

    def handle_crash_report(self, message: SuspectPartsReport) -> None:
        """Record the parts of a peer's runs on a replica that crashed."""
        self._guard.handle_crash_report(message.incarnation, message.parts)

    def handle_refusals(self, message: PartRefusalReport) -> None:
        """Record the parts that a peer has limited or refused."""
        for entry in message.entries:
            self._guard.handle_refusal(entry.part, entry.times, entry.remaining_ms / 1000.0)

    def handle_cleared(self, message: ClearedRequests) -> None:
        """Clear parts that have succeeded at a peer."""
        for part in message.digests:
            self._pending_cleared.discard(part)
            self._guard.handle_cleared(part)

    # Refusals

    def _broadcast_refusals(self, parts: tuple[bytes, ...]) -> None:
        for chunk in chunks(parts):
            self._send_refusals(chunk)
            for delay_s in RESEND_DELAYS_S:
                self._call_later(delay_s, functools.partial(self._send_refusals, chunk))

    def _send_refusals(self, parts: tuple[bytes, ...]) -> None:
        entries = tuple(map(self._refusal_entry, filter(self._is_refused, parts)))
        if entries:
            self._peers.broadcast(PartRefusalReport(entries))

    def _is_refused(self, part: bytes) -> bool:
        return self._guard.history.times_refused(part) > 0

    def _refusal_entry(self, part: bytes) -> PartRefusalEntry:
        history = self._guard.history
        remaining_s = max(0.0, history.refused_until_s(part) - self._state.clock())
        return PartRefusalEntry(part, history.times_refused(part), int(remaining_s * 1000))

    # Clearances

    def _schedule_clearance(self, part: bytes, crashes: int) -> None:
        if part not in self._pending_cleared:
            self._pending_cleared.add(part)
            self._call_later(
                self._clearance_delay_s(), functools.partial(self._send_clearance, part)
            )

    def _send_clearance(self, part: bytes) -> None:
        """Tell peers of a cleared part, with others that are pending."""
        if part not in self._pending_cleared:
            return
        for chunk in chunks(tuple(self._pending_cleared)):
            self._peers.broadcast(ClearedRequests(chunk))
        self._pending_cleared.clear()

    def _clearance_delay_s(self) -> float:
        """Return a random delay, distributed so that few of all daemons have a short one.

        Truncated exponential, as the feedback timers of RFC 5401.
        """
        daemons = max(1, self._state.daemon_count)
        longest_s = min(MAX_CLEARANCE_DELAY_S, CLEARANCE_DELAY_PER_DAEMON_S * daemons)
        rate = math.log(daemons) + 1.0
        drawn = self._state.generator.random()
        return longest_s * math.log(1.0 + drawn * math.expm1(rate)) / rate
