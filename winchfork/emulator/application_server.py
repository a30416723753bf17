"""An emulated application back end (such as a command relay), which counts executions by body.

Paths: ``POST /application/faults``, ``GET /application/executions``; a request to any other path
is executed and answered with its body and path.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from winchfork.emulator.json_http import json_response
from winchfork.gateway.server import PooledServer

_WORKERS = 64


class ApplicationServer:
    """One application replica, listening on its own address."""

    def __init__(self, address: str) -> None:
        self._executions: dict[str, int] = {}
        self._lock = threading.Lock()
        self._delay_s = 0.002
        self._lose_answers = 0
        self._server = PooledServer(address, self._application, _WORKERS)

    @property
    def address(self) -> str:
        """The base URL."""
        return f"http://{self._server.address}"

    def start(self) -> None:
        """Start serving on background threads."""
        self._server.start()

    def stop(self) -> None:
        """Stop without waiting for running requests."""
        self._server.stop(wait=False)

    def executions(self) -> dict[str, int]:
        """Return how often each body was executed."""
        with self._lock:
            return dict(self._executions)

    def lose_answers(self, count: int) -> None:
        """Execute the next ``count`` requests, but close their connections without an answer."""
        with self._lock:
            self._lose_answers = count

    def _application(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        if request.path == "/application/executions":
            return json_response(self.executions())(environ, start_response)
        if request.path == "/application/faults":
            return self._inject(request)(environ, start_response)
        return self._execute(request)(environ, start_response)

    def _execute(self, request: Request) -> Response:
        body = request.get_data().decode("utf-8", "replace")
        with self._lock:
            self._executions[body] = self._executions.get(body, 0) + 1
            lose = self._lose_answers > 0
            self._lose_answers -= lose
        time.sleep(self._delay_s)
        if lose:
            request.environ["winchfork.socket"].close()
            raise ConnectionResetError("injected fault: answer lost")
        return json_response({"executed": body, "path": request.path})

    def _inject(self, request: Request) -> Response:
        body = request.get_json()
        with self._lock:
            self._delay_s = float(body.get("delay_s", self._delay_s))
            self._lose_answers = int(body.get("lose_answers", self._lose_answers))
        return json_response({"ok": True})
