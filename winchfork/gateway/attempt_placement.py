"""Chooses the replica of an attempt, querying replicas whose identity is unknown."""

from __future__ import annotations

import dataclasses
import itertools
import time

from winchfork.backends.engine_port import EnginePort
from winchfork.cluster.placement_lookup import LookupResult, PlacementLookup
from winchfork.cluster.state import DaemonState
from winchfork.core.configuration import Pool
from winchfork.core.fleet import Replica, ReplicaIdentity, is_urgent
from winchfork.core.placement import PlacementDecision, PlacementRequest
from winchfork.core.prefix import CacheScope, PromptPrefix, prompt_prefix
from winchfork.errors import Failure, FailureKind
from winchfork.gateway.requests import CallerContext, GenerationRequest

#: Bounds the queries to unavailable or avoided replicas in one placement.
_MAX_STATE_QUERIES = 3


@dataclasses.dataclass
class PlacedAttempt:
    """An attempt with its chosen replica, and the state that the choice assumed."""

    attempt_id: str
    replica: Replica
    identity: ReplicaIdentity
    decision: PlacementDecision
    scope: CacheScope
    prefix: PromptPrefix
    import_address: str = ""


class AttemptPlacement:
    """Places the attempts of one daemon. Thread-safe."""

    def __init__(self, state: DaemonState, lookup: PlacementLookup, engine: EnginePort) -> None:
        self._state = state
        self._lookup = lookup
        self._engine = engine
        self._attempts = itertools.count(1)

    def place(
        self,
        request_id: str,
        pool: Pool,
        request: GenerationRequest,
        context: CallerContext,
        excluded: set[str],
    ) -> PlacedAttempt | Failure:
        """Choose a replica that is not excluded, and record the attempt as outstanding on it."""
        replicas = self._candidates(pool, excluded)
        if not replicas:
            return FailureKind.NO_REPLICA.because(
                f"pool {pool.name} has no replica that accepts work",
                remedy="retry after the given time",
                retry_after_s=2.0,
            )
        # During a rollout, versions differ between replicas; block keys depend on the version.
        version = max(replica.identity.weights_version for replica in replicas if replica.identity)
        scope = CacheScope(context.tenant.name, request.model, version)
        prefix = prompt_prefix(scope, request.prompt.encode())
        found = self._lookup.find(prefix)
        urgent = is_urgent(context.traffic_class.priority)
        placement = PlacementRequest(
            request_id,
            prefix,
            context.traffic_class.placement_weights(),
            self._state.settings.daemon.zone,
            urgent,
        )
        attempt_id = f"{request_id}.{next(self._attempts)}"
        with self._state.lock:
            decision = self._state.policy.choose(placement, replicas, found.matched)
            replica = next(item for item in replicas if item.replica_id == decision.replica_id)
            identity = replica.identity
            source = self._state.fleet.get(decision.import_from)
            replica.record_dispatch(
                attempt_id, decision.uncached_tokens, time.time(), urgent=urgent
            )
        assert identity is not None
        if identity.weights_version != version:
            scope = CacheScope(context.tenant.name, request.model, identity.weights_version)
            prefix = prompt_prefix(scope, request.prompt.encode())
        self._lookup.report_dispatch(prefix, replica.replica_id, identity)
        self._record_placement(request_id, attempt_id, decision, found, identity)
        import_address = source.address if source is not None else ""
        return PlacedAttempt(attempt_id, replica, identity, decision, scope, prefix, import_address)

    def _candidates(self, pool: Pool, excluded: set[str]) -> list[Replica]:
        """Return the pool's replicas whose identity is known, querying some of the others.

        An announced identity can be lost, so each request queries one replica of unknown identity,
        or all of them when none is known.
        """
        with self._state.lock:
            replicas = self._state.fleet.candidates(pool.name, time.time(), frozenset(excluded))
            unknown = [replica for replica in replicas if replica.identity is None]
        if not replicas:
            return self._query_possibly_available(pool, excluded)
        known = [replica for replica in replicas if replica.identity is not None]
        for replica in unknown[:1] if known else unknown:
            if self._query_identity(replica):
                known.append(replica)
        known.sort(key=lambda replica: replica.replica_id)
        return known

    def _query_possibly_available(self, pool: Pool, excluded: set[str]) -> list[Replica]:
        """Query a few unavailable or avoided replicas; return the first that accepts work.

        The mark spreads by gossip and can be stale while replicas load new weights one by one. The
        number of queries is bounded, so that an outage of the pool is not amplified.
        """
        with self._state.lock:
            replicas = self._state.fleet.possibly_available(pool.name, frozenset(excluded))
        for replica in replicas[:_MAX_STATE_QUERIES]:
            if self._query_identity(replica):
                return [replica]
        return []

    def _query_identity(self, replica: Replica) -> bool:
        """Query a replica's identity and load; False when it fails or accepts no work."""
        # No sequence number is this high, so the report contains no events.
        report = self._engine.report(replica.address, 1 << 60)
        if isinstance(report, Failure) or not report.accepting:
            return False
        with self._state.lock:
            replica.identity = report.identity
            replica.update_load(report.load, time.time())
        return True

    def _record_placement(
        self,
        request_id: str,
        attempt_id: str,
        decision: PlacementDecision,
        found: LookupResult,
        identity: ReplicaIdentity,
    ) -> None:
        self._state.record_decision(
            request_id,
            "placed",
            decision.reason.value,
            attempt=attempt_id,
            replica=decision.replica_id,
            incarnation=identity.incarnation,
            weights_version=identity.weights_version,
            predicted_cached_blocks=decision.cached_blocks,
            import_from=decision.import_from,
            import_blocks=decision.import_blocks,
            predicted_first_token_s=round(decision.expected_first_token_s, 4),
            beliefs_from=found.source.value,
            owner=found.owner,
            candidates=[
                {
                    "replica": item.replica_id,
                    "cached_blocks": item.cached_blocks,
                    "wait_s": round(item.wait_s, 4),
                    "prefill_s": round(item.prefill_s, 4),
                    "cost": round(item.cost, 4),
                }
                for item in decision.candidates
            ],
        )
