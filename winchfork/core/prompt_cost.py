"""What a prompt costs at a replica: expected seconds, and charges for what others would lose."""

from __future__ import annotations

from winchfork.core.placement_request import LONG_ANSWER_RATIO, PromptPlacementRequest
from winchfork.core.prefill_plan import PrefillPlan
from winchfork.core.prompt_parts import Prompt
from winchfork.core.region_map import Distance
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import mixed_order
from winchfork.core.zone_hubs import MAX_FULL_MESH_MEMBERS

#: Charge for a replica all of whose slots are taken, less for fewer: every token of a larger batch
#: comes slower, and long answers gather only as far as there are slots.
FULL_COST_S = 0.064
#: Charge for keeping copied parts twice, as a share of the time to read them: they push others out.
DUPLICATE_COST_SHARE = 0.25
#: Charge for a family away from its home while nobody is known to keep it, as a share of the time
#: to read its shared parts: the home may hold it unheard.
NOT_HOME_COST_SHARE = 0.9
#: What daemons hear of each other's work is some tenths of a second old, and until then all of them
#: would send to the same replica. So in a fleet of many daemons each request has charges of its
#: own, drawn up to what others like it may add unheard: this much and the time to read its prompt.
JITTER_COST_S = 0.03
#: Daemons beyond those that hear of each other directly at which these charges are full.
FULL_JITTER_DAEMONS = 50
#: Seconds to set up a copy.
COPY_SETUP_S = 0.004
#: Charge that keeps ties in the family's order on every daemon.
RANK_COST_S = 0.004
#: Charge for a replica in another zone of the region: latency there and back, and the price of the
#: bytes.
OTHER_ZONE_COST_S = 0.012
#: Charge for weights that a newer version has replaced a while ago: their answers are worth less,
#: though not by as much as late ones.
OLD_WEIGHTS_COST_S = 0.15
#: Charge for a long answer on a replica that is to load weights next, as a share of its length: the
#: load waits for it.
UPCOMING_LOAD_COST_SHARE = 0.1
#: Charge for reading a prompt where answers are running: each of them waits meanwhile. A share of
#: the reading time for each running request.
INTERFERENCE_SHARE = 0.1
#: Charge for each running answer that would stand still for longer than its callers allow while
#: what waits there is read. With it, and with waits for replicas that open, late answers of a quiet
#: day of 79 daemons fell from 318 to 216, and the worth of a loaded day of seven daemons rose by
#: 0.025 to 0.044 (three pairs of plays). It begins at this share of the allowed pause and is whole
#: at twice that: replicas read in pieces, and an event that is half made comes that much later.
TOKEN_GAP_COST_S = 0.3
TOKEN_GAP_FREE_SHARE = 0.55
#: Long answers gather on the same few replicas of a zone, away from large prompts: charge for each
#: place in the order, so that the next replica is used when this one has some ten more running.
LONG_ANSWER_RANK_COST_S = 0.01
#: Time in which a stream that is moved makes nothing, beside the reading of its prompt.
MOVE_SETUP_S = 0.05


def prompt_cost_s(
    request: PromptPlacementRequest,
    replica: RelayReplica,
    rank: int,
    is_home: bool,
    plan: PrefillPlan,
) -> float:
    """Return the cost of a prompt at a replica that is ``rank``-th in the order of its region."""
    running = replica.running
    read_s = plan.prefill_tokens / request.prefill_tokens_per_s
    cost_s = replica.queued_prefill_tokens / request.prefill_tokens_per_s + read_s
    cost_s += running * (FULL_COST_S / max(1, replica.listing.slots) + INTERFERENCE_SHARE * read_s)
    cost_s += running * _token_gap_cost_s(request, replica, read_s)
    cost_s += _expected_wait_s(request, replica) + _preemption_cost_s(request, replica)
    if request.max_jitter_s:
        cost_s += request.max_jitter_s * mixed_order(request.jitter_key, replica.order_hash)
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
        # What is kept there draws nothing over: read once in its own region, a family stays here.
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
    """Return the charge for what this prompt adds to the pause of each running answer.

    Where answers stand still for too long already, one more prompt takes nothing from them.
    """
    free_s = TOKEN_GAP_FREE_SHARE * request.gap_target_s
    if not free_s:
        return 0.0
    queued_s = replica.queued_prefill_tokens / request.prefill_tokens_per_s
    return TOKEN_GAP_COST_S * (_ramp(queued_s + prefill_s, free_s) - _ramp(queued_s, free_s))


def _ramp(value: float, start: float) -> float:
    """Return 0 up to ``start`` and 1 from twice that, and rise evenly between."""
    return max(0.0, min(1.0, value / start - 1.0))


def max_jitter_s(prompt: Prompt, daemons: int, prefill_tokens_per_s: float) -> float:
    """Return how far the charges of a request may lie apart in a fleet of this size."""
    share = max(0.0, min(1.0, (daemons - MAX_FULL_MESH_MEMBERS) / FULL_JITTER_DAEMONS))
    return share * (JITTER_COST_S + prompt.prompt_tokens / prefill_tokens_per_s)


def worth_moving(expected_s: float, elapsed_s: float, prefill_s: float) -> bool:
    """Whether a run that has taken ``elapsed_s`` of an expected time should go on elsewhere.

    ``read_s`` is the time to read its prompt once more, for which every answer stands still where
    it goes: what is left must be a long answer by comparison. A run that has outlasted its
    expectation is taken to need as much again as it is over.
    """
    left_s = abs(expected_s - elapsed_s)
    return left_s > MOVE_SETUP_S + LONG_ANSWER_RATIO * prefill_s


def _preemption_cost_s(request: PromptPlacementRequest, replica: RelayReplica) -> float:
    """Return the charge for a prompt that does not fit into a replica's memory.

    A replica that runs out of memory puts back what it began last, and reads it anew: for each
    token that does not fit, about one is read twice.
    """
    if not request.cache_tokens:
        return 0.0
    needed = request.prompt.memory_tokens
    overflow = min(needed, replica.used_tokens + needed - request.cache_tokens)
    return max(0, overflow) / request.prefill_tokens_per_s


def _expected_wait_s(request: PromptPlacementRequest, replica: RelayReplica) -> float:
    """Return how long a prompt is expected to wait until others have left it slot and memory.

    Runs end one after another, so of a full replica's runs a share of ``1 / slots`` ends in each
    such share of the mean run; memory is given back in the same way.
    """
    slots = max(1, replica.listing.slots)
    lacking = max(0.0, replica.running + 1 - slots) / slots
    if request.cache_tokens:
        tokens = replica.used_tokens + request.prompt.memory_tokens - request.cache_tokens
        lacking = max(lacking, tokens / request.cache_tokens)
    return lacking * request.mean_run_s
