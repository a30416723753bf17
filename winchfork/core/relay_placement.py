"""Which replica serves a relayed request: least expected time, families kept together.

For prompts, cost = tokens queued ahead and tokens of this prompt not kept, at the replica's reading
rate, plus a charge for running requests, for leaving the family's home, and for another zone. The
home of a family is its first choice by rendezvous hashing, the same on every daemon, so a daemon
that knows nothing still sends a family where the others send it. For other requests, cost is the
replica's recent latency scaled by the work it has.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from winchfork.core.part_index import PartIndex, part_key
from winchfork.core.prompt_parts import CacheScope, Prompt
from winchfork.core.relay_fleet import RelayReplica
from winchfork.core.rendezvous import member_hash, mixed_order

#: Prompt tokens an engine reads a second until measured otherwise.
DEFAULT_READ_TOKENS_PER_S = 40_000.0
#: Charge for each request running on a replica: every token of a larger batch comes slower.
RUNNING_COST_S = 0.001
#: Charge for a family away from its home, as a share of the time to read its shared parts there.
AWAY_SHARE = 0.9
#: Charge that keeps ties in the family's order on every daemon.
ORDER_COST_S = 0.004
#: Charge for a replica in another zone: latency there and back, and the price of the bytes.
OTHER_ZONE_COST_S = 0.012
#: A latency measured longer ago than this is no longer held against a replica.
LATENCY_MEMORY_S = 3.0
#: Latency assumed of a replica that has not been measured lately.
DEFAULT_LATENCY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDecision:
    """The chosen replica and what decided; ``cost_s`` in expected seconds."""

    replica: RelayReplica
    kept_tokens: int
    unread_tokens: int
    cost_s: float
    weighed: int
    copy_from: RelayReplica | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPlacement:
    """A prompt to place, for a daemon in ``zone``."""

    prompt: Prompt
    scope: CacheScope
    zone: str


def place_prompt(
    request: PromptPlacement, candidates: Sequence[RelayReplica], index: PartIndex
) -> RelayDecision | None:
    """Return the cheapest candidate for a prompt, or None without candidates."""
    best: RelayDecision | None = None
    prompt = request.prompt
    ranks = _family_ranks(prompt.family, candidates)
    for replica, rank in zip(candidates, ranks, strict=True):
        kept = _kept_tokens(request, replica, index)
        unread = max(1, prompt.prompt_tokens - kept)
        cost_s = _prompt_cost_s(request, replica, rank, kept, unread)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(replica, kept, unread, cost_s, len(candidates))
    return best


def _kept_tokens(request: PromptPlacement, replica: RelayReplica, index: PartIndex) -> int:
    keys = shared_keys(request, replica)
    kept = index.kept_parts(keys, replica.order_hash)
    return sum(part.tokens for part in request.prompt.shared[:kept])


def shared_keys(request: PromptPlacement, replica: RelayReplica) -> list[int]:
    """Return the keys of the prompt's shared parts under the replica's weights."""
    namespace = request.scope.namespace(replica.versions.get(request.prompt.model, 0))
    return [part_key(namespace, part) for part in request.prompt.shared]


def _family_ranks(family: str, candidates: Sequence[RelayReplica]) -> list[int]:
    family_hash = member_hash(family)
    order = sorted(
        range(len(candidates)),
        key=lambda number: mixed_order(family_hash, candidates[number].order_hash),
    )
    ranks = [0] * len(candidates)
    for rank, number in enumerate(order):
        ranks[number] = rank
    return ranks


def _prompt_cost_s(
    request: PromptPlacement, replica: RelayReplica, rank: int, kept: int, unread: int
) -> float:
    queued = replica.unread_tokens + replica.peer_unread_tokens
    running = replica.in_flight + replica.peer_in_flight
    cost_s = (queued + unread) / DEFAULT_READ_TOKENS_PER_S
    cost_s += running * RUNNING_COST_S + rank * ORDER_COST_S
    if rank and not kept:
        cost_s += AWAY_SHARE * request.prompt.shared_tokens / DEFAULT_READ_TOKENS_PER_S
    if replica.listing.zone != request.zone:
        cost_s += OTHER_ZONE_COST_S
    return cost_s


def place_task(zone: str, candidates: Sequence[RelayReplica], now_s: float) -> RelayDecision | None:
    """Return the candidate expected to answer first, or None without candidates."""
    best: RelayDecision | None = None
    for replica in candidates:
        cost_s = _task_cost_s(zone, replica, now_s)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(replica, 0, 0, cost_s, len(candidates))
    return best


def _task_cost_s(zone: str, replica: RelayReplica, now_s: float) -> float:
    measured = now_s - replica.latency_at_s < LATENCY_MEMORY_S and replica.latency_s > 0
    latency_s = replica.latency_s if measured else DEFAULT_LATENCY_S
    work = replica.in_flight + replica.peer_in_flight
    slots = max(1, replica.listing.slots)
    cost_s = latency_s * (1.0 + work / slots + max(0.0, math.ceil((work + 1 - slots) / slots)))
    if replica.listing.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    return cost_s
