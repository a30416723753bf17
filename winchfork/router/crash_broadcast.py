"""Reports crashed incarnations to all daemons, with the digests that were running there.

Reports are resent, since a datagram may be lost and every daemon needs them. Receiving one again
has no effect.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterator
from typing import Any

from winchfork.core.crash_history import CrashHistory
from winchfork.router.peer_messenger import PeerMessenger

#: Seconds after which a report is resent: further apart than the hubs' duplicate window.
RESEND_DELAYS_S = (0.7, 1.6)
#: Keeps a message of 16-byte digests within one datagram.
MAX_DIGESTS_PER_MESSAGE = 48

CallLater = Callable[[float, Callable[[], None]], object]


class CrashBroadcast:
    """Sends the reports of one crash history; ``make_report`` makes a message of some digests."""

    def __init__(
        self,
        history: CrashHistory,
        peers: PeerMessenger,
        clock: Callable[[], float],
        call_later: CallLater,
        make_report: Callable[[int, tuple[bytes, ...]], Any],
    ) -> None:
        self._history = history
        self._peers = peers
        self._clock = clock
        self._call_later = call_later
        self._make_report = make_report

    def send(self, incarnation: int, digests: tuple[bytes, ...]) -> None:
        """Report the digests under which an incarnation has crashed."""
        for chunk in chunks(digests):
            self._peers.broadcast(self._make_report(incarnation, chunk))
            for delay_s in RESEND_DELAYS_S:
                self._call_later(delay_s, functools.partial(self._resend, incarnation, chunk))

    def _resend(self, incarnation: int, digests: tuple[bytes, ...]) -> None:
        """Resend the crashes that still count: a cleared one would be recorded anew."""
        now_s = self._clock()
        remaining = tuple(
            digest for digest in digests if self._history.has_crash(digest, incarnation, now_s)
        )
        if remaining:
            self._peers.broadcast(self._make_report(incarnation, remaining))


def chunks(digests: tuple[bytes, ...]) -> Iterator[tuple[bytes, ...]]:
    """Return the digests in groups that each fit into one message."""
    for first in range(0, len(digests), MAX_DIGESTS_PER_MESSAGE):
        yield digests[first : first + MAX_DIGESTS_PER_MESSAGE]
