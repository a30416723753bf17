"""Rollouts of weights over a pool: the store holds the targets, the leader carries them out.

Each pass compares the target version with the one that each replica reports. A replica that is
behind is drained, ordered to load the weights under the leader's fencing token, and returned to
service. At most ``max_loading`` replicas load at once, which limits the load on the weight store.
"""

from __future__ import annotations

import dataclasses
import json
import threading
from concurrent.futures import Future, ThreadPoolExecutor

from winchfork.backends.engine_port import EngineOrder, EnginePort, OrderKind
from winchfork.boot_clock import boot_seconds
from winchfork.cluster.node import PeerNode
from winchfork.control import winchfork_pb2 as pb
from winchfork.control.leader import Leadership
from winchfork.core.fleet import Replica, ReplicaState
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.stores.key_value import Entry, KeyValueStore, compare_and_swap_until_resolved

_PREFIX = "/winchfork/rollouts/"
_LEADER_KEY = "/winchfork/leaders/rollout"
_RECONCILE_PERIOD_S = 0.5
_LOADER_THREADS = 16
#: Maximum wait for a replica's running requests before it is ordered to load.
_DRAIN_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True)
class RolloutTarget:
    """A rollout as operators ordered it."""

    pool: str
    weights_version: int
    max_loading: int


class RolloutManager:
    """Records rollouts and carries them out on the daemon that is the leader."""

    def __init__(self, node: PeerNode, store: KeyValueStore, engine: EnginePort) -> None:
        self._node = node
        self._store = store
        self._engine = engine
        self._leadership = Leadership(store, _LEADER_KEY, node.state.own_id)
        self._stopping = threading.Event()
        self._loaders = ThreadPoolExecutor(_LOADER_THREADS, thread_name_prefix="rollout")
        self._loading: dict[str, Future[None]] = {}
        self._fence = 0

    def start(self, pool: str, weights_version: int, max_loading: int) -> pb.RolloutReply | Failure:
        """Record a target; refuse a version lower than the recorded one."""
        with self._node.state.lock:
            known = pool in self._node.state.configuration.current.pools
        if not known:
            return FailureKind.NOT_FOUND.because(f"there is no pool {pool!r}")
        current = self._store.get(_PREFIX + pool)
        if isinstance(current, Failure):
            return current
        if current is not None and json.loads(current.value)["weights_version"] > weights_version:
            return FailureKind.REVISION_CONFLICT.because(
                f"pool {pool} already has a rollout to a newer version",
                remedy="start the rollout with a higher version number",
            )
        target = RolloutTarget(pool, weights_version, max_loading)
        text = json.dumps(dataclasses.asdict(target)).encode()
        result = compare_and_swap_until_resolved(
            self._store,
            _PREFIX + pool,
            text,
            current.revision if current else 0,
            lambda value: value == text,
            lambda: not self._stopping.wait(0.2),
        )
        if isinstance(result, Failure):
            return result
        return self._describe(target)

    def progress(self, pool: str) -> pb.RolloutReply | Failure:
        """Return a rollout's progress."""
        entry = self._store.get(_PREFIX + pool)
        if isinstance(entry, Failure):
            return entry
        if entry is None:
            return FailureKind.NOT_FOUND.because(f"pool {pool!r} has no rollout")
        return self._describe(RolloutTarget(**json.loads(entry.value)))

    def run(self) -> None:
        """Reconcile until stopped; runs on a thread of its own."""
        while not self._stopping.wait(_RECONCILE_PERIOD_S):
            try:
                self._reconcile()
            except Exception as error:  # noqa: BLE001 - the thread has to survive any error
                log_event("rollout_pass_failed", "ERROR", error=repr(error))

    def stop(self) -> None:
        """Stop reconciling."""
        self._stopping.set()
        self._loaders.shutdown(wait=False, cancel_futures=True)

    def _reconcile(self) -> None:
        if not self._node.is_relay("rollout", 1):
            return
        targets = self._store.list(_PREFIX)
        if isinstance(targets, Failure) or not targets:
            return
        self._fence = self._leadership.acquire_or_renew()
        if not self._fence:
            return
        for entry in targets:
            self._advance(entry)

    def _advance(self, entry: Entry) -> None:
        target = RolloutTarget(**json.loads(entry.value))
        pending = [
            replica
            for replica in self._replicas(target)
            if not _has_target_version(replica, target)
        ]
        for replica in pending:
            load = self._loading.get(replica.replica_id)
            if load is not None and not load.done():
                continue
            active = sum(1 for future in self._loading.values() if not future.done())
            if active >= target.max_loading or not self._leadership.is_valid():
                return
            self._loading[replica.replica_id] = self._loaders.submit(
                self._load, replica, target, self._fence
            )

    def _replicas(self, target: RolloutTarget) -> list[Replica]:
        with self._node.state.lock:
            replicas = self._node.state.fleet.replicas()
        found = [replica for replica in replicas if replica.pool == target.pool]
        return sorted(found, key=lambda replica: replica.replica_id)

    def _load(self, replica: Replica, target: RolloutTarget, fence: int) -> None:
        """Drain one replica, load the weights and return it to service; orders carry ``fence``."""
        drained = self._engine.order(
            replica.address, EngineOrder(OrderKind.SET_ROLE, fence, role="draining")
        )
        if isinstance(drained, Failure):
            log_event("rollout_order_refused", "WARNING", replica=replica.replica_id, why=drained)
            return
        with self._node.state.lock:
            was_accepting = replica.state is ReplicaState.ACCEPTING
            if was_accepting:
                replica.state = ReplicaState.LEAVING
        self._wait_until_idle(replica)
        order = EngineOrder(OrderKind.LOAD_WEIGHTS, fence, version=target.weights_version)
        result = self._engine.order(replica.address, order)
        self._engine.order(replica.address, EngineOrder(OrderKind.SET_ROLE, fence, role="serving"))
        with self._node.state.lock:
            if was_accepting:
                replica.state = ReplicaState.ACCEPTING
            if not isinstance(result, Failure):
                replica.identity = result
        log_event(
            "replica_loaded",
            replica=replica.replica_id,
            version=target.weights_version,
            result="failed" if isinstance(result, Failure) else "loaded",
        )

    def _wait_until_idle(self, replica: Replica) -> None:
        deadline_s = boot_seconds() + _DRAIN_TIMEOUT_S
        while boot_seconds() < deadline_s and not self._stopping.wait(0.1):
            report = self._engine.report(replica.address, 1 << 60)
            if isinstance(report, Failure):
                return
            if report.load.running_requests + report.load.waiting_requests == 0:
                return

    def _describe(self, target: RolloutTarget) -> pb.RolloutReply:
        replicas = self._replicas(target)
        loading = {replica_id for replica_id, future in self._loading.items() if not future.done()}
        done = [replica.replica_id for replica in replicas if _has_target_version(replica, target)]
        remaining = [
            replica.replica_id for replica in replicas if not _has_target_version(replica, target)
        ]
        return pb.RolloutReply(
            pool=target.pool,
            weights_version=target.weights_version,
            max_loading=target.max_loading,
            done=done,
            loading=[name for name in remaining if name in loading],
            pending=[name for name in remaining if name not in loading],
            fence=self._fence,
        )


def _has_target_version(replica: Replica, target: RolloutTarget) -> bool:
    identity = replica.identity
    return identity is not None and identity.weights_version >= target.weights_version
