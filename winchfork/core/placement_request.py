"""What a placement is asked, and what it answers."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from winchfork.core.engine_speed import PRIOR_PREFILL_TOKENS_PER_S
from winchfork.core.prompt_parts import CacheScope, Prompt
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_replica import RelayReplica

#: A request whose answer takes this many times as long as its prompt is a long answer.
LONG_ANSWER_RATIO = 4.0
#: Charge for a new connection to a replica: a round trip, and the replica's work and a slot of its
#: own for a moment. In a fleet of many daemons and replicas each pair meets so rarely that replicas
#: close what was opened before it is used again.
CONNECT_COST_S = 0.02
_NO_REGIONS = RegionMap()


def connect_cost_s(connected: frozenset[int] | None, replica: RelayReplica) -> float:
    """Return the charge for a replica, given those to which a connection waits."""
    if connected is None or replica.order_hash in connected:
        return 0.0
    return CONNECT_COST_S


class RelayDecision(msgspec.Struct, frozen=True):
    """The chosen replica and what decided; ``cost_s`` in expected seconds.

    ``copy_from`` is who the replica is to take kept parts from, ``save_to`` the store that it is to
    send what it has read.
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
    """The store that keeps a prompt's family in one region.

    ``tokens_per_s`` is how fast a replica in the store's own zone copies from it.
    """

    store: RelayReplica
    tokens_per_s: float


class PromptPlacementRequest(msgspec.Struct, frozen=True):
    """A prompt to place, for a daemon in ``zone``.

    ``run_s`` is how long its answer is expected to take after the first token.
    ``copy_tokens_per_s`` is how fast replicas copy kept parts from each other within a zone; 0:
    they cannot. ``read_tokens_per_s`` is how fast they read. ``cache_tokens`` is their memory, 0 if
    not known. ``mean_run_s`` is how long runs have taken lately. ``stores`` keep parts outside the
    replicas, by region. Answers of ``old_versions`` are worth less. ``spread_s`` is the most that a
    charge drawn by ``spread_key`` may be. ``gap_target_s`` is the longest pause that callers of
    running answers allow; 0 if not known. ``crossing_s`` is the charge for a replica in another
    region. ``connected`` are the replicas, by hash, to which a connection waits; None: connections
    cost nothing.
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
        """Return the charge for a replica to which a connection has to be opened."""
        return connect_cost_s(self.connected, replica)

    @property
    def is_long_answer(self) -> bool:
        """Whether the answer takes much longer than the prompt."""
        read_s = self.prompt.prompt_tokens / self.prefill_tokens_per_s
        return self.expected_run_s > LONG_ANSWER_RATIO * read_s

    def version_at(self, replica: RelayReplica) -> int:
        """Return the version of the prompt's model that a replica has."""
        return replica.versions.get(self.prompt.model, 0)

    def store_for(self, replica: RelayReplica) -> CacheStoreChoice | None:
        """Return the store that a replica copies from and saves to: that of its own region."""
        return self.stores.get(self.regions.region_of(replica.listing.zone))
