"""Chooses the replica for a request without a prompt: the one expected to answer first."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from winchfork.core.placement_request import RelayDecision, connect_cost_s
from winchfork.core.prompt_cost import OTHER_ZONE_COST_S
from winchfork.core.region_map import Distance, RegionMap
from winchfork.core.relay_replica import RelayReplica

#: Age in seconds at which a measured latency expires.
LATENCY_MEMORY_S = 3.0
#: Latency in seconds assumed for a replica without a recent measurement.
DEFAULT_LATENCY_S = 0.05


class TaskPlacementRequest(msgspec.Struct, frozen=True):
    """A request without a prompt, at a daemon in ``zone``.

    ``cross_region_cost_s`` is the cost of a replica in another region. ``connected`` are the
    replicas, by hash, with an idle connection; None: connections are free.
    """

    zone: str
    now_s: float
    regions: RegionMap = RegionMap()
    cross_region_cost_s: float = 0.0
    connected: frozenset[int] | None = None


def place_task(
    request: TaskPlacementRequest, candidates: Sequence[RelayReplica]
) -> RelayDecision | None:
    """Return the candidate expected to answer first, or None without candidates."""
    best: RelayDecision | None = None
    for replica in candidates:
        cost_s = _task_cost_s(request, replica)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(replica, 0, 0, cost_s, len(candidates))
    return best


def _task_cost_s(request: TaskPlacementRequest, replica: RelayReplica) -> float:
    measured = request.now_s - replica.latency_at_s < LATENCY_MEMORY_S and replica.latency_s > 0
    latency_s = replica.latency_s if measured else DEFAULT_LATENCY_S
    running = replica.running
    slots = max(1, replica.listing.slots)
    cost_s = latency_s * (
        1.0 + running / slots + max(0.0, math.ceil((running + 1 - slots) / slots))
    )
    distance = request.regions.distance(request.zone, replica.listing.zone)
    if distance is Distance.SAME_REGION:
        cost_s += OTHER_ZONE_COST_S
    elif distance is Distance.OTHER_REGION:
        cost_s += request.cross_region_cost_s
    return cost_s + connect_cost_s(request.connected, replica)
