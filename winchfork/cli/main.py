"""The command line: one subcommand a duty, each with --help."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence

from winchfork import __version__

#: Modules of the subcommands. Only the one asked for is imported, since a daemon that is started
#: again should serve at once and needs none of the stand-ins, plots or experiments.
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
    """Return the parser of the module that has ``command``, or of every subcommand."""
    parser = argparse.ArgumentParser(
        prog="winchfork",
        description="A router for language-model traffic with long shared prompts.",
        epilog="Try it: winchfork dev. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.",
    )
    parser.add_argument("--version", action="version", version=f"winchfork {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    named = _MODULE_OF_COMMAND.get(command)
    for name in [named] if named else sorted(set(_MODULE_OF_COMMAND.values())):
        importlib.import_module(f"winchfork.cli.{name}").add_parsers(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    parsed = build_parser(words[0] if words else "").parse_args(words)
    try:
        return int(parsed.run(parsed))
    except KeyboardInterrupt:
        return 130
