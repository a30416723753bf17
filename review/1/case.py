"""One faulty answer of a replica drives a daemon over its memory limit.

The platform then kills the daemon, and the requests that it had passed on to a sound replica are
never answered.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

from review.harness import TROUBLE, CannotRunError, Daemon, Deployment, Replica, main, read_answer
from standins.http_server import Request, write_answer
from winchfork.boot_clock import boot_seconds

MODEL = "m0"
#: Clients of the sound replica, each with a connection that it keeps, and the work of a request.
CLIENTS, WORK_S = 10, 0.3
#: The limit in the daemons' settings, ``Limits.MemoryMb``.
MEMORY_MB = 150
#: The most that the faulty replica sends, in bytes a second (1,000 Mbit/s) and bytes.
FAULTY_PER_S, FAULTY_BYTES = 125_000_000, 64_000_000
FAULTY_LINE = b"X-Part: 17\r\n"
#: When the faulty answer comes, in seconds after the daemons are ready: more than ``ContactMs``.
CALM_S = 4.5
#: How long the clients go on after that, in seconds.
WATCHED_S = 6.0
#: Lost requests that the rule allows.
ALLOWED = 3


def _route(name: str, service: str, kind: str, timeout_ms: int, attempts: int) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": "bank.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": attempts,
    }


def _configuration() -> dict[str, Any]:
    engine = {
        "Slots": 64,
        "KvCapacityTokens": 99487,
        "KvTokenBytes": 18432,
        "LinkMbps": 550000.0,
        "MaxInFlight": 4,
        "Models": [{"Name": MODEL}],
    }
    return {
        "Version": 1,
        "Routes": [
            _route("status", "transfer-api", "unsafe", 2000, 1),
            _route("reason", "screen-models", "streaming", 12000, 2),
        ],
        "Services": [
            {"Name": "transfer-api", "MaxConnections": 110},
            {"Name": "screen-models", "MaxConnections": 370, "Engine": engine},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "bank", "ApiKeys": ["key-1"]}],
    }


def _request(path: str, request_id: str, more: tuple[str, ...] = ()) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: bank.example",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 3000",
        "X-Key: key-1",
        *more,
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class _Play:
    """What was run, answered and lost."""

    def __init__(self, deployment: Deployment) -> None:
        self.record = deployment.record
        self.ran: set[str] = set()
        self.answered = 0
        #: Requests of kept connections, run at the sound replica and never answered.
        self.lost: list[str] = []
        self.ends_at_s = float("inf")

    async def serve_soundly(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a short request, and answer it."""
        request_id = request.headers["x-request-id"]
        self.ran.add(request_id)
        await asyncio.sleep(WORK_S)
        headers = {"X-Request-Id": request_id, "X-Server-Signature": f"sound.{request_id}"}
        write_answer(writer, 200, b"done" * 200, headers)
        return True

    async def serve_faultily(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Stream an answer; with the disruption, send bytes that form no answer."""
        request_id = request.headers["x-request-id"]
        self.record.write(f"{request_id} reaches the model replica")
        if not TROUBLE:
            await self._stream(request_id, writer)
            return True
        writer.write(b"HTTP/1.1 200 OK\r\n")
        sent, began_s = 0, boot_seconds()
        piece = FAULTY_LINE * 2000
        try:
            while sent < FAULTY_BYTES:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(max(0.0, began_s + sent / FAULTY_PER_S - boot_seconds()))
        except ConnectionError:
            pass
        took_s = boot_seconds() - began_s
        self.record.write(f"{request_id}: the replica has sent {sent} bytes in {took_s:.2f} s")
        return False

    async def _stream(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Server-Signature: model.{request_id}",
            "X-Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, 50):
            event = b"id: %d\ndata: a piece\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        self.record.write(f"{request_id}: the replica has sent its whole answer")

    async def send_on_a_kept_connection(self, daemon: Daemon, client: int) -> None:
        """Send one request after the other on one connection until it closes."""
        # Spreads the clients, so that they don't get their answers at one moment.
        await asyncio.sleep(client * WORK_S / CLIENTS)
        host, _, port = daemon.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        number = 0
        while boot_seconds() < self.ends_at_s:
            number += 1
            request_id = f"c{client}-{number}"
            try:
                writer.write(_request("/status/transfer", request_id))
                answer = await read_answer(reader)
            except ConnectionError:
                break
            if answer.whole:
                self.answered += answer.status == 200
                continue
            if number > 1 and request_id in self.ran and not answer.status:
                self.lost.append(request_id)
            self.record.write(f"{request_id}: the connection has closed without an answer")
            break
        writer.close()


async def _enforce_memory_limit(daemon: Daemon, play: _Play) -> None:
    """Kill the daemon if it goes over its limit, as the platform does."""
    highest_mb = 0
    while daemon.exit_status is None:
        resident_mb = daemon.resident_mb()
        if resident_mb >= highest_mb + 10:
            highest_mb = resident_mb
            play.record.write(f"{daemon.node} holds {resident_mb} MB")
        if resident_mb > MEMORY_MB:
            play.record.write(f"{daemon.node} holds {resident_mb} MB, over its limit: it is killed")
            daemon.signal(signal.SIGKILL)
            await daemon.wait()
            return
        await asyncio.sleep(0.01)


async def case(deployment: Deployment) -> bool:
    """Return whether no more requests were lost than the rule allows."""
    record = deployment.record
    play = _Play(deployment)
    sound: Replica = await deployment.add_replica("i-sound", "transfer-api", play.serve_soundly)
    models = [{"Name": MODEL, "Version": 1, "Adapters": []}]
    await deployment.add_replica("i-faulty", "screen-models", play.serve_faultily, models)
    deployment.put_configuration(_configuration(), "two routes")
    deployment.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
    await deployment.start_daemons(2)
    daemon = deployment.daemons[0]
    limit = asyncio.create_task(_enforce_memory_limit(daemon, play))
    clients = [
        asyncio.create_task(play.send_on_a_kept_connection(daemon, number))
        for number in range(1, CLIENTS + 1)
    ]
    await asyncio.sleep(CALM_S)
    if not play.answered:
        raise CannotRunError(f"{sound.replica_id} has answered nothing")
    record.write(f"{play.answered} requests were served before the stream")
    play.ends_at_s = boot_seconds() + WATCHED_S
    host, _, port = daemon.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    prompt = (f"X-Model: {MODEL}", "X-Token-Usage: 826,49", "X-Prefix-Hash: 5c1e07a2:198,e440:628")
    writer.write(_request("/reason/draft", "stream-1", prompt))
    record.write("stream-1 is sent")
    await asyncio.gather(*clients)
    writer.close()
    limit.cancel()
    record.write(f"{play.answered} requests of {CLIENTS} kept connections were served")
    record.write(f"run at {sound.replica_id}, never answered: {', '.join(play.lost) or 'none'}")
    return len(play.lost) <= ALLOWED


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
