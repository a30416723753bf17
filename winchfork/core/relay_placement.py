"""Chooses the replica for a prompt by least cost, as :mod:`winchfork.core.prompt_cost` defines it.

Each family has a home replica in each region, chosen by rendezvous hashing. It is the same on every
daemon, so daemons send a family to the same replica even without data on cached parts.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from winchfork.core.part_index import PartIndex
from winchfork.core.placement_request import PromptPlacementRequest, RelayDecision
from winchfork.core.prefill_plan import MIN_COPIED_TOKENS, PrefillPlanner
from winchfork.core.prompt_cost import prompt_cost_s
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import member_hash, mixed_order

#: Smallest number of shared tokens for which a store is queried without knowing that it holds them.
#: Their prefill takes several times as long as a lookup in vain.
MIN_STORE_LOOKUP_TOKENS = 500


def place_prompt(
    request: PromptPlacementRequest,
    candidates: Sequence[RelayReplica],
    sources: Sequence[RelayReplica],
    index: PartIndex,
) -> RelayDecision | None:
    """Return the cheapest candidate for a prompt, or None without candidates.

    ``sources`` are the replicas and stores that cached parts may be copied from, whether or not
    they accept requests.
    """
    best: RelayDecision | None = None
    planner = PrefillPlanner(request, sources, index)
    ranks = _ranks(request, candidates)
    homes = _homes(request, candidates, ranks)
    for replica, rank in zip(candidates, ranks, strict=True):
        plan = planner.plan_for(replica)
        is_home = rank == homes[_home_scope(request, replica)]
        cost_s = prompt_cost_s(request, replica, rank, is_home, plan)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(
                replica,
                plan.cached_tokens,
                plan.prefill_tokens,
                cost_s,
                len(candidates),
                plan.copied_tokens,
                plan.source,
            )
    return _with_store(request, best, planner) if best is not None else None


def _with_store(
    request: PromptPlacementRequest, decision: RelayDecision, planner: PrefillPlanner
) -> RelayDecision:
    """Add the region's store to a decision: to save parts to, and to copy parts from.

    Parts that the store is not known to hold are saved to it. The store is the source if it holds
    all shared parts, or if there is no other source and the prompt is long enough to query it: it
    may hold parts that other daemons had saved. The replica copies only parts that it has not
    cached itself, so a source that is not needed costs nothing, and a query in vain takes 1 ms.
    The store is preferred, since a replica may have evicted what it is assumed to hold.
    """
    choice = request.store_for(decision.replica)
    if choice is None or request.prompt.shared_tokens < MIN_COPIED_TOKENS:
        return decision
    if not planner.is_copy_worthwhile(planner.copy_tokens_per_s(choice.store, decision.replica)):
        return decision
    store = choice.store
    cached_parts = planner.cached_parts_for(decision.replica)
    is_stored = cached_parts.depths.get(store.incarnation_hash, 0) == len(cached_parts.keys)
    is_long_enough = request.prompt.shared_tokens >= MIN_STORE_LOOKUP_TOKENS
    query_store = decision.copy_from is None and is_long_enough
    source = store if is_stored or query_store else decision.copy_from
    save_to = None if is_stored else store
    return msgspec.structs.replace(decision, copy_from=source, save_to=save_to)


def _ranks(request: PromptPlacementRequest, candidates: Sequence[RelayReplica]) -> list[int]:
    """Return each candidate's rank for this request within its location, the same on every daemon.

    A family has an order of the replicas in each region. Long answers have one order in each zone,
    which concentrates them on few replicas.
    """
    if request.is_long_answer:
        order = sorted(range(len(candidates)), key=lambda number: candidates[number].placement_hash)
        locations = [candidate.listing.zone for candidate in candidates]
    else:
        family_hash = member_hash(request.prompt.family)
        order = sorted(
            range(len(candidates)),
            key=lambda number: mixed_order(family_hash, candidates[number].placement_hash),
        )
        region_of = request.regions.region_of
        locations = [region_of(candidate.listing.zone) for candidate in candidates]
    return _ranks_by_location(order, locations)


def _ranks_by_location(order: Sequence[int], locations: Sequence[str]) -> list[int]:
    """Number the candidates of each location (zone or region) from 0 in the given order."""
    ranks = [0] * len(locations)
    next_ranks: dict[str, int] = {}
    for number in order:
        rank = next_ranks.get(locations[number], 0)
        ranks[number] = rank
        next_ranks[locations[number]] = rank + 1
    return ranks


#: A weights version and a region.
_HomeScope = tuple[int, str]


def _home_scope(request: PromptPlacementRequest, replica: RelayReplica) -> _HomeScope:
    """Return the weights version and region of a replica; a family has one home for each pair.

    Cached parts cannot be used under another version, and copying them from another region takes
    longer than prefilling them.
    """
    return request.version_at(replica), request.regions.region_of(replica.listing.zone)


def _homes(
    request: PromptPlacementRequest, candidates: Sequence[RelayReplica], ranks: Sequence[int]
) -> dict[_HomeScope, int]:
    """Return the lowest rank, that of the home replica, for each weights version and region."""
    homes: dict[_HomeScope, int] = {}
    for replica, rank in zip(candidates, ranks, strict=True):
        scope = _home_scope(request, replica)
        homes[scope] = min(rank, homes.get(scope, rank))
    return homes
