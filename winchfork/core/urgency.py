"""How urgent a prompt is at its replica: short reading before long, then the operators' priority.

A replica reads the prompts that wait one after another, the more urgent first. A short prompt holds
a long one up by little, and a long one a short one by much, so that serving short ones first keeps
more answers in time when more is asked than can be read. (The separation of short from long work by
its type is that of "When Idling is Ideal", SOSP 2021, there by reserved cores.)
"""

from __future__ import annotations

import math

#: The least urgent level that replicas know; 0 is the most urgent.
LOWEST_URGENCY = 9
#: Reading that takes this share of the target latency or less has the operators' own priority; each
#: doubling beyond it is one level less urgent.
SHORT_PREFILL_SHARE = 0.05
#: Levels that the longest reading is set back.
MAX_PENALTY_LEVELS = 5


def urgency_level(priority: int, prefill_s: float, target_s: float) -> int:
    """Return the level of a prompt that takes ``read_s`` to read, for an aim of ``target_s``."""
    return max(0, min(LOWEST_URGENCY, priority + _penalty_levels(prefill_s, target_s)))


def _penalty_levels(prefill_s: float, target_s: float) -> int:
    if target_s <= 0.0 or prefill_s <= SHORT_PREFILL_SHARE * target_s:
        return 0
    return min(
        MAX_PENALTY_LEVELS, math.ceil(math.log2(prefill_s / (SHORT_PREFILL_SHARE * target_s)))
    )
