"""The cost of placing a prompt on a replica, in seconds.

The cost is the expected wait and prefill time at the replica, plus costs for the slowdown of other
requests, for lost cache locality and for distance.
"""

from __future__ import annotations

from winchfork.core.placement_request import PromptPlacementRequest
from winchfork.core.prefill_plan import PrefillPlan
from winchfork.core.prompt_parts import Prompt
from winchfork.core.region_map import Distance
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import mixed_order
from winchfork.core.start_margin import missing_share
from winchfork.core.zone_hubs import MAX_FULL_MESH_MEMBERS

#: Cost in seconds of a replica whose slots are all taken; scaled by the share of slots taken. In a
#: larger batch every token takes longer.
FULL_COST_S = 0.064
#: Cost of caching copied parts a second time, as a share of their prefill time: they evict other
#: parts.
DUPLICATE_COST_SHARE = 0.25
#: Cost of placing a family away from its home replica with none of it cached or copied, as a share
#: of the prefill time of its shared parts: the home may have it cached without this daemon's
#: knowledge.
NOT_HOME_COST_SHARE = 0.9
#: Largest jitter in seconds, besides the prompt's prefill time, in the cost of a replica. It keeps
#: daemons, whose data on each other's load are some tenths of a second old, from all choosing the
#: same replica.
JITTER_COST_S = 0.03
#: Number of daemons beyond a full mesh at which the jitter reaches its maximum.
FULL_JITTER_DAEMONS = 50
#: Seconds to set up a copy.
COPY_SETUP_S = 0.004
#: Cost in seconds per rank in the family's order; breaks ties the same way on every daemon.
RANK_COST_S = 0.004
#: Cost in seconds of a replica in another zone of the same region: the latency of a round trip, and
#: the price of the traffic.
OTHER_ZONE_COST_S = 0.012
#: Cost in seconds of a replica with an outdated weights version: its answers are worth less, though
#: not by as much as late ones.
OLD_WEIGHTS_COST_S = 0.15
#: Cost of a request on a replica that loads weights next, as a share of the expected run time: the
#: load has to wait for the request to end.
UPCOMING_LOAD_COST_SHARE = 0.1
#: Cost of the delay that a prefill causes each running request, as a share of the prefill time.
INTERFERENCE_SHARE = 0.1
#: Cost in seconds per running answer whose token gap would exceed the allowed maximum.
TOKEN_GAP_COST_S = 0.3
#: Share of the allowed token gap at which that cost sets in; it is full at twice this share. It
#: sets in early because replicas prefill in pieces, which delay a token that is half computed.
TOKEN_GAP_FREE_SHARE = 0.55
#: Cost in seconds per rank for long answers; concentrates them on few replicas of a zone, apart
#: from large prompts.
LONG_ANSWER_RANK_COST_S = 0.01


def prompt_cost_s(
    request: PromptPlacementRequest,
    replica: RelayReplica,
    rank: int,
    is_home: bool,
    plan: PrefillPlan,
) -> float:
    """Return the cost in seconds of a prompt at a replica.

    ``rank`` is the replica's position, from 0, in the order of its location; ``is_home``: it is the
    family's home replica.
    """
    running = replica.running
    prefill_s = plan.prefill_tokens / request.prefill_tokens_per_s
    cost_s = replica.queued_prefill_tokens / request.prefill_tokens_per_s + prefill_s
    cost_s += running * (
        FULL_COST_S / max(1, replica.listing.slots) + INTERFERENCE_SHARE * prefill_s
    )
    cost_s += running * _token_gap_cost_s(request, replica, prefill_s)
    cost_s += _expected_wait_s(request, replica) + _preemption_cost_s(request, replica)
    if request.max_jitter_s:
        cost_s += request.max_jitter_s * mixed_order(request.jitter_key, replica.placement_hash)
    cost_s += rank * (LONG_ANSWER_RANK_COST_S if request.is_long_answer else RANK_COST_S)
    if plan.copied_tokens:
        cost_s += COPY_SETUP_S + plan.copy_s
        cost_s += DUPLICATE_COST_SHARE * plan.copied_tokens / request.prefill_tokens_per_s
    elif not is_home and not plan.cached_tokens and not request.is_long_answer:
        cost_s += NOT_HOME_COST_SHARE * request.prompt.shared_tokens / request.prefill_tokens_per_s
    distance = request.regions.distance(request.zone, replica.listing.zone)
    if distance is Distance.SAME_REGION:
        cost_s += OTHER_ZONE_COST_S
    elif distance is Distance.OTHER_REGION:
        # Cancel the benefit of tokens cached in another region: after one prefill in its own region
        # the family stays there.
        cost_s += request.cross_region_cost_s + plan.cached_tokens / request.prefill_tokens_per_s
    cost_s += request.connect_cost_s(replica)
    if request.version_at(replica) in request.old_versions:
        cost_s += OLD_WEIGHTS_COST_S
    if request.now_s < replica.load_upcoming_until_s:
        cost_s += UPCOMING_LOAD_COST_SHARE * request.expected_run_s
    return cost_s


def _token_gap_cost_s(
    request: PromptPlacementRequest, replica: RelayReplica, prefill_s: float
) -> float:
    """Return the cost per running answer of the token gap that this prompt's prefill adds.

    It is 0 if no allowed gap is known or the queued prefill alone already causes the full cost.
    """
    free_s = TOKEN_GAP_FREE_SHARE * request.gap_target_s
    if not free_s:
        return 0.0
    queued_s = replica.queued_prefill_tokens / request.prefill_tokens_per_s
    return TOKEN_GAP_COST_S * (_ramp(queued_s + prefill_s, free_s) - _ramp(queued_s, free_s))


def _ramp(value: float, start: float) -> float:
    """Return 0 up to ``start``, 1 from twice ``start``, and interpolate linearly between."""
    return max(0.0, min(1.0, value / start - 1.0))


def max_jitter_s(prompt: Prompt, daemons: int, prefill_tokens_per_s: float) -> float:
    """Return the largest jitter, in seconds, in a replica's cost with this many daemons."""
    share = max(0.0, min(1.0, (daemons - MAX_FULL_MESH_MEMBERS) / FULL_JITTER_DAEMONS))
    return share * (JITTER_COST_S + prompt.prompt_tokens / prefill_tokens_per_s)


def _preemption_cost_s(request: PromptPlacementRequest, replica: RelayReplica) -> float:
    """Return the cost in seconds of a prompt that does not fit into a replica's cache memory.

    A replica that runs out of memory preempts its newest requests and prefills them again later:
    about one token is prefilled twice for each token that does not fit.
    """
    if not request.cache_tokens:
        return 0.0
    needed = request.prompt.memory_tokens
    overflow = min(needed, replica.used_tokens + needed - request.cache_tokens)
    return max(0, overflow) / request.prefill_tokens_per_s


def _expected_wait_s(request: PromptPlacementRequest, replica: RelayReplica) -> float:
    """Return the expected wait in seconds for a free slot and enough cache memory."""
    return missing_share(replica, request.prompt, request.cache_tokens) * request.mean_run_s
