"""Runs all streaming exchanges of an HTTP client on one thread.

One thread avoids contention for the interpreter lock between streams. Callbacks run on the pump's
thread and must not block; backpressure is up to the receiver (``gateway.direct_stream``).
"""

from __future__ import annotations

import collections
import dataclasses
import selectors
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future

import pycurl

from winchfork.boot_clock import boot_seconds
from winchfork.errors import Failure

#: Interval of the ``should_stop`` calls for each running exchange.
_STOP_CHECK_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True)
class TransferEnd:
    """How a transfer ended: curl's code (0 for success) and message.

    ``stopped`` is the failure from ``should_stop``, if that ended the transfer.
    """

    code: int
    message: str
    stopped: Failure | None = None


#: Result of transfers that are aborted because the pump closes.
_CLOSED = TransferEnd(pycurl.E_ABORTED_BY_CALLBACK, "client closed")


@dataclasses.dataclass
class _Transfer:
    handle: pycurl.Curl
    should_stop: Callable[[], Failure | None]
    future: Future[TransferEnd]


class StreamPump:
    """Runs prepared curl handles. Thread-safe; the first transfer starts the thread."""

    def __init__(self) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._selector = selectors.DefaultSelector()
        self._waker, self._wake_receiver = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._inbox: collections.deque[_Transfer] = collections.deque()
        self._running: dict[pycurl.Curl, _Transfer] = {}
        self._timer_at_s: float | None = None
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._closing = False
        self._needs_collect = False

    def run(
        self, handle: pycurl.Curl, should_stop: Callable[[], Failure | None]
    ) -> Future[TransferEnd]:
        """Start a transfer; the caller must not use the handle until the future is done."""
        transfer = _Transfer(handle, should_stop, Future())
        with self._lock:
            if self._closing:
                transfer.future.set_result(_CLOSED)
                return transfer.future
            if self._thread is None:
                self._thread = threading.Thread(target=self._loop, daemon=True, name="pump")
                self._thread.start()
            self._inbox.append(transfer)
            self._waker.send(b"w")
        return transfer.future

    def close(self) -> None:
        """Stop the thread; running and queued transfers end as aborted. Safe to call twice."""
        with self._lock:
            if self._closing:
                return
            self._closing = True
            if self._thread is not None:
                self._waker.send(b"w")

    def _loop(self) -> None:
        next_check_s = boot_seconds() + _STOP_CHECK_PERIOD_S
        while not self._closing:
            now_s = boot_seconds()
            wake_s = next_check_s if self._timer_at_s is None else self._timer_at_s
            for key, mask in self._selector.select(max(0.0, min(wake_s, next_check_s) - now_s)):
                if key.fileobj is self._wake_receiver:
                    self._start_queued_transfers()
                else:
                    self._handle_socket(key.fd, mask)
            now_s = boot_seconds()
            if self._timer_at_s is not None and self._timer_at_s <= now_s:
                self._timer_at_s = None
                self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
                self._needs_collect = True
            if now_s >= next_check_s:
                next_check_s = now_s + _STOP_CHECK_PERIOD_S
                self._check_stops()
            if self._needs_collect:
                self._needs_collect = False
                self._collect()
        for transfer in list(self._running.values()):
            self._finish(transfer, _CLOSED)
        # Senders of wake-ups hold the lock, so no wake-up is sent to a closed socket.
        with self._lock:
            for transfer in self._inbox:
                transfer.future.set_result(_CLOSED)
            self._selector.close()
            self._waker.close()
            self._wake_receiver.close()

    def _start_queued_transfers(self) -> None:
        try:
            self._wake_receiver.recv(4096)
        except BlockingIOError:
            return
        while self._inbox:
            transfer = self._inbox.popleft()
            self._running[transfer.handle] = transfer
            self._multi.add_handle(transfer.handle)
        # Starts the added handles.
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._needs_collect = True

    def _handle_socket(self, descriptor: int, mask: int) -> None:
        flags = pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0
        if mask & selectors.EVENT_WRITE:
            flags |= pycurl.CSELECT_OUT
        _, active = self._multi.socket_action(descriptor, flags)
        self._needs_collect = self._needs_collect or active < len(self._running)

    def _on_socket(self, event: int, descriptor: int, _multi: object, _data: object) -> None:
        known = descriptor in self._selector.get_map()
        if event == pycurl.POLL_REMOVE:
            if known:
                self._selector.unregister(descriptor)
            return
        mask = selectors.EVENT_READ if event & pycurl.POLL_IN else 0
        if event & pycurl.POLL_OUT:
            mask |= selectors.EVENT_WRITE
        if known:
            self._selector.modify(descriptor, mask)
        else:
            self._selector.register(descriptor, mask)

    def _on_timer(self, timeout_ms: int) -> None:
        self._timer_at_s = None if timeout_ms < 0 else boot_seconds() + timeout_ms / 1000

    def _check_stops(self) -> None:
        for transfer in list(self._running.values()):
            stopped = transfer.should_stop()
            if stopped is not None:
                end = TransferEnd(pycurl.E_ABORTED_BY_CALLBACK, "stopped", stopped)
                self._finish(transfer, end)

    def _collect(self) -> None:
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._finish(self._running[handle], TransferEnd(0, ""))
            for handle, code, message in failed:
                self._finish(self._running[handle], TransferEnd(code, message))
            if not remaining:
                return

    def _finish(self, transfer: _Transfer, end: TransferEnd) -> None:
        del self._running[transfer.handle]
        self._multi.remove_handle(transfer.handle)
        transfer.future.set_result(end)
