"""A werkzeug server on a bounded pool of worker threads.

Each connection holds one worker while its request is served, so the pool bounds the open requests.
When every worker is busy, a new connection is refused at once with a typed failure. Reads and
writes have a timeout, so that a stalled caller does not hold its worker.
"""

from __future__ import annotations

import json
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from winchfork.constants import CALLER_SOCKET_TIMEOUT_S
from winchfork.errors import FailureKind
from winchfork.logs import log_event

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

_BACKLOG = 1024
_BUSY_BODY = (
    b'{"error":{"message":"every worker is busy","type":"overloaded","code":"overloaded",'
    b'"ran":"not_run","remedy":"retry after the given time"}}'
)
_BUSY_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: "
    + str(len(_BUSY_BODY)).encode()
    + b"\r\n\r\n"
    + _BUSY_BODY
)


class _Handler(WSGIRequestHandler):
    """HTTP/1.1 with chunked streams; werkzeug's messages go to the daemon's log."""

    protocol_version = "HTTP/1.1"
    timeout = CALLER_SOCKET_TIMEOUT_S
    #: Werkzeug writes each chunk in several parts; the buffer holds them until it flushes.
    wbufsize = 64 * 1024

    def setup(self) -> None:
        """Disable Nagle's algorithm, so that each chunk is sent at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def make_environ(self) -> dict[str, Any]:
        """Pass the caller's connection to the application."""
        environ = super().make_environ()
        environ["winchfork.socket"] = self.connection
        return environ

    def handle(self) -> None:
        """Serve one request; a broken connection is only logged."""
        try:
            super().handle()
        except (OSError, ssl.SSLError) as error:
            log_event("caller_connection_ended", "DEBUG", error=repr(error))

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a malformed HTTP request with a typed failure, like any other refusal."""
        failure = FailureKind.INVALID_REQUEST.because(
            message or "the request cannot be read", remedy="send an HTTP/1.1 request"
        )
        body = json.dumps(
            {
                "error": {
                    "message": failure.reason,
                    "type": failure.kind.value,
                    "code": failure.kind.value,
                    "ran": failure.ran.value,
                    "remedy": failure.remedy,
                }
            }
        ).encode()
        if self.request_version == "HTTP/0.9":
            # For HTTP/0.9 (a request without a version), http.server sends no status line.
            self.request_version = "HTTP/1.1"
        self.send_response(code)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = True

    def log(self, type: str, message: str, *args: Any) -> None:  # noqa: A002 - werkzeug's name
        """Log werkzeug's access and error lines as debug events."""
        log_event("http_server", "DEBUG", kind=type, message=message % args if args else message)


class PooledServer(BaseWSGIServer):
    """Serves ``application`` on ``address`` with at most ``workers`` requests at a time."""

    multithread = True
    request_queue_size = _BACKLOG

    def __init__(
        self,
        address: str,
        application: WsgiApplication,
        workers: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port), application, handler=_Handler)
        self._tls = tls
        self._pool = ThreadPoolExecutor(workers, thread_name_prefix="http")
        self._slots = threading.BoundedSemaphore(workers)
        self.refused_connections = 0

    @property
    def address(self) -> str:
        """The bound ``host:port``; a requested port 0 is replaced by the assigned one."""
        return f"{self.server_address[0]!s}:{self.server_address[1]}"

    def process_request(self, request: Any, client_address: Any) -> None:
        """Pass a connection to a free worker, or refuse it at once."""
        if not self._slots.acquire(blocking=False):
            self._refuse(request)
            return
        self._pool.submit(self._serve, request, client_address)

    def start(self) -> None:
        """Serve on a new thread until :meth:`stop`."""
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    def stop(self, *, wait: bool = True) -> None:
        """Accept no more connections; with ``wait``, finish the running requests."""
        self.shutdown()
        self.socket.close()
        self._pool.shutdown(wait=wait)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            if self._tls is not None:
                request.settimeout(CALLER_SOCKET_TIMEOUT_S)
                request = self._tls.wrap_socket(request, server_side=True)
            self.finish_request(request, client_address)
        except OSError as error:
            log_event("caller_connection_ended", "DEBUG", error=repr(error))
        except Exception as error:  # noqa: BLE001 - a worker must survive any request
            log_event("request_crashed", "ERROR", error=repr(error))
        finally:
            self._slots.release()
            self.shutdown_request(request)

    def _refuse(self, request: Any) -> None:
        self.refused_connections += 1
        try:
            request.settimeout(1.0)
            request.sendall(_BUSY_ANSWER)
        except OSError:
            pass
        finally:
            self.shutdown_request(request)
