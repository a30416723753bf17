"""winchfork's policy: the least expected cost in seconds, weighed for the traffic class.

cost = first_token * (queued prefill + own prefill) + recompute * own prefill + displacement

where the own prefill leaves out the blocks believed cached. Queued prefill on the holder of a hot
prefix raises its cost until another replica is cheaper even with the prefix to recompute: that is
how a family widens. The spill goes to the replicas next in the family's rendezvous order, so that
every daemon widens to the same ones, and the family narrows by itself when the queue is gone.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from winchfork.core.fleet import Replica
from winchfork.core.placement import (
    Candidate,
    PlacementDecision,
    PlacementReason,
    PlacementRequest,
    decide,
    uncached_tokens,
)
from winchfork.core.rendezvous import rendezvous_score

#: Share of a cold copy's prefill time charged for the blocks that it pushes out of the cache.
DISPLACEMENT_WEIGHT = 0.5
#: Seconds of waiting charged for each request already decoding on the replica (batch slowdown).
RUNNING_REQUEST_COST_S = 0.004
#: Seconds charged across a family's rendezvous order, first choice to last; breaks ties the same
#: way on every daemon without outweighing real queues.
ORDER_COST_S = 0.05
#: Candidates kept for the explanation.
EXPLAINED_CANDIDATES = 4
_SCORE_RANGE = float(1 << 64)


class ExpectedTime:
    """Chooses the candidate of least expected cost."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the cheapest replica with the best alternatives."""
        weighed = [
            _weigh(request, replica, matched.get(replica.replica_id, 0)) for replica in replicas
        ]
        ranked = sorted(weighed, key=lambda item: (item.cost, item.replica_id))
        best = ranked[0]
        chosen = next(item for item in replicas if item.replica_id == best.replica_id)
        deepest = max(matched.values(), default=0)
        return decide(
            request,
            chosen,
            _reason(best.cached_blocks, deepest),
            best.cached_blocks,
            tuple(ranked[:EXPLAINED_CANDIDATES]),
        )


def _weigh(request: PlacementRequest, replica: Replica, cached_blocks: int) -> Candidate:
    prefix = request.prefix
    rate = replica.load.prefill_tokens_per_s
    prefill_s = uncached_tokens(prefix, cached_blocks) / rate
    running = replica.load.running_requests + replica.dispatched_requests
    wait_s = replica.expected_wait_s(urgent=request.urgent) + running * RUNNING_REQUEST_COST_S
    order = 1.0 - rendezvous_score(prefix.family, replica.replica_id) / _SCORE_RANGE
    cost = (
        request.weights.first_token * (wait_s + prefill_s)
        + request.weights.recompute * prefill_s * (1.0 + DISPLACEMENT_WEIGHT)
        + ORDER_COST_S * order
    )
    return Candidate(replica.replica_id, cached_blocks, wait_s, prefill_s, cost)


def _reason(cached_blocks: int, deepest: int) -> PlacementReason:
    if cached_blocks == 0 and deepest == 0:
        return PlacementReason.CHEAPEST_COLD
    if cached_blocks < deepest:
        return PlacementReason.HOT_PREFIX_WIDENED
    return PlacementReason.CHEAPEST_WITH_PREFIX
