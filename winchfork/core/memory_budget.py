"""Accounts for the bytes from other processes that this process buffers, and bounds their sum.

Beyond the limit, the largest buffers that can be shed are. Well below it, there is no more room for
large messages: their senders wait or are refused, and small ones go on.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

#: Buffered bytes from which growth is reported; the next report follows at twice as much.
FIRST_REPORTED_BYTES = 1024 * 1024
#: Larger messages need room of their own; smaller ones only the budget.
SMALL_BYTES = 64 * 1024
#: Shares of the process's memory limit: all that may be buffered, and what large messages may fill.
#: The rest is the program's own, and copies that are made while buffers are passed on.
MAX_BUFFERED_SHARE = 0.45
LARGE_SHARE = 0.3


class BufferKind(enum.Enum):
    """What buffered bytes are part of."""

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


class Reservation:
    """The bytes that one holder buffers; ``shed`` is called once if they are shed."""

    __slots__ = ("_budget", "kind", "shed", "size")

    def __init__(
        self, budget: MemoryBudget, kind: BufferKind, shed: Callable[[], None] | None
    ) -> None:
        self._budget = budget
        self.kind = kind
        self.shed = shed
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the number of bytes."""
        if size != self.size:
            before, self.size = self.size, size
            self._budget.record_change(self, size - before)

    def grow(self, size: int) -> None:
        """Add to the number of bytes, or take away from it if ``size`` is negative."""
        self.resize(max(0, self.size + size))


class MemoryBudget:
    """The budget of one process; ``memory_bytes`` is its memory limit, 0 if there is none.

    Not thread-safe.
    """

    def __init__(self, memory_bytes: int = 0) -> None:
        self._max_bytes = int(memory_bytes * MAX_BUFFERED_SHARE)
        self._large_bytes = int(memory_bytes * LARGE_SHARE)
        self.total = 0
        #: The highest total so far.
        self.peak = 0
        self.by_kind = dict.fromkeys(BufferKind, 0)
        #: How many reservations were shed.
        self.shed_count = 0
        #: Called when the total has reached the next size that is reported.
        self.on_growth: Callable[[], None] = lambda: None
        #: Called with each reservation that is shed.
        self.on_shed: Callable[[Reservation], None] = lambda reservation: None
        #: Lets large messages grow by the room that there is.
        self.growth = GrowthGate(self)
        self._report_at = FIRST_REPORTED_BYTES
        self._had_room = True
        #: Reservations that are not empty and may be shed.
        self._sheddable: set[Reservation] = set()

    def open(self, kind: BufferKind, shed: Callable[[], None] | None = None) -> Reservation:
        """Return a new reservation of no bytes; without ``shed`` it is never shed."""
        return Reservation(self, kind, shed)

    def has_room_for(self, size: int) -> bool:
        """Whether a message of ``size`` bytes may be buffered now."""
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

    def record_change(self, reservation: Reservation, change: int) -> None:
        """Record that a reservation has grown, or shrunk if ``change`` is negative."""
        self.total += change
        self.by_kind[reservation.kind] += change
        self.peak = max(self.peak, self.total)
        if reservation.size and reservation.shed is not None:
            self._sheddable.add(reservation)
        else:
            self._sheddable.discard(reservation)
        self._report_growth()
        while self._max_bytes and self.total > self._max_bytes and self._sheddable:
            self._shed_largest()
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

    def _shed_largest(self) -> None:
        largest = max(self._sheddable, key=lambda reservation: reservation.size)
        shed, largest.shed = largest.shed, None
        assert shed is not None
        self.shed_count += 1
        self.on_shed(largest)
        largest.resize(0)
        shed()


class GrowthGate:
    """Lets large messages grow while there is room; otherwise only the oldest, so that it ends."""

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        #: For each message that grows: pauses or resumes it.
        self._growing: dict[object, Callable[[bool], None]] = {}

    def enter(self, message: object, set_paused: Callable[[bool], None]) -> None:
        """Add a message that has become large."""
        if message not in self._growing:
            self._growing[message] = set_paused
            set_paused(not self._memory.has_room and len(self._growing) > 1)

    def leave(self, message: object) -> None:
        """Remove a message that is whole or broken off."""
        if self._growing.pop(message, None) is not None:
            self.update()

    def update(self) -> None:
        """Pause or resume the messages by the room that there is."""
        has_room = self._memory.has_room
        for number, set_paused in enumerate(list(self._growing.values())):
            set_paused(not has_room and number > 0)
