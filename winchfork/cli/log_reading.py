"""Parses log lines written by :mod:`winchfork.logs` into typed events."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec

#: A key and its value, which is a JSON string or a plain token.
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
_START = "time="


class LoggedEvent(msgspec.Struct, frozen=True):
    """One log line: Unix time in seconds, source (the log's name), event name and fields."""

    at_s: float
    source: str
    name: str
    fields: dict[str, str]

    def field(self, key: str) -> str:
        """Return a field's value, or an empty string if the event does not have the field."""
        return self.fields.get(key, "")


def read_events(source: str, lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Yield the events in the lines of one source, skipping lines of other programs.

    A prefix before ``time=``, such as a host name added by a log collector, is ignored.
    """
    for line in lines:
        event = _read_line(source, line)
        if event is not None:
            yield event


def _read_line(source: str, line: str) -> LoggedEvent | None:
    start = line.find(_START)
    if start < 0:
        return None
    fields = {key: _value(text) for key, text in _PAIR.findall(line[start:])}
    name = fields.pop("event", "")
    try:
        at_s = datetime.fromisoformat(fields.pop("time", "")).timestamp()
    except ValueError:
        return None
    return LoggedEvent(at_s, source, name, fields) if name else None


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except json.JSONDecodeError:
        return text
