"""`winchfork config`, `status`, `drain`, `explain`, `plot` and `rollout`: operator commands."""

from __future__ import annotations

import argparse
import json
import os
import sys
from pathlib import Path
from typing import Any

from google.protobuf import json_format

from winchfork.cli.log_commands import explain_from_logs, plot_logs
from winchfork.cli.output import EXIT_FAILED, EXIT_OK, print_failure, print_json, print_table
from winchfork.control import winchfork_pb2 as pb
from winchfork.control.convert import (
    configuration_message_from_json,
    configuration_message_to_document,
)
from winchfork.control.rpc_client import OperatorClient
from winchfork.core.configuration import changed_objects
from winchfork.errors import Failure, FailureKind

_DEFAULT_ADDRESS = "127.0.0.1:8720"


def add_parsers(commands: Any) -> None:
    """Add the subcommands."""
    config = commands.add_parser("config", help="apply, get or compare the configuration")
    actions = config.add_subparsers(dest="action", required=True, metavar="ACTION")
    apply = actions.add_parser(
        "apply",
        help="put a configuration in force",
        description="Stores a JSON configuration. It is accepted only if the stored revision is "
        "the one it builds on, so that operators cannot overwrite each other's changes.",
    )
    apply.add_argument("file", help="JSON file, or - for standard input")
    apply.add_argument(
        "--revision", type=int, help="the revision it builds on (default: the one in force)"
    )
    _connect(apply, _apply)
    _connect(actions.add_parser("get", help="print the configuration in force"), _get)
    diff = actions.add_parser("diff", help="compare a file with the configuration in force")
    diff.add_argument("file", help="JSON file, or - for standard input")
    _connect(diff, _diff)
    _connect(commands.add_parser("status", help="show members, back ends and panels"), _status)
    drain = commands.add_parser("drain", help="stop sending new requests to a back end")
    drain.add_argument("replica", help="the back end's id, as in `winchfork status`")
    drain.add_argument("--undo", action="store_true", help="send it requests again")
    _connect(drain, _drain)
    explain = commands.add_parser("explain", help="show every decision about a request")
    explain.add_argument("request_id", help="the X-Request-Id of the answer")
    explain.add_argument(
        "--log",
        action="append",
        metavar="FILE",
        help="read this router log instead of querying a daemon; repeatable",
    )
    _connect(explain, _explain)
    plot = commands.add_parser("plot", help="plot a day from routers' logs")
    plot.add_argument(
        "--log", action="append", required=True, metavar="FILE", help="a router log; repeatable"
    )
    plot.add_argument("--out", default="day.png", metavar="FILE", help="image (default: day.png)")
    plot.set_defaults(run=plot_logs)
    rollout = commands.add_parser("rollout", help="roll new weights over a pool")
    steps = rollout.add_subparsers(dest="action", required=True, metavar="ACTION")
    start = steps.add_parser("start", help="start a rollout")
    start.add_argument("pool")
    start.add_argument("version", type=int, help="weights version, higher than the current one")
    start.add_argument(
        "--max-loading", type=int, default=1, help="maximum replicas loading at a time"
    )
    _connect(start, _start_rollout)
    progress = steps.add_parser("status", help="show a rollout's progress")
    progress.add_argument("pool")
    _connect(progress, _rollout_status)


def _connect(parser: argparse.ArgumentParser, run: Any) -> None:
    parser.add_argument(
        "--address",
        default=os.environ.get("WINCHFORK_ADDRESS", _DEFAULT_ADDRESS),
        metavar="IP:PORT",
        help=f"a daemon's rpc address (default: WINCHFORK_ADDRESS, or {_DEFAULT_ADDRESS})",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("WINCHFORK_TOKEN", ""),
        help="operator token (default: WINCHFORK_TOKEN)",
    )
    parser.add_argument("--certificate", metavar="FILE", help="PEM root certificate for TLS")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.set_defaults(run=run)


def _client(arguments: argparse.Namespace) -> OperatorClient:
    certificate = Path(arguments.certificate).read_bytes() if arguments.certificate else None
    return OperatorClient(arguments.address, arguments.token, certificate)


def _read(path: str) -> pb.Configuration | Failure:
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
    except OSError as error:
        return FailureKind.INVALID_CONFIGURATION.because(
            f"{path} cannot be read: {error.strerror}", remedy="name a readable JSON file"
        )
    return configuration_message_from_json(text)


def _apply(arguments: argparse.Namespace) -> int:
    configuration = _read(arguments.file)
    if isinstance(configuration, Failure):
        return print_failure(configuration)
    client = _client(arguments)
    revision = arguments.revision
    if revision is None:
        current = client.get_configuration()
        if isinstance(current, Failure):
            return print_failure(current)
        revision = current.revision
    reply = client.apply_configuration(configuration, revision)
    if isinstance(reply, Failure):
        return print_failure(reply)
    if arguments.output == "json":
        print_json({"revision": reply.revision})
    else:
        print(f"in force at revision {reply.revision}")
    return EXIT_OK


def _get(arguments: argparse.Namespace) -> int:
    reply = _client(arguments).get_configuration()
    if isinstance(reply, Failure):
        return print_failure(reply)
    document = configuration_message_to_document(reply.configuration)
    if arguments.output == "json":
        print_json(document)
        return EXIT_OK
    print(f"revision {reply.revision}")
    rows = [
        (section, item["name"], _summary(item))
        for section in ("tenants", "traffic_classes", "pools", "rules")
        for item in document.get(section, [])
    ]
    print_table(("SECTION", "NAME", "SETTINGS"), rows)
    return EXIT_OK


def _summary(item: dict[str, Any]) -> str:
    shown = {key: value for key, value in item.items() if key not in ("name", "api_key_sha256")}
    return " ".join(f"{key}={value}" for key, value in sorted(shown.items()))


def _diff(arguments: argparse.Namespace) -> int:
    wanted = _read(arguments.file)
    if isinstance(wanted, Failure):
        return print_failure(wanted)
    current = _client(arguments).get_configuration()
    if isinstance(current, Failure):
        return print_failure(current)
    changes = changed_objects(
        configuration_message_to_document(current.configuration),
        configuration_message_to_document(wanted),
    )
    if arguments.output == "json":
        print_json([{"object": name, "old": old, "new": new} for name, old, new in changes])
    else:
        rows = [(name, json.dumps(old), json.dumps(new)) for name, old, new in changes]
        print_table(("OBJECT", "IN FORCE", "FILE"), rows)
    return EXIT_FAILED if changes else EXIT_OK


def _status(arguments: argparse.Namespace) -> int:
    reply = _client(arguments).get_status()
    if isinstance(reply, Failure):
        return print_failure(reply)
    if arguments.output == "json":
        print_json(json_format.MessageToDict(reply, preserving_proto_field_name=True))
        return EXIT_OK
    print(
        f"daemon {reply.daemon_id}: configuration {reply.configuration_revision}, "
        f"open {reply.open_requests}, waiting {reply.waiting_requests}, "
        f"indexed blocks {reply.index_blocks}\n"
    )
    print_table(
        ("MEMBER", "ZONE", "STATUS", "HTTP"),
        [(item.id, item.zone, item.status, item.http_address) for item in reply.members],
    )
    print()
    print_table(
        ("BACK END", "POOL", "ZONE", "STATE", "INCARNATION", "WEIGHTS", "WAITING", "RUNNING"),
        [
            (
                item.id,
                item.pool,
                item.zone,
                item.state,
                item.incarnation,
                item.weights_version,
                item.waiting_prefill_tokens,
                item.running_requests,
            )
            for item in reply.replicas
        ],
    )
    print()
    print_table(
        ("PANEL", "EPOCH", "VOTERS", "VOTES HERE"),
        [
            (item.id, item.epoch, ",".join(item.voters), "yes" if item.votes_here else "no")
            for item in reply.panels
        ],
    )
    return EXIT_OK


def _drain(arguments: argparse.Namespace) -> int:
    reply = _client(arguments).set_draining(arguments.replica, not arguments.undo)
    if isinstance(reply, Failure):
        return print_failure(reply)
    draining = list(reply.configuration.draining)
    if arguments.output == "json":
        print_json({"revision": reply.revision, "draining": draining})
    else:
        print(f"draining at revision {reply.revision}: {', '.join(draining) or 'none'}")
    return EXIT_OK


def _explain(arguments: argparse.Namespace) -> int:
    if arguments.log:
        return explain_from_logs(arguments)
    reply = _client(arguments).explain(arguments.request_id)
    if isinstance(reply, Failure):
        return print_failure(reply)
    steps = [json.loads(step) for step in reply.steps]
    if arguments.output == "json":
        print_json({"daemon": reply.daemon_id, "steps": steps})
        return EXIT_OK
    print(f"request {arguments.request_id}, decided by {reply.daemon_id}")
    started_s = steps[0]["at_s"]
    for step in steps:
        candidates = step.pop("candidates", [])
        details = {
            key: value
            for key, value in step.items()
            if key not in ("at_s", "step", "reason") and value not in ("", None)
        }
        shown = " ".join(f"{key}={value}" for key, value in details.items())
        print(f"+{step['at_s'] - started_s:8.4f} s  {step['step']}: {step['reason']}  {shown}")
        for item in candidates:
            print(
                f"              candidate {item['replica']}: "
                f"{item['cached_blocks']} cached blocks, wait {item['wait_s']} s, "
                f"prefill {item['prefill_s']} s, cost {item['cost']}"
            )
    return EXIT_OK


def _start_rollout(arguments: argparse.Namespace) -> int:
    reply = _client(arguments).start_rollout(
        arguments.pool, arguments.version, arguments.max_loading
    )
    return _print_rollout(arguments, reply)


def _rollout_status(arguments: argparse.Namespace) -> int:
    return _print_rollout(arguments, _client(arguments).get_rollout(arguments.pool))


def _print_rollout(arguments: argparse.Namespace, reply: pb.RolloutReply | Failure) -> int:
    if isinstance(reply, Failure):
        return print_failure(reply)
    if arguments.output == "json":
        print_json(json_format.MessageToDict(reply, preserving_proto_field_name=True))
        return EXIT_OK
    print_table(
        ("POOL", "VERSION", "DONE", "LOADING", "PENDING", "FENCE"),
        [
            (
                reply.pool,
                reply.weights_version,
                len(reply.done),
                ",".join(reply.loading) or "-",
                ",".join(reply.pending) or "-",
                reply.fence,
            )
        ],
    )
    return EXIT_OK
