"""Reads the lines that :mod:`winchfork.logs` writes back into typed events."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime

import msgspec

#: A key and its value: a JSON string, or a plain token.
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
_START = "time="


class LoggedEvent(msgspec.Struct, frozen=True):
    """One line: when it was written, in seconds since 1970, by which source, and its fields."""

    at_s: float
    source: str
    name: str
    fields: dict[str, str]

    def field(self, key: str) -> str:
        """Return a field's value; empty where the event has none of that name."""
        return self.fields.get(key, "")


def read_events(source: str, lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Return the events among the lines of one source; other lines are passed over.

    A collector may have put something before a line, such as the name of a machine.
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
