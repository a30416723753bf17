"""Plans how a replica obtains a prompt: tokens already cached, tokens to copy, tokens to prefill.

A copy is planned only if its rate, which falls with the distance of the source, is high enough in
relation to the replica's prefill rate.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from winchfork.core.part_index import PartIndex, shared_keys
from winchfork.core.placement_request import PromptPlacementRequest
from winchfork.core.region_map import Distance
from winchfork.core.relay_replica import RelayReplica

#: Time to copy cached tokens relative to a copy within one zone, by distance. The operators give
#: these figures.
COPY_TIME_RATIO = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 10.0,
}
#: Largest ratio of copy time to prefill time of the same tokens. Above 1 because a copy, unlike a
#: prefill, does not delay running answers.
MAX_COPY_TO_PREFILL_RATIO = 1.5
#: Smallest number of tokens that is copied; fewer are not worth the setup of a copy.
MIN_COPIED_TOKENS = 64


class PrefillPlan(msgspec.Struct, frozen=True):
    """Tokens of a prompt that are cached at a replica, copied to it and prefilled by it.

    ``source`` is the replica or store to copy from, None without a copy; ``copy_s`` is the time
    that the copy takes.
    """

    cached_tokens: int
    copied_tokens: int
    prefill_tokens: int
    source: RelayReplica | None
    copy_s: float


class CachedParts(msgspec.Struct, frozen=True):
    """Keys of a prompt's shared parts under one weights version.

    ``depths`` maps replica hashes to the number of leading parts that the replica has cached.
    """

    keys: Sequence[int]
    depths: Mapping[int, int]


class PrefillPlanner:
    """Plans the prefill of one prompt; queries the index once for each weights version.

    ``sources`` are the replicas and stores that cached parts may be copied from.
    """

    def __init__(
        self, request: PromptPlacementRequest, sources: Sequence[RelayReplica], index: PartIndex
    ) -> None:
        self._request = request
        self._sources = {source.incarnation_hash: source for source in sources}
        self._store_rates = {
            choice.store.incarnation_hash: choice.tokens_per_s for choice in request.stores.values()
        }
        self._index = index
        self._by_version: dict[int, CachedParts] = {}
        #: Plans by weights version, zone and number of cached parts, which determine the source.
        self._plans: dict[tuple[int, str, int], PrefillPlan] = {}

    def cached_parts_for(self, replica: RelayReplica) -> CachedParts:
        """Return the cached parts under the weights version of a replica."""
        version = self._request.version_at(replica)
        known = self._by_version.get(version)
        if known is None:
            keys = shared_keys(self._request.scope, self._request.prompt, version)
            known = CachedParts(keys, self._index.cached_depths(keys))
            self._by_version[version] = known
        return known

    def plan_for(self, replica: RelayReplica) -> PrefillPlan:
        """Return how a replica would obtain the prompt."""
        cached_part_count = self.cached_parts_for(replica).depths.get(replica.incarnation_hash, 0)
        plan_key = (self._request.version_at(replica), replica.listing.zone, cached_part_count)
        known = self._plans.get(plan_key)
        if known is None:
            known = self._plans[plan_key] = self._find_plan(replica, cached_part_count)
        return known

    def is_copy_worthwhile(self, copy_tokens_per_s: float) -> bool:
        """Whether a copy at this rate, in tokens per second, is preferable to a prefill."""
        return copy_tokens_per_s * MAX_COPY_TO_PREFILL_RATIO >= self._request.prefill_tokens_per_s

    def copy_tokens_per_s(self, source: RelayReplica, replica: RelayReplica) -> float:
        """Return the tokens per second that a replica copies from a source; 0 if it cannot."""
        own_rate = self._request.copy_tokens_per_s
        rate = self._store_rates.get(source.incarnation_hash, own_rate) if own_rate else 0.0
        distance = self._request.regions.distance(source.listing.zone, replica.listing.zone)
        return rate / COPY_TIME_RATIO[distance]

    def _find_plan(self, replica: RelayReplica, cached_part_count: int) -> PrefillPlan:
        """Choose the source with the least time to copy its parts and prefill the rest."""
        request = self._request
        shared = request.prompt.shared_parts
        cached = sum(part.tokens for part in shared[:cached_part_count])
        uncached = max(1, request.prompt.prompt_tokens - cached)
        best = PrefillPlan(cached, 0, uncached, None, 0.0)
        cached_parts = self.cached_parts_for(replica)
        best_order: tuple[float, float] | None = None
        for source_hash, parts in cached_parts.depths.items():
            source = self._sources.get(source_hash)
            if source is None or parts <= cached_part_count:
                continue
            rate = self.copy_tokens_per_s(source, replica)
            copied = sum(part.tokens for part in shared[cached_part_count:parts])
            if not rate or copied < MIN_COPIED_TOKENS or not self.is_copy_worthwhile(rate):
                continue
            copy_s = copied / rate
            rest = max(1, request.prompt.prompt_tokens - cached - copied)
            used_s = self._index.holders(cached_parts.keys[parts - 1]).get(source_hash, 0.0)
            order = (copy_s + rest / request.prefill_tokens_per_s, -used_s)
            if best_order is None or order < best_order:
                best, best_order = PrefillPlan(cached, copied, rest, source, copy_s), order
        return best
