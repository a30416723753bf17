"""Baselines by rendezvous hashing on the prefix family, plain and with bounded load."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from winchfork.core.fleet import Replica
from winchfork.core.placement import PlacementDecision, PlacementReason, PlacementRequest, decide
from winchfork.core.rendezvous import rendezvous_rank

#: Load bound as a multiple of the mean load (bounded-load consistent hashing).
BOUND_FACTOR = 1.25


class Rendezvous:
    """Sends every request of a prefix family to the family's first-choice replica."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the first choice."""
        by_id = {replica.replica_id: replica for replica in replicas}
        replica = by_id[rendezvous_rank(request.prefix.family, by_id)[0]]
        cached = matched.get(replica.replica_id, 0)
        return decide(request, replica, PlacementReason.PREFIX_OWNER, cached)


class BoundedRendezvous:
    """Sends a request to the first replica in the family's order that is under the load bound."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the first replica under the bound, or the first choice if there is none."""
        by_id = {replica.replica_id: replica for replica in replicas}
        total = sum(replica.outstanding_requests() for replica in replicas) + 1
        bound = BOUND_FACTOR * total / len(replicas)
        ranked = rendezvous_rank(request.prefix.family, by_id)
        fitting = [
            replica_id
            for replica_id in ranked
            if by_id[replica_id].outstanding_requests() + 1 <= max(1.0, bound)
        ]
        replica_id = fitting[0] if fitting else ranked[0]
        first = replica_id == ranked[0]
        reason = PlacementReason.PREFIX_OWNER if first else PlacementReason.PREFIX_OWNER_FULL
        return decide(request, by_id[replica_id], reason, matched.get(replica_id, 0))
