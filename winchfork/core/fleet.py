"""The replicas that placement chooses from: identity, state, reported load and own dispatches."""

from __future__ import annotations

import dataclasses
import enum

from winchfork.core.rendezvous import member_hash

#: Priorities below this are urgent: engines start such work before all other waiting work.
URGENT_BELOW_PRIORITY = 5


def is_urgent(priority: int) -> bool:
    """Whether work of this priority is started before work that may wait."""
    return priority < URGENT_BELOW_PRIORITY


class ReplicaState(enum.Enum):
    """Whether a replica may be given new work."""

    ACCEPTING = "accepting"
    LEAVING = "leaving"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True)
class ReplicaLoad:
    """A replica's own load report. Tokens are prompt tokens not yet prefilled; rates per second.

    ``urgent_prefill_tokens`` is the part of ``waiting_prefill_tokens`` that is queued ahead of new
    urgent work. ``import_tokens_per_s`` is the rate at which cached blocks are copied from another
    replica; 0 for an engine that cannot import them.
    """

    waiting_prefill_tokens: int = 0
    urgent_prefill_tokens: int = 0
    running_requests: int = 0
    waiting_requests: int = 0
    prefill_tokens_per_s: float = 8000.0
    free_cache_blocks: int = 0
    import_tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class ReplicaIdentity:
    """The identity that a dispatch is fenced by: a restart or a rollout changes it."""

    incarnation: int
    weights_version: int


@dataclasses.dataclass(frozen=True)
class _OwnDispatch:
    sent_at_s: float
    tokens: int
    urgent: bool


@dataclasses.dataclass
class Replica:
    """One back end as this daemon sees it: an engine replica or an application.

    ``state`` follows the replica's load reports, the machine list and the operators;
    ``avoided_until_s`` ends the avoidance of the replica after a failed dispatch of this daemon.

    ``_dispatches`` holds this daemon's dispatches that no load report includes yet, so that a burst
    between two reports is not placed on one replica. An entry is removed at its first token or by a
    load that was measured after it, whichever comes first.
    """

    replica_id: str
    pool: str
    zone: str
    address: str
    identity: ReplicaIdentity | None = None
    load: ReplicaLoad = dataclasses.field(default_factory=ReplicaLoad)
    load_measured_at_s: float = -1.0
    state: ReplicaState = ReplicaState.ACCEPTING
    avoided_until_s: float = 0.0
    dispatched_tokens: int = 0
    dispatched_urgent_tokens: int = 0
    order_hash: int = dataclasses.field(init=False)
    _dispatches: dict[str, _OwnDispatch] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.order_hash = member_hash(self.replica_id)

    @property
    def dispatched_requests(self) -> int:
        """Number of requests that were sent and that no load report includes yet."""
        return len(self._dispatches)

    def expected_wait_s(self, *, urgent: bool = False) -> float:
        """Return the seconds of prefill queued ahead of a new request."""
        if urgent:
            tokens = self.load.urgent_prefill_tokens + self.dispatched_urgent_tokens
        else:
            tokens = self.load.waiting_prefill_tokens + self.dispatched_tokens
        return tokens / self.load.prefill_tokens_per_s

    def outstanding_requests(self) -> int:
        """Return the requests running, waiting, or sent since the last report."""
        load = self.load
        return load.running_requests + load.waiting_requests + len(self._dispatches)

    def record_dispatch(
        self, attempt_id: str, uncached_tokens: int, now_s: float, *, urgent: bool = False
    ) -> None:
        """Count a request that is sent now."""
        self._dispatches[attempt_id] = _OwnDispatch(now_s, uncached_tokens, urgent)
        self.dispatched_tokens += uncached_tokens
        if urgent:
            self.dispatched_urgent_tokens += uncached_tokens

    def remove_dispatch(self, attempt_id: str) -> None:
        """Stop counting a dispatch that has failed or whose prefill is done."""
        own = self._dispatches.pop(attempt_id, None)
        if own is None:
            return
        self.dispatched_tokens -= own.tokens
        if own.urgent:
            self.dispatched_urgent_tokens -= own.tokens

    def update_load(self, load: ReplicaLoad, measured_at_s: float) -> None:
        """Install a load report and drop the dispatches that it includes."""
        self.load = load
        self.load_measured_at_s = measured_at_s
        for attempt_id, own in list(self._dispatches.items()):
            if own.sent_at_s < measured_at_s:
                self.remove_dispatch(attempt_id)


class Fleet:
    """The replicas of one region. Not thread-safe; the daemon holds its state lock."""

    def __init__(self) -> None:
        self._replicas: dict[str, Replica] = {}

    def replicas(self) -> list[Replica]:
        """Return every known replica."""
        return list(self._replicas.values())

    def get(self, replica_id: str) -> Replica | None:
        """Return one replica, or None."""
        return self._replicas.get(replica_id)

    def put(self, replica: Replica) -> None:
        """Add or replace a replica."""
        self._replicas[replica.replica_id] = replica

    def remove(self, replica_id: str) -> None:
        """Forget a replica."""
        self._replicas.pop(replica_id, None)

    def possibly_available(self, pool: str, excluded: frozenset[str]) -> list[Replica]:
        """Return the replicas of ``pool`` that are not leaving, unavailable ones included.

        A replica marked as unavailable may have become available again.
        """
        found = [
            replica
            for replica in self._replicas.values()
            if replica.pool == pool
            and replica.state is not ReplicaState.LEAVING
            and replica.replica_id not in excluded
        ]
        found.sort(key=lambda replica: replica.replica_id)
        return found

    def candidates(
        self, pool: str, now_s: float, excluded: frozenset[str] = frozenset()
    ) -> list[Replica]:
        """Return the replicas of ``pool`` that may be given new work, in a stable order."""
        found = [
            replica
            for replica in self._replicas.values()
            if replica.pool == pool
            and replica.state is ReplicaState.ACCEPTING
            and replica.avoided_until_s <= now_s
            and replica.replica_id not in excluded
        ]
        found.sort(key=lambda replica: replica.replica_id)
        return found
