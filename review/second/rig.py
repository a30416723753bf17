"""Starts daemons as the deploy file says, before stand-ins of the store, replicas and callers.

Everything listens on loopback addresses. Each daemon has an address of its own, as on a machine of
its own. The record of a run is written to ``record.txt`` beside the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.http_server import HttpServer, Request, write_answer
from standins.store_server import StoreServer
from winchfork.boot_clock import boot_seconds
from winchfork.emulator.free_ports import free_port, free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Bounds of a small deployment, as the users' pages list them.
BOUNDS = {
    "SeedLagS": "3",
    "ReuseAfterS": "2",
    "ContactMs": "3000",
    "AckMs": "4000",
    "CatchUpS": "4",
    "DrainMs": "2000",
    "GraceS": "8",
    "LossSlackMs": "200",
    "ConfigApplyMs": "2000",
    "DowngradeSlackMs": "250",
    "OuterBoundMs": "5000",
    "FailClosed": "true",
    "RevokeMs": "5000",
    "RetryBudgetRatio": "0.2",
    "BudgetWindowS": "10",
    "BudgetSlack": "54",
    "RecoveryS": "12",
    "PropagationMs": "120",
    "RetryAfterS": "10",
    "EnforceFencing": "true",
    "LeaseMs": "3000",
    "ThawSlackMs": "300",
    "VersionMs": "8000",
    "VersionAllMs": "11000",
}
ZONES = ("hall-a", "hall-b", "hall-c")
#: All daemons are ended at once, so a run of a case ends within ``_CASE_S + _TERMINATION_S``.
_CASE_S, _TERMINATION_S = 95.0, 10.0


def trouble() -> bool:
    """Whether the run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):  # noqa: N818 - the exit code is named like this
    """The case could not be run, so it shows nothing."""


class Record:
    """The record of one run, with times in seconds from its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = boot_seconds()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{boot_seconds() - self._started_s:9.3f}  {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line of the result, and print it."""
        self.add(text)
        with contextlib.suppress(BrokenPipeError):
            print(text, flush=True)


@dataclass
class Daemon:
    """One daemon on a machine of its own; its process may be started several times."""

    name: str
    zone: str
    ip: str
    folder: Path
    settings: list[str]
    front: str
    readiness: str
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        file = self.folder / f"{self.name}.conf"
        file.write_text("\n".join(self.settings) + "\n")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *arguments = deploy["roles"]["router"]["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        path = {"PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=ROOT,
            env={**kept, **path, "WINCHFORK_BOOT": str(file)},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_until_ready(self, limit_s: float = 15.0) -> None:
        """Wait until the process calls itself ready."""
        until_s = boot_seconds() + limit_s
        while boot_seconds() < until_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} was not ready within {limit_s} s")

    async def is_ready(self) -> bool:
        """Whether the process calls itself ready, as the platform asks."""
        try:
            answer = await call(self.readiness, "GET", "/readiness", {}, b"", 0.5)
        except (TimeoutError, OSError):
            return False
        return answer.status == 200

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, by SIGKILL if SIGTERM does not."""
        if self.process is None or self.process.returncode is not None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), _TERMINATION_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def log_lines(self, event: str) -> list[str]:
        """Return the lines of the daemon's log about one kind of event."""
        log = self.folder / f"{self.name}.log"
        text = log.read_text(errors="replace") if log.exists() else ""
        return [line for line in text.splitlines() if f"event={event}" in line]


@dataclass
class Answer:
    """The answer to one call; ``status`` is 0 if there was none that is whole."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    reason: str = ""


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, limit_s: float
) -> Answer:
    """Make one call on a connection of its own; raise OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
    try:
        return await asyncio.wait_for(
            _exchange(reader, writer, method, path, headers, body), limit_s
        )
    finally:
        writer.transport.abort()


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Answer:
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
    answer = Answer(0)
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.split("\r\n")
        answer.status = int(first.split(" ")[1])
        pairs = (text.partition(":") for text in rest if text)
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        if answer.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, answer)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        answer.reason = repr(error)
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)


class Rig:
    """The stand-ins and daemons of one run; :meth:`close` ends all that was started."""

    def __init__(self, record: Record, make_store: Callable[[], StoreServer] = StoreServer) -> None:
        self.record = record
        self.store = make_store()
        self.folder = Path(tempfile.mkdtemp(prefix="winchfork-review-"))
        self.daemons: list[Daemon] = []
        self._closers: list[Callable[[], Coroutine[Any, Any, None]]] = []
        # A network of its own for each run, so that runs beside each other do not meet.
        self._network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._peer_port = free_port("127.0.0.1")

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.start()
        self._closers.append(self.store.stop)

    async def start_replica(self, replica: Any) -> None:
        """Start a replica's stand-in."""
        await replica.start()
        self._closers.append(replica.stop)

    def add_daemon(self, bounds: dict[str, str] | None = None, store_address: str = "") -> Daemon:
        """Prepare one more daemon, which is not started yet."""
        number = len(self.daemons) + 1
        ip = f"{self._network}.{number}"
        zone = ZONES[(number - 1) % len(ZONES)]
        front, readiness, control = (f"{ip}:{port}" for port in free_ports(3, ip))
        seeds = ",".join(f"{self._network}.{item}:{control.rpartition(':')[2]}" for item in (1, 2))
        settings = [
            f"Node=front-{zone}-{number}",
            "Role=router",
            "MachineClass=front",
            "Serves=front,control",
            f"Ip={ip}",
            f"Zone={zone}",
            "Region=region-a",
            *(f"Zones.{item}=region-a" for item in ZONES),
            f"ListenAddresses.Front={front}",
            f"ListenAddresses.Readiness={readiness}",
            f"ListenAddresses.Control={control}",
            f"InternalPorts={self._peer_port},{self._peer_port + 1}",
            f"Seeds={seeds}",
            "Bootstrap=true",
            "CountsTowardLoss=false",
            "Limits.CpuShare=1.0",
            "Limits.Cores=1",
            "Limits.MemoryMb=300",
            "Limits.FileDescriptors=4100",
            "Limits.LinkMbps=1000.0",
            "Limits.DiskMb=0",
            "Discovery=platform",
            "Entry=virtual_ip",
            "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
            "FaultTolerance.Machines=2",
            "FaultTolerance.Zones=0",
            "FaultTolerance.Regions=0",
            *(f"Bounds.{key}={value}" for key, value in {**BOUNDS, **(bounds or {})}.items()),
            f"Platform.Address={store_address or self.store.address}",
            "Platform.form=kv",
            "Platform.writes_per_s=400",
            "Platform.reads_per_s=2000",
            "Platform.HistoryS=20",
            "Platform.value_bytes=1048576",
            "Platform.ttl_min_ms=1000",
        ]
        name = f"front-{zone}-{number}"
        daemon = Daemon(name, zone, ip, self.folder, settings, front, readiness)
        self.daemons.append(daemon)
        return daemon

    async def start_daemons(self, count: int, bounds: dict[str, str] | None = None) -> None:
        """Start daemons, and wait until they are ready."""
        for _ in range(count):
            self.add_daemon(bounds)
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    async def close(self) -> None:
        """End every process and stand-in."""
        await asyncio.gather(*(daemon.end() for daemon in self.daemons))
        for close in reversed(self._closers):
            await close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Replica:
    """The base of replicas: listens, and keeps its entry in the store as the pages say."""

    def __init__(self, store: StoreServer, replica_id: str, service: str, zone: str) -> None:
        self.store = store
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.started_at_ms = 0
        #: Models and versions of its weights; empty for an application.
        self.versions: dict[str, int] = {}
        self.slots = 16
        self.state = "ready"
        #: The version of its software.
        self.software = "v1"
        self._sequence = 0
        self._http = HttpServer(self.handle)
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return self._http.address

    async def start(self) -> None:
        """Listen, and write the entry."""
        self.started_at_ms = int(time.time() * 1000)
        await self._http.start()
        self._heartbeats = asyncio.create_task(self._write_entries())

    async def stop(self) -> None:
        """Stop at once."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self._http.stop()

    async def crash(self) -> None:
        """End without a word: connections are reset, and the entry stays until it lapses."""
        await self.stop()

    async def come_back(self, software: str, first_entry_s: float) -> None:
        """Start again under the same id; the entry is written after ``first_entry_s``."""
        self.software = software
        self.started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        await self._http.start()
        self._heartbeats = asyncio.create_task(self._write_entries(first_entry_s))

    async def _write_entries(self, after_s: float = 0.0) -> None:
        await asyncio.sleep(after_s)
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self) -> None:
        """Write the entry, as every heartbeat does."""
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.software,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "both",
            "Models": [
                {"Name": name, "Version": version, "Adapters": []}
                for name, version in self.versions.items()
            ],
            "Sequence": self._sequence,
            "born": self.started_at_ms,
        }
        self.store.put(f"servers/{self.replica_id}", entry)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection goes on."""
        expected = request.headers.get("x-expected-instance", self.replica_id)
        if expected != self.replica_id:
            write_answer(writer, 421, headers=self.refusal_headers(request))
            return True
        return await self.serve(request, writer)

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Serve a request that is meant for this replica."""
        raise NotImplementedError

    def refusal_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that does not run."""
        return {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Instance-Id": self.replica_id,
            "X-Not-Executed": "1",
        }

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        return {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Instance-Id": self.replica_id,
            "X-Server-Signature": f"signed.{self.replica_id}",
        }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants,
    }


def run_case(file: str, case: Callable[[Rig], Coroutine[Any, Any, int]], **options: Any) -> None:
    """Run a case and exit with its code; everything that it started is ended before.

    This holds too when the script is ended by SIGTERM or SIGINT.
    """
    folder = Path(file).resolve().parent
    record = Record(folder)
    record.add(f"trouble {trouble()}, python {sys.version.split()[0]}")

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        rig = Rig(record, **options)
        try:
            await rig.start_store()
            async with asyncio.timeout(_CASE_S):
                return await case(rig)
        except Exception as error:  # noqa: BLE001 - an error of the script is no finding
            record.conclude(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await rig.close()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # noqa: BLE001
        # Neither is an error while all is ended, or an end from outside.
        record.conclude(f"could not end, or was ended: {error!r}")
        code = COULD_NOT_RUN
    words = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}
    record.conclude(f"result: {words[code]}")
    sys.exit(code)
