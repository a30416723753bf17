"""The longest time that a prompt is expected to wait at a replica before its run begins.

A run may begin on replaced weights only until they expire, so a prompt is sent to them only if it
is expected to begin before that.
"""

from __future__ import annotations

import msgspec

from winchfork.core.engine_speed import PRIOR_PREFILL_TOKENS_PER_S
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import RelayReplica

#: Seconds that are allowed in any case, for delays of the network and of busy machines.
START_MARGIN_S = 0.8
#: Factors on the estimated times, which may be too short.
QUEUE_MARGIN_FACTOR = 2.0
PROMPT_MARGIN_FACTOR = 2.0
SLOT_MARGIN_FACTOR = 2.0


class ServiceLoad(msgspec.Struct, frozen=True):
    """Measurements of a service that determine how fast its replicas work through their queues.

    ``mean_run_s`` is the recent mean run time in seconds, ``cache_tokens`` the cache memory of each
    replica, 0 if unknown. ``unknown_requests`` is how many requests of other daemons may be under
    way to a replica without being known here.
    """

    prefill_tokens_per_s: float
    mean_run_s: float
    cache_tokens: int = 0
    unknown_requests: int = 0


def start_margin_s(replica: RelayReplica, prompt: Prompt, load: ServiceLoad) -> float:
    """Return the longest time in seconds that a prompt is expected to take to begin."""
    tokens = (
        QUEUE_MARGIN_FACTOR * replica.queued_prefill_tokens
        + (PROMPT_MARGIN_FACTOR + load.unknown_requests) * prompt.prompt_tokens
    )
    prefill_s = tokens / min(PRIOR_PREFILL_TOKENS_PER_S, load.prefill_tokens_per_s)
    requests = 1 + load.unknown_requests
    wait_s = load.mean_run_s * missing_share(replica, prompt, load.cache_tokens, requests)
    return START_MARGIN_S + prefill_s + SLOT_MARGIN_FACTOR * wait_s


def missing_share(
    replica: RelayReplica, prompt: Prompt, cache_tokens: int, requests: int = 1
) -> float:
    """Return which share of a replica's slots or memory has to be released for a prompt to begin.

    The prompt is the last of ``requests`` like it. The scarcer of slots and memory counts;
    ``cache_tokens`` is the replica's memory, 0 if unknown. Both are assumed to be released evenly
    over a mean run.
    """
    slots = max(1, replica.listing.slots)
    share = max(0.0, replica.running + requests - slots) / slots
    if cache_tokens:
        tokens = replica.used_tokens + requests * prompt.memory_tokens - cache_tokens
        share = max(share, tokens / cache_tokens)
    return share
