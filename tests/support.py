"""Shared test helpers: waiting for a condition, and a whole fleet on loopback."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from winchfork.backends.http_client import HttpAnswer, HttpClient, HttpRequest
from winchfork.emulator.dev import DevFleet, EmulatedPlatform
from winchfork.emulator.workload import Deployment
from winchfork.errors import Failure

#: Bounds the wait for a condition; not an asserted duration.
MAX_WAIT_S = 30.0
_POLL_S = 0.02


def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Return once the condition holds; fail after ``MAX_WAIT_S``. ``what`` names it."""
    deadline_s = time.monotonic() + MAX_WAIT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(_POLL_S)


class LoopbackFleet:
    """Emulated engines and platform, with real daemons, on loopback."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.emulated = EmulatedPlatform(deployment)
        self.emulated.start()
        self.fleet = DevFleet(self.emulated)
        failure = self.fleet.start()
        if failure is not None:
            # Threads left running would keep the test run from ending.
            self.fleet.stop()
            self.emulated.stop()
            raise AssertionError(str(failure))
        self.client = HttpClient()

    def stop(self) -> None:
        """Stop everything."""
        self.client.close()
        self.fleet.stop()
        self.emulated.stop()

    def url(self, number: int = 0) -> str:
        """Return a daemon's base URL."""
        return f"http://{self.fleet.settings[number].daemon.http_address}"

    def headers(self, **extra: str) -> dict[str, str]:
        """Return a caller's headers; underscores in names become hyphens."""
        key = self.deployment.api_key(self.deployment.tenants[0])
        named = {name.replace("_", "-"): value for name, value in extra.items()}
        return {"Authorization": f"Bearer {key}", "Content-Type": "application/json", **named}

    def post(
        self, path: str, body: Any, number: int = 0, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        """Post JSON (or raw bytes) to a daemon."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        answer = self.client.exchange(
            HttpRequest(
                "POST",
                self.url(number) + path,
                data,
                self.headers() if headers is None else headers,
                timeout_s=60.0,
            )
        )
        if isinstance(answer, Failure):
            raise AssertionError(str(answer))
        return answer

    def complete(self, prompt: str, tokens: int, number: int = 0) -> HttpAnswer:
        """Request a completion that is not streamed."""
        body = {"model": self.deployment.model, "prompt": prompt, "max_tokens": tokens}
        return self.post("/v1/completions", body, number)

    def fault_engine(self, number: int, **faults: Any) -> None:
        """Inject faults into an engine."""
        answer = self.client.exchange(
            HttpRequest(
                "POST",
                f"{self.emulated.engines[number].address}/engine/faults",
                json.dumps(faults).encode(),
                {"Content-Type": "application/json"},
            )
        )
        if isinstance(answer, Failure) or answer.status != 200:
            raise AssertionError(f"the fault was not injected: {answer}")
