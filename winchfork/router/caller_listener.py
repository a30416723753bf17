"""Accepts callers' connections, as many as this process can serve in time.

Few connections are accepted in each turn of the event loop, so that the others' answers, peers and
the store are served in between. Those that have waited too long are closed unread.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from winchfork.core.accept_queue import AcceptQueue
from winchfork.logs import log_event
from winchfork.router.log_rate_limit import LogRateLimit

#: Connections that wait in the operating system's queue; more are refused by it.
BACKLOG = 1024
#: Connections that are served, and that are closed unread, in one turn of the event loop.
MAX_ACCEPTS_PER_TURN = 64
MAX_CLOSES_PER_TURN = 256
#: Seconds without accepting after an error, such as a lack of file descriptors.
ERROR_PAUSE_S = 0.1


class CallerListener:
    """Listens on one address until it is closed; raises OSError if the address is in use."""

    def __init__(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        clock: Callable[[], float],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._queue = AcceptQueue()
        self._log_limit = LogRateLimit()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        #: Connections that were closed unread.
        self.closed_unread = 0
        self._watch()

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _watch(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._begin)

    def _begin(self) -> None:
        """Take connections in this turn, and in each following one until none waits."""
        self._loop.remove_reader(self._socket.fileno())
        self._take_turn()

    def _take_turn(self) -> None:
        if self._closed:
            return
        now_s = self._clock()
        self._queue.mark_waiting(now_s)
        try:
            if self._queue.is_overdue(now_s):
                is_empty = self._close_waiting()
            else:
                is_empty = self._accept_waiting()
        except OSError as error:
            if self._log_limit.allows(now_s):
                log_event("accept_failed", "ERROR", reason=repr(error))
            self._loop.call_later(ERROR_PAUSE_S, self._take_turn)
            return
        if is_empty:
            self._queue.mark_empty()
            self._watch()
        else:
            self._loop.call_soon(self._take_turn)

    def _accept_waiting(self) -> bool:
        """Serve the next connections; return whether none waits any more."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            connection = self._accept()
            if connection is None:
                return True
            task = self._loop.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return False

    def _close_waiting(self) -> bool:
        """Close the next connections unread; return whether none waits any more."""
        closed = 0
        while closed < MAX_CLOSES_PER_TURN:
            connection = self._accept()
            if connection is None:
                break
            connection.close()
            closed += 1
        self.closed_unread += closed
        if closed and self._log_limit.allows(self._clock()):
            log_event("connections_closed_unread", "WARNING", count=self.closed_unread)
        return closed < MAX_CLOSES_PER_TURN

    def _accept(self) -> socket.socket | None:
        """Return the next connection, or None if none waits."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return None
            except ConnectionAbortedError:
                continue
            connection.setblocking(False)
            return connection

    async def _serve(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError:
            connection.close()
