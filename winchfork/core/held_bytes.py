"""Accounts for the bytes from other processes that this process holds, and bounds their sum.

Beyond the limit, the largest holdings that can be given up are. Well below it, there is no more
room for large messages: their senders wait or are refused, and small ones go on.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

#: Bytes held from which growth is reported; the next report follows at twice as much.
FIRST_REPORTED_BYTES = 1024 * 1024
#: Messages up to this size need no room.
SMALL_BYTES = 64 * 1024
#: Shares of the process's memory limit: all that may be held, and what large messages may fill. The
#: rest is the program's own, and copies of what is held that are made while it is passed on.
MAX_HELD_SHARE = 0.45
LARGE_SHARE = 0.3


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
    """The bytes that one holder holds; ``give_up`` is called once if they exceed what may be."""

    __slots__ = ("_account", "give_up", "kind", "size")

    def __init__(
        self, account: HeldBytes, kind: HolderKind, give_up: Callable[[], None] | None
    ) -> None:
        self._account = account
        self.kind = kind
        self.give_up = give_up
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the number of bytes held."""
        if size != self.size:
            before, self.size = self.size, size
            self._account.record_change(self, size - before)

    def grow(self, size: int) -> None:
        """Add to the number of bytes held, or take away from it if ``size`` is negative."""
        self.resize(max(0, self.size + size))


class HeldBytes:
    """The account of one process; ``memory_bytes`` is its memory limit, 0 if there is none.

    Not thread-safe.
    """

    def __init__(self, memory_bytes: int = 0) -> None:
        self._max_bytes = int(memory_bytes * MAX_HELD_SHARE)
        self._large_bytes = int(memory_bytes * LARGE_SHARE)
        self.total = 0
        #: The highest total so far.
        self.peak = 0
        self.by_kind = dict.fromkeys(HolderKind, 0)
        #: How many holdings were given up.
        self.given_up = 0
        #: Called when the total has reached the next size that is reported.
        self.on_growth: Callable[[], None] = lambda: None
        #: Called with each holding that is given up.
        self.on_give_up: Callable[[Holding], None] = lambda holding: None
        #: Lets large messages grow by the room that there is.
        self.growth = GrowthGate(self)
        self._report_at = FIRST_REPORTED_BYTES
        self._had_room = True
        #: Holdings that are not empty and may be given up.
        self._expendable: set[Holding] = set()

    def open(self, kind: HolderKind, give_up: Callable[[], None] | None = None) -> Holding:
        """Return a new holding of no bytes; without ``give_up`` it is never given up."""
        return Holding(self, kind, give_up)

    def has_room_for(self, size: int) -> bool:
        """Whether a message of ``size`` bytes may be held now."""
        if not self._max_bytes:
            return True
        max_bytes = self._max_bytes if size <= SMALL_BYTES else self._large_bytes
        return self.total + size <= max_bytes

    @property
    def is_short(self) -> bool:
        """Whether over half of the room for large messages is taken."""
        return bool(self._large_bytes) and self.total * 2 > self._large_bytes

    @property
    def has_room(self) -> bool:
        """Whether large messages may grow."""
        return not self._large_bytes or self.total <= self._large_bytes

    def record_change(self, holding: Holding, change: int) -> None:
        """Record that a holding has grown, or shrunk if ``change`` is negative."""
        self.total += change
        self.by_kind[holding.kind] += change
        self.peak = max(self.peak, self.total)
        if holding.size and holding.give_up is not None:
            self._expendable.add(holding)
        else:
            self._expendable.discard(holding)
        self._report_growth()
        while self._max_bytes and self.total > self._max_bytes and self._expendable:
            self._give_up_largest()
        if self.has_room is not self._had_room:
            self._had_room = self.has_room
            self.growth.update()

    def _report_growth(self) -> None:
        if self.total >= self._report_at:
            while self.total >= self._report_at:
                self._report_at *= 2
            self.on_growth()
        elif self._report_at > FIRST_REPORTED_BYTES and self.total * 4 < self._report_at:
            self._report_at //= 2

    def _give_up_largest(self) -> None:
        largest = max(self._expendable, key=lambda holding: holding.size)
        give_up, largest.give_up = largest.give_up, None
        assert give_up is not None
        self.given_up += 1
        self.on_give_up(largest)
        largest.resize(0)
        give_up()


class GrowthGate:
    """Lets large messages grow while there is room; otherwise only the oldest, so that it ends."""

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        #: For each message that grows: pauses or resumes it.
        self._growing: dict[object, Callable[[bool], None]] = {}

    def enter(self, message: object, set_paused: Callable[[bool], None]) -> None:
        """Add a message that has become large."""
        if message not in self._growing:
            self._growing[message] = set_paused
            set_paused(not self._held.has_room and len(self._growing) > 1)

    def leave(self, message: object) -> None:
        """Remove a message that is whole or given up."""
        if self._growing.pop(message, None) is not None:
            self.update()

    def update(self) -> None:
        """Pause or resume the messages by the room that there is."""
        has_room = self._held.has_room
        for number, set_paused in enumerate(list(self._growing.values())):
            set_paused(not has_room and number > 0)
