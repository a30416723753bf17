"""Experiments are deterministic and lose no request; prefix-aware placement beats round-robin."""

from __future__ import annotations

import unittest
from typing import Any

from winchfork.emulator.experiment import ExperimentOptions, Fault, run_experiment


def _run(policy: str, *faults: Fault) -> dict[str, Any]:
    options = ExperimentOptions(
        "vigie", policy, seed=3, duration_s=40.0, warm_up_s=10.0, faults=faults
    )
    report = run_experiment(options)
    del report["wall_s"]
    return report


class ExperimentTest(unittest.TestCase):
    def test_same_options_give_the_same_figures(self) -> None:
        fault = Fault("engine-crash", 20.0)
        self.assertEqual(_run("expected-time", fault), _run("expected-time", fault))

    def test_every_request_ends_under_each_fault(self) -> None:
        for name in ("engine-crash", "zone-cut", "herd-restart", "stale-events", "rollout"):
            report = _run("expected-time", Fault(name, 15.0))
            self.assertEqual((name, report["unfinished"], report["lost"]), (name, 0, 0))

    def test_prefix_aware_placement_beats_round_robin(self) -> None:
        prefix_aware, round_robin = _run("expected-time"), _run("round-robin")
        self.assertGreater(prefix_aware["hit_rate"], round_robin["hit_rate"] + 0.1)
        self.assertLess(prefix_aware["wasted_share"], round_robin["wasted_share"] / 2)


if __name__ == "__main__":
    unittest.main()
