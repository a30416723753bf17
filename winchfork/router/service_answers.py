"""What one daemon counts of the answers of a service's software while a rollout runs."""

from __future__ import annotations

import msgspec

from winchfork.core.version_evidence import AnswerCounts

#: An answer that takes this many times as long as the old version's usually do is slow.
SLOW_RATIO = 2.5
#: Share of a new sample in the moving average of what answers usually take, and how far above the
#: average a sample counts.
TYPICAL_RATIO_WEIGHT = 0.1
MAX_TIMES_TYPICAL = 4.0
#: Names the version in force where answers are counted by replica.
OLD_VERSION = 0


class ServiceAnswers(msgspec.Struct):
    """This daemon's counts of one order, by replica (or OLD_VERSION) and route, by hash."""

    order_revision: int
    counts: dict[tuple[int, int], AnswerCounts] = {}
    #: Seconds that answers of the old version usually take, for each expected second, by route.
    typical_ratios: dict[int, float] = {}

    def record(self, replica: int, route: int, ratio: float, *, failed: bool) -> bool:
        """Count an answer that took ``ratio`` of the expected time; True when it was a bad one."""
        usual = self.typical_ratios.get(route)
        slow = not failed and usual is not None and ratio > SLOW_RATIO * usual
        counts = self.counts.setdefault((replica, route), AnswerCounts())
        counts.add(AnswerCounts(1, int(failed), int(slow)))
        if replica == OLD_VERSION and not failed:
            known = usual if usual is not None else ratio
            sample = min(ratio, MAX_TIMES_TYPICAL * known)
            self.typical_ratios[route] = known + TYPICAL_RATIO_WEIGHT * (sample - known)
        return failed or slow
