"""Work on replicas as daemons tell it, added up over daemons, zones and regions."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from winchfork.router.peer_messages import ReplicaLoadNote

#: Seconds for which a message about work counts.
ACTIVITY_MEMORY_S = 1.5
#: Expected ends are rounded to this many milliseconds, so that they fit in a byte or two.
BUSY_STEP_MS = 50


class HeardLoads(msgspec.Struct, frozen=True):
    """The newest loads told by one sender, and when."""

    at_s: float
    loads: tuple[ReplicaLoadNote, ...]

    def is_old(self, now_s: float) -> bool:
        """Whether it no longer counts."""
        return now_s - self.at_s > ACTIVITY_MEMORY_S


class Work(msgspec.Struct):
    """Work on one replica, added up."""

    in_flight: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0
    busy_until_s: float = 0.0

    def add(self, note: ReplicaLoadNote, heard_s: float) -> None:
        """Add what was heard at a moment."""
        self.in_flight += note.in_flight
        self.unread_tokens += note.unread_tokens
        self.memory_tokens += note.memory_tokens
        busy_s = heard_s + note.busy_steps * BUSY_STEP_MS / 1000.0
        self.busy_until_s = max(self.busy_until_s, busy_s)


NO_WORK = Work()


def busy_steps(busy_until_s: float, now_s: float) -> int:
    """Return when work is expected to end, from now, as it is told."""
    return int(max(0.0, busy_until_s - now_s) * 1000) // BUSY_STEP_MS


def add_up(heard: Iterable[HeardLoads]) -> dict[int, Work]:
    """Return the work on each replica, by the hash of its id."""
    totals: dict[int, Work] = {}
    for item in heard:
        for note in item.loads:
            totals.setdefault(note.replica_hash, Work()).add(note, item.at_s)
    return totals


def notes_of(totals: dict[int, Work], now_s: float) -> tuple[ReplicaLoadNote, ...]:
    """Return totals as they are told."""
    return tuple(
        ReplicaLoadNote(
            replica_hash,
            work.in_flight,
            work.unread_tokens,
            work.memory_tokens,
            busy_steps(work.busy_until_s, now_s),
        )
        for replica_hash, work in totals.items()
    )


def is_same_work(note: ReplicaLoadNote, other: ReplicaLoadNote) -> bool:
    """Whether two notes tell the same work: expected ends, which move on, are no news."""
    return (note.replica_hash, note.in_flight, note.unread_tokens) == (
        other.replica_hash,
        other.in_flight,
        other.unread_tokens,
    )


class ToldLoads:
    """What receivers of a series of messages have been told, by replica."""

    def __init__(self) -> None:
        self._told: dict[int, ReplicaLoadNote] = {}

    def news(
        self, loads: tuple[ReplicaLoadNote, ...], *, complete: bool
    ) -> tuple[ReplicaLoadNote, ...]:
        """Return what is to be told now, all or what has changed, and remember it as told."""
        told, self._told = self._told, {note.replica_hash: note for note in loads}
        if complete:
            return loads
        changed = [
            note
            for note in loads
            if note.replica_hash not in told or not is_same_work(note, told[note.replica_hash])
        ]
        ended = [
            ReplicaLoadNote(replica_hash, 0, 0, 0, 0) for replica_hash in told.keys() - self._told
        ]
        return (*changed, *ended)


class HeardByReplica:
    """The newest note on each replica from a series of messages of which not all are complete."""

    def __init__(self) -> None:
        self._heard: dict[int, HeardLoads] = {}

    def take(self, loads: tuple[ReplicaLoadNote, ...], now_s: float, *, complete: bool) -> None:
        """Take one message in."""
        if complete:
            self._heard.clear()
        for note in loads:
            self._heard[note.replica_hash] = HeardLoads(now_s, (note,))

    def fresh(self, now_s: float) -> list[HeardLoads]:
        """Return what still counts."""
        return [item for item in self._heard.values() if not item.is_old(now_s)]
