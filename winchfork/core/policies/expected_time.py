"""winchfork's policy: the least expected cost in seconds, weighed for the traffic class.

cost = first_token * (queued prefill + import + own prefill)
     + recompute * (own prefill + displacement)

where the own prefill leaves out the blocks believed cached, and those that are copied from another
replica when copying is quicker than computing. Queued prefill on the holder of a hot prefix raises
its cost until another replica is cheaper: that is how a family widens. The spill goes to the
replicas next in the family's rendezvous order, so that every daemon widens to the same ones, and
the family narrows by itself when the queue is gone.
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

#: Share of newly stored blocks' prefill time charged for the blocks that they push out.
DISPLACEMENT_WEIGHT = 0.5
#: Seconds of waiting charged for each request already decoding on the replica (batch slowdown).
RUNNING_REQUEST_COST_S = 0.004
#: Seconds charged across a family's rendezvous order, first choice to last; breaks ties the same
#: way on every daemon without outweighing real queues.
RANK_COST_S = 0.05
#: Seconds to set up a copy, whatever its size.
IMPORT_SETUP_S = 0.02
#: Candidates kept for the explanation.
EXPLAINED_CANDIDATES = 4


@dataclasses.dataclass(frozen=True)
class _Source:
    """The replica that holds the most of the prompt."""

    replica_id: str
    blocks: int


class ExpectedTime:
    """Chooses the candidate of least expected cost."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the cheapest replica with the best alternatives."""
        source = _deepest(matched)
        family = request.prefix.family
        best: list[tuple[float, str, Replica]] = []
        for replica in replicas:
            cached = matched.get(replica.replica_id, 0)
            wait_s = _wait_s(replica, request.urgent)
            cost = _cost(request, replica, wait_s, _work(request, replica, cached, source))
            cost += RANK_COST_S * mixed_order(family, replica.order_hash)
            best.append((cost, replica.replica_id, replica))
        leaders = heapq.nsmallest(EXPLAINED_CANDIDATES, best)
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


def _deepest(matched: Mapping[str, int]) -> _Source:
    replica_id = max(matched, key=lambda name: (matched[name], name), default="")
    return _Source(replica_id, matched.get(replica_id, 0))


def _wait_s(replica: Replica, urgent: bool) -> float:
    running = replica.load.running_requests + replica.dispatched_requests
    return replica.expected_wait_s(urgent=urgent) + running * RUNNING_REQUEST_COST_S


def _work(
    request: PlacementRequest, replica: Replica, cached_blocks: int, source: _Source
) -> tuple[float, float, float, int]:
    """Return seconds of own prefill, of prefill without copying, of copying; blocks copied."""
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
