"""UDP transport of the peer protocol; replies are matched to requests by nonce."""

from __future__ import annotations

import itertools
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from winchfork.cluster.wire import PeerCodec
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event

_RECEIVE_BYTES = 65_536
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
_POLL_S = 0.2


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class PeerTransport:
    """Sends and receives datagrams on one socket."""

    def __init__(self, address: str, codec: PeerCodec) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES)
        self._socket.bind(split_address(address))
        self._socket.settimeout(_POLL_S)
        host, port = self._socket.getsockname()[:2]
        #: The bound ``host:port``; a requested port 0 is replaced by the assigned one.
        self.address = f"{host}:{port}"
        self._codec = codec
        self._nonces = itertools.count(1)
        self._pending_replies: dict[int, Future[Any]] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0

    def send(self, address: str, message: Any) -> None:
        """Send one datagram without acknowledgement; a failed send is logged."""
        datagram = self._codec.encode(message)
        if isinstance(datagram, Failure):
            log_event("peer_send_failed", "WARNING", failure=datagram)
            return
        try:
            self._socket.sendto(datagram, split_address(address))
        except OSError as error:
            log_event("peer_send_failed", "DEBUG", address=address, error=error)
            return
        self.sent_messages += 1
        self.sent_bytes += len(datagram)

    def request(
        self, address: str, make_request: Callable[[int], Any], timeout_s: float
    ) -> Any | Failure:
        """Send a request with a new nonce and wait for the reply that carries it."""
        nonce = next(self._nonces)
        future: Future[Any] = Future()
        with self._lock:
            self._pending_replies[nonce] = future
        try:
            self.send(address, make_request(nonce))
            return future.result(timeout=timeout_s)
        except TimeoutError:
            return FailureKind.BACKEND_UNREACHABLE.because(
                f"no reply from {address} within {timeout_s} s"
            )
        finally:
            with self._lock:
                self._pending_replies.pop(nonce, None)

    def resolve(self, nonce: int, reply: Any) -> None:
        """Pass a reply to the request that waits for its nonce; a late reply is dropped."""
        with self._lock:
            future = self._pending_replies.get(nonce)
        if future is not None and not future.done():
            future.set_result(reply)

    def run(self, on_message: Callable[[Any, str], None]) -> None:
        """Receive until closed; the body of one thread, which ``on_message`` must not block."""
        while not self._stopping.is_set():
            try:
                datagram, (host, port) = self._socket.recvfrom(_RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            self.received_messages += 1
            self.received_bytes += len(datagram)
            message = self._codec.decode(datagram)
            if isinstance(message, Failure):
                log_event("peer_datagram_refused", "WARNING", sender=host, failure=message)
                continue
            try:
                on_message(message, f"{host}:{port}")
            except Exception as error:  # noqa: BLE001 - one bad message must not end the thread
                log_event("peer_message_failed", "ERROR", error=repr(error))

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._stopping.set()
        self._socket.close()
