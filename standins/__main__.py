"""Run the loopback deployment until it is interrupted and print a curl command for one request.

Usage: ``python -m standins``.
"""

from __future__ import annotations

import asyncio
import signal
import sys

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from winchfork.logs import configure_logs


def _curl(address: str) -> str:
    headers = {
        "Host": "proofs.example",
        "X-Request-Id": "try-1",
        "X-Key": API_KEY,
        "X-Deadline-Ms": "6000",
        "X-Model": MODEL,
        "X-Token-Usage": "1460,40",
        "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    }
    options = " ".join(f"-H '{name}: {value}'" for name, value in headers.items())
    return f"curl -N -X POST {options} http://{address}/review/page-1"


async def _serve() -> None:
    deployment = LoopbackDeployment()
    await deployment.start()
    await deployment.wait_until_ready()
    print("three routers, four model replicas, two application replicas, one store; try:")
    print(_curl(deployment.settings[0].caller_address), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    await deployment.stop()


def main() -> int:
    """Run the deployment until SIGINT or SIGTERM; return the exit code."""
    configure_logs("info", sys.stdout)
    asyncio.run(_serve())
    return 0


if __name__ == "__main__":
    sys.exit(main())
