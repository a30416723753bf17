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
#: Factor on the estimated wait, which may be too short.
START_MARGIN_FACTOR = 2.0
#: Upper bound of the margin in seconds, unless the estimated wait itself is longer.
MAX_START_MARGIN_S = 5.0


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
    tokens = replica.queued_prefill_tokens + prompt.prompt_tokens
    prefill_s = tokens / min(PRIOR_PREFILL_TOKENS_PER_S, load.prefill_tokens_per_s)
    wait_s = load.mean_run_s * missing_share(replica, prompt, load.cache_tokens)
    requests = 1 + load.unknown_requests
    longest_wait_s = load.mean_run_s * missing_share(replica, prompt, load.cache_tokens, requests)
    margin_s = START_MARGIN_S + START_MARGIN_FACTOR * (prefill_s + longest_wait_s)
    return max(prefill_s + wait_s, min(MAX_START_MARGIN_S, margin_s))


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
