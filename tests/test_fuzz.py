"""Runs the rule-based machines at a size for CI; derandomized, so that runs are repeatable."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from tests.fuzz_machines import MACHINES


class FuzzTest(unittest.TestCase):
    def _run(self, machine: type[RuleBasedStateMachine]) -> None:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=60,
                stateful_step_count=50,
                derandomize=True,
                database=None,
                deadline=None,
            ),
        )


def _add(machine: type[RuleBasedStateMachine]) -> None:
    def test(self: FuzzTest) -> None:
        self._run(machine)

    setattr(FuzzTest, f"test_{machine.__name__}", test)


for _machine in MACHINES:
    _add(_machine)

if __name__ == "__main__":
    unittest.main()
