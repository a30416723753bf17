"""The default policy: least expected cost in seconds, weighted for the traffic class.

cost = first_token * (queued prefill + import + own prefill)
     + recompute * (own prefill + displacement)

The own prefill excludes blocks that are assumed cached, and blocks that are copied from another
replica where a copy is faster than a prefill. Queued prefill on the holder of a hot prefix raises
its cost until another replica is cheaper, so a hot family spreads over more replicas: those next in
the family's rendezvous order, the same on every daemon. It contracts again as the queue drains.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Mapping, Sequence

from winchfork.constants import BLOCK_TOKENS
from winchfork.core.fleet import Replica
from winchfork.core.placement import (
    Candidate,
    PlacementDecision,
    PlacementReason,
    PlacementRequest,
    decide,
    uncached_tokens,
)
from winchfork.core.rendezvous import mixed_order

#: Cost of the blocks that new blocks evict, as a share of the new blocks' prefill time.
DISPLACEMENT_WEIGHT = 0.5
#: Cost in seconds per request that is already running on the replica (batch slowdown).
RUNNING_REQUEST_COST_S = 0.004
#: Largest cost in seconds by the family's rendezvous order; breaks ties the same way on every
#: daemon without outweighing real queues.
RANK_COST_S = 0.05
#: Seconds to set up a copy, whatever its size.
IMPORT_SETUP_S = 0.02
#: Number of candidates reported with a decision.
EXPLAINED_CANDIDATES = 4


@dataclasses.dataclass(frozen=True)
class _Source:
    """The replica with the longest cached prefix of the prompt."""

    replica_id: str
    blocks: int


class ExpectedTime:
    """Chooses the candidate of least expected cost."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the cheapest replica with the best alternatives."""
        source = _longest_cached(matched)
        family = request.prefix.family
        costs: list[tuple[float, str, Replica]] = []
        for replica in replicas:
            cached = matched.get(replica.replica_id, 0)
            wait_s = _wait_s(replica, request.urgent)
            cost = _cost(request, replica, wait_s, _work(request, replica, cached, source))
            cost += RANK_COST_S * mixed_order(family, replica.order_hash)
            costs.append((cost, replica.replica_id, replica))
        leaders = heapq.nsmallest(EXPLAINED_CANDIDATES, costs)
        candidates = tuple(
            _candidate(request, replica, matched, source, cost) for cost, _, replica in leaders
        )
        return _decision(request, leaders[0][2], candidates, source)


def _decision(
    request: PlacementRequest,
    chosen: Replica,
    candidates: tuple[Candidate, ...],
    source: _Source,
) -> PlacementDecision:
    best = candidates[0]
    held = max(best.cached_blocks, best.imported_blocks)
    decision = decide(request, chosen, _reason(best, source), held, candidates)
    if not best.imported_blocks:
        return decision
    return dataclasses.replace(
        decision,
        expected_first_token_s=decision.expected_first_token_s + best.import_s,
        import_from=source.replica_id,
        import_blocks=best.imported_blocks,
    )


def _longest_cached(matched: Mapping[str, int]) -> _Source:
    replica_id = max(matched, key=lambda name: (matched[name], name), default="")
    return _Source(replica_id, matched.get(replica_id, 0))


def _wait_s(replica: Replica, urgent: bool) -> float:
    running = replica.load.running_requests + replica.dispatched_requests
    return replica.expected_wait_s(urgent=urgent) + running * RUNNING_REQUEST_COST_S


def _work(
    request: PlacementRequest, replica: Replica, cached_blocks: int, source: _Source
) -> tuple[float, float, float, int]:
    """Return own prefill, prefill without a copy, and copy, in seconds, and the imported blocks.

    Imported blocks are the leading blocks cached after the copy; 0 without one.
    """
    prefix = request.prefix
    load = replica.load
    rate = load.prefill_tokens_per_s
    all_prefill_s = uncached_tokens(prefix, cached_blocks) / rate
    if source.blocks > cached_blocks and load.import_tokens_per_s > 0:
        copied_tokens = (source.blocks - cached_blocks) * BLOCK_TOKENS
        copy_s = IMPORT_SETUP_S + copied_tokens / load.import_tokens_per_s
        rest_s = uncached_tokens(prefix, source.blocks) / rate
        if copy_s + rest_s < all_prefill_s:
            return rest_s, all_prefill_s, copy_s, source.blocks
    return all_prefill_s, all_prefill_s, 0.0, 0


def _cost(
    request: PlacementRequest,
    replica: Replica,
    wait_s: float,
    work: tuple[float, float, float, int],
) -> float:
    prefill_s, all_prefill_s, import_s, _ = work
    weights = request.weights
    return weights.first_token * (wait_s + import_s + prefill_s) + weights.recompute * (
        prefill_s + DISPLACEMENT_WEIGHT * all_prefill_s
    )


def _candidate(
    request: PlacementRequest,
    replica: Replica,
    matched: Mapping[str, int],
    source: _Source,
    cost: float,
) -> Candidate:
    cached = matched.get(replica.replica_id, 0)
    prefill_s, _, import_s, imported = _work(request, replica, cached, source)
    wait_s = _wait_s(replica, request.urgent)
    return Candidate(replica.replica_id, cached, wait_s, prefill_s, cost, imported, import_s)


def _reason(best: Candidate, source: _Source) -> PlacementReason:
    if best.imported_blocks:
        return PlacementReason.HOT_PREFIX_COPIED
    if source.blocks == 0:
        return PlacementReason.CHEAPEST_COLD
    if best.cached_blocks < source.blocks:
        return PlacementReason.HOT_PREFIX_WIDENED
    return PlacementReason.CHEAPEST_WITH_PREFIX
