"""Shared parts of the review's scripts: daemons as processes, a store, replicas, a record.

Everything listens on loopback. The daemons are started with the command of ``deploy/system.toml``
and get settings like those of a small deployment. Times in the record are seconds since its start.
"""

from __future__ import annotations

import asyncio
import base64
import math
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.http_server import HttpServer, Request, write_answer
from standins.store_server import StoreBackup, StoreServer
from winchfork.boot_clock import boot_seconds

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: The most that a script may take, in seconds.
MAX_SCRIPT_S = 110.0
#: Whether the disruption is played.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_OPERATOR_PREFIX = "op/"
_READY_TIMEOUT_S = 15.0
_SETTINGS = """\
Node={node}
Role=router
MachineClass=front
Serves=front,control
Ip={ip}
Zone={zone}
Region=muscat
Zones.ghala-a=muscat
Zones.ghala-b=muscat
Zones.rusayl-a=muscat
ListenAddresses.Front={ip}:{front}
ListenAddresses.Readiness={ip}:{readiness}
ListenAddresses.Control={ip}:{control}
InternalPorts={peer},{peer}
Seeds={seeds}
Bootstrap=true
CountsTowardLoss=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=150
Limits.FileDescriptors=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.DowngradeSlackMs=250
Bounds.OuterBoundMs=5000
Bounds.FailClosed=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=56
Bounds.RecoveryS=12
Bounds.PropagationMs=120
Bounds.RetryAfterS=10
Bounds.EnforceFencing=false
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.VersionMs=10000
Bounds.VersionAllMs=14000
Platform.Address={store}
Platform.form=kv
Platform.writes_per_s=400
Platform.reads_per_s=2000
Platform.HistoryS=20
Platform.value_bytes=1048576
Platform.ttl_min_ms=1000
"""


class CannotRunError(Exception):
    """The case could not run, so that nothing is known of the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with times."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = boot_seconds()

    @property
    def now_s(self) -> float:
        """Seconds since the record began."""
        return boot_seconds() - self._began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store(StoreServer):
    """The project's stand-in of the store, with a drill in which writers write again later.

    The pages say that operators and replicas write their entries again after a drill, not when.
    """

    def __init__(self, rewritten_after_s: float) -> None:
        super().__init__()
        self._rewritten_after_s = rewritten_after_s

    def _rewrite_lost_entries(self, lost: dict[str, dict[str, Any]]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._rewritten_after_s, self._write_again, lost)

    def _write_again(self, lost: dict[str, dict[str, Any]]) -> None:
        for key, before in sorted(lost.items()):
            now = self._items.get(key)
            if key.startswith((_OPERATOR_PREFIX, "servers/")) and (
                now is None or now["Value"] != before["Value"]
            ):
                self.put(key, base64.b64decode(before["Value"]))

    def revision_of(self, key: str) -> int:
        """Return the revision of an item; 0 if there is none."""
        item = self._items.get(key)
        return item["Revision"] if item is not None else 0

    def lease_left_s(self, key: str) -> float:
        """Return the seconds until the lease of an item expires; infinite without one."""
        item = self._items.get(key)
        until_s, _ = self._leases.get(item["lease"] if item else 0, (math.inf, 0.0))
        return until_s - asyncio.get_running_loop().time()

    async def drill(self, copy: StoreBackup, away_s: float) -> None:
        """Be away for a moment, and come back from a copy."""
        self.down = True
        await asyncio.sleep(away_s)
        self.restore(copy)
        self.down = False


#: Answers a request of the system; returns False when the connection must close.
RunRequest = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


class Replica:
    """A replica that lists itself in the store and serves requests by ``run``."""

    def __init__(
        self, store: Store, replica_id: str, service: str, zone: str, run: RunRequest
    ) -> None:
        self.replica_id = replica_id
        self._store = store
        self._service = service
        self._zone = zone
        self._run = run
        self._http = HttpServer(self._handle)

    async def start(self, models: list[dict[str, Any]] | None = None) -> None:
        """Listen, and write the entry."""
        await self._http.start()
        self.announce(models or [])

    def announce(self, models: list[dict[str, Any]]) -> None:
        """Write the entry."""
        entry = {
            "Service": self._service,
            "Address": self._http.address,
            "Zone": self._zone,
            "Version": "v1",
            "Slots": 16,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Models": models,
            "Sequence": 1,
            "born": 1_790_000_000_000,
        }
        self._store.put(f"servers/{self.replica_id}", entry)

    async def stop(self) -> None:
        """Stop listening."""
        await self._http.stop()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.headers.get("x-expected-instance", self.replica_id) != self.replica_id:
            write_answer(writer, 421, headers={"X-Instance-Id": self.replica_id})
            return True
        return await self._run(request, writer)

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Return the headers that each answer to a request carries."""
        request_id = request.headers.get("x-request-id", "")
        return {"X-Request-Id": request_id, "X-Server-Signature": f"{self.replica_id}.{request_id}"}


class Daemon:
    """One daemon of the project as a process of its own."""

    def __init__(self, record: Record, node: str, settings: str, folder: Path) -> None:
        self.node = node
        self._record = record
        self._file = folder / f"{node}.conf"
        self._log = folder / f"{node}.log"
        self._file.write_text(settings)
        fields = dict(line.split("=", 1) for line in settings.splitlines())
        self.front = fields["ListenAddresses.Front"]
        self._readiness = fields["ListenAddresses.Readiness"]
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WINCHFORK_BOOT": str(self._file),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"{self.node} is started")

    @property
    def exit_status(self) -> int | None:
        """The status with which the process ended; None while it runs."""
        return self._process.returncode if self._process is not None else None

    def resident_mb(self) -> int:
        """Return how much memory the process holds, in MB; 0 once it has ended."""
        if self._process is None:
            return 0
        try:
            pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") // 1_000_000

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            self._record.write(f"{self.node} is sent {number.name}")

    async def wait(self) -> int:
        """Wait until the process has ended; return its status."""
        assert self._process is not None
        status = await self._process.wait()
        self._record.write(f"{self.node} has ended with status {status}")
        return status

    async def wait_until_ready(self) -> None:
        """Wait until the readiness address answers 200."""
        until_s = boot_seconds() + _READY_TIMEOUT_S
        while boot_seconds() < until_s:
            try:
                answer = await ask(self._readiness, b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            except OSError:
                answer = Answer()
            if answer.status == 200:
                self._record.write(f"{self.node} is ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.node} did not become ready")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def log_lines(self, *events: str) -> list[str]:
        """Return the lines of the daemon's log that name one of ``events``."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if any(event in line for event in events)]


class Answer:
    """What a client got: the status (0: no head), the headers and the body."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        #: Whether the whole body came.
        self.whole = False


def parse_answer(received: bytes) -> Answer:
    """Return an answer with a length from the bytes that came so far."""
    answer = Answer()
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return answer
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    pairs = (line.partition(":") for line in lines[1:])
    answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(answer.headers.get("content-length", "0"))
    answer.body = body[:length]
    answer.whole = len(body) >= length
    return answer


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length."""
    received = b""
    while True:
        try:
            piece = await reader.read(65_536)
        except ConnectionError:
            piece = b""
        received += piece
        answer = parse_answer(received)
        if answer.whole or not piece:
            return answer


async def read_until_closed(address: str, message: bytes, timeout_s: float = 20.0) -> bytes:
    """Send a request on a new connection and return all bytes up to its end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        writer.write(message)
        async with asyncio.timeout(timeout_s):
            while piece := await reader.read(65_536):
                received += piece
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return received


async def ask(address: str, message: bytes, timeout_s: float = 5.0) -> Answer:
    """Send a request on a new connection and return the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message)
        async with asyncio.timeout(timeout_s):
            return await read_answer(reader)
    except TimeoutError:
        return Answer()
    finally:
        writer.close()


def free_port(ip: str, kinds: tuple[socket.SocketKind, ...] = (socket.SOCK_STREAM,)) -> int:
    """Return a port that is free at an address for all kinds of sockets."""
    for _ in range(100):
        with socket.socket(socket.AF_INET, kinds[0]) as first:
            first.bind((ip, 0))
            port: int = first.getsockname()[1]
            try:
                for kind in kinds[1:]:
                    with socket.socket(socket.AF_INET, kind) as other:
                        other.bind((ip, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


class Deployment:
    """A store, replicas and daemons for one case."""

    def __init__(self, record: Record, folder: Path, rewritten_after_s: float = 0.0) -> None:
        self.record = record
        self.store = Store(rewritten_after_s)
        self.replicas: list[Any] = []
        self.daemons: list[Daemon] = []
        self._folder = folder

    def put_configuration(self, configuration: dict[str, Any], what: str) -> None:
        """Write a configuration as the operator does; the store's answer acknowledges it."""
        revision = self.store.put("op/config", configuration)
        version = configuration["Version"]
        self.record.write(f"configuration {version} ({what}) is acknowledged, revision {revision}")

    async def add_replica(
        self,
        replica_id: str,
        service: str,
        run: RunRequest,
        models: list[dict[str, Any]] | None = None,
    ) -> Replica:
        """Start a replica."""
        replica = Replica(self.store, replica_id, service, "ghala-a", run)
        await replica.start(models)
        self.replicas.append(replica)
        return replica

    async def start_daemons(self, count: int) -> None:
        """Start daemons and wait until all are ready."""
        # A block of loopback addresses of its own, so that two cases can run side by side.
        block = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        ips = [f"{block}.{number + 1}" for number in range(count)]
        peer = free_port(ips[0], (socket.SOCK_STREAM, socket.SOCK_DGRAM))
        controls = [f"{ip}:{free_port(ip)}" for ip in ips]
        zones = ("ghala-a", "ghala-b", "rusayl-a")
        for number, ip in enumerate(ips):
            settings = _SETTINGS.format(
                node=f"front-{zones[number % 3]}-{number // 3 + 1}",
                ip=ip,
                zone=zones[number % 3],
                front=free_port(ip),
                readiness=free_port(ip),
                control=controls[number].rpartition(":")[2],
                peer=peer,
                seeds=",".join(controls[:3]),
                store=self.store.address,
            )
            node = settings.partition("\n")[0].partition("=")[2]
            self.daemons.append(Daemon(self.record, node, settings, self._folder))
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    async def stop(self) -> None:
        """End all that was started."""
        for daemon in self.daemons:
            await daemon.end()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()


#: Plays a case; returns whether the rule held.
Case = Callable[[Deployment], Awaitable[bool]]


async def _play(case: Case, record: Record, rewritten_after_s: float) -> int:
    folder = Path(tempfile.mkdtemp(prefix="winchfork-review-"))
    deployment = Deployment(record, folder, rewritten_after_s)
    try:
        async with asyncio.timeout(MAX_SCRIPT_S):
            await deployment.store.start()
            return HELD if await case(deployment) else BROKEN
    except Exception as error:  # noqa: BLE001 - an error of the script must not count as a broken rule
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        await deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def main(case: Case, folder: Path, rewritten_after_s: float = 0.0) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    record.write(f"disruption: {'played' if TROUBLE else 'left out (TROUBLE=0)'}")
    if not (ROOT / "target" / "deps").is_dir():
        record.write("the case could not run: target/deps is missing, build the system first")
        sys.exit(NOT_RUN)
    status = asyncio.run(_play(case, record, rewritten_after_s))
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "not run"))
    record.close()
    sys.exit(status)
