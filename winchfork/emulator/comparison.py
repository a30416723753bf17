"""Compares policies over the same seeds: a table with confidence intervals, ratios, and a plot."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from winchfork.emulator.experiment import ORACLE

#: Two-sided 95 % quantiles of Student's t by degrees of freedom; ``_T95_MANY`` beyond the table.
_T95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26}
_T95_MANY = 2.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """A mean over seeds with the half-width of its 95 % confidence interval."""

    mean: float
    half_width: float

    def __str__(self) -> str:
        return f"{self.mean:.3f} ±{self.half_width:.3f}"


def estimate(values: list[float]) -> Estimate:
    """Return mean and half-width; the half-width is 0 for a single value."""
    count = len(values)
    mean = sum(values) / count
    if count < 2:
        return Estimate(mean, 0.0)
    variance = sum((value - mean) ** 2 for value in values) / (count - 1)
    quantile = _T95.get(count - 1, _T95_MANY)
    return Estimate(mean, quantile * math.sqrt(variance / count))


def measures_of(report: dict[str, Any]) -> dict[str, float]:
    """Return the figures of a report that are compared, by name."""
    measures = {
        "hit_rate": report["hit_rate"],
        "wasted_share": report["wasted_share"],
        "imported_blocks": report["imported_blocks_per_request"],
        "lost": float(report["lost"]),
        "dispatches_per_request": report["dispatches"] / max(1, report["requests"]),
    }
    for name, values in report["classes"].items():
        measures[f"{name}_first_token_p95_s"] = values["first_token_p95_s"]
        measures[f"{name}_first_token_p99_s"] = values["first_token_p99_s"]
        measures[f"{name}_first_token_max_s"] = values["first_token_max_s"]
    for name, value in report.get("dip", {}).items():
        measures[f"dip_{name}"] = value
    return measures


def summarize(reports: list[dict[str, Any]]) -> dict[str, dict[str, Estimate]]:
    """Return estimates by policy and name of figure."""
    by_policy: dict[str, list[dict[str, float]]] = {}
    for report in reports:
        by_policy.setdefault(report["options"]["policy"], []).append(measures_of(report))
    return {
        policy: {
            name: estimate([item[name] for item in measured if name in item])
            for name in measured[0]
        }
        for policy, measured in by_policy.items()
    }


def table_rows(summary: dict[str, dict[str, Estimate]]) -> tuple[list[str], list[list[str]]]:
    """Return headings and rows, best hit rate first."""
    names = list(next(iter(summary.values())))
    order = sorted(summary, key=lambda policy: -summary[policy]["hit_rate"].mean)
    rows = [[policy, *(str(summary[policy][name]) for name in names)] for policy in order]
    return ["policy", *names], rows


def compare_with_baselines(summary: dict[str, dict[str, Estimate]], product: str) -> list[str]:
    """Compare ``product`` with the oracle (hit rate) and the best baseline (other figures).

    Return a line per comparison; none if ``summary`` has no ``product``.
    """
    if product not in summary:
        return []
    own = summary[product]
    baselines = {name: row for name, row in summary.items() if name not in (product, ORACLE)}
    lines: list[str] = []
    if ORACLE in summary:
        share = own["hit_rate"].mean / summary[ORACLE]["hit_rate"].mean
        lines.append(f"hit rate is {share:.1%} of the oracle's")
    if not baselines:
        return lines
    for name in own:
        if name in ("hit_rate", "lost") or name.startswith("dip_hit"):
            continue
        best = min(baselines, key=lambda policy: baselines[policy][name].mean)
        best_mean = baselines[best][name].mean
        ratio = own[name].mean / best_mean if best_mean else float("nan")
        lines.append(f"{name}: {ratio:.2f} of the best baseline's ({best})")
    return lines


def plot(summary: dict[str, dict[str, Estimate]], path: str, title: str) -> None:
    """Plot hit rate, wasted share and p99 latencies with confidence intervals to ``path``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [
        name
        for name in next(iter(summary.values()))
        if name in ("hit_rate", "wasted_share") or name.endswith("_p99_s")
    ]
    policies = sorted(summary, key=lambda policy: -summary[policy]["hit_rate"].mean)
    figure, axes = pyplot.subplots(1, len(names), figsize=(4 * len(names), 4.5))
    for axis, name in zip(axes, names, strict=True):
        means = [summary[policy][name].mean for policy in policies]
        widths = [summary[policy][name].half_width for policy in policies]
        axis.barh(policies, means, xerr=widths)
        axis.set_title(name)
        if name.endswith("_s"):
            # Tail latencies differ by orders of magnitude between policies.
            axis.set_xscale("log")
        axis.invert_yaxis()
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
