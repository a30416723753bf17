"""Counts the answers of a service's replicas, by outcome, during a software rollout."""

from __future__ import annotations

import msgspec

from winchfork.core.version_evidence import AnswerCounts

#: An answer is slow if it takes more than this many times the old version's typical time.
SLOW_RATIO = 2.5
#: Weight of a new sample in the exponential moving average of the typical ratio.
TYPICAL_RATIO_WEIGHT = 0.1
#: Samples are clipped to this many times the average.
MAX_TIMES_TYPICAL = 4.0
#: Stands for all replicas of the version in force, where answers are counted by replica.
OLD_VERSION = 0


class ServiceAnswers(msgspec.Struct):
    """This daemon's counts for one order, by hash of the replica (or OLD_VERSION) and route."""

    order_revision: int
    counts: dict[tuple[int, int], AnswerCounts] = {}
    #: Typical ratio of actual to expected duration for the old version, by hash of the route.
    typical_ratios: dict[int, float] = {}

    def record(self, replica: int, route: int, ratio: float, *, failed: bool) -> bool:
        """Count an answer; True if it failed or was slow.

        ``ratio`` is its actual duration divided by the expected one.
        """
        typical = self.typical_ratios.get(route)
        slow = not failed and typical is not None and ratio > SLOW_RATIO * typical
        counts = self.counts.setdefault((replica, route), AnswerCounts())
        counts.add(AnswerCounts(1, int(failed), int(slow)))
        if replica == OLD_VERSION and not failed:
            known = typical if typical is not None else ratio
            sample = min(ratio, MAX_TIMES_TYPICAL * known)
            self.typical_ratios[route] = known + TYPICAL_RATIO_WEIGHT * (sample - known)
        return failed or slow
