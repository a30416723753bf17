"""The input and the result of placing a request on a replica."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from winchfork.core.engine_speed import PRIOR_PREFILL_TOKENS_PER_S
from winchfork.core.prompt_parts import CacheScope, Prompt
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_replica import RelayReplica

#: Ratio of answer time to prefill time above which a request counts as a long answer.
LONG_ANSWER_RATIO = 4.0
#: Cost in seconds of a replica to which no idle connection is open: a round trip, and work of the
#: replica. In a large fleet a daemon and a replica meet so rarely that idle connections close
#: before reuse.
CONNECT_COST_S = 0.02
_NO_REGIONS = RegionMap()


def connect_cost_s(connected: frozenset[int] | None, replica: RelayReplica) -> float:
    """Return the cost in seconds of opening a connection to a replica; 0 if one is open.

    ``connected`` holds the hashes of replicas with an idle connection; None: connections are free.
    """
    if connected is None or replica.incarnation_hash in connected:
        return 0.0
    return CONNECT_COST_S


class RelayDecision(msgspec.Struct, frozen=True):
    """The chosen replica and the figures behind the choice; ``cost_s`` in expected seconds.

    ``copy_from`` is the replica or store to copy cached parts from; ``save_to`` is the store to
    save the prefilled parts to.
    """

    replica: RelayReplica
    cached_tokens: int
    prefill_tokens: int
    cost_s: float
    candidate_count: int
    copied_tokens: int = 0
    copy_from: RelayReplica | None = None
    save_to: RelayReplica | None = None


class CacheStoreChoice(msgspec.Struct, frozen=True):
    """The cache store that is responsible for a prompt's family in one region.

    ``tokens_per_s`` is the rate at which a replica in the store's own zone copies from it.
    """

    store: RelayReplica
    tokens_per_s: float


class PromptPlacementRequest(msgspec.Struct, frozen=True):
    """A prompt to place, for a daemon in ``zone``.

    ``expected_run_s`` is the expected time from the first token to the end of the answer.
    ``copy_tokens_per_s`` is the rate at which replicas of a zone copy cached parts from each other;
    0: they cannot. ``cache_tokens`` is the cache memory of a replica; 0: not known.
    ``mean_run_s`` is the recent mean run time. ``old_versions`` are weights versions whose answers
    cost extra. ``max_jitter_s`` bounds the jitter in a replica's cost, which is derived from
    ``jitter_key``. ``stores`` are the cache stores by region. ``prefill_tokens_per_s`` is the
    replicas' prefill rate. ``gap_target_s`` is the longest allowed gap between tokens of running
    answers; 0: not known. ``cross_region_cost_s`` is the cost of a replica in another region.
    ``connected`` are the replicas, by hash, with an idle connection; None: connections are free.
    """

    prompt: Prompt
    scope: CacheScope
    zone: str
    now_s: float = 0.0
    expected_run_s: float = 0.0
    copy_tokens_per_s: float = 0.0
    cache_tokens: int = 0
    mean_run_s: float = 0.0
    old_versions: frozenset[int] = frozenset()
    max_jitter_s: float = 0.0
    jitter_key: int = 0
    stores: Mapping[str, CacheStoreChoice] = {}
    prefill_tokens_per_s: float = PRIOR_PREFILL_TOKENS_PER_S
    gap_target_s: float = 0.0
    regions: RegionMap = _NO_REGIONS
    cross_region_cost_s: float = 0.0
    connected: frozenset[int] | None = None

    def connect_cost_s(self, replica: RelayReplica) -> float:
        """Return the cost in seconds of opening a connection to a replica; 0 if one is open."""
        return connect_cost_s(self.connected, replica)

    @property
    def is_long_answer(self) -> bool:
        """Whether the answer is expected to take much longer than the prefill."""
        prefill_s = self.prompt.prompt_tokens / self.prefill_tokens_per_s
        return self.expected_run_s > LONG_ANSWER_RATIO * prefill_s

    def version_at(self, replica: RelayReplica) -> int:
        """Return the weights version of the prompt's model on a replica; 0: not known."""
        return replica.versions.get(self.prompt.model, 0)

    def store_for(self, replica: RelayReplica) -> CacheStoreChoice | None:
        """Return the cache store of the replica's region, or None."""
        return self.stores.get(self.regions.region_of(replica.listing.zone))
