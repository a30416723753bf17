"""The tables of measured days: causes of late answers from log lines, changes over paired runs."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from benchmarks.what_binds import (
    by_day,
    late_causes,
    mean_and_half_width,
    print_causes,
    print_change,
    print_scores,
    read_runs,
)


def sent(request_id: str, cost_s: float, prefill_tokens: int) -> str:
    return (
        f"1.0 n event=request_sent id={request_id} cost_s={cost_s} "
        f"unread={prefill_tokens} weights=1"
    )


def done(request_id: str, first_event_s: float, longest_gap_s: float = 0.0) -> str:
    return (
        f"2.0 n event=request_done id={request_id} outcome=delivered_200 took_s=1.0 "
        f"first_event_s={first_event_s} longest_gap_s={longest_gap_s}"
    )


def report(score: float) -> dict[str, object]:
    return {
        "G": score,
        "served": 0.9,
        "parts": [["whole day", 0.4, 0.9]],
        "prices": [["loads", 3.0, 0.02]],
        "unserved_by": [["deadline", 3, ["line"]]],
        "breaks": {},
    }


class LateCausesTest(unittest.TestCase):
    def test_late_answers_are_counted_by_cause(self) -> None:
        lines = [
            sent("a", 0.9, 1_000),
            done("a", 0.8),
            sent("b", 0.3, 12_000),
            done("b", 0.8),
            sent("c", 0.1, 1_000),
            done("c", 0.8),
            sent("d", 0.1, 1_000),
            done("d", 0.1, 0.7),
            sent("e", 0.1, 1_000),
            done("e", 0.1),
            done("unknown", 0.9),
        ]
        causes = {"queue, foreseen": 1, "own prompt": 1, "not foreseen": 1, "long gap": 1}
        self.assertEqual(late_causes(lines), causes)


class TablesTest(unittest.TestCase):
    def test_tables_of_one_folder_and_of_changes_against_another(self) -> None:
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory() as base:
            for seed, before, after in ((1, 0.5, 0.6), (2, 0.6, 0.8)):
                Path(folder, f"scale-1-{seed}.json").write_text(json.dumps(report(after)))
                Path(base, f"scale-1-{seed}.json").write_text(json.dumps(report(before)))
            Path(folder, "scale-1-1.log").write_text(sent("a", 0.9, 1_000) + "\n" + done("a", 0.8))
            days = by_day(read_runs(Path(folder)))
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                print_scores(days)
                print_causes(days)
                print_change(days, read_runs(Path(base)))
        text = out.getvalue()
        self.assertIn("| scale-1 | 2 | 0.700 (0.600) | 0.900 |", text)
        self.assertIn("| scale-1 | deadline 3.0 | queue, foreseen 0.5 | 0 |", text)
        self.assertIn("| all | 2 | +0.150 ± ", text)

    def test_one_value_has_no_interval(self) -> None:
        mean, half_width = mean_and_half_width([0.25])
        self.assertEqual((mean, half_width == half_width), (0.25, False))
