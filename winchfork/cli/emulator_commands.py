"""`winchfork dev`, `emulate` and `load`: emulated deployments and the load tool."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import threading
from pathlib import Path
from typing import Any

from winchfork.cli.output import EXIT_FAILED, EXIT_OK, print_failure
from winchfork.control.convert import (
    configuration_message_to_document,
    configuration_to_message,
)
from winchfork.emulator.dev import OPERATOR_TOKEN, DevFleet, EmulatedPlatform
from winchfork.emulator.load import LoadOptions, run_load
from winchfork.emulator.workload import DEPLOYMENTS
from winchfork.errors import Failure
from winchfork.logs import configure_logs

_FIRST_PORT = 8700


def add_parsers(commands: Any) -> None:
    """Add the subcommands."""
    profiles = sorted(DEPLOYMENTS)
    dev = commands.add_parser(
        "dev",
        help="run a whole deployment on loopback",
        description="Runs three zones, three daemons, emulated engines and platform in one "
        "process until Ctrl-C, and prints example commands.",
    )
    dev.add_argument("--profile", choices=profiles, default="himal")
    dev.add_argument("--log-level", default="warning")
    dev.set_defaults(run=_dev)
    emulate = commands.add_parser(
        "emulate",
        help="run emulated engines, applications and platform only",
        description="Runs emulated engines, applications and platform, and writes settings files "
        "for daemons that use them.",
    )
    emulate.add_argument("--profile", choices=profiles, default="himal")
    emulate.add_argument(
        "--settings-dir",
        metavar="DIR",
        help="write the configuration and one settings file per zone into DIR",
    )
    emulate.add_argument("--log-level", default="warning")
    emulate.set_defaults(run=_emulate)
    load = commands.add_parser(
        "load",
        help="send a workload and check every answer",
        description="Sends a profile's workload over HTTP from many concurrent callers and checks "
        "each answer against the one expected for its request. Exit code 1 if any answer was lost, "
        "doubled, crossed (another request's text) or truncated.",
    )
    load.add_argument("--profile", choices=profiles, default="himal")
    load.add_argument(
        "--url",
        action="append",
        required=True,
        help="a daemon's base URL; repeatable, to spread the load and to retry at another daemon",
    )
    load.add_argument("--seed", type=int, default=1)
    load.add_argument("--duration", type=float, default=30.0, metavar="S")
    load.add_argument("--rate", type=float, default=0.5, help="factor on the profile's arrivals")
    load.add_argument("--json", metavar="FILE", help="write the report as JSON")
    load.set_defaults(run=_load)


def _wait_for_stop() -> None:
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()


def _dev(arguments: argparse.Namespace) -> int:
    configure_logs(arguments.log_level)
    deployment = DEPLOYMENTS[arguments.profile]
    emulated = EmulatedPlatform(deployment)
    emulated.start()
    fleet = DevFleet(emulated, _FIRST_PORT)
    failure = fleet.start()
    if failure is not None:
        return print_failure(failure)
    http = [settings.daemon.http_address for settings in fleet.settings]
    rpc = fleet.settings[0].daemon.rpc_address
    key = deployment.api_key(deployment.tenants[0])
    body = json.dumps(
        {
            "model": deployment.model,
            "prompt": "Check this caption against the style sheet.",
            "max_tokens": 16,
            "stream": True,
        }
    )
    print(f"winchfork dev: profile {deployment.name}, {len(http)} daemons: {', '.join(http)}")
    print(f"{deployment.engine_replicas} emulated engines, model {deployment.model}\n")
    print("Stream a completion (its X-Request-Id is in the headers and in each event):")
    print(
        f"  curl -sNi http://{http[0]}/v1/completions -H 'Authorization: Bearer {key}' "
        f"-H 'Content-Type: application/json' -d '{body}'"
    )
    print("Show why the request was sent to its replica:")
    print(
        f"  WINCHFORK_TOKEN={OPERATOR_TOKEN} .venv/bin/python -m winchfork explain "
        f"--address {rpc} REQUEST_ID"
    )
    print("Show the fleet's status:")
    print(
        f"  WINCHFORK_TOKEN={OPERATOR_TOKEN} .venv/bin/python -m winchfork status --address {rpc}"
    )
    print("\nPress Ctrl-C to stop.", flush=True)
    _wait_for_stop()
    fleet.stop()
    emulated.stop()
    return EXIT_OK


def _emulate(arguments: argparse.Namespace) -> int:
    configure_logs(arguments.log_level)
    deployment = DEPLOYMENTS[arguments.profile]
    emulated = EmulatedPlatform(deployment, f"127.0.0.1:{_FIRST_PORT + 90}")
    emulated.start()
    print(f"platform: {emulated.platform.address}")
    for engine in emulated.engines:
        print(f"engine: {engine.address}")
    for application in emulated.applications:
        print(f"application: {application.address}")
    if arguments.settings_dir:
        _write_settings(DevFleet(emulated, _FIRST_PORT), Path(arguments.settings_dir))
        config = Path(arguments.settings_dir) / "configuration.json"
        message = configuration_to_message(deployment.configuration())
        config.write_text(json.dumps(configuration_message_to_document(message), indent=2))
        print(f"configuration: {config}")
    sys.stdout.flush()
    _wait_for_stop()
    emulated.stop()
    return EXIT_OK


def _write_settings(fleet: DevFleet, directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for settings in fleet.settings:
        path = directory / f"{settings.daemon.id}.toml"
        path.write_text(_to_toml(settings.model_dump(mode="json", exclude_none=True)))
        print(f"settings: {path}")


def _to_toml(document: dict[str, dict[str, Any]]) -> str:
    """Return a two-level document as TOML, whose scalars and arrays may be written as in JSON."""
    lines: list[str] = []
    for section, values in document.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        lines.append("")
    return "\n".join(lines)


def _load(arguments: argparse.Namespace) -> int:
    configure_logs("warning")
    options = LoadOptions(
        deployment=DEPLOYMENTS[arguments.profile],
        urls=tuple(url.rstrip("/") for url in arguments.url),
        seed=arguments.seed,
        duration_s=arguments.duration,
        rate=arguments.rate,
        show_progress=sys.stderr.isatty(),
    )
    report = run_load(options)
    if isinstance(report, Failure):
        return print_failure(report)
    print(report.render())
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(report.to_json(), indent=2) + "\n")
    return EXIT_OK if report.clean else EXIT_FAILED
