"""Output of the commands: tables for people, JSON for programs."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

from winchfork.errors import Failure

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[column]) for row in texts), 0)
        for column, heading in enumerate(headings)
    ]
    for line in [list(headings), *texts]:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_json(document: Any) -> None:
    """Print one JSON document."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_failure(failure: Failure) -> int:
    """Print a failure to standard error and return the exit code."""
    print(f"winchfork: {failure}", file=sys.stderr)
    return EXIT_FAILED
