"""Check the specifications and their mutants: ``python -m spec.check [--deep]``.

The exit code is 0 only if every invariant holds in all reachable states, every required situation
is reachable (and every excluded one is not), and every mutant violates an invariant.
"""

from __future__ import annotations

import argparse
import dataclasses
import sys
import time
from collections.abc import Callable
from typing import Any

from minicheck import Protocol, check_safety

from spec import (
    claim_spec,
    clock_spec,
    panel_spec,
    quota_spec,
    relay_spec,
    rollout_spec,
    stream_spec,
    suspension_spec,
    version_record_spec,
)

_MAX_STATES = 6_000_000
#: Mutants need no exhaustive search: a counterexample in a part of the states is valid, and a
#: breadth-first search finds the shortest first.
_MUTANT_STATES = 80_000


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """The result of one check; ``states`` is the number of states explored."""

    name: str
    states: int
    exhaustive: bool
    passed: bool
    detail: str
    seconds: float


def check_holds(name: str, protocol: Protocol) -> list[CheckResult]:
    """Check that every invariant of a protocol holds in all reachable states."""
    started = time.perf_counter()
    report = check_safety(protocol, max_states=_MAX_STATES)
    seconds = time.perf_counter() - started
    return [
        CheckResult(
            f"{name}: {invariant}",
            report["reachable_states"],
            bool(report["exhaustive"]),
            result["holds"] is True,
            "holds" if result["holds"] is True else f"fails: {_labels(result)}",
            seconds,
        )
        for invariant, result in report["properties"].items()
    ]


def check_violated(name: str, protocol: Protocol) -> CheckResult:
    """Check that a mutant violates an invariant; the detail is the shortest counterexample."""
    started = time.perf_counter()
    report = check_safety(protocol, max_states=_MUTANT_STATES)
    violated = [
        (len(result["counterexample"]), invariant, result)
        for invariant, result in report["properties"].items()
        if result["holds"] is False
    ]
    seconds = time.perf_counter() - started
    states = report["reachable_states"]
    if not violated:
        return CheckResult(f"mutant {name}", states, False, False, "NOT FOUND", seconds)
    _, invariant, result = min(violated, key=lambda item: item[:2])
    detail = f"violates {invariant} in {len(result['counterexample']) - 1} steps: "
    return CheckResult(f"mutant {name}", states, False, True, detail + _labels(result), seconds)


def check_reachable(
    prefix: str,
    protocol: Protocol,
    situations: dict[str, Callable[[dict[str, Any]], bool]],
    *,
    expect_reachable: bool = True,
) -> list[CheckResult]:
    """Check in one search that situations are reachable, or that they are not."""
    negated = {name: _negate(situation) for name, situation in situations.items()}
    started = time.perf_counter()
    report = check_safety(dataclasses.replace(protocol, invariants=negated), max_states=_MAX_STATES)
    seconds = time.perf_counter() - started
    results: list[CheckResult] = []
    for name, result in report["properties"].items():
        reached = result["holds"] is False
        detail = f"reached: {_labels(result)}" if reached else "unreachable"
        passed = reached if expect_reachable else result["holds"] is True
        states, exhaustive = report["reachable_states"], bool(report["exhaustive"])
        results.append(CheckResult(prefix + name, states, exhaustive, passed, detail, seconds))
    return results


def _negate(situation: Callable[[dict[str, Any]], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda state: not situation(state)


def _labels(result: dict[str, Any]) -> str:
    steps = result.get("counterexample") or []
    labels = [str(step.get("label") or "") for step in steps]
    return " > ".join(label for label in labels if label and label != "None")


def run_checks(*, deep: bool) -> list[CheckResult]:
    """Run every check; ``deep`` raises the bounds on time and on restarts."""
    results: list[CheckResult] = []
    horizon = 12 if deep else 6
    results += check_holds("clock", clock_spec.clock_protocol(clock_spec.ClockRules(horizon)))
    suspension = suspension_spec.suspension_protocol(suspension_spec.SuspensionRules(horizon))
    results += check_holds("suspension", suspension)
    claim = claim_spec.claim_protocol(claim_spec.ClaimRules())
    results += check_holds("claim", claim)
    results += check_reachable("claim can: ", claim, claim_spec.WITNESSES)
    panel_rules = panel_spec.PanelRules(max_restarts=3 if deep else 2)
    results += check_holds("panel", panel_spec.panel_protocol(panel_rules))
    relay_rules = relay_spec.RelayRules(horizon=4 if deep else 3)
    results += check_holds("relay", relay_spec.relay_protocol(relay_rules))
    results += check_holds("quota", quota_spec.quota_protocol(quota_spec.QuotaRules()))
    results += check_holds("rollout", rollout_spec.rollout_protocol(rollout_spec.RolloutRules()))
    stream_rules = stream_spec.StreamRules(horizon=5 if deep else 4)
    stream = stream_spec.stream_protocol(stream_rules)
    results += check_holds("stream", stream)
    results += check_reachable("stream can: ", stream, stream_spec.WITNESSES)
    record = version_record_spec.version_record_protocol(version_record_spec.VersionRecordRules())
    results += check_holds("version record", record)
    results += check_reachable("version record can: ", record, version_record_spec.WITNESSES)
    results += _availability()
    for name, clock_rules in clock_spec.MUTANTS.items():
        results.append(check_violated(name, clock_spec.clock_protocol(clock_rules)))
    for name, suspension_rules in suspension_spec.MUTANTS.items():
        results.append(check_violated(name, suspension_spec.suspension_protocol(suspension_rules)))
    for name, relay_mutant in relay_spec.MUTANTS.items():
        results.append(check_violated(name, relay_spec.relay_protocol(relay_mutant)))
    for name, quota_mutant in quota_spec.MUTANTS.items():
        results.append(check_violated(name, quota_spec.quota_protocol(quota_mutant)))
    for name, stream_mutant in stream_spec.MUTANTS.items():
        results.append(check_violated(name, stream_spec.stream_protocol(stream_mutant)))
    for name, record_mutant in version_record_spec.MUTANTS.items():
        mutant = version_record_spec.version_record_protocol(record_mutant)
        results.append(check_violated(name, mutant))
    for name, rollout_mutant in rollout_spec.MUTANTS.items():
        results.append(check_violated(name, rollout_spec.rollout_protocol(rollout_mutant)))
    for name, claim_rules in claim_spec.MUTANTS.items():
        results.append(check_violated(name, claim_spec.claim_protocol(claim_rules)))
    for name, mutant_rules in panel_spec.MUTANTS.items():
        results.append(check_violated(name, panel_spec.panel_protocol(mutant_rules)))
    return results


def _availability() -> list[CheckResult]:
    """Check after which restarts a majority can still vote, with the store up and down."""
    results: list[CheckResult] = []
    for restarted in (1, 2, 3):
        for store_up in (True, False):
            rules = panel_spec.PanelRules(
                max_restarts=0, starts_restarted=restarted, store_up=store_up
            )
            store = "up" if store_up else "down"
            results += check_reachable(
                f"panel, {restarted} of 3 restarted, store {store}: ",
                panel_spec.panel_protocol(rules),
                {"majority_can_vote": _majority_can_vote},
                expect_reachable=store_up or restarted == 1,
            )
    return results


def _majority_can_vote(state: dict[str, Any]) -> bool:
    return panel_spec.voters_able_to_vote(state) >= panel_spec.MAJORITY


def main() -> int:
    """Run all checks, print their results and return the exit code."""
    parser = argparse.ArgumentParser(description="Check the specifications and their mutants.")
    parser.add_argument("--deep", action="store_true", help="allow more restarts and a longer time")
    results = run_checks(deep=parser.parse_args().deep)
    for result in results:
        verdict = "ok  " if result.passed else "FAIL"
        scope = "exhaustive" if result.exhaustive else "until found"
        print(
            f"{verdict} {result.name}  [{result.states} states, {scope}, {result.seconds:.1f} s]\n"
            f"       {result.detail}"
        )
    failed = [result for result in results if not result.passed]
    print(f"{len(results) - len(failed)} checks ok, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
