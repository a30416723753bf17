"""Runs every test and ends with the line `N passed, N failed`.

Tests named in KNOWN-RED.txt (one line each: test, cause, issue) are run and printed, and do not
decide the verdict. Modules that only compute, on virtual clocks and over state spaces, run beside
the others in a few processes of their own: alone they would take half of the time.
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
#: Modules without sockets, processes and waiting, the longest first.
COMPUTING_MODULES = (
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
    "test_restored_entries",
)
#: Processes for them: with the main one, half of the cores of a small machine.
COMPUTING_PROCESSES = 3


@dataclasses.dataclass(frozen=True)
class SuiteResult:
    """What some modules' tests came to; ``bad`` holds the ids of those that failed."""

    ran: int
    bad: tuple[str, ...]
    skipped: int
    output: str = ""

    @property
    def passed(self) -> int:
        """Tests that ran and did not fail."""
        return self.ran - len(self.bad) - self.skipped


def known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def run_modules(modules: list[str], output: io.StringIO | None = None) -> SuiteResult:
    """Run the tests of some modules; what the runner prints goes to ``output`` if given."""
    configure_logs("error")
    suite = unittest.defaultTestLoader.loadTestsFromNames([f"tests.{name}" for name in modules])
    result = unittest.TextTestRunner(stream=output, verbosity=1).run(suite)
    bad = [test.id() for test, _ in (*result.failures, *result.errors)]
    bad += [test.id() for test in result.unexpectedSuccesses]
    text = output.getvalue() if output is not None else ""
    return SuiteResult(result.testsRun, tuple(bad), len(result.skipped), text)


def run_captured(module: str) -> SuiteResult:
    """Run one module in this process and keep what is printed."""
    return run_modules([module], io.StringIO())


def run_all() -> list[SuiteResult]:
    """Run every module of the folder."""
    modules = sorted(path.stem for path in _TESTS.glob("test_*.py"))
    others = [name for name in modules if name not in COMPUTING_MODULES]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(COMPUTING_PROCESSES, context) as pool:
        apart = [pool.submit(run_captured, name) for name in COMPUTING_MODULES]
        here = run_modules(others)
        return [here, *(future.result() for future in apart)]


def outcome_of(name: str, bad: list[str]) -> str:
    """Return what became of a case that is known to fail; commands are run by hand."""
    if not name.startswith("tests."):
        return "not run here"
    return "failed" if name in bad else "passed"


def main() -> int:
    """Run the tests; 0 when every test outside KNOWN-RED.txt passed."""
    results = run_all()
    for result in results[1:]:
        print(result.output, file=sys.stderr)
    bad = [name for result in results for name in result.bad]
    red = known_red()
    for name in sorted(red):
        print(f"known red: {name} ({outcome_of(name, bad)})")
    failed = [name for name in bad if name not in red]
    sys.stderr.flush()
    passed = sum(result.passed for result in results)
    print(f"{passed} passed, {len(failed)} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
