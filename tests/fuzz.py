"""Long fuzzing: `python -m tests.fuzz --seconds N [--seed S]`; prints steps and faults by kind."""

from __future__ import annotations

import argparse
import sys
import time

import hypothesis
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz_machines import COUNTS, MACHINES

_EXAMPLES_PER_ROUND = 40


def main() -> int:
    """Fuzz until the time is up or a round finds violations; return 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    started_s = time.monotonic()
    seed = arguments.seed
    violations = 0
    while time.monotonic() - started_s < arguments.seconds and not violations:
        for machine in MACHINES:
            seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
            try:
                run_state_machine_as_test(
                    seeded,
                    settings=settings(
                        max_examples=_EXAMPLES_PER_ROUND,
                        stateful_step_count=80,
                        database=None,
                        deadline=None,
                        phases=[hypothesis.Phase.generate],
                    ),
                )
            except AssertionError as error:
                violations += 1
                print(f"VIOLATION in {machine.__name__}, seed {seed}: {error}")
        seed += 1
    steps = COUNTS.pop("step", 0)
    print(f"{time.monotonic() - started_s:.0f} s, seeds {arguments.seed} to {seed - 1}")
    print(f"{steps} steps, {sum(COUNTS.values())} faults, {violations} violations")
    for kind, count in sorted(COUNTS.items()):
        print(f"  {kind}: {count}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
