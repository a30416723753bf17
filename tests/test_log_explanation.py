"""A request's life told from routers' log lines, as operators ask for it after an incident."""

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
    """Return a line of the log as a router writes it."""
    return f"time=2026-08-05T08:39:{second:06.3f}+00:00 level=INFO {format_event(event, fields)}"


#: A request that a replica turned away while others of its daemon's events happened.
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


class ReadingTest(unittest.TestCase):
    def test_what_is_written_is_read(self) -> None:
        written: list[str] = []
        configure_logs("info", written.append)
        self.addCleanup(configure_logs, "error")
        log_event("request_done", id='a "b"\n c=d', reason="x", took_s=0.25, left=None)
        (event,) = read_events("n1", [f"12.5 some-machine {written[0]}"])
        self.assertEqual((event.source, event.name), ("n1", "request_done"))
        self.assertEqual(event.field("id"), 'a "b"\n c=d')
        self.assertEqual((event.field("took_s"), event.field("left")), ("0.25", ""))

    def test_other_lines_are_passed_over(self) -> None:
        lines = ["", "time=soon event=x", "time=2026-08-05T08:39:01+00:00 level=INFO", "Traceback"]
        self.assertEqual(list(read_events("n1", lines)), [])


class ExplanationTest(unittest.TestCase):
    def test_the_request_and_what_decided_about_it(self) -> None:
        explanation = explained("asked", ("n1", LINES))
        assert explanation is not None
        names = [event.name for event in explanation.events]
        self.assertEqual(names, ["replica_notice", "request_sent", "request_done", "store_lost"])
        self.assertEqual(
            explanation.meaning,
            "the replica turned the request away, and it could not be sent to another; not "
            "repeated: it was sent to as many replicas as its route allows; replica answered 503",
        )

    def test_events_of_other_daemons_decided_nothing(self) -> None:
        elsewhere = [line(20.9, "replica_ejected", replica="i-1"), line(20.9, "store_lost")]
        explanation = explained("asked", ("n1", LINES), ("n2", elsewhere))
        assert explanation is not None
        self.assertEqual({event.source for event in explanation.events}, {"n1"})

    def test_a_request_that_has_not_ended_or_is_not_known(self) -> None:
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

    def test_it_prints_a_line_for_each_event_and_the_meaning(self) -> None:
        code, out, _ = self.run_command("asked", "--log", str(self.file))
        self.assertEqual(code, 0)
        lines = out.splitlines()
        self.assertEqual(len(lines), 5)
        self.assertTrue(lines[1].startswith("08:39:21.000 front-1 request_sent id=asked"))
        self.assertTrue(lines[-1].startswith("=> the replica turned"))

    def test_a_file_or_a_request_that_is_not_there_is_named_with_a_remedy(self) -> None:
        for arguments in (("asked", "--log", "/nowhere.log"), ("none", "--log", str(self.file))):
            code, _, err = self.run_command(*arguments)
            self.assertEqual(code, 1)
            self.assertIn("name ", err)
