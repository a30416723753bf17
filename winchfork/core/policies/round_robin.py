"""Baseline: each replica in turn."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from winchfork.core.fleet import Replica
from winchfork.core.placement import PlacementDecision, PlacementReason, PlacementRequest, decide


class RoundRobin:
    """Chooses the replicas in turn, regardless of cache and load."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the next replica in order."""
        replica = replicas[self._turn % len(replicas)]
        self._turn += 1
        cached = matched.get(replica.replica_id, 0)
        return decide(request, replica, PlacementReason.ROTATION, cached)
