"""Reads the event streams of the replicas that are assigned to this daemon.

Each replica is read by one daemon, chosen by rendezvous hashing over the live members. The reader
records the replica's identity and load, folds its cache events, and sends the resulting cached and
removed blocks to the owner of each prefix family.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec

from winchfork.backends.engine_port import EnginePort, EngineReport
from winchfork.cluster.messages import CacheUpdate, ReplicaUpdate
from winchfork.cluster.node import PeerNode
from winchfork.constants import EVENT_POLL_PERIOD_S
from winchfork.core.cache_index import CacheEvent
from winchfork.core.configuration import PoolKind
from winchfork.core.families import FamilyMap
from winchfork.core.fleet import Replica, ReplicaIdentity, ReplicaState
from winchfork.core.rendezvous import rendezvous_owner
from winchfork.errors import Failure
from winchfork.logs import log_event

_WORKERS = 8
#: Bounds the cached keys, and the removed keys, in one :class:`CacheUpdate`.
MAX_KEYS_PER_UPDATE = 512


class _StreamPosition:
    """The reader's position in one replica's event stream."""

    def __init__(self, incarnation: int, next_sequence: int = 1) -> None:
        self.incarnation = incarnation
        self.next_sequence = next_sequence
        self.families = FamilyMap()


class EventReader:
    """Polls the engine replicas that are assigned to this daemon."""

    def __init__(self, node: PeerNode, engine: EnginePort) -> None:
        self._node = node
        self._engine = engine
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(_WORKERS, thread_name_prefix="events")
        self._positions: dict[str, _StreamPosition] = {}
        self._polls: dict[str, Future[None]] = {}
        self._sent_identities: dict[str, ReplicaIdentity] = {}
        self.events_read = 0

    def run(self) -> None:
        """Poll until stopped; the body of one thread."""
        while not self._stopping.wait(EVENT_POLL_PERIOD_S):
            for replica in self._own_replicas():
                running = self._polls.get(replica.replica_id)
                if running is None or running.done():
                    self._polls[replica.replica_id] = self._pool.submit(self._poll, replica)

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _own_replicas(self) -> list[Replica]:
        state = self._node.state
        with state.lock:
            pools = state.configuration.current.pools
            replicas = [
                replica
                for replica in state.fleet.replicas()
                if (pool := pools.get(replica.pool)) is not None and pool.kind is PoolKind.ENGINE
            ]
        own: list[Replica] = []
        for replica in replicas:
            owner = self._node.owner_of(replica.replica_id)
            if owner is not None and owner.member_id == state.own_id:
                own.append(replica)
            else:
                self._positions.pop(replica.replica_id, None)
                self._sent_identities.pop(replica.replica_id, None)
        return own

    def _poll(self, replica: Replica) -> None:
        try:
            self._read(replica)
        except Exception as error:  # noqa: BLE001 - one replica's error must not stop the other polls
            log_event("event_read_failed", "ERROR", replica=replica.replica_id, error=repr(error))

    def _read(self, replica: Replica) -> None:
        position = self._positions.get(replica.replica_id)
        after = position.next_sequence - 1 if position else 0
        measured_at_s = time.time()
        report = self._engine.report(replica.address, after)
        if isinstance(report, Failure):
            self._mark_unavailable(replica, measured_at_s)
            return
        self._record_report(replica, report, measured_at_s)
        if not report.accepting:
            self._mark_unavailable(replica, measured_at_s)
        is_new_stream = position is None or position.incarnation != report.identity.incarnation
        if is_new_stream or (position is not None and _has_gap(report, position.next_sequence)):
            self._resync(replica)
            return
        assert position is not None
        self._forward(replica, position, report.events)
        position.next_sequence = report.next_sequence

    def _mark_unavailable(self, replica: Replica, measured_at_s: float) -> None:
        with self._node.state.lock:
            changed = replica.state is ReplicaState.ACCEPTING
            if changed:
                replica.state = ReplicaState.UNAVAILABLE
            self._node.state.loads.publish(replica.replica_id, None, measured_at_s)
        if changed:
            log_event("replica_unavailable", "WARNING", replica=replica.replica_id)

    def _record_report(self, replica: Replica, report: EngineReport, measured_at_s: float) -> None:
        state = self._node.state
        with state.lock:
            replica.identity = report.identity
            replica.update_load(report.load, measured_at_s)
            state.index.fence(replica.replica_id, report.identity.incarnation)
            if report.accepting:
                if replica.state is ReplicaState.UNAVAILABLE:
                    replica.state = ReplicaState.ACCEPTING
                state.loads.publish(replica.replica_id, report.load, measured_at_s)
        # Compared with the identity sent last, since a rollout or a refused dispatch may already
        # have changed the one stored in this daemon.
        if self._sent_identities.get(replica.replica_id) != report.identity:
            self._sent_identities[replica.replica_id] = report.identity
            log_event(
                "replica_identity",
                replica=replica.replica_id,
                incarnation=report.identity.incarnation,
                weights_version=report.identity.weights_version,
            )
            self._announce_identity(replica, report)

    def _announce_identity(self, replica: Replica, report: EngineReport) -> None:
        update = ReplicaUpdate(
            replica.replica_id,
            report.identity.incarnation,
            report.identity.weights_version,
            report.load.prefill_tokens_per_s,
            report.load.import_tokens_per_s,
        )
        for member in self._node.live_members(include_own=False):
            self._node.transport.send(member.peer_address, update)

    def _resync(self, replica: Replica) -> None:
        """Replace a replica's assumed cache contents by a snapshot.

        Needed at the first read of a replica, after its restart, and after a gap in its events.
        """
        snapshot = self._engine.snapshot(replica.address)
        if isinstance(snapshot, Failure):
            return
        report = snapshot.report
        position = _StreamPosition(report.identity.incarnation, report.next_sequence)
        for key, parent in snapshot.blocks:
            position.families.record_stored(parent, (key,))
        self._positions[replica.replica_id] = position
        folded = {key: True for key, _ in snapshot.blocks}
        updates = self._updates_by_owner(replica, position, folded)
        for member in self._node.live_members():
            first, *rest = updates.get(member.member_id) or [
                CacheUpdate(replica.replica_id, position.incarnation, (), ())
            ]
            self._node.send_to(member.member_id, msgspec.structs.replace(first, reset=True))
            for update in rest:
                self._node.send_to(member.member_id, update)
        log_event("replica_resynced", replica=replica.replica_id, blocks=len(folded))

    def _forward(
        self, replica: Replica, position: _StreamPosition, events: tuple[CacheEvent, ...]
    ) -> None:
        """Fold events to each block's last state, and send each family's blocks to its owner."""
        self.events_read += len(events)
        folded = position.families.apply_events(events)
        for owner_id, updates in self._updates_by_owner(replica, position, folded).items():
            for update in updates:
                self._node.send_to(owner_id, update)
        for key, stored in folded.items():
            if not stored:
                position.families.forget(key)

    def _updates_by_owner(
        self, replica: Replica, position: _StreamPosition, folded: dict[int, bool]
    ) -> dict[str, list[CacheUpdate]]:
        members = [member.member_id for member in self._node.live_members()]
        owners: dict[int, str | None] = {}
        keys: dict[str, tuple[list[int], list[int]]] = {}
        for key, stored in folded.items():
            family = position.families.owner_key(key)
            if family not in owners:
                owners[family] = rendezvous_owner(family, members)
            owner_id = owners[family]
            if owner_id is not None:
                cached, removed = keys.setdefault(owner_id, ([], []))
                (cached if stored else removed).append(key)
        return {
            owner_id: _split_into_updates(replica.replica_id, position.incarnation, cached, removed)
            for owner_id, (cached, removed) in keys.items()
        }


def _split_into_updates(
    replica_id: str, incarnation: int, cached: list[int], removed: list[int]
) -> list[CacheUpdate]:
    return [
        CacheUpdate(
            replica_id,
            incarnation,
            tuple(cached[start : start + MAX_KEYS_PER_UPDATE]),
            tuple(removed[start : start + MAX_KEYS_PER_UPDATE]),
        )
        for start in range(0, max(len(cached), len(removed)), MAX_KEYS_PER_UPDATE)
    ]


def _has_gap(report: EngineReport, next_sequence: int) -> bool:
    expected = next_sequence
    for event in report.events:
        if event.sequence != expected:
            return True
        expected = event.sequence + 1
    return report.next_sequence > expected
