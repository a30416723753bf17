"""`winchfork experiment`: virtual-time experiments."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from winchfork.cli.output import EXIT_OK, EXIT_USAGE, print_failure, print_table
from winchfork.core.policies.registry import DEFAULT_POLICY
from winchfork.emulator.capacity import CAPACITY_SIZES, measure_capacity, render_capacity
from winchfork.emulator.comparison import compare_with_baselines, plot, summarize, table_rows
from winchfork.emulator.experiment import (
    FAULTS,
    ExperimentOptions,
    Fault,
    parse_fault,
    policy_names,
    run_experiment,
)
from winchfork.emulator.target import TargetOptions, run_target
from winchfork.emulator.workload import DEPLOYMENTS
from winchfork.errors import Failure

_TARGET = "target"


def add_parsers(commands: Any) -> None:
    """Add the subcommands."""
    experiment = commands.add_parser("experiment", help="run experiments in virtual time")
    actions = experiment.add_subparsers(dest="action", required=True, metavar="ACTION")
    run = actions.add_parser(
        "run",
        help="run one profile under one policy",
        description="Runs in virtual time; the same options give the same figures. The profile "
        "`target` runs one region at its planned size in two years, for at most 20 s; it ignores "
        "--policy, --rate and --fault.",
    )
    run.add_argument("--profile", choices=[*sorted(DEPLOYMENTS), _TARGET], required=True)
    run.add_argument("--policy", choices=policy_names(), default=DEFAULT_POLICY)
    run.add_argument("--seed", type=int, default=1)
    _common(run)
    run.add_argument("--json", metavar="FILE", help="write the report as JSON")
    run.set_defaults(run=_run)
    compare = actions.add_parser(
        "compare",
        help="compare policies over the same seeds",
        description="Runs every policy, or those named by --policy, with the same seeds and "
        "prints a table with 95 % confidence intervals.",
    )
    compare.add_argument("--profile", choices=sorted(DEPLOYMENTS), required=True)
    compare.add_argument("--policy", action="append", choices=policy_names(), help="repeatable")
    compare.add_argument("--seeds", type=int, default=5)
    _common(compare)
    compare.add_argument(
        "--reports", metavar="DIR", help="reuse reports in this folder, and write new ones to it"
    )
    compare.add_argument("--plot", metavar="FILE", help="write a PNG")
    compare.set_defaults(run=_compare)
    capacity = actions.add_parser(
        "capacity",
        help="measure the figures in docs/CAPACITY.md",
        description="Measures each role's memory, messages, bytes and processor time at several "
        "sizes and fits a line to each.",
    )
    capacity.add_argument("--sizes", type=int, nargs="+", default=list(CAPACITY_SIZES))
    capacity.add_argument("--json", metavar="FILE")
    capacity.set_defaults(run=_capacity)


def _common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--duration", type=float, default=240.0, metavar="S")
    parser.add_argument("--rate", type=float, default=1.0, help="factor on the profile's arrivals")
    parser.add_argument(
        "--fault",
        action="append",
        default=[],
        metavar="NAME@S",
        help=f"inject a fault: {', '.join(FAULTS)}",
    )


def _faults(texts: list[str]) -> tuple[Fault, ...] | Failure:
    faults: list[Fault] = []
    for text in texts:
        fault = parse_fault(text)
        if isinstance(fault, Failure):
            return fault
        faults.append(fault)
    return tuple(faults)


def _run(arguments: argparse.Namespace) -> int:
    faults = _faults(arguments.fault)
    if isinstance(faults, Failure):
        print_failure(faults)
        return EXIT_USAGE
    if arguments.profile == _TARGET:
        report = run_target(
            TargetOptions(seed=arguments.seed, duration_s=min(arguments.duration, 20.0))
        )
    else:
        report = run_experiment(_options(arguments, arguments.policy, arguments.seed, faults))
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report, indent=2))
    return EXIT_OK


def _options(
    arguments: argparse.Namespace, policy: str, seed: int, faults: tuple[Fault, ...]
) -> ExperimentOptions:
    return ExperimentOptions(
        profile=arguments.profile,
        policy=policy,
        seed=seed,
        duration_s=arguments.duration,
        rate=arguments.rate,
        faults=faults,
    )


def _compare(arguments: argparse.Namespace) -> int:
    faults = _faults(arguments.fault)
    if isinstance(faults, Failure):
        print_failure(faults)
        return EXIT_USAGE
    reports: list[dict[str, Any]] = []
    for policy in arguments.policy or policy_names():
        for seed in range(1, arguments.seeds + 1):
            options = _options(arguments, policy, seed, faults)
            reports.append(_report_for(options, arguments.reports))
            print(f"\r{policy} seed {seed}    ", end="", file=sys.stderr)
    print(file=sys.stderr)
    summary = summarize(reports)
    headings, rows = table_rows(summary)
    print_table(headings, rows)
    print()
    for line in compare_with_baselines(summary, DEFAULT_POLICY):
        print(line)
    if arguments.plot:
        title = f"{arguments.profile}, {arguments.seeds} seeds, {' '.join(arguments.fault)}"
        plot(summary, arguments.plot, title)
    return EXIT_OK


def _report_for(options: ExperimentOptions, directory: str | None) -> dict[str, Any]:
    """Run the experiment, or load the stored report of an earlier run with the same options."""
    if directory is None:
        return run_experiment(options)
    faults = "-".join(f"{fault.name}@{fault.at_s:g}" for fault in options.faults) or "none"
    name = f"{options.profile}-{options.policy}-{options.seed}-{options.duration_s:g}"
    path = Path(directory) / f"{name}-{options.rate:g}-{faults}.json"
    if path.exists():
        report: dict[str, Any] = json.loads(path.read_text())
        return report
    path.parent.mkdir(parents=True, exist_ok=True)
    report = run_experiment(options)
    path.write_text(json.dumps(report, indent=2) + "\n")
    return report


def _capacity(arguments: argparse.Namespace) -> int:
    report = measure_capacity(tuple(arguments.sizes))
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(report, indent=2) + "\n")
    print(render_capacity(report))
    return EXIT_OK
