"""What daemons tell each other of requests that end replicas.

Ends are told more than once, since a datagram may be lost and every daemon has to know them; what
they say again changes nothing. Clearances are collected: one end may bring fifty.
"""

from __future__ import annotations

import functools
from collections.abc import Callable

from winchfork.core.suspect_runs import SuspectRun
from winchfork.router.crash_guard import ENDS_TO_RUN_ALONE
from winchfork.router.peer_messages import ClearedRequests, EndedUnder, SuspectUnderWay
from winchfork.router.peer_port import PeerPort
from winchfork.router.state import RouterState

#: Seconds after which ends are told once more; further apart than hubs remember a datagram.
REPEATS_S = (0.7, 1.6)
#: Clearances that arise within this time share a message.
COLLECT_S = 0.1
#: Digests of 16 bytes that fit into a datagram with room to spare.
MOST_DIGESTS = 48


class CrashExchange:
    """Connects a process's guard to its peers."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerPort,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._state = state
        self._guard = state.crashes
        self._peers = peers
        self._call_later = call_later
        self._cleared: list[bytes] = []
        self._guard.on_ended = self._tell_ended
        self._guard.on_run = self._tell_run
        self._guard.on_cleared = self._collect_cleared

    def take_ended(self, message: EndedUnder) -> None:
        """Take in under which requests of a peer a replica ended."""
        self._guard.take_ended(message.incarnation, message.digests)

    def take_run(self, message: SuspectUnderWay) -> None:
        """Take in that a peer runs a suspect, or does no longer."""
        run = None
        if message.left_ms:
            until_s = self._state.clock() + message.left_ms / 1000.0
            run = SuspectRun(message.incarnation, until_s, is_exclusive=True)
        self._guard.take_run(message.sender_id, message.digest, run)

    def take_cleared(self, message: ClearedRequests) -> None:
        """Take in which suspects have ended well at a peer."""
        for digest in message.digests:
            self._guard.take_cleared(digest)

    def _tell_ended(self, incarnation: int, digests: tuple[bytes, ...]) -> None:
        for first in range(0, len(digests), MOST_DIGESTS):
            part = digests[first : first + MOST_DIGESTS]
            self._peers.tell_everyone(EndedUnder(incarnation, part))
            for after_s in REPEATS_S:
                self._call_later(after_s, functools.partial(self._tell_again, incarnation, part))

    def _tell_again(self, incarnation: int, digests: tuple[bytes, ...]) -> None:
        """Repeat what still holds: an end that is told after its clearance would undo that."""
        now_s = self._state.clock()
        ledger = self._guard.ledger
        left = tuple(item for item in digests if ledger.has_crash(item, incarnation, now_s))
        if left:
            self._peers.tell_everyone(EndedUnder(incarnation, left))

    def _tell_run(self, digest: bytes, run: SuspectRun | None) -> None:
        left_s = run.until_s - self._state.clock() if run is not None else 0.0
        incarnation = run.incarnation if run is not None else 0
        message = SuspectUnderWay(
            self._state.settings.node_id, digest, incarnation, max(0, int(left_s * 1000))
        )
        self._peers.tell_everyone(message)

    def _collect_cleared(self, digest: bytes, ends: int) -> None:
        self._cleared.append(digest)
        if ends >= ENDS_TO_RUN_ALONE:
            # One more end elsewhere, and it would be refused.
            self._tell_cleared()
        elif len(self._cleared) == 1:
            self._call_later(COLLECT_S, self._tell_cleared)

    def _tell_cleared(self) -> None:
        digests, self._cleared = self._cleared, []
        for first in range(0, len(digests), MOST_DIGESTS):
            part = tuple(digests[first : first + MOST_DIGESTS])
            self._peers.tell_everyone(ClearedRequests(part))
