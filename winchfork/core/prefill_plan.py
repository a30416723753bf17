"""How a replica would come by a prompt: what it keeps, what it copies and from whom, what it reads.

A copy is worth its time only from a source that is near enough: between regions cache moves several
times slower than most engines read, and only the rates can say so.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from winchfork.core.part_index import PartIndex, shared_keys
from winchfork.core.placement_request import PromptPlacementRequest
from winchfork.core.region_map import Distance
from winchfork.core.relay_replica import RelayReplica

#: Cache moves take this many times as long as within a zone, by how far apart the two ends are: the
#: figures that operators give.
COPY_TIME_RATIO = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 10.0,
}
#: A copy may take this many times as long as reading the same tokens: reading holds up the answers
#: that run there, and a copy does not.
MAX_COPY_TO_PREFILL_RATIO = 1.5
#: A copy of fewer tokens is not worth its set-up.
MIN_COPIED_TOKENS = 64


class PrefillPlan(msgspec.Struct, frozen=True):
    """Tokens of a prompt kept at a replica, copied to it and read by it.

    ``copy_s`` is the time that the copy takes.
    """

    cached_tokens: int
    copied_tokens: int
    prefill_tokens: int
    source: RelayReplica | None
    copy_s: float


class CachedParts(msgspec.Struct, frozen=True):
    """Keys of the shared parts under one version, and the leading parts kept, by replica."""

    keys: Sequence[int]
    depths: Mapping[int, int]


class PrefillPlanner:
    """Who keeps how much of one prompt's shared parts, looked up once for each weights version."""

    def __init__(
        self, request: PromptPlacementRequest, sources: Sequence[RelayReplica], index: PartIndex
    ) -> None:
        self._request = request
        self._sources = {source.order_hash: source for source in sources}
        self._store_rates = {
            choice.store.order_hash: choice.tokens_per_s for choice in request.stores.values()
        }
        self._index = index
        self._by_version: dict[int, CachedParts] = {}
        #: Replicas of one zone that keep equally much have the same source.
        self._plans: dict[tuple[int, str, int], PrefillPlan] = {}

    def cached_parts_for(self, replica: RelayReplica) -> CachedParts:
        """Return what is kept under the weights that a replica has."""
        version = self._request.version_at(replica)
        known = self._by_version.get(version)
        if known is None:
            keys = shared_keys(self._request.scope, self._request.prompt, version)
            known = CachedParts(keys, self._index.cached_depths(keys))
            self._by_version[version] = known
        return known

    def plan_for(self, replica: RelayReplica) -> PrefillPlan:
        """Return how a replica would come by the prompt."""
        kept_parts = self.cached_parts_for(replica).depths.get(replica.order_hash, 0)
        place = (self._request.version_at(replica), replica.listing.zone, kept_parts)
        known = self._plans.get(place)
        if known is None:
            known = self._plans[place] = self._find_plan(replica, kept_parts)
        return known

    def is_copy_worthwhile(self, copy_tokens_per_s: float) -> bool:
        """Whether a copy at this rate is worth its time."""
        return copy_tokens_per_s * MAX_COPY_TO_PREFILL_RATIO >= self._request.prefill_tokens_per_s

    def copy_tokens_per_s(self, source: RelayReplica, replica: RelayReplica) -> float:
        """Return the tokens a second that a replica copies from a source; 0 where it cannot."""
        own_rate = self._request.copy_tokens_per_s
        rate = self._store_rates.get(source.order_hash, own_rate) if own_rate else 0.0
        distance = self._request.regions.distance(source.listing.zone, replica.listing.zone)
        return rate / COPY_TIME_RATIO[distance]

    def _find_plan(self, replica: RelayReplica, cached_part_count: int) -> PrefillPlan:
        """Weigh every source by the time to copy what it keeps and to read the rest."""
        request = self._request
        shared = request.prompt.shared_parts
        kept = sum(part.tokens for part in shared[:cached_part_count])
        unread = max(1, request.prompt.prompt_tokens - kept)
        best = PrefillPlan(kept, 0, unread, None, 0.0)
        prefixes = self.cached_parts_for(replica)
        best_order: tuple[float, float] | None = None
        for source_hash, parts in prefixes.depths.items():
            source = self._sources.get(source_hash)
            if source is None or parts <= cached_part_count:
                continue
            rate = self.copy_tokens_per_s(source, replica)
            copied = sum(part.tokens for part in shared[cached_part_count:parts])
            if not rate or copied < MIN_COPIED_TOKENS or not self.is_copy_worthwhile(rate):
                continue
            copy_s = copied / rate
            rest = max(1, request.prompt.prompt_tokens - kept - copied)
            used_s = self._index.holders(prefixes.keys[parts - 1]).get(source_hash, 0.0)
            order = (copy_s + rest / request.prefill_tokens_per_s, -used_s)
            if best_order is None or order < best_order:
                best, best_order = PrefillPlan(kept, copied, rest, source, copy_s), order
        return best
