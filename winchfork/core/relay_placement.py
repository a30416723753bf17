"""Which replica serves a relayed request: least expected time, families kept together.

For prompts, cost = tokens queued ahead and tokens of this prompt not kept, at the replica's reading
rate, plus a charge for running requests, for leaving the family's home, and for another zone. The
home of a family is its first choice by rendezvous hashing, the same on every daemon, so a daemon
that knows nothing still sends a family where the others send it. For other requests, cost is the
replica's recent latency scaled by the work it has.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from winchfork.core.engine_speed import PRIOR_READ_TOKENS_PER_S
from winchfork.core.part_index import PartIndex, shared_keys
from winchfork.core.prompt_parts import CacheScope, Prompt
from winchfork.core.relay_fleet import RelayReplica
from winchfork.core.rendezvous import member_hash, mixed_order
from winchfork.core.zone_hubs import MOST_DIRECT_MEMBERS

#: Charge for a replica all of whose slots are taken, less for fewer: every token of a larger batch
#: comes slower, and long answers gather only as far as there are slots.
FULL_COST_S = 0.064
#: Charge for keeping copied parts twice, as a share of the time to read them: they push others out.
SECOND_COPY_SHARE = 0.25
#: Charge for a family away from its home while nobody is known to keep it, as a share of the time
#: to read its shared parts: the home may hold it unheard.
AWAY_SHARE = 0.9
#: What daemons hear of each other's work is some tenths of a second old, and until then all of them
#: would send to the same replica. So in a fleet of many daemons each request has charges of its
#: own, drawn up to what others like it may add unheard: this much and the time to read its prompt.
SPREAD_COST_S = 0.03
#: Daemons beyond those that hear of each other directly at which these charges are full.
SPREAD_DAEMONS = 50
#: Seconds to set up a copy.
COPY_SETUP_S = 0.004
#: Charge that keeps ties in the family's order on every daemon.
ORDER_COST_S = 0.004
#: Cache moves between zones take this many times as long.
OTHER_ZONE_COPY_RATIO = 2.0
#: A store that is not known to keep a prompt's shared parts is asked for this many or more: they
#: take several times as long to read as an answer in vain.
LEAST_ASKED_TOKENS = 500
#: A copy of fewer tokens is not worth its set-up.
LEAST_COPIED_TOKENS = 64
#: Charge for a replica in another zone: latency there and back, and the price of the bytes.
OTHER_ZONE_COST_S = 0.012
#: Charge for weights that a newer version has replaced a while ago: their answers are worth less,
#: though not by as much as late ones.
OLD_WEIGHTS_COST_S = 0.15
#: Charge for a long answer on a replica that is to load weights next, as a share of its length: the
#: load waits for it.
NEXT_SHARE = 0.1
#: Charge for reading a prompt where answers are running: each of them waits meanwhile. A share of
#: the reading time for each running request.
INTERFERENCE_SHARE = 0.1
#: Charge for each running answer that would stand still for longer than its callers allow while
#: what waits there is read. With it, and with waits for replicas that open, late answers of a quiet
#: day of 79 daemons fell from 318 to 216, and the worth of a loaded day of seven daemons rose by
#: 0.025 to 0.044 (three pairs of plays). It begins at this share of the allowed pause and is whole
#: at twice that: replicas read in pieces, and an event that is half made comes that much later.
PAUSE_COST_S = 0.3
PAUSE_FREE_SHARE = 0.55
#: A request whose answer takes this many times as long as its prompt is a long answer.
LONG_ANSWER_RATIO = 4.0
#: Long answers gather on the same few replicas of a zone, away from large prompts: charge for each
#: place in the order, so that the next replica is used when this one has some ten more running.
GATHER_COST_S = 0.01
#: Time in which a stream that is moved makes nothing, beside the reading of its prompt.
MOVE_SETUP_S = 0.05
#: A latency measured longer ago than this is no longer held against a replica.
LATENCY_MEMORY_S = 3.0
#: Latency assumed of a replica that has not been measured lately.
DEFAULT_LATENCY_S = 0.05


class RelayDecision(msgspec.Struct, frozen=True):
    """The chosen replica and what decided; ``cost_s`` in expected seconds."""

    replica: RelayReplica
    kept_tokens: int
    unread_tokens: int
    cost_s: float
    weighed: int
    copied_tokens: int = 0
    copy_from: RelayReplica | None = None
    save: bool = False


class PromptPlacement(msgspec.Struct, frozen=True):
    """A prompt to place, for a daemon in ``zone``.

    ``run_s`` is how long its answer is expected to take after the first token.
    ``copy_tokens_per_s`` is how fast replicas copy kept parts from each other within a zone, and
    ``store_tokens_per_s`` how fast from the store; 0: they cannot. ``read_tokens_per_s`` is how
    fast they read. ``cache_tokens`` is their memory, 0 if not known. ``mean_run_s`` is how long
    runs have taken lately. ``store`` keeps parts outside the replicas. Answers of ``old_versions``
    are worth less. ``spread_s`` is the most that a charge drawn by ``spread_key`` may be.
    ``gap_target_s`` is the longest pause that callers of running answers allow; 0 if not known.
    """

    prompt: Prompt
    scope: CacheScope
    zone: str
    now_s: float = 0.0
    run_s: float = 0.0
    copy_tokens_per_s: float = 0.0
    cache_tokens: int = 0
    mean_run_s: float = 0.0
    old_versions: frozenset[int] = frozenset()
    spread_s: float = 0.0
    spread_key: int = 0
    store: RelayReplica | None = None
    store_tokens_per_s: float = 0.0
    read_tokens_per_s: float = PRIOR_READ_TOKENS_PER_S
    gap_target_s: float = 0.0

    @property
    def long_answer(self) -> bool:
        """Whether the answer takes much longer than the prompt."""
        read_s = self.prompt.prompt_tokens / self.read_tokens_per_s
        return self.run_s > LONG_ANSWER_RATIO * read_s


class _Reading(msgspec.Struct, frozen=True):
    """How a replica would come by a prompt: tokens kept there, copied to it, read by it."""

    kept: int
    copied: int
    unread: int
    source: RelayReplica | None


def place_prompt(
    request: PromptPlacement,
    candidates: Sequence[RelayReplica],
    sources: Sequence[RelayReplica],
    index: PartIndex,
) -> RelayDecision | None:
    """Return the cheapest candidate for a prompt, or None without candidates.

    ``sources`` are the replicas that parts may be copied from, whether or not they take work.
    """
    best: RelayDecision | None = None
    prefixes = _KeptPrefixes(request, sources, index)
    ranks = _ranks(request, candidates)
    homes = _homes(request, candidates, ranks)
    for replica, rank in zip(candidates, ranks, strict=True):
        reading = prefixes.reading(replica)
        at_home = rank == homes[_version(request, replica)]
        cost_s = _prompt_cost_s(request, replica, rank, at_home, reading)
        if best is None or cost_s < best.cost_s:
            best = RelayDecision(
                replica,
                reading.kept,
                reading.unread,
                cost_s,
                len(candidates),
                reading.copied,
                reading.source,
            )
    return _with_store(request, best, prefixes) if best is not None else None


def _with_store(
    request: PromptPlacement, decision: RelayDecision, prefixes: _KeptPrefixes
) -> RelayDecision:
    """Save what the store does not keep; name it as the source of what it keeps, or may keep.

    A replica may have dropped what it is believed to keep, the store drops nothing for long. A
    source that is not needed costs nothing: the replica copies only what goes beyond its own. What
    other daemons had saved may never have been heard of here, above all after a restart, and asking
    in vain takes a millisecond.
    """
    store = request.store
    if store is None or not request.copy_tokens_per_s:
        return decision
    if request.prompt.shared_tokens < LEAST_COPIED_TOKENS:
        return decision
    kept = prefixes.at(decision.replica)
    stored = kept.depths.get(store.order_hash, 0) == len(kept.keys)
    worth_asking = request.prompt.shared_tokens >= LEAST_ASKED_TOKENS
    unheard = decision.copy_from is None and worth_asking
    source = store if stored or unheard else decision.copy_from
    return msgspec.structs.replace(decision, copy_from=source, save=not stored)


class _KeptPrefixes:
    """Who keeps how much of a prompt's shared parts, looked up once for each weights version."""

    def __init__(
        self, request: PromptPlacement, sources: Sequence[RelayReplica], index: PartIndex
    ) -> None:
        self._request = request
        self._sources = {source.order_hash: source for source in sources}
        self._index = index
        self._by_version: dict[int, _KeptUnderVersion] = {}

    def at(self, replica: RelayReplica) -> _KeptUnderVersion:
        """Return what is kept under the weights that a replica has."""
        version = _version(self._request, replica)
        known = self._by_version.get(version)
        if known is None:
            keys = shared_keys(self._request.scope, self._request.prompt, version)
            known = _KeptUnderVersion(keys, self._index.kept_depths(keys))
            self._by_version[version] = known
        return known

    def reading(self, replica: RelayReplica) -> _Reading:
        """Return how a replica would come by the prompt."""
        request = self._request
        shared = request.prompt.shared
        kept_parts = self.at(replica).depths.get(replica.order_hash, 0)
        source, source_parts = self._deepest_source(replica, kept_parts)
        kept = sum(part.tokens for part in shared[:kept_parts])
        copied = sum(part.tokens for part in shared[kept_parts:source_parts])
        if not request.copy_tokens_per_s or copied < LEAST_COPIED_TOKENS:
            source, copied = None, 0
        unread = max(1, request.prompt.prompt_tokens - kept - copied)
        return _Reading(kept, copied, unread, source)

    def _deepest_source(
        self, replica: RelayReplica, kept_parts: int
    ) -> tuple[RelayReplica | None, int]:
        """Return who keeps the longest run beyond the replica's own: near, then used last."""
        prefixes = self.at(replica)
        best: RelayReplica | None = None
        best_order: tuple[int, bool, float] = (kept_parts, False, 0.0)
        for source_hash, parts in prefixes.depths.items():
            source = self._sources.get(source_hash)
            if source is None or parts <= kept_parts or source_hash == replica.order_hash:
                continue
            near = source.listing.zone == replica.listing.zone
            used_s = self._index.holders(prefixes.keys[parts - 1]).get(source_hash, 0.0)
            if (parts, near, used_s) > best_order:
                best, best_order = source, (parts, near, used_s)
        return best, best_order[0]


class _KeptUnderVersion(msgspec.Struct, frozen=True):
    """Keys of the shared parts under one version, and the leading parts kept, by replica."""

    keys: Sequence[int]
    depths: Mapping[int, int]


def _ranks(request: PromptPlacement, candidates: Sequence[RelayReplica]) -> list[int]:
    """Return each candidate's place in the order that every daemon has for this request."""
    if request.long_answer:
        return _ranks_in_zone(candidates)
    family_hash = member_hash(request.prompt.family)
    order = sorted(
        range(len(candidates)),
        key=lambda number: mixed_order(family_hash, candidates[number].order_hash),
    )
    ranks = [0] * len(candidates)
    for rank, number in enumerate(order):
        ranks[number] = rank
    return ranks


def _homes(
    request: PromptPlacement, candidates: Sequence[RelayReplica], ranks: Sequence[int]
) -> dict[int, int]:
    """Return the rank of the first choice under each weights version.

    What is kept under one version is of no use under another, so each has a home of its own.
    """
    homes: dict[int, int] = {}
    for replica, rank in zip(candidates, ranks, strict=True):
        version = _version(request, replica)
        homes[version] = min(rank, homes.get(version, rank))
    return homes


def _version(request: PromptPlacement, replica: RelayReplica) -> int:
    return replica.versions.get(request.prompt.model, 0)


def _ranks_in_zone(candidates: Sequence[RelayReplica]) -> list[int]:
    ranks = [0] * len(candidates)
    seen: dict[str, int] = {}
    for number in sorted(range(len(candidates)), key=lambda number: candidates[number].order_hash):
        zone = candidates[number].listing.zone
        ranks[number] = seen.get(zone, 0)
        seen[zone] = ranks[number] + 1
    return ranks


def _prompt_cost_s(
    request: PromptPlacement, replica: RelayReplica, rank: int, at_home: bool, reading: _Reading
) -> float:
    running = replica.running
    read_s = reading.unread / request.read_tokens_per_s
    cost_s = replica.queued_tokens / request.read_tokens_per_s + read_s
    cost_s += running * (FULL_COST_S / max(1, replica.listing.slots) + INTERFERENCE_SHARE * read_s)
    cost_s += running * _pause_cost_s(request, replica, read_s)
    cost_s += _wait_for_place_s(request, replica)
    if request.spread_s:
        cost_s += request.spread_s * mixed_order(request.spread_key, replica.order_hash)
    cost_s += rank * (GATHER_COST_S if request.long_answer else ORDER_COST_S)
    if reading.copied:
        cost_s += COPY_SETUP_S + reading.copied / _copy_rate(request, replica, reading.source)
        cost_s += SECOND_COPY_SHARE * reading.copied / request.read_tokens_per_s
    elif not at_home and not reading.kept and not request.long_answer:
        cost_s += AWAY_SHARE * request.prompt.shared_tokens / request.read_tokens_per_s
    if replica.listing.zone != request.zone:
        cost_s += OTHER_ZONE_COST_S
    if _version(request, replica) in request.old_versions:
        cost_s += OLD_WEIGHTS_COST_S
    if request.now_s < replica.next_until_s:
        cost_s += NEXT_SHARE * request.run_s
    return cost_s


def _pause_cost_s(request: PromptPlacement, replica: RelayReplica, read_s: float) -> float:
    """Return the charge for what this prompt adds to the pause of each running answer.

    Where answers stand still for too long already, one more prompt takes nothing from them.
    """
    free_s = PAUSE_FREE_SHARE * request.gap_target_s
    if not free_s:
        return 0.0
    queued_s = replica.queued_tokens / request.read_tokens_per_s
    return PAUSE_COST_S * (_ramp(queued_s + read_s, free_s) - _ramp(queued_s, free_s))


def _ramp(value: float, start: float) -> float:
    """Return 0 up to ``start`` and 1 from twice that, and rise evenly between."""
    return max(0.0, min(1.0, value / start - 1.0))


def spread_cost_s(prompt: Prompt, daemons: int, read_tokens_per_s: float) -> float:
    """Return how far the charges of a request may lie apart in a fleet of this size."""
    share = max(0.0, min(1.0, (daemons - MOST_DIRECT_MEMBERS) / SPREAD_DAEMONS))
    return share * (SPREAD_COST_S + prompt.prompt_tokens / read_tokens_per_s)


def _copy_rate(
    request: PromptPlacement, replica: RelayReplica, source: RelayReplica | None
) -> float:
    """Return the tokens a second that a replica copies from a source."""
    from_store = source is not None and source is request.store
    rate = request.store_tokens_per_s if from_store else request.copy_tokens_per_s
    far = source is not None and source.listing.zone != replica.listing.zone
    return max(1.0, rate / OTHER_ZONE_COPY_RATIO if far else rate)


def worth_moving(expected_s: float, elapsed_s: float, read_s: float) -> bool:
    """Whether a run that has taken ``elapsed_s`` of an expected time should go on elsewhere.

    ``read_s`` is the time to read its prompt once more, for which every answer stands still where
    it goes: what is left must be a long answer by comparison. A run that has outlasted its
    expectation is taken to need as much again as it is over.
    """
    left_s = abs(expected_s - elapsed_s)
    return left_s > MOVE_SETUP_S + LONG_ANSWER_RATIO * read_s


def _wait_for_place_s(request: PromptPlacement, replica: RelayReplica) -> float:
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
    work = replica.running
    slots = max(1, replica.listing.slots)
    cost_s = latency_s * (1.0 + work / slots + max(0.0, math.ceil((work + 1 - slots) / slots)))
    if replica.listing.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    return cost_s
