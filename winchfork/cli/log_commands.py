"""`winchfork explain --log` and `plot`: commands that read routers' log files."""

from __future__ import annotations

import argparse
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path

from winchfork.cli.day_figures import figures_of_day
from winchfork.cli.day_plot import draw_day
from winchfork.cli.log_explanation import RequestExplanation, explain_request
from winchfork.cli.log_reading import LoggedEvent, read_events
from winchfork.cli.output import EXIT_OK, print_failure, print_json
from winchfork.errors import Failure, FailureKind


def explain_from_logs(arguments: argparse.Namespace) -> int:
    """Print the logged events related to a request, one per line, and what its outcome means."""
    events = _read_files(arguments.log)
    if isinstance(events, Failure):
        return print_failure(events)
    explanation = explain_request(events, arguments.request_id)
    if explanation is None:
        unknown = FailureKind.NOT_FOUND.because(
            f"no line of {', '.join(arguments.log)} names request {arguments.request_id}",
            remedy="name the logs of all daemons of the zone that cover the time of the request",
        )
        return print_failure(unknown)
    if arguments.output == "json":
        print_json(_as_json(explanation))
    else:
        for line in _as_text(explanation):
            print(line)
    return EXIT_OK


def plot_logs(arguments: argparse.Namespace) -> int:
    """Plot the day that the log files cover."""
    events = _read_files(arguments.log)
    if isinstance(events, Failure):
        return print_failure(events)
    day = figures_of_day(events)
    if day is None:
        empty = FailureKind.NOT_FOUND.because(
            f"no line of {', '.join(arguments.log)} is a router's log event",
            remedy="name log files written by routers",
        )
        return print_failure(empty)
    began = datetime.fromtimestamp(day.started_at_s, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    try:
        draw_day(day, arguments.out, f"{len(arguments.log)} logs from {began}")
    except (OSError, ValueError) as error:
        unwritten = FailureKind.INVALID_REQUEST.because(
            f"--out {arguments.out} cannot be written: {error}",
            remedy="name a file in an existing folder, with the suffix .png, .svg or .pdf",
        )
        return print_failure(unwritten)
    print(arguments.out)
    return EXIT_OK


def _read_files(names: Sequence[str]) -> list[LoggedEvent] | Failure:
    events: list[LoggedEvent] = []
    for name in names:
        read = _read_file(Path(name))
        if isinstance(read, Failure):
            return read
        events += read
    return events


def _read_file(path: Path) -> list[LoggedEvent] | Failure:
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        return FailureKind.INVALID_REQUEST.because(
            f"--log {path} cannot be read: {error.strerror}", remedy="name a readable log file"
        )
    return list(read_events(path.stem, text.splitlines()))


def _as_text(explanation: RequestExplanation) -> Iterator[str]:
    for event in explanation.events:
        fields = " ".join(f"{key}={value}" for key, value in event.fields.items() if key != "level")
        yield f"{_clock(event.at_s)} {event.source} {event.name} {fields}"
    yield f"=> {explanation.meaning}"


def _as_json(explanation: RequestExplanation) -> dict[str, object]:
    rows = [
        {"time": _clock(event.at_s), "source": event.source, "event": event.name, **event.fields}
        for event in explanation.events
    ]
    return {"request": explanation.request_id, "events": rows, "meaning": explanation.meaning}


def _clock(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).strftime("%H:%M:%S.%f")[:-3]
