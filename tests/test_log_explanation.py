"""`winchfork explain --log`: parsing of log lines, and selection of the events of one request."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from winchfork.cli.log_explanation import RequestExplanation, explain_request
from winchfork.cli.log_reading import LoggedEvent, read_events
from winchfork.cli.main import main
from winchfork.logs import configure_logs, format_event, log_event


def line(second: float, event: str, **fields: object) -> str:
    """Return a log line as a router writes it."""
    return f"time=2026-08-05T08:39:{second:06.3f}+00:00 level=INFO {format_event(event, fields)}"


#: A request that a replica refused, among other events of the same daemon.
LINES = [
    line(1.0, "replica_listed", replica="i-1", accepting=True),
    line(20.0, "replica_notice", replica="i-1", notice="backoff", backoff_s=3.0),
    line(20.5, "replica_notice", replica="i-2", notice="draining"),
    line(21.0, "request_sent", id="asked", replica="i-1", attempt=1),
    line(21.01, "request_sent", id="other", replica="i-1", attempt=1),
    "not a line of the router",
    line(
        21.1,
        "request_done",
        id="asked",
        outcome="overloaded",
        reason="replica answered 503",
        repeat_denied="sends",
    ),
    line(22.0, "store_lost", reason="no answer"),
]


def explained(request_id: str, *sources: tuple[str, list[str]]) -> RequestExplanation | None:
    events: list[LoggedEvent] = []
    for name, lines in sources:
        events += read_events(name, lines)
    return explain_request(events, request_id)


class ReadEventsTest(unittest.TestCase):
    def test_a_written_line_is_parsed_back(self) -> None:
        written: list[str] = []
        configure_logs("info", written.append)
        self.addCleanup(configure_logs, "error")
        log_event("request_done", id='a "b"\n c=d', reason="x", took_s=0.25, left=None)
        (event,) = read_events("n1", [f"12.5 some-machine {written[0]}"])
        self.assertEqual((event.source, event.name), ("n1", "request_done"))
        self.assertEqual(event.field("id"), 'a "b"\n c=d')
        self.assertEqual((event.field("took_s"), event.field("left")), ("0.25", ""))

    def test_lines_of_other_programs_are_skipped(self) -> None:
        lines = ["", "time=soon event=x", "time=2026-08-05T08:39:01+00:00 level=INFO", "Traceback"]
        self.assertEqual(list(read_events("n1", lines)), [])


class ExplanationTest(unittest.TestCase):
    def test_related_events_and_the_meaning_of_the_outcome(self) -> None:
        explanation = explained("asked", ("n1", LINES))
        assert explanation is not None
        names = [event.name for event in explanation.events]
        self.assertEqual(names, ["replica_notice", "request_sent", "request_done", "store_lost"])
        self.assertEqual(
            explanation.meaning,
            "the replica refused the request, and it could not be sent to another; not "
            "retried: it was sent to as many replicas as its route allows; replica answered 503",
        )

    def test_an_answer_that_was_cut_short_is_told_from_a_refusal(self) -> None:
        cut = {"id": "cut", "outcome": "overloaded", "truncated_by": "router"}
        explanation = explained("cut", ("n1", [line(21.0, "request_done", **cut)]))
        assert explanation is not None
        self.assertTrue(explanation.meaning.endswith("the answer was cut short by the router"))

    def test_events_of_other_daemons_are_left_out(self) -> None:
        elsewhere = [line(20.9, "replica_ejected", replica="i-1"), line(20.9, "store_lost")]
        explanation = explained("asked", ("n1", LINES), ("n2", elsewhere))
        assert explanation is not None
        self.assertEqual({event.source for event in explanation.events}, {"n1"})

    def test_an_unfinished_and_an_unknown_request(self) -> None:
        explanation = explained("other", ("n1", LINES))
        assert explanation is not None
        self.assertIn("has not ended", explanation.meaning)
        self.assertIsNone(explained("nobody", ("n1", LINES)))


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "front-1.log"
        self.file.write_text("\n".join(LINES))

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["explain", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_one_line_per_event_and_the_meaning_are_printed(self) -> None:
        code, out, _ = self.run_command("asked", "--log", str(self.file))
        self.assertEqual(code, 0)
        lines = out.splitlines()
        self.assertEqual(len(lines), 5)
        self.assertTrue(lines[1].startswith("08:39:21.000 front-1 request_sent id=asked"))
        self.assertTrue(lines[-1].startswith("=> the replica refused"))

    def test_a_missing_file_or_request_is_reported_with_a_remedy(self) -> None:
        for arguments in (("asked", "--log", "/nowhere.log"), ("none", "--log", str(self.file))):
            code, _, err = self.run_command(*arguments)
            self.assertEqual(code, 1)
            self.assertIn("name ", err)
