"""Entry point of the command line; every subcommand has ``--help``."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from winchfork import __version__

#: Subcommand -> module. Only the requested one is imported, so that a daemon starts fast.
_MODULE_OF_COMMAND = {
    "serve": "serve_command",
    "config": "operator_commands",
    "status": "operator_commands",
    "drain": "operator_commands",
    "explain": "operator_commands",
    "plot": "operator_commands",
    "rollout": "operator_commands",
    "dev": "emulator_commands",
    "emulate": "emulator_commands",
    "load": "emulator_commands",
    "experiment": "experiment_commands",
}


def build_parser(command: str = "") -> argparse.ArgumentParser:
    """Return a parser for the subcommands of ``command``'s module, or for all if it is unknown."""
    parser = argparse.ArgumentParser(
        prog="winchfork",
        description="A router for language-model traffic with long shared prompts.",
        epilog="Try it: winchfork dev. Exit codes: 0 success, 1 failure, 2 bad usage or settings.",
    )
    parser.add_argument("--version", action="version", version=f"winchfork {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    named = _MODULE_OF_COMMAND.get(command)
    for name in [named] if named else sorted(set(_MODULE_OF_COMMAND.values())):
        importlib.import_module(f"winchfork.cli.{name}").add_parsers(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code; 130 after Ctrl-C."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    parsed = build_parser(words[0] if words else "").parse_args(words)
    try:
        return int(parsed.run(parsed))
    except KeyboardInterrupt:
        return 130
