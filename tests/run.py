"""Runs every test and ends with the line `N passed, N failed`.

Tests listed in KNOWN-RED.txt (one line each: test, cause, issue) are run and printed, but do not
change the exit status. Modules that only compute, and those that take long in real time, run in
separate processes, in parallel with the others.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import io
import multiprocessing
import sys
import unittest
from pathlib import Path

from winchfork.logs import configure_logs

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_TESTS = _ROOT / "tests"
#: Modules that use no sockets, processes or real time, the longest first.
CPU_BOUND_MODULES = (
    "test_claim_spec",
    "test_quota_fleet",
    "test_zone_hubs",
    "test_software_rollout",
    "test_software_failures",
    "test_region_fleet",
    "test_limit_fleet",
    "test_limit_share",
    "test_leadership_after_restore",
    "test_store_restore",
    "test_version_record",
    "test_restored_entries",
    "test_brittle_fleet",
    "test_odd_entries",
)
#: Modules that take long in real time, the longest first. Their sockets have ports of their own.
LONG_MODULES = (
    "test_crashing_parts",
    "test_mixed_software",
    "test_stale_replica_lists",
    "test_returned_replicas",
    "test_unproven_replicas",
    "test_suspended_routers",
    "test_killed_fleet_of_two_versions",
    "test_proven_connections",
    "test_routers_without_replicas",
    "test_brittle_replicas",
    "test_killed_fleet",
    "test_backup_attempts",
    "test_attempt_orders",
    "test_endless_answers",
    "test_planned_stops",
    "test_memory_limit",
    "test_odd_values_whole",
)
#: Modules that run in separate processes, and the number of these beside the main one.
SEPARATE_MODULES = (*LONG_MODULES, *CPU_BOUND_MODULES)
SEPARATE_PROCESSES = 3


@dataclasses.dataclass(frozen=True)
class SuiteResult:
    """The result of some modules' tests; ``failed_ids`` holds the ids of those that failed."""

    ran: int
    failed_ids: tuple[str, ...]
    skipped: int
    output: str = ""

    @property
    def passed(self) -> int:
        """Tests that ran and did not fail."""
        return self.ran - len(self.failed_ids) - self.skipped


def known_red() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def run_modules(modules: list[str], output: io.StringIO | None = None) -> SuiteResult:
    """Run the tests of some modules; the runner prints to ``output`` if given."""
    configure_logs("error")
    suite = unittest.defaultTestLoader.loadTestsFromNames([f"tests.{name}" for name in modules])
    result = unittest.TextTestRunner(stream=output, verbosity=1).run(suite)
    failed_ids = [test.id() for test, _ in (*result.failures, *result.errors)]
    failed_ids += [test.id() for test in result.unexpectedSuccesses]
    text = output.getvalue() if output is not None else ""
    return SuiteResult(result.testsRun, tuple(failed_ids), len(result.skipped), text)


def run_captured(module: str) -> SuiteResult:
    """Run one module in this process and capture its output."""
    return run_modules([module], io.StringIO())


def run_all() -> list[SuiteResult]:
    """Run every module of the folder."""
    modules = sorted(path.stem for path in _TESTS.glob("test_*.py"))
    others = [name for name in modules if name not in SEPARATE_MODULES]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(SEPARATE_PROCESSES, context) as pool:
        separate = [pool.submit(run_captured, name) for name in SEPARATE_MODULES]
        in_process = run_modules(others)
        return [in_process, *(future.result() for future in separate)]


def outcome_of(name: str, failed_ids: list[str]) -> str:
    """Return the outcome of a listed test; a listed command is not run here."""
    if not name.startswith("tests."):
        return "not run here"
    return "failed" if name in failed_ids else "passed"


def main() -> int:
    """Run the tests; return 0 when every test outside KNOWN-RED.txt passed."""
    results = run_all()
    for result in results[1:]:
        print(result.output, file=sys.stderr)
    failed_ids = [name for result in results for name in result.failed_ids]
    red = known_red()
    for name in sorted(red):
        print(f"known red: {name} ({outcome_of(name, failed_ids)})")
    failed = [name for name in failed_ids if name not in red]
    sys.stderr.flush()
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(failed)} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
