"""Which replica serves a prompt: least expected time, families kept together.

The cost of a replica is what :mod:`winchfork.core.prompt_cost` adds up. Each family has a home in
each region, its first choice there by rendezvous hashing, the same on every daemon, so a daemon
that knows nothing still sends a family where the others of its region send it.
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

#: A store that is not known to keep a prompt's shared parts is asked for this many or more: they
#: take several times as long to read as an answer in vain.
MIN_STORE_LOOKUP_TOKENS = 500


def place_prompt(
    request: PromptPlacementRequest,
    candidates: Sequence[RelayReplica],
    sources: Sequence[RelayReplica],
    index: PartIndex,
) -> RelayDecision | None:
    """Return the cheapest candidate for a prompt, or None without candidates.

    ``sources`` are the replicas and stores that parts may be copied from, whether or not they take
    work.
    """
    best: RelayDecision | None = None
    prompt_sources = PrefillPlanner(request, sources, index)
    ranks = _ranks(request, candidates)
    homes = _homes(request, candidates, ranks)
    for replica, rank in zip(candidates, ranks, strict=True):
        reading = prompt_sources.plan_for(replica)
        at_home = rank == homes[_home_scope(request, replica)]
        cost_s = prompt_cost_s(request, replica, rank, at_home, reading)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(
                replica,
                reading.cached_tokens,
                reading.prefill_tokens,
                cost_s,
                len(candidates),
                reading.copied_tokens,
                reading.source,
            )
    return _with_store(request, best, prompt_sources) if best is not None else None


def _with_store(
    request: PromptPlacementRequest, decision: RelayDecision, sources: PrefillPlanner
) -> RelayDecision:
    """Save what the store does not keep; name it as the source of what it keeps, or may keep.

    A replica may have dropped what it is believed to keep, the store drops nothing for long. A
    source that is not needed costs nothing: the replica copies only what goes beyond its own. What
    other daemons had saved may never have been heard of here, above all after a restart, and asking
    in vain takes a millisecond.
    """
    choice = request.store_for(decision.replica)
    if choice is None or request.prompt.shared_tokens < MIN_COPIED_TOKENS:
        return decision
    if not sources.is_copy_worthwhile(sources.copy_tokens_per_s(choice.store, decision.replica)):
        return decision
    store = choice.store
    kept = sources.cached_parts_for(decision.replica)
    stored = kept.depths.get(store.order_hash, 0) == len(kept.keys)
    worth_asking = request.prompt.shared_tokens >= MIN_STORE_LOOKUP_TOKENS
    unheard = decision.copy_from is None and worth_asking
    source = store if stored or unheard else decision.copy_from
    save_to = None if stored else store
    return msgspec.structs.replace(decision, copy_from=source, save_to=save_to)


def _ranks(request: PromptPlacementRequest, candidates: Sequence[RelayReplica]) -> list[int]:
    """Return each candidate's place in the order that every daemon has for this request.

    Families have an order in each region. Long answers gather on the same few replicas of a zone.
    """
    if request.is_long_answer:
        order = sorted(range(len(candidates)), key=lambda number: candidates[number].order_hash)
        places = [candidate.listing.zone for candidate in candidates]
    else:
        family_hash = member_hash(request.prompt.family)
        order = sorted(
            range(len(candidates)),
            key=lambda number: mixed_order(family_hash, candidates[number].order_hash),
        )
        region_of = request.regions.region_of
        places = [region_of(candidate.listing.zone) for candidate in candidates]
    return _ranks_by_location(order, places)


def _ranks_by_location(order: Sequence[int], locations: Sequence[str]) -> list[int]:
    """Count the candidates of each place, a zone or a region, in their order."""
    ranks = [0] * len(locations)
    seen: dict[str, int] = {}
    for number in order:
        rank = seen.get(locations[number], 0)
        ranks[number] = rank
        seen[locations[number]] = rank + 1
    return ranks


#: A weights version and a region.
_HomeScope = tuple[int, str]


def _home_scope(request: PromptPlacementRequest, replica: RelayReplica) -> _HomeScope:
    """Return what a family has one home for.

    What is kept under one version is of no use under another, and what is kept in one region is
    read faster than it is copied in another.
    """
    return request.version_at(replica), request.regions.region_of(replica.listing.zone)


def _homes(
    request: PromptPlacementRequest, candidates: Sequence[RelayReplica], ranks: Sequence[int]
) -> dict[_HomeScope, int]:
    """Return the rank of the first choice under each weights version in each region."""
    homes: dict[_HomeScope, int] = {}
    for replica, rank in zip(candidates, ranks, strict=True):
        place = _home_scope(request, replica)
        homes[place] = min(rank, homes.get(place, rank))
    return homes
