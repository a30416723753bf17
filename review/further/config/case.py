"""A revoked API key is accepted by a daemon that starts while the store is back from a copy."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

from review.harness import TROUBLE, Daemon, Deployment, Replica, ask, main
from standins.http_server import Request, write_answer
from winchfork.boot_clock import boot_seconds

REVOKE_S = 5.0
#: When the store is away, in seconds after the acknowledgement of the revocation, and for how long.
AWAY_AT_S, AWAY_S = 4.3, 0.5
#: When the operator and the replicas write again, in seconds after the store's return. The pages
#: give two seconds for replicas' entries, and no time for the operator.
REWRITTEN_AFTER_S = 1.5
#: The age of the copy at the revocation, in seconds.
COPY_AGE_S = 0.5
KEPT_KEY, REVOKED_KEY = "kept-key-1", "revoked-key-1"


def _configuration(version: int, keys: list[str]) -> dict[str, Any]:
    route = {
        "Name": "status",
        "Host": "bank.example",
        "PathPrefix": "/status/",
        "Kind": "unsafe",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "transfer-api",
        "MaxAttempts": 1,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": "transfer-api", "MaxConnections": 110}],
        "Limits": limits,
        "Tenants": [{"Name": "bank", "ApiKeys": keys}],
    }


async def _send(deployment: Deployment, daemon: Daemon, request_id: str, key: str) -> int:
    """Send one request; return the status of its answer, 0 for none."""
    lines = [
        "POST /status/transfer HTTP/1.1",
        "Host: bank.example",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 3000",
        f"X-Key: {key}",
        "Content-Length: 0",
    ]
    try:
        answer = await ask(daemon.front, ("\r\n".join(lines) + "\r\n\r\n").encode())
        status = answer.status
    except OSError:
        status = 0
    deployment.record.write(f"{request_id} with {key} to {daemon.node}: {status or 'no answer'}")
    return status


async def case(deployment: Deployment) -> bool:
    """Return whether no request ran that was sent too late with the revoked key."""
    record = deployment.record
    ran: dict[str, float] = {}

    async def run(request: Request, writer: asyncio.StreamWriter) -> bool:
        request_id, tenant = request.headers["x-request-id"], request.headers.get("x-tenant-id")
        ran[request_id] = boot_seconds()
        record.write(f"{request_id} runs at {replica.replica_id} for tenant {tenant}")
        write_answer(writer, 200, b"done", replica.answer_headers(request))
        return True

    replica: Replica = await deployment.add_replica("i-transfer-1", "transfer-api", run)
    deployment.put_configuration(_configuration(1, [KEPT_KEY, REVOKED_KEY]), "both keys")
    await deployment.start_daemons(3)
    await asyncio.sleep(3.0)
    for daemon in deployment.daemons:
        await _send(deployment, daemon, f"before-{daemon.node}", REVOKED_KEY)

    copy = deployment.store.back_up()
    await asyncio.sleep(COPY_AGE_S)
    deployment.put_configuration(_configuration(7, [KEPT_KEY]), f"{REVOKED_KEY} is removed")
    revoked_at_s = boot_seconds()
    await asyncio.sleep(AWAY_AT_S)

    restarted = deployment.daemons[0]
    restarted.signal(signal.SIGKILL)
    await restarted.wait()
    if TROUBLE:
        record.write(f"the store is away for {AWAY_S} s and comes back from a copy")
        await deployment.store.drill(copy, AWAY_S)
        record.write(f"the store is back, era {deployment.store.era}")
    else:
        await asyncio.sleep(AWAY_S)
    await restarted.start()

    sent_at_s: dict[str, float] = {}
    number = 0
    until_s = revoked_at_s + AWAY_AT_S + AWAY_S + REWRITTEN_AFTER_S + 3.0
    while boot_seconds() < until_s:
        for daemon in deployment.daemons:
            if boot_seconds() - revoked_at_s <= REVOKE_S + 0.05:
                continue
            number += 1
            request_id = f"revoked-{number}"
            sent_at_s[request_id] = boot_seconds()
            await _send(deployment, daemon, request_id, REVOKED_KEY)
        await asyncio.sleep(0.15)
    for daemon in deployment.daemons:
        await _send(deployment, daemon, f"after-{daemon.node}", KEPT_KEY)
    for line in restarted.log_lines("configuration_installed", "store_era"):
        record.write(f"log of {restarted.node}: {line}")

    late = [request_id for request_id in sent_at_s if request_id in ran]
    for request_id in late:
        after_s = sent_at_s[request_id] - revoked_at_s
        record.write(f"{request_id} was sent {after_s:.2f} s after the acknowledgement, and ran")
    record.write(f"{len(sent_at_s)} requests with the revoked key were sent, {len(late)} ran")
    return not late


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent, REWRITTEN_AFTER_S)
