"""`winchfork plot`: aggregation of routers' log events, and the errors of the command."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from tests.test_log_explanation import line
from winchfork.cli.day_figures import (
    DayFigures,
    Mark,
    StoreUnreachablePeriod,
    figures_of_day,
    outcome_group,
)
from winchfork.cli.log_reading import read_events
from winchfork.cli.main import main

#: Three seconds of two routers' lines; both lose the store, and only the first regains it.
ONE = [
    line(10.0, "request_sent", id="a", replica="i-1"),
    line(10.2, "request_done", id="a", outcome="delivered_200", first_event_s=0.1),
    line(10.3, "request_done", id="b", outcome="delivered_200", first_event_s=0.3),
    line(11.0, "store_lost", reason="no answer"),
    line(11.1, "weights_named", version=2),
    line(12.5, "request_refused", id="c", code="configuration_stale"),
    line(12.6, "store_regained"),
    "not a line of the router",
]
TWO = [
    line(11.4, "weights_named", version=2),
    line(11.5, "request_sent", id="d", replica="i-2"),
    line(11.6, "request_sent", id="d", replica="i-1"),
    line(11.9, "request_done", id="d", outcome="outcome_unknown"),
    line(12.0, "store_lost", reason="no answer"),
]


def day() -> DayFigures:
    figures = figures_of_day([*read_events("one", ONE), *read_events("two", TWO)])
    assert figures is not None
    return figures


class DayFiguresTest(unittest.TestCase):
    def test_requests_are_counted_by_second_and_outcome(self) -> None:
        figures = day()
        self.assertEqual(figures.seconds, 3)
        self.assertEqual(figures.outcomes["served"], {0: 2})
        self.assertEqual(figures.outcomes["refused"], {2: 1})
        self.assertEqual(figures.outcomes["failed"], {1: 1})
        self.assertEqual(figures.sent["i-1"], {0: 1, 1: 1})
        self.assertEqual(figures.busiest(1), ["i-1"])

    def test_outcomes_are_grouped_by_prefix(self) -> None:
        expected = {
            "delivered_200": "served",
            "passed_on_500": "failed",
            "no_replica": "refused",
            "deadline_exceeded": "failed",
            "caller_left": "left by callers",
        }
        self.assertEqual({name: outcome_group(name) for name in expected}, expected)

    def test_quantiles_of_the_time_to_first_event(self) -> None:
        figures = day()
        self.assertEqual(figures.first_event_at(0, 0.0), 0.1)
        self.assertEqual(figures.first_event_at(0, 0.95), 0.3)
        self.assertIsNone(figures.first_event_at(1, 0.5))

    def test_an_event_logged_by_several_daemons_is_marked_once(self) -> None:
        self.assertEqual(day().marks, (Mark(1, "weights_named", "2"),))

    def test_periods_without_the_store_are_kept_per_daemon(self) -> None:
        first, second = day().store_unreachable
        self.assertEqual((first.source, round(first.until_s or 0.0, 3)), ("one", 2.6))
        self.assertEqual(second, StoreUnreachablePeriod("two", second.from_s, None))

    def test_no_events_give_no_figures(self) -> None:
        self.assertIsNone(figures_of_day([]))


class PlotCommandTest(unittest.TestCase):
    def plot(self, lines: list[str], out: str) -> tuple[int, str]:
        errors = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "one.log"
            log.write_text("\n".join(lines))
            image = Path(folder) / out
            with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(errors):
                code = main(["plot", "--log", str(log), "--out", str(image)])
            if code == 0:
                self.assertGreater(image.stat().st_size, 10_000)
        return code, errors.getvalue()

    def test_an_image_is_written(self) -> None:
        self.assertEqual(self.plot([*ONE, *TWO], "day.png")[0], 0)

    def test_a_log_without_events_and_an_unwritable_image_are_reported(self) -> None:
        code, errors = self.plot(["nothing"], "day.png")
        self.assertEqual(code, 1)
        self.assertIn("is a router's log event", errors)
        for out in ("missing/day.png", "day.unknown"):
            code, errors = self.plot(ONE, out)
            self.assertEqual(code, 1)
            self.assertIn("--out", errors)
