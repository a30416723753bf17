"""The urgency level of a prompt at its replica, from its prefill time and the route's priority.

A replica prefills queued prompts one at a time, the most urgent first. Under overload, prefilling
short prompts before long ones lets more answers meet their latency objective. The separation of
short from long work follows "When Idling is Ideal" (SOSP 2021).
"""

from __future__ import annotations

import math

#: The least urgent level; 0 is the most urgent.
LOWEST_URGENCY = 9
#: Prefill time, as a share of the target latency, up to which the priority is used unchanged; each
#: doubling beyond it lowers the urgency by one level.
SHORT_PREFILL_SHARE = 0.05
#: Upper bound on the levels by which a long prefill lowers the urgency.
MAX_PENALTY_LEVELS = 5


def urgency_level(priority: int, prefill_s: float, target_s: float) -> int:
    """Return the level of a prompt with ``prefill_s`` of prefill and a target of ``target_s``."""
    return max(0, min(LOWEST_URGENCY, priority + _penalty_levels(prefill_s, target_s)))


def _penalty_levels(prefill_s: float, target_s: float) -> int:
    if target_s <= 0.0 or prefill_s <= SHORT_PREFILL_SHARE * target_s:
        return 0
    return min(
        MAX_PENALTY_LEVELS, math.ceil(math.log2(prefill_s / (SHORT_PREFILL_SHARE * target_s)))
    )
