"""The command line: one subcommand a duty, each with --help."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from winchfork import __version__
from winchfork.cli import emulator_commands, experiment_commands, operator_commands, serve_command


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of every subcommand."""
    parser = argparse.ArgumentParser(
        prog="winchfork",
        description="A router for language-model traffic with long shared prompts.",
        epilog="Try it: winchfork dev. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.",
    )
    parser.add_argument("--version", action="version", version=f"winchfork {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve_command.add_parser(commands)
    operator_commands.add_parsers(commands)
    emulator_commands.add_parsers(commands)
    experiment_commands.add_parsers(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        return int(parsed.run(parsed))
    except KeyboardInterrupt:
        return 130
