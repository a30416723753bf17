"""Baseline: an approximate prefix tree built only from this router's own placements.

It receives no engine events, so it may deviate from the engines' caches. It uses the least loaded
replica when the match is short or the load is imbalanced.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from winchfork.core.fleet import Replica
from winchfork.core.placement import PlacementDecision, PlacementReason, PlacementRequest, decide
from winchfork.core.prefix import BlockKey

#: Upper bound on the block keys recorded.
MAX_NODES = 200_000
#: Smallest share of a prompt's blocks that has to match.
MATCH_THRESHOLD = 0.5
#: The load is imbalanced if the difference between the most and the least loaded replica exceeds
#: this number of requests and the ratio exceeds ``BALANCE_RELATIVE``.
BALANCE_ABSOLUTE_REQUESTS = 16
BALANCE_RELATIVE = 1.5


class LocalTree:
    """Chooses the replica of the longest recorded prefix, unless the load is imbalanced."""

    def __init__(self) -> None:
        self._last_placed: OrderedDict[BlockKey, str] = OrderedDict()

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the replica of the longest recorded prefix, or the least loaded one."""
        by_id = {replica.replica_id: replica for replica in replicas}
        replica_id, depth = self._longest(request.prefix.block_keys, by_id)
        keys = request.prefix.block_keys
        balanced = not _is_imbalanced(replicas)
        if replica_id is not None and balanced and depth >= MATCH_THRESHOLD * len(keys):
            decision = decide(request, by_id[replica_id], PlacementReason.LONGEST_PREFIX, depth)
        else:
            replica = min(replicas, key=lambda item: (item.outstanding_requests(), item.replica_id))
            decision = decide(request, replica, PlacementReason.LEAST_LOADED, 0)
        self._record(keys, decision.replica_id)
        return decision

    def _longest(
        self, keys: Sequence[BlockKey], by_id: Mapping[str, Replica]
    ) -> tuple[str | None, int]:
        for depth in range(len(keys), 0, -1):
            replica_id = self._last_placed.get(keys[depth - 1])
            if replica_id in by_id:
                return replica_id, depth
        return None, 0

    def _record(self, keys: Sequence[BlockKey], replica_id: str) -> None:
        for key in keys:
            self._last_placed[key] = replica_id
            self._last_placed.move_to_end(key)
        while len(self._last_placed) > MAX_NODES:
            self._last_placed.popitem(last=False)


def _is_imbalanced(replicas: Sequence[Replica]) -> bool:
    loads = [replica.outstanding_requests() for replica in replicas]
    low, high = min(loads), max(loads)
    return high - low > BALANCE_ABSOLUTE_REQUESTS and high > BALANCE_RELATIVE * low
