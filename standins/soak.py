"""A randomized soak: real router processes, faults from outside, promises checked by callers.

Routers run as processes of their own, each behind a proxy on its way to the store. Faults come from
outside: signals, the proxies, crashes of replicas, a store that refuses. Checked while it runs and
at the end: a command runs at most once, and never after an answer that promises "not run"; a whole
stream has every event once and in order, and a torn one is a prefix; weights are ordered by one
holder a fence, and holders do not take turns within the lease bound; a version of software that
fails is never put in force and gets no more than its budget; once healed, everybody serves.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from standins.answer_faults import ReplicaFault
from standins.fault_proxy import Fault, FaultProxy
from standins.fleet import KEY, MODEL, ZONES, Surroundings
from standins.replica_server import ReceivedOrder
from standins.rollout_operator import RolloutOperator, RolloutReport

LEASE_BOUND_S = 3.0
RECOVERY_S = 20.0
#: What a bad version may get, as the stand-ins' settings say, and how long a rollout may take.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLOUT_S = 8.0
_NOT_RUN = (408, 421, 429, 503)
_CALLERS = 6
_ANSWER_S = 9.0
_ROOT = Path(__file__).resolve().parent.parent


@dataclasses.dataclass
class Reply:
    """What a caller saw; status 0: no answer."""

    status: int
    body: bytes
    whole: bool


class RouterUnderSoak:
    """One router process and its way to the store."""

    def __init__(self, surroundings: Surroundings, number: int, zone: str, folder: Path) -> None:
        self._surroundings = surroundings
        self._number = number
        self._zone = zone
        self._file = folder / f"router-{number}.conf"
        self._log = folder / f"router-{number}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.address = ""
        self.paused = False

    async def prepare(self) -> None:
        """Start the proxy and write the settings, which stay the same over restarts."""
        self.proxy = FaultProxy(self._surroundings.store.address)
        await self.proxy.start()
        text = self._surroundings.settings_text(self._number, self._zone, self.proxy.address)
        self._file.write_text(text)
        lines = dict(line.split("=", 1) for line in text.splitlines())
        self.address = lines["ListenAddresses.Front"]

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "WINCHFORK_BOOT": str(self._file)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "winchfork.platform",
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end(self, number: signal.Signals) -> int:
        """Send a signal that ends the process; return its exit code.

        A process that has ended by itself is a broken promise: its code is not 0.
        """
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)
        return await self._process.wait()

    def kill(self) -> None:
        """End the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    def pause(self, paused: bool) -> None:
        """Freeze or thaw the process."""
        assert self._process is not None
        self._process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)
        self.paused = paused


class Soak:
    """One run with one seed."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._random = random.Random(seed)
        self._seconds = seconds
        self._surroundings = Surroundings()
        self._routers = [
            RouterUnderSoak(self._surroundings, number, zone, folder)
            for number, zone in enumerate(ZONES, start=1)
        ]
        self._version = 1
        self._asked = 0
        self._commands: dict[str, Reply] = {}
        self._rollouts: dict[str, asyncio.Task[None]] = {}
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self) -> None:
        """Run callers and faults together, heal, and judge; no process outlives the soak."""
        try:
            await self._run()
        finally:
            for router in self._routers:
                router.kill()

    async def _run(self) -> None:
        await self._surroundings.start()
        for router in self._routers:
            await router.prepare()
            await router.start()
        await self._expect_service("at the start")
        stop = asyncio.Event()
        callers = [asyncio.create_task(self._call(stop)) for _ in range(_CALLERS)]
        await self._inject()
        await asyncio.gather(*self._rollouts.values())
        stop.set()
        await asyncio.gather(*callers)
        await self._expect_service("after the last fault")
        self._judge_commands()
        self._judge_orders()
        for router in self._routers:
            code = await router.end(signal.SIGTERM)
            if code != 0:
                self.broken.append(f"a planned stop ended with {code}")
            await router.proxy.stop()
        await self._surroundings.stop()

    # Callers

    async def _call(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            router = self._random.choice(self._routers)
            self._asked += 1
            if self._random.random() < 0.5:
                await self._command(router, f"command-{self._asked}")
            else:
                await self._stream(router, f"stream-{self._asked}")
            await asyncio.sleep(self._random.random() * 0.05)

    async def _command(self, router: RouterUnderSoak, request_id: str) -> Reply:
        reply = await _ask(router.address, "/roster/x", request_id, "")
        self._commands[request_id] = reply
        self.outcomes[f"command {reply.status}"] += 1
        return reply

    async def _stream(self, router: RouterUnderSoak, request_id: str) -> Reply:
        tokens = self._random.randrange(1, 60)
        family = self._random.randrange(8)
        extra = (
            f"X-Model: {MODEL}\r\nX-Token-Usage: 900,{tokens}\r\n"
            f"X-Prefix-Hash: 5c1e07a2:300,{family:08x}:410,{self._asked:08x}:190\r\n"
        )
        reply = await _ask(router.address, "/review/x", request_id, extra)
        self.outcomes[f"stream {reply.status}{'' if reply.whole else ' torn'}"] += 1
        if reply.status == 200:
            self._judge_stream(request_id, reply, tokens)
        return reply

    async def _expect_service(self, when: str) -> None:
        deadline_s = asyncio.get_running_loop().time() + RECOVERY_S
        for router in self._routers:
            while (await self._stream(router, f"expect-{self._asked}")).status != 200:
                self._asked += 1
                if asyncio.get_running_loop().time() > deadline_s:
                    self.broken.append(f"{router.address} does not serve {when}")
                    return
                await asyncio.sleep(0.2)
            self._asked += 1

    # Faults

    async def _inject(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._seconds
        kinds = (
            self._kill,
            self._planned_stop,
            self._freeze,
            self._cut_store,
            self._reset_store,
            self._store_down,
            self._replica_crash,
            self._torn_streams,
            self._new_weights,
            self._new_weights,
            self._new_software,
            self._new_software,
        )
        while loop.time() < until_s:
            kind = self._random.choice(kinds)
            self.faults[kind.__name__.strip("_")] += 1
            await kind()
            await asyncio.sleep(self._random.random() * 1.5)

    async def _kill(self) -> None:
        router = self._random.choice(self._routers)
        await router.end(signal.SIGKILL)
        await asyncio.sleep(self._random.random())
        await router.start()

    async def _planned_stop(self) -> None:
        router = self._random.choice(self._routers)
        code = await router.end(signal.SIGTERM)
        if code != 0:
            self.broken.append(f"a planned stop ended with {code}")
        await router.start()

    async def _freeze(self) -> None:
        router = self._random.choice(self._routers)
        router.pause(True)
        await asyncio.sleep(0.5 + 4.0 * self._random.random())
        router.pause(False)

    async def _cut_store(self) -> None:
        router = self._random.choice(self._routers)
        router.proxy.fault = self._random.choice((Fault.DELAY, Fault.SILENCE, Fault.CUT_ANSWERS))
        await asyncio.sleep(1.0 + 5.0 * self._random.random())
        router.proxy.fault = Fault.NONE

    async def _reset_store(self) -> None:
        for router in self._routers:
            router.proxy.reset_all()

    async def _store_down(self) -> None:
        self._surroundings.store.down = True
        await asyncio.sleep(1.0 + 5.0 * self._random.random())
        self._surroundings.store.down = False

    async def _replica_crash(self) -> None:
        surroundings = self._surroundings
        operators = (surroundings.model_rollouts, surroundings.application_rollouts)
        replica = self._random.choice([item for one in operators for item in one.replicas])
        (await replica.crash()).lapse()
        await asyncio.sleep(self._random.random() * 2.0)
        await replica.restart()

    async def _torn_streams(self) -> None:
        for replica in self._surroundings.model_rollouts.replicas:
            replica.tear_at_event = self._random.randrange(0, 6)

    async def _new_weights(self) -> None:
        self._version += 1
        self._surroundings.name_weights(self._version)

    async def _new_software(self) -> None:
        """Order a service's next version, sound or not; other faults go on meanwhile."""
        surroundings = self._surroundings
        operators = {
            "models": surroundings.model_rollouts,
            "editing": surroundings.application_rollouts,
        }
        service = self._random.choice(sorted(operators))
        running = self._rollouts.get(service)
        if running is not None and not running.done():
            return
        fault = self._random.choice((ReplicaFault.NONE, ReplicaFault.FAILS, ReplicaFault.SLOW))
        roll = self._roll(operators[service], fault)
        self._rollouts[service] = asyncio.create_task(roll)

    async def _roll(self, operator: RolloutOperator, fault: ReplicaFault) -> None:
        report = await operator.roll(fault, ROLLOUT_S)
        self.outcomes[f"software {fault.value} {report.state or 'unsaid'}"] += 1
        self._judge_rollout(report, fault)

    # Promises

    def _judge_rollout(self, report: RolloutReport, fault: ReplicaFault) -> None:
        if not report.state:
            self.broken.append(f"{report.service} {report.target}: the status was never final")
        if fault is not ReplicaFault.FAILS:
            return
        if report.state == "completed":
            self.broken.append(f"{report.service} {report.target} fails and was put in force")
        most = EXPOSURE_SHARE * report.in_all + EXPOSURE_SLACK
        if report.on_target > most:
            self.broken.append(
                f"{report.service} {report.target} got {report.on_target} of {report.in_all}"
            )

    def _judge_stream(self, request_id: str, reply: Reply, tokens: int) -> None:
        lines = reply.body.decode("latin-1").split("\n\n")[: None if reply.whole else -1]
        ids = [int(line[4:].split("\n")[0]) for line in lines if line.startswith("id: ")]
        expected = list(range(1, tokens + 1))
        if reply.whole and ids != expected:
            self.broken.append(f"{request_id}: a whole stream has {ids} in place of 1 to {tokens}")
        if ids != expected[: len(ids)]:
            self.broken.append(f"{request_id}: a torn stream has {ids}")

    def _judge_commands(self) -> None:
        runs = Counter(name for item in self._surroundings.all_applications for name in item.ran)
        for request_id, reply in self._commands.items():
            if runs[request_id] > 1:
                self.broken.append(f"{request_id} ran {runs[request_id]} times")
            if reply.status in _NOT_RUN and runs[request_id]:
                self.broken.append(f"{request_id} got {reply.status} and ran")
            if reply.status == 200 and runs[request_id] != 1:
                self.broken.append(f"{request_id} got 200 and ran {runs[request_id]} times")

    def _judge_orders(self) -> None:
        for replica in self._surroundings.all_models:
            holders: dict[int, str] = {}
            last = ReceivedOrder(-1e9, "", 0)
            for order in replica.orders:
                if holders.setdefault(order.fence, order.holder) != order.holder:
                    self.broken.append(f"fence {order.fence} has two holders")
                if order.holder != last.holder and order.at_s - last.at_s < LEASE_BOUND_S:
                    self.broken.append(
                        f"{last.holder} and {order.holder} took turns within the lease bound"
                    )
                last = order


async def _ask(address: str, path: str, request_id: str, extra: str) -> Reply:
    host, _, port = address.rpartition(":")
    message = (
        f"POST {path} HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Key: {KEY}\r\nX-Deadline-Ms: 6000\r\n{extra}Content-Length: 4\r\n"
        "Connection: close\r\n\r\nbody"
    )
    try:
        async with asyncio.timeout(_ANSWER_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(message.encode())
                return await _read_reply(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(0, b"", False)


async def _read_reply(reader: asyncio.StreamReader) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split(" ", 2)[1])
    body = b""
    try:
        if "transfer-encoding: chunked" in head:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
        else:
            length = head.partition("content-length:")[2].split("\r\n")[0].strip()
            body = await reader.readexactly(int(length or 0))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Reply(status, body, False)
    return Reply(status, body, True)


def main() -> int:
    """Run one soak; 0 when no promise was broken. Logs stay in a folder that is named."""
    parser = argparse.ArgumentParser(prog="standins.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1_000_000))
    parser.add_argument("--seconds", type=float, default=120.0)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="winchfork-soak-"))
    soak = Soak(arguments.seed, arguments.seconds, folder)
    asyncio.run(soak.run())
    print(f"seed {arguments.seed}, {arguments.seconds:.0f} s of faults, logs in {folder}")
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(soak.faults.items())))
    print("answers: " + ", ".join(f"{name}: {n}" for name, n in sorted(soak.outcomes.items())))
    for line in soak.broken:
        print(f"BROKEN {line}")
    print(f"{len(soak.broken)} promises broken")
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())
