"""Measures a daemon's overhead: streams through it compared with streams from the engines.

Usage: `python -m benchmarks.overhead --daemon URL --daemon-pid PID --engine URL [--engine URL ...]`
with `winchfork emulate` and `winchfork serve` running as separate processes. Prints times to first
token and gaps between chunks in ms, and the daemon's processor time per chunk.
"""

from __future__ import annotations

import argparse
import json
import os
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.emulator.sim_metrics import percentile
from winchfork.emulator.workload import HIMAL

_TOKENS = 150


class _Timing:
    def __init__(self) -> None:
        self.first_s: list[float] = []
        self.gaps_s: list[float] = []
        self.chunks = 0
        self.lock = threading.Lock()


def _stream(client: HttpClient, url: str, body: bytes, timing: _Timing) -> None:
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {HIMAL.api_key(HIMAL.tenants[0])}",
    }
    times: list[float] = []
    started_s = time.perf_counter()

    def on_data(data: bytes) -> None:
        # Only events with text count; an engine's first event has none.
        now_s = time.perf_counter()
        times.extend([now_s] * data.count(b'"text": "') or [])

    request = HttpRequest("POST", f"{url}/v1/completions", body, headers, timeout_s=60.0)
    client.stream(request, lambda status, answer: None, on_data)
    with timing.lock:
        if times:
            timing.first_s.append(times[0] - started_s)
            timing.gaps_s += [b - a for a, b in zip(times, times[1:], strict=False)]
            timing.chunks += len(times)


def measure(
    client: HttpClient, urls: list[str], make_body: Callable[[int], bytes], streams: int
) -> tuple[_Timing, float]:
    """Run three times ``streams`` requests, ``streams`` at a time; return timings and seconds."""
    timing = _Timing()
    started_s = time.perf_counter()
    with ThreadPoolExecutor(streams) as pool:
        for number in range(streams * 3):
            pool.submit(_stream, client, urls[number % len(urls)], make_body(number), timing)
    return timing, time.perf_counter() - started_s


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Measure two rounds and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--daemon-pid", type=int, required=True)
    parser.add_argument("--engine", action="append", required=True)
    parser.add_argument("--streams", type=int, default=60)
    arguments = parser.parse_args()
    client = HttpClient()

    def engine_body(number: int) -> bytes:
        return json.dumps(
            {
                "id": f"bench-{time.time_ns()}-{number}",
                "prompt": f"bench {number}",
                "max_tokens": _TOKENS,
                "priority": 1,
            }
        ).encode()

    def daemon_body(number: int) -> bytes:
        return json.dumps(
            {
                "model": HIMAL.model,
                "prompt": f"bench {number}",
                "max_tokens": _TOKENS,
                "stream": True,
            }
        ).encode()

    for round_number in range(2):
        straight, straight_s = measure(client, arguments.engine, engine_body, arguments.streams)
        before_s = _processor_s(arguments.daemon_pid)
        through, through_s = measure(client, [arguments.daemon], daemon_body, arguments.streams)
        spent_s = _processor_s(arguments.daemon_pid) - before_s
        print(f"round {round_number}:")
        for name, timing, seconds in (
            ("straight", straight, straight_s),
            ("through", through, through_s),
        ):
            first = [percentile(timing.first_s, level) * 1000 for level in (50, 99)]
            gaps = [percentile(timing.gaps_s, level) * 1000 for level in (50, 95, 99)]
            print(
                f"  {name:8} first token p50 {first[0]:.2f} p99 {first[1]:.2f} ms; "
                f"between p50 {gaps[0]:.2f} p95 {gaps[1]:.2f} p99 {gaps[2]:.2f} ms; "
                f"{timing.chunks / seconds:.0f} chunks/s"
            )
        print(
            f"  daemon: {spent_s / max(1, through.chunks) * 1e6:.0f} us of processor a chunk, "
            f"{spent_s / through_s:.2f} of a core"
        )


if __name__ == "__main__":
    main()
