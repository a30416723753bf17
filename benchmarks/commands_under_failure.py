"""Checks that commands run at most once while daemons crash and the key-value store is down.

Usage: `python -m benchmarks.commands_under_failure [--commands N] [--lose-answers]`. A loopback
fleet runs in one process. Callers send each command with its own idempotency key and retry at other
daemons with the same key. Every few seconds one daemon crashes and restarts; the key-value store is
down for the middle half of the run. With `--lose-answers` the command relays also execute commands
without answering, so that their outcome stays unknown.
"""

from __future__ import annotations

import argparse
import json
import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.emulator.dev import DevFleet, EmulatedPlatform
from winchfork.emulator.load import new_command_key
from winchfork.emulator.workload import VIGIE
from winchfork.errors import Failure
from winchfork.logs import configure_logs

_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.4
_DURATION_S = 60.0
_CRASH_PERIOD_S = 5.0
_RESTART_DELAY_S = 1.5


class _Run:
    def __init__(self, fleet: DevFleet, emulated: EmulatedPlatform) -> None:
        self.fleet = fleet
        self.emulated = emulated
        self.client = HttpClient()
        self.outcomes: Counter[str] = Counter()
        self.outcome_by_order: dict[str, str] = {}
        self.first_attempt_ms: list[float] = []
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.crashes = 0

    def command(self, number: int) -> None:
        """Send one command until its outcome is known or its attempts are exhausted."""
        order = f"stop turbine {number}"
        key = new_command_key()
        outcome = "unknown"
        for attempt in range(_MAX_ATTEMPTS):
            settings = self.fleet.settings[(number + attempt) % len(self.fleet.settings)]
            request = HttpRequest(
                "POST",
                f"http://{settings.daemon.http_address}/v1/pools/relais/app/stop",
                order.encode(),
                {
                    "Authorization": f"Bearer {VIGIE.api_key(VIGIE.tenants[0])}",
                    "Idempotency-Key": key,
                    "X-Winchfork-First-Send": "true" if attempt == 0 else "false",
                },
                timeout_s=4.0,
                single_use=True,
            )
            started_s = time.perf_counter()
            answer = self.client.exchange(request)
            if not isinstance(answer, Failure):
                outcome = _read_outcome(answer.status, answer.body)
                if outcome == "answered" and attempt == 0:
                    with self.lock:
                        self.first_attempt_ms.append((time.perf_counter() - started_s) * 1000)
                if outcome in ("answered", "not_run", "ran"):
                    break
            time.sleep(_RETRY_DELAY_S)
        with self.lock:
            self.outcomes[outcome] += 1
            self.outcome_by_order[order] = outcome

    def crash_daemons(self) -> None:
        """Crash and restart one random daemon after another until the run is over."""
        generator = random.Random(1)
        while not self.over.wait(_CRASH_PERIOD_S):
            number = generator.randrange(len(self.fleet.daemons))
            daemon = self.fleet.daemons[number]
            if daemon is None:
                continue
            daemon.stop_at_once()
            self.crashes += 1
            time.sleep(_RESTART_DELAY_S)
            failure = self.fleet.start_daemon(number)
            while failure is not None and not self.over.wait(0.3):
                failure = self.fleet.start_daemon(number)

    def lose_answers(self) -> None:
        """Make command relays lose an answer at random after executing the command."""
        generator = random.Random(2)
        while not self.over.wait(1.0):
            for application in self.emulated.applications:
                application.lose_answers(generator.randrange(2))


def _read_outcome(status: int, body: bytes) -> str:
    if status == 200:
        return "answered"
    return str(json.loads(body)["error"]["ran"])


def main() -> None:
    """Run and print the counts.

    Exit code 1 if a command ran twice, ran although refused as not run, or was answered but not
    run.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commands", type=int, default=1000)
    parser.add_argument("--lose-answers", action="store_true")
    arguments = parser.parse_args()
    configure_logs("error")
    emulated = EmulatedPlatform(VIGIE)
    emulated.start()
    fleet = DevFleet(emulated)
    failure = fleet.start()
    assert failure is None, failure
    time.sleep(2.0)
    run = _Run(fleet, emulated)
    faults = [run.crash_daemons, *([run.lose_answers] if arguments.lose_answers else [])]
    threads = [threading.Thread(target=fault, daemon=True) for fault in faults]
    for thread in threads:
        thread.start()
    with ThreadPoolExecutor(48) as callers:
        for number in range(arguments.commands):
            if number == arguments.commands // 4:
                emulated.platform.inject({"down": True})
            if number == arguments.commands * 3 // 4:
                emulated.platform.inject({"down": False})
            callers.submit(run.command, number)
            time.sleep(_DURATION_S / arguments.commands)
    run.over.set()
    for thread in threads:
        thread.join()
    executions: Counter[str] = Counter()
    for application in emulated.applications:
        executions.update(application.executions())
    doubled = [order for order, count in executions.items() if count > 1]
    wrongly_refused = [
        order
        for order, outcome in run.outcome_by_order.items()
        if outcome == "not_run" and executions[order]
    ]
    lost = [
        order
        for order, outcome in run.outcome_by_order.items()
        if outcome == "answered" and not executions[order]
    ]
    total = sum(run.outcomes.values())
    print(f"commands {total}, daemon crashes {run.crashes}, outcomes {dict(run.outcomes)}")
    print(
        f"doubled {len(doubled)}, wrong 'not run' {len(wrongly_refused)}, "
        f"answered but not run {len(lost)}"
    )
    print(
        f"refused as not run {run.outcomes['not_run'] / total:.1%}, "
        f"unknown {run.outcomes['unknown'] / total:.1%}"
    )
    ordered = sorted(run.first_attempt_ms)
    if ordered:
        print(
            f"whole command, first attempt: p50 {ordered[len(ordered) // 2]:.1f} ms, "
            f"p99 {ordered[int(len(ordered) * 0.99)]:.1f} ms"
        )
    fleet.stop()
    emulated.stop()
    raise SystemExit(1 if doubled or wrongly_refused or lost else 0)


if __name__ == "__main__":
    main()
