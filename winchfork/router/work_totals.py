"""Work on replicas as daemons tell it, added up over daemons, zones and regions."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from winchfork.router.peer_messages import ReplicaLoadEntry

#: Seconds for which a message about work counts.
LOADS_VALID_S = 1.5
#: Expected ends are rounded to this many milliseconds, so that they fit in a byte or two.
BUSY_STEP_MS = 50


class ReceivedLoads(msgspec.Struct, frozen=True):
    """The newest loads told by one sender, and when."""

    received_at_s: float
    loads: tuple[ReplicaLoadEntry, ...]

    def is_expired(self, now_s: float) -> bool:
        """Whether it no longer counts."""
        return now_s - self.received_at_s > LOADS_VALID_S


class ReplicaWork(msgspec.Struct):
    """Work on one replica, added up."""

    in_flight: int = 0
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0
    busy_until_s: float = 0.0

    def add(self, entry: ReplicaLoadEntry, received_at_s: float) -> None:
        """Add what was heard at a moment."""
        self.in_flight += entry.in_flight
        self.pending_prefill_tokens += entry.pending_prefill_tokens
        self.memory_tokens += entry.memory_tokens
        busy_s = received_at_s + entry.busy_steps * BUSY_STEP_MS / 1000.0
        self.busy_until_s = max(self.busy_until_s, busy_s)


NO_WORK = ReplicaWork()


def busy_steps(busy_until_s: float, now_s: float) -> int:
    """Return when work is expected to end, from now, as it is told."""
    return int(max(0.0, busy_until_s - now_s) * 1000) // BUSY_STEP_MS


def sum_loads(received: Iterable[ReceivedLoads]) -> dict[int, ReplicaWork]:
    """Return the work on each replica, by the hash of its id."""
    totals: dict[int, ReplicaWork] = {}
    for item in received:
        for note in item.loads:
            totals.setdefault(note.replica_hash, ReplicaWork()).add(note, item.received_at_s)
    return totals


def load_entries(totals: dict[int, ReplicaWork], now_s: float) -> tuple[ReplicaLoadEntry, ...]:
    """Return totals as they are told."""
    return tuple(
        ReplicaLoadEntry(
            replica_hash,
            work.in_flight,
            work.pending_prefill_tokens,
            work.memory_tokens,
            busy_steps(work.busy_until_s, now_s),
        )
        for replica_hash, work in totals.items()
    )


def is_same_work(entry: ReplicaLoadEntry, other: ReplicaLoadEntry) -> bool:
    """Whether two notes tell the same work: expected ends, which move on, are no news."""
    return (entry.replica_hash, entry.in_flight, entry.pending_prefill_tokens) == (
        other.replica_hash,
        other.in_flight,
        other.pending_prefill_tokens,
    )


class SentLoads:
    """What receivers of a series of messages have been told, by replica."""

    def __init__(self) -> None:
        self._sent: dict[int, ReplicaLoadEntry] = {}

    def updates(
        self, loads: tuple[ReplicaLoadEntry, ...], *, complete: bool
    ) -> tuple[ReplicaLoadEntry, ...]:
        """Return what is to be told now, all or what has changed, and remember it as told."""
        told, self._sent = self._sent, {note.replica_hash: note for note in loads}
        if complete:
            return loads
        changed = [
            note
            for note in loads
            if note.replica_hash not in told or not is_same_work(note, told[note.replica_hash])
        ]
        ended = [
            ReplicaLoadEntry(replica_hash, 0, 0, 0, 0) for replica_hash in told.keys() - self._sent
        ]
        return (*changed, *ended)


class LoadsByReplica:
    """The newest note on each replica from a series of messages of which not all are complete."""

    def __init__(self) -> None:
        self._received: dict[int, ReceivedLoads] = {}

    def update(self, loads: tuple[ReplicaLoadEntry, ...], now_s: float, *, complete: bool) -> None:
        """Take one message in."""
        if complete:
            self._received.clear()
        for note in loads:
            self._received[note.replica_hash] = ReceivedLoads(now_s, (note,))

    def fresh(self, now_s: float) -> list[ReceivedLoads]:
        """Return what still counts."""
        return [item for item in self._received.values() if not item.is_expired(now_s)]
