"""`winchfork serve`: runs one daemon."""

from __future__ import annotations

import argparse
import signal
import sys
import threading
from typing import Any

from winchfork.cli.output import EXIT_OK, EXIT_USAGE
from winchfork.daemon import build_daemon
from winchfork.errors import Failure
from winchfork.logs import configure_logs
from winchfork.settings import load_settings


def add_parsers(commands: Any) -> None:
    """Add the subcommand."""
    parser = commands.add_parser(
        "serve",
        help="run one daemon",
        description="Runs one daemon until SIGTERM or SIGINT, then shuts it down: it accepts no "
        "new requests, running requests finish, and the exit code is 0. Options override the file.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings in TOML")
    parser.add_argument("--id", help="daemon.id")
    parser.add_argument("--zone", help="daemon.zone")
    parser.add_argument("--http-address", metavar="IP:PORT", help="daemon.http_address")
    parser.add_argument("--peer-address", metavar="IP:PORT", help="daemon.peer_address")
    parser.add_argument("--rpc-address", metavar="IP:PORT", help="daemon.rpc_address")
    parser.add_argument("--log-level", help="daemon.log_level")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the daemon until a signal stops it; return the exit code."""
    overrides = {
        "daemon.id": arguments.id,
        "daemon.zone": arguments.zone,
        "daemon.http_address": arguments.http_address,
        "daemon.peer_address": arguments.peer_address,
        "daemon.rpc_address": arguments.rpc_address,
        "daemon.log_level": arguments.log_level,
    }
    settings = load_settings(arguments.settings, overrides)
    if isinstance(settings, Failure):
        print(f"winchfork: {settings}", file=sys.stderr)
        return EXIT_USAGE
    configure_logs(settings.daemon.log_level)
    daemon = build_daemon(settings)
    if isinstance(daemon, Failure):
        print(f"winchfork: {daemon}", file=sys.stderr)
        return EXIT_USAGE
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    daemon.start()
    daemon.wait_until_stopped(stop_requested)
    return EXIT_OK
