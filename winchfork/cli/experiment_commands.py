"""`winchfork experiment`: virtual-time experiments."""

from __future__ import annotations

from typing import Any


def add_parsers(commands: Any) -> None:
    """Add the subcommands."""
