"""Prints where measured days lose score: parts, prices, and unserved and late requests by cause.

    python -m benchmarks.what_binds FOLDER [--base OTHER_FOLDER]

Reads the report of each run (``DAY-SEED.json``) and, where it exists, the routers' log of the same
run (``DAY-SEED.log``), and prints Markdown tables. With ``--base``, also prints the change of the
score against runs of the same days and seeds in the other folder, with the half-width of its 95 %
confidence interval.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import math
import re
import statistics
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

#: Two-sided 95 % quantiles of Student's t by degrees of freedom; 2 for others.
_T95 = {1: 12.7, 2: 4.3, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26, 14: 2.14}
#: Mean prices below this share of the score are left out of the table.
_MIN_PRICE = 0.004
#: A first event after, or a gap of, more than these seconds counts as late.
_LATE_S = 0.5
#: Seconds of expected queueing, or of the prompt's own prefill, that explain a late first event.
_QUEUE_S = 0.3
_OWN_PREFILL_S = 0.25
_PREFILL_TOKENS_PER_S = 40_000.0
_PAIR = re.compile(r'(\w+)=("[^"]*"|\S+)')


@dataclasses.dataclass(frozen=True)
class MeasuredRun:
    """One run of a day: seed, report, and the number of late answers by cause, from the log."""

    day: str
    seed: str
    report: Mapping[str, Any]
    late: Mapping[str, int]

    @property
    def score(self) -> float:
        """The run's score after prices."""
        return float(self.report["G"])

    @property
    def parts(self) -> dict[str, float]:
        """The parts of the score, by name."""
        return {name: value for name, _, value in self.report["parts"]}

    @property
    def prices(self) -> dict[str, float]:
        """The prices, as shares of the score, by name."""
        return {name: charge for name, _, charge in self.report["prices"]}


def read_runs(folder: Path) -> list[MeasuredRun]:
    """Read every report of a folder, with its log if there is one."""
    runs = []
    for path in sorted(folder.glob("*.json")):
        day, _, seed = path.stem.rpartition("-")
        log = path.with_suffix(".log")
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        runs.append(MeasuredRun(day, seed, json.loads(path.read_text()), late_causes(lines)))
    return runs


def late_causes(lines: Iterable[str]) -> dict[str, int]:
    """Count late first events by the cause that their placement shows, and long gaps."""
    sent: dict[str, dict[str, str]] = {}
    causes: collections.Counter[str] = collections.Counter()
    for line in lines:
        if "event=request_sent" in line:
            fields = dict(_PAIR.findall(line))
            sent.setdefault(fields["id"], fields)
        elif "event=request_done" in line:
            fields = dict(_PAIR.findall(line))
            cause = _late_cause(sent.get(fields["id"]), fields)
            if cause:
                causes[cause] += 1
    return dict(causes)


def _late_cause(sent: Mapping[str, str] | None, done: Mapping[str, str]) -> str:
    if sent is None or "first_event_s" not in done:
        return ""
    if float(done["first_event_s"]) <= _LATE_S:
        return "long gap" if float(done.get("longest_gap_s", 0.0)) > _LATE_S else ""
    prefill_s = int(sent["unread"]) / _PREFILL_TOKENS_PER_S
    if float(sent["cost_s"]) - prefill_s > _QUEUE_S:
        return "queue, foreseen"
    return "own prompt" if prefill_s > _OWN_PREFILL_S else "not foreseen"


def mean_and_half_width(values: list[float]) -> tuple[float, float]:
    """Return the mean and the half-width of its 95 % interval, which is NaN for one value."""
    if len(values) < 2:
        return statistics.fmean(values), math.nan
    spread = statistics.stdev(values) / math.sqrt(len(values))
    return statistics.fmean(values), _T95.get(len(values) - 1, 2.0) * spread


def by_day(runs: Iterable[MeasuredRun]) -> dict[str, list[MeasuredRun]]:
    """Return the runs of each day, by its name."""
    days: dict[str, list[MeasuredRun]] = collections.defaultdict(list)
    for run in runs:
        days[run.day].append(run)
    return days


def print_scores(days: Mapping[str, list[MeasuredRun]]) -> None:
    """Print the means of score, parts and prices of each day over its runs."""
    print("| day | runs | score (min) | served | parts | prices |")
    print("| --- | --- | --- | --- | --- | --- |")
    for day, runs in days.items():
        scores = [run.score for run in runs]
        served = statistics.fmean(run.report["served"] for run in runs)
        parts = _means([run.parts for run in runs], 0.0)
        prices = _means([run.prices for run in runs], _MIN_PRICE)
        total = statistics.fmean(sum(run.prices.values()) for run in runs)
        print(
            f"| {day} | {len(runs)} | {statistics.fmean(scores):.3f} ({min(scores):.3f}) "
            f"| {served:.3f} | {_listed(parts)} | {total:.3f}: {_listed(prices)} |"
        )


def _means(tables: list[dict[str, float]], min_mean: float) -> dict[str, float]:
    names = {name: None for table in tables for name in table}
    means = {name: statistics.fmean(table.get(name, 0.0) for table in tables) for name in names}
    ordered = sorted(means.items(), key=lambda pair: -pair[1])
    return {name: mean for name, mean in ordered if mean >= min_mean}


def _listed(values: Mapping[str, float]) -> str:
    return ", ".join(f"{name} {value:.3f}" for name, value in values.items())


def print_causes(days: Mapping[str, list[MeasuredRun]]) -> None:
    """Print unserved and late requests per run by cause, and the runs that broke a rule."""
    print("\n| day | unserved per run, by cause | late per run, by cause | runs with breaks |")
    print("| --- | --- | --- | --- |")
    for day, runs in days.items():
        unserved: collections.Counter[str] = collections.Counter()
        late: collections.Counter[str] = collections.Counter()
        for run in runs:
            unserved.update({cause: count for cause, count, _ in run.report["unserved_by"]})
            late.update(run.late)
        broken = sum(1 for run in runs if run.report["breaks"])
        print(f"| {day} | {_counts(unserved, runs)} | {_counts(late, runs)} | {broken} |")


def _counts(counts: collections.Counter[str], runs: list[MeasuredRun]) -> str:
    return ", ".join(f"{name} {count / len(runs):.1f}" for name, count in counts.most_common())


def print_change(days: Mapping[str, list[MeasuredRun]], base: Iterable[MeasuredRun]) -> None:
    """Print the mean change of the score of each day against base runs of the same seeds."""
    before = {(run.day, run.seed): run.score for run in base}
    print("\n| day | pairs | change of the score |\n| --- | --- | --- |")
    all_changes: list[float] = []
    for day, runs in days.items():
        changes = [
            run.score - before[run.day, run.seed] for run in runs if (run.day, run.seed) in before
        ]
        all_changes += changes
        if changes:
            print(
                "| {} | {} | {:+.3f} ± {:.3f} |".format(
                    day, len(changes), *mean_and_half_width(changes)
                )
            )
    if all_changes:
        print(
            "| all | {} | {:+.3f} ± {:.3f} |".format(
                len(all_changes), *mean_and_half_width(all_changes)
            )
        )


def main() -> None:
    """Print the tables for the folders named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--base", type=Path)
    options = parser.parse_args()
    days = by_day(read_runs(options.folder))
    print_scores(days)
    print_causes(days)
    if options.base is not None:
        print_change(days, read_runs(options.base))


if __name__ == "__main__":
    main()
