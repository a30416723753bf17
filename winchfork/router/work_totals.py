"""Work on replicas as daemons report it, summed over daemons, zones and regions."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from winchfork.router.peer_messages import ReplicaLoadEntry

#: Seconds after which received loads expire.
LOADS_VALID_S = 1.5
#: Unit of expected ends on the wire, in milliseconds: keeps them within a byte or two.
BUSY_STEP_MS = 50


class ReceivedLoads(msgspec.Struct, frozen=True):
    """The newest loads received from one sender, and when."""

    received_at_s: float
    loads: tuple[ReplicaLoadEntry, ...]

    def is_expired(self, now_s: float) -> bool:
        """Whether the loads are too old to count."""
        return now_s - self.received_at_s > LOADS_VALID_S


class ReplicaWork(msgspec.Struct):
    """The sum of work on one replica."""

    in_flight: int = 0
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0
    busy_until_s: float = 0.0

    def add(self, entry: ReplicaLoadEntry, received_at_s: float) -> None:
        """Add an entry that was received at ``received_at_s``."""
        self.in_flight += entry.in_flight
        self.pending_prefill_tokens += entry.pending_prefill_tokens
        self.memory_tokens += entry.memory_tokens
        busy_s = received_at_s + entry.busy_steps * BUSY_STEP_MS / 1000.0
        self.busy_until_s = max(self.busy_until_s, busy_s)


NO_WORK = ReplicaWork()


def busy_steps(busy_until_s: float, now_s: float) -> int:
    """Return the time until work is expected to end, in steps of ``BUSY_STEP_MS``."""
    return int(max(0.0, busy_until_s - now_s) * 1000) // BUSY_STEP_MS


def sum_loads(received: Iterable[ReceivedLoads]) -> dict[int, ReplicaWork]:
    """Return the sum of work on each replica, by the hash that identifies its incarnation."""
    totals: dict[int, ReplicaWork] = {}
    for item in received:
        for entry in item.loads:
            totals.setdefault(entry.replica_hash, ReplicaWork()).add(entry, item.received_at_s)
    return totals


def load_entries(totals: dict[int, ReplicaWork], now_s: float) -> tuple[ReplicaLoadEntry, ...]:
    """Return totals as message entries."""
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
    """Whether two entries have the same requests in flight and pending prefill on one replica.

    Expected ends are not compared, since they move on by themselves.
    """
    return (entry.replica_hash, entry.in_flight, entry.pending_prefill_tokens) == (
        other.replica_hash,
        other.in_flight,
        other.pending_prefill_tokens,
    )


class SentLoads:
    """The loads last sent in a series of messages, by replica."""

    def __init__(self) -> None:
        self._sent: dict[int, ReplicaLoadEntry] = {}

    def updates(
        self, loads: tuple[ReplicaLoadEntry, ...], *, complete: bool
    ) -> tuple[ReplicaLoadEntry, ...]:
        """Return the loads to send, all or only those that have changed, and record them as sent.

        A replica without work is sent once with zeros.
        """
        before, self._sent = self._sent, {entry.replica_hash: entry for entry in loads}
        if complete:
            return loads
        changed = [
            entry
            for entry in loads
            if entry.replica_hash not in before
            or not is_same_work(entry, before[entry.replica_hash])
        ]
        ended = [
            ReplicaLoadEntry(replica_hash, 0, 0, 0, 0)
            for replica_hash in before.keys() - self._sent
        ]
        return (*changed, *ended)


class LoadsByReplica:
    """The newest entry of each replica, from complete and incremental messages."""

    def __init__(self) -> None:
        self._received: dict[int, ReceivedLoads] = {}

    def update(self, loads: tuple[ReplicaLoadEntry, ...], now_s: float, *, complete: bool) -> None:
        """Apply the loads of one message; a complete one replaces all earlier ones."""
        if complete:
            self._received.clear()
        for entry in loads:
            self._received[entry.replica_hash] = ReceivedLoads(now_s, (entry,))

    def fresh(self, now_s: float) -> list[ReceivedLoads]:
        """Return the loads that have not expired."""
        return [item for item in self._received.values() if not item.is_expired(now_s)]
