"""Exchanges crash reports, suspect runs and clearances of requests between daemons.

Clearances are batched, since one crash can lead to dozens of them.
"""

from __future__ import annotations

from winchfork.core.suspect_runs import SuspectRun
from winchfork.router.crash_broadcast import CallLater, CrashBroadcast, chunks
from winchfork.router.crash_tracker import CRASHES_TO_RUN_ALONE
from winchfork.router.peer_messages import ClearedRequests, CrashReport, SuspectRunReport
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Seconds for which clearances are collected into one message.
BATCH_WINDOW_S = 0.1


class CrashExchange:
    """Connects this process's crash tracker to its peers."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: CallLater,
    ) -> None:
        self._state = state
        self._tracker = state.crashes
        self._peers = peers
        self._call_later = call_later
        self._pending_cleared: list[bytes] = []
        self._tracker.on_crash = CrashBroadcast(
            self._tracker.history, peers, state.clock, call_later, CrashReport
        ).send
        self._tracker.on_suspect_run = self.broadcast_run
        self._tracker.on_cleared = self._queue_cleared

    def handle_crash_report(self, message: CrashReport) -> None:
        """Record the requests that a peer was running on a replica that crashed."""
        self._tracker.handle_crash_report(message.incarnation, message.digests)

    def handle_suspect_run(self, message: SuspectRunReport) -> None:
        """Record that a peer's run of a suspected request has begun or ended."""
        run = None
        if message.remaining_ms:
            until_s = self._state.clock() + message.remaining_ms / 1000.0
            run = SuspectRun(message.incarnation, until_s, is_exclusive=True)
        self._tracker.handle_suspect_run(message.sender_id, message.digest, run)

    def handle_cleared(self, message: ClearedRequests) -> None:
        """Clear suspected requests whose runs have succeeded at a peer."""
        for digest in message.digests:
            self._tracker.handle_cleared(digest)

    def broadcast_run(self, digest: bytes, run: SuspectRun | None) -> None:
        """Tell peers that an exclusive run has begun, or has ended (None)."""
        remaining_s = run.until_s - self._state.clock() if run is not None else 0.0
        incarnation = run.incarnation if run is not None else 0
        message = SuspectRunReport(
            self._state.settings.node_id, digest, incarnation, max(0, int(remaining_s * 1000))
        )
        self._peers.broadcast(message)

    def _queue_cleared(self, digest: bytes, crashes: int) -> None:
        self._pending_cleared.append(digest)
        if crashes >= CRASHES_TO_RUN_ALONE:
            # After one more crash, daemons without the clearance would refuse the request.
            self._flush_cleared()
        elif len(self._pending_cleared) == 1:
            self._call_later(BATCH_WINDOW_S, self._flush_cleared)

    def _flush_cleared(self) -> None:
        digests, self._pending_cleared = self._pending_cleared, []
        for chunk in chunks(tuple(digests)):
            self._peers.broadcast(ClearedRequests(chunk))
