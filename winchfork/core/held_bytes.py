"""Accounts for the bytes from other processes that this process holds, by what they wait for."""

from __future__ import annotations

import enum
from collections.abc import Callable

#: Bytes held from which growth is reported; the next report follows at twice as much.
FIRST_REPORTED_BYTES = 1024 * 1024


class HolderKind(enum.Enum):
    """What held bytes are part of."""

    #: The head of an answer, until it is complete.
    ANSWER_HEAD = "answer_head"
    #: The body of an answer: not handled yet, or buffered until it is whole.
    ANSWER_BODY = "answer_body"
    #: An event of a stream, until it is complete.
    EVENT = "event"
    #: The answer to a call to the store, a replica or a peer.
    CALL_REPLY = "call_reply"
    #: A caller's or a peer's request, until its final answer.
    REQUEST = "request"
    #: An answer that its receiver has not read.
    UNSENT = "unsent"


class Holding:
    """The bytes that one holder holds."""

    __slots__ = ("_account", "kind", "size")

    def __init__(self, account: HeldBytes, kind: HolderKind) -> None:
        self._account = account
        self.kind = kind
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the number of bytes held."""
        if size != self.size:
            before, self.size = self.size, size
            self._account.record_change(self, size - before)

    def grow(self, size: int) -> None:
        """Add to the number of bytes held."""
        self.resize(self.size + size)


class HeldBytes:
    """The account of one process. Not thread-safe."""

    def __init__(self) -> None:
        self.total = 0
        #: The highest total so far.
        self.peak = 0
        self.by_kind = dict.fromkeys(HolderKind, 0)
        #: Called when the total has reached the next size that is reported.
        self.on_growth: Callable[[], None] = lambda: None
        self._report_at = FIRST_REPORTED_BYTES

    def open(self, kind: HolderKind) -> Holding:
        """Return a new holding of no bytes."""
        return Holding(self, kind)

    def record_change(self, holding: Holding, change: int) -> None:
        """Record that a holding has grown, or shrunk if ``change`` is negative."""
        self.total += change
        self.by_kind[holding.kind] += change
        self.peak = max(self.peak, self.total)
        if self.total >= self._report_at:
            while self.total >= self._report_at:
                self._report_at *= 2
            self.on_growth()
        elif self._report_at > FIRST_REPORTED_BYTES and self.total * 4 < self._report_at:
            self._report_at //= 2
