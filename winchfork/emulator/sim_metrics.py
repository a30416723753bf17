"""Metrics of an experiment: records of finished requests, and the report derived from them."""

from __future__ import annotations

import dataclasses
from collections import defaultdict
from typing import Any

from winchfork.constants import BLOCK_TOKENS
from winchfork.core.prefix import BlockKey

_WINDOW_S = 5.0
#: A window belongs to the dip if its hit rate is below this share of the rate before the fault.
_DIP_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """One finished request.

    Times are in seconds of virtual time; ``first_token_s`` counts from the arrival.
    """

    traffic_class: str
    arrived_s: float
    first_token_s: float
    done_s: float
    prompt_tokens: int
    cached_tokens: int
    predicted_blocks: int
    placements: int


class SimMetrics:
    """Collects records and counts; rates and latencies leave out arrivals during the warm-up."""

    def __init__(self, warm_up_s: float) -> None:
        self._warm_up_s = warm_up_s
        self.records: list[RequestRecord] = []
        self.arrived = 0
        self.refused: dict[str, int] = defaultdict(int)
        self.lost = 0
        self.dispatches = 0
        self.stored_blocks = 0
        self.wasted_blocks = 0
        self.counting_blocks = False
        self._ever_stored: set[BlockKey] = set()

    def record_stored(self, keys: tuple[BlockKey, ...]) -> None:
        """Count computed blocks, and as wasted those that the fleet had computed before."""
        for key in keys:
            known = key in self._ever_stored
            self._ever_stored.add(key)
            if self.counting_blocks:
                self.stored_blocks += 1
                self.wasted_blocks += known

    def report(self, fault_at_s: float | None = None) -> dict[str, Any]:
        """Return the figures as plain values; with a fault time, the dip in hit rate after it."""
        counted = [item for item in self.records if item.arrived_s >= self._warm_up_s]
        prompt = sum(item.prompt_tokens for item in counted)
        cached = sum(item.cached_tokens for item in counted)
        classes = sorted({item.traffic_class for item in counted})
        report: dict[str, Any] = {
            "requests": self.arrived,
            "finished": len(self.records),
            "lost": self.lost,
            "refused": dict(self.refused),
            "dispatches": self.dispatches,
            "hit_rate": cached / prompt if prompt else 0.0,
            "wasted_share": self.wasted_blocks * BLOCK_TOKENS / prompt if prompt else 0.0,
            "mispredicted_blocks": sum(
                abs(item.predicted_blocks - item.cached_tokens // BLOCK_TOKENS) for item in counted
            )
            / max(1, len(counted)),
            "classes": {name: _class_report(counted, name) for name in classes},
        }
        if fault_at_s is not None:
            report["dip"] = self._dip(fault_at_s)
        return report

    def _dip(self, fault_at_s: float) -> dict[str, float]:
        """Return depth and length of the dip in hit rate, and the worst window's p95 latency."""
        before = [
            item
            for item in self.records
            if self._warm_up_s <= item.arrived_s < fault_at_s and item.done_s < fault_at_s
        ]
        after = [item for item in self.records if item.arrived_s >= fault_at_s]
        base = _hit_rate(before)
        windows: dict[int, list[RequestRecord]] = defaultdict(list)
        for item in after:
            windows[int((item.arrived_s - fault_at_s) / _WINDOW_S)].append(item)
        rates = {number: _hit_rate(items) for number, items in windows.items()}
        dipped = [number for number, rate in rates.items() if rate < _DIP_SHARE * base]
        worst_tail = max(
            (percentile([item.first_token_s for item in items], 95) for items in windows.values()),
            default=0.0,
        )
        return {
            "hit_rate_before": base,
            "hit_rate_lowest": min(rates.values(), default=0.0),
            "seconds_below_90_percent": len(dipped) * _WINDOW_S,
            "worst_window_first_token_p95_s": worst_tail,
        }


def _hit_rate(items: list[RequestRecord]) -> float:
    prompt = sum(item.prompt_tokens for item in items)
    return sum(item.cached_tokens for item in items) / prompt if prompt else 0.0


def _class_report(records: list[RequestRecord], name: str) -> dict[str, float]:
    selected = [item for item in records if item.traffic_class == name]
    first = [item.first_token_s for item in selected]
    whole = [item.done_s - item.arrived_s for item in selected]
    return {
        "finished": len(selected),
        "first_token_p50_s": percentile(first, 50),
        "first_token_p95_s": percentile(first, 95),
        "first_token_p99_s": percentile(first, 99),
        "first_token_max_s": max(first, default=0.0),
        "whole_p95_s": percentile(whole, 95),
    }


def percentile(values: list[float], level: float) -> float:
    """Return the percentile ``level`` (0 to 100) by rank, or 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * level / 100))]
