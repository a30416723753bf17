"""HTTP client on pycurl: pooled connections, streams and timeouts.

A failure states whether the request may have run: ``BACKEND_UNREACHABLE`` proves that it did not
reach the back end; after ``BACKEND_FAILED`` its execution is unknown.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections.abc import Callable, Mapping
from urllib.parse import urlsplit

import pycurl

from winchfork.backends.stream_pump import StreamPump
from winchfork.constants import CONNECT_TIMEOUT_S
from winchfork.errors import Failure, FailureKind, RunState

_IDLE_HANDLES_PER_ORIGIN = 256
#: curl errors that occur before any byte of the request is sent.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """One request. Times in seconds.

    ``idle_timeout_s`` bounds the time without a received byte; 0 disables it. ``single_use`` opens
    a connection for this request only, because curl may resend a request when a reused connection
    turns out to be closed.
    """

    method: str
    url: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    timeout_s: float = 30.0
    idle_timeout_s: float = 0.0
    single_use: bool = False


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """A complete answer; header names in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass
class _Exchange:
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    aborted: Failure | None = None


class HttpClient:
    """Thread-safe client; each exchange borrows a curl handle with a persistent connection."""

    def __init__(self, *, verify_file: str | None = None) -> None:
        self._verify_file = verify_file
        self._pump = StreamPump()
        self._idle: dict[str, collections.deque[pycurl.Curl]] = collections.defaultdict(
            collections.deque
        )
        self._lock = threading.Lock()

    def exchange(self, request: HttpRequest) -> HttpAnswer | Failure:
        """Perform a request on the calling thread and return the whole answer."""
        parts: list[bytes] = []
        exchange = _Exchange()
        handle, origin = self._open(request)
        _prepare(handle, request, exchange, lambda status, headers: None, parts.append)
        try:
            handle.perform()
        except pycurl.error as error:
            message = handle.errstr()
            handle.close()
            return _describe(int(error.args[0]), message, exchange.status, origin)
        self._close_or_keep(request, origin, handle)
        return HttpAnswer(exchange.status, exchange.headers, b"".join(parts))

    def stream(
        self,
        request: HttpRequest,
        on_start: Callable[[int, Mapping[str, str]], Failure | None],
        on_data: Callable[[bytes], Failure | None],
        should_stop: Callable[[], Failure | None] = lambda: None,
    ) -> tuple[int, Mapping[str, str]] | Failure:
        """Perform a request, passing on body data as it arrives; block until the end.

        The callbacks run on the pump's thread and must not block. Each may return a Failure to
        abort the exchange; that failure is the result.
        """
        exchange = _Exchange()
        handle, origin = self._open(request)
        _prepare(handle, request, exchange, on_start, on_data)
        end = self._pump.run(handle, should_stop).result()
        if end.code != 0:
            handle.close()
            if exchange.aborted is not None:
                return exchange.aborted
            if end.stopped is not None:
                return end.stopped
            return _describe(end.code, end.message, exchange.status, origin)
        self._close_or_keep(request, origin, handle)
        return exchange.status, exchange.headers

    def close(self) -> None:
        """Close all idle connections and the stream pump."""
        with self._lock:
            for handles in self._idle.values():
                for handle in handles:
                    handle.close()
            self._idle.clear()
        self._pump.close()

    def _open(self, request: HttpRequest) -> tuple[pycurl.Curl, str]:
        origin = urlsplit(request.url).netloc
        handle = pycurl.Curl() if request.single_use else self._borrow(origin)
        if self._verify_file:
            handle.setopt(pycurl.CAINFO, self._verify_file)
        return handle, origin

    def _close_or_keep(self, request: HttpRequest, origin: str, handle: pycurl.Curl) -> None:
        if request.single_use:
            handle.close()
        else:
            self._give_back(origin, handle)

    def _borrow(self, origin: str) -> pycurl.Curl:
        with self._lock:
            idle = self._idle[origin]
            if idle:
                return idle.pop()
        return pycurl.Curl()

    def _give_back(self, origin: str, handle: pycurl.Curl) -> None:
        handle.reset()
        with self._lock:
            idle = self._idle[origin]
            if len(idle) < _IDLE_HANDLES_PER_ORIGIN:
                idle.append(handle)
                return
        handle.close()


def _prepare(
    handle: pycurl.Curl,
    request: HttpRequest,
    exchange: _Exchange,
    on_start: Callable[[int, Mapping[str, str]], Failure | None],
    on_data: Callable[[bytes], Failure | None],
) -> None:
    def receive_header(line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            exchange.status = int(text.split(" ", 2)[1])
            exchange.headers = {}
        elif ":" in text:
            name, _, value = text.partition(":")
            exchange.headers[name.strip().lower()] = value.strip()
        elif not text and exchange.status >= 200:
            exchange.aborted = on_start(exchange.status, exchange.headers)

    def receive_body(data: bytes) -> int:
        if exchange.aborted is None:
            exchange.aborted = on_data(data)
        return -1 if exchange.aborted is not None else len(data)

    handle.setopt(pycurl.URL, request.url)
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.NOPROXY, "*")
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
    if request.idle_timeout_s:
        handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        handle.setopt(pycurl.LOW_SPEED_TIME, max(1, int(request.idle_timeout_s)))
    if request.single_use:
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
    headers = [f"{name}: {value}" for name, value in request.headers.items()]
    handle.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
    if request.body or request.method in ("POST", "PUT"):
        handle.setopt(pycurl.POSTFIELDS, request.body)
    handle.setopt(pycurl.HEADERFUNCTION, receive_header)
    handle.setopt(pycurl.WRITEFUNCTION, receive_body)


def _describe(code: int, message: str, status: int, origin: str) -> Failure:
    reason = f"{origin}: curl error {code}: {message}"
    if code in _NOT_SENT:
        return FailureKind.BACKEND_UNREACHABLE.because(reason, ran=RunState.NOT_RUN)
    if code == pycurl.E_OPERATION_TIMEDOUT and status == 0 and "onnect" in message:
        return FailureKind.BACKEND_UNREACHABLE.because(reason, ran=RunState.NOT_RUN)
    return FailureKind.BACKEND_FAILED.because(reason, ran=RunState.UNKNOWN)
