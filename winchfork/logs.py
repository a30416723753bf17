"""Structured logs: one line of key=value pairs per event.

Every value is escaped, because values may come from callers: none can inject a line, another pair
or a terminal control sequence.
"""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable
from typing import Any, TextIO

from loguru import logger

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@+-]+\Z")
MAX_VALUE_CHARS = 400


def escape_value(value: object) -> str:
    """Render one value: plain tokens unchanged, everything else as an ASCII JSON string.

    Text longer than ``MAX_VALUE_CHARS`` is truncated.
    """
    if isinstance(value, float):
        value = f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text, ensure_ascii=True)


def format_event(event: str, fields: dict[str, Any]) -> str:
    """Render an event and its fields as one line of key=value pairs."""
    pairs = [f"event={escape_value(event)}"]
    pairs += [f"{key}={escape_value(value)}" for key, value in fields.items() if value is not None]
    return " ".join(pairs)


def configure_logs(level: str, stream: TextIO | Callable[[str], None] | None = None) -> None:
    """Send events at ``level`` and above to ``stream`` (standard error by default).

    A callable receives each line and must not block.
    """
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level.upper(),
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}",
        backtrace=False,
        diagnose=False,
    )


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Log one event; ``fields`` become key=value pairs in the given order."""
    logger.opt(depth=1).log(level, "{}", format_event(event, fields))
