"""Counters and latency histograms, rendered in the text exposition format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

#: Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Histogram:
    """Counts of latencies by bucket."""

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class RouterMetrics:
    """All figures of one process. Labels are the values of one dimension."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[(name, label)] += amount

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a latency to a histogram."""
        histogram = self.histograms.get((name, label))
        if histogram is None:
            histogram = self.histograms[(name, label)] = Histogram()
        histogram.observe(seconds)
