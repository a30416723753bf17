"""Baselines by load: the least loaded replica, and the less loaded of two random ones."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from winchfork.core.fleet import Replica
from winchfork.core.placement import PlacementDecision, PlacementReason, PlacementRequest, decide


def _load_key(replica: Replica) -> tuple[int, float, str]:
    return replica.outstanding_requests(), replica.expected_wait_s(), replica.replica_id


class LeastLoaded:
    """Chooses the replica with the fewest outstanding requests."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the least loaded replica."""
        replica = min(replicas, key=_load_key)
        cached = matched.get(replica.replica_id, 0)
        return decide(request, replica, PlacementReason.LEAST_LOADED, cached)


class PowerOfTwo:
    """Chooses the less loaded of two replicas drawn at random."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the less loaded of two random replicas."""
        drawn = self._generator.sample(list(replicas), min(2, len(replicas)))
        replica = min(drawn, key=_load_key)
        cached = matched.get(replica.replica_id, 0)
        return decide(request, replica, PlacementReason.FEWER_OF_TWO, cached)
