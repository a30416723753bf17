"""A pool of connections to replicas, with a limit for each address.

The most recently used connection is reused first, so that surplus ones become idle and are closed.
Replicas accept a limited number of connections from all daemons together, hence the limits.
"""

from __future__ import annotations

import asyncio

import msgspec

from winchfork.core.memory_budget import MemoryBudget
from winchfork.errors import Failure, FailureKind
from winchfork.router.replica_connection import ReplicaConnection

#: Seconds to establish a connection.
CONNECT_TIMEOUT_S = 0.6
#: Seconds that the connect timeout may fire late; beyond that, a stall of the process is assumed.
STALL_THRESHOLD_S = 0.3
#: Seconds after which an idle connection is closed.
IDLE_TIMEOUT_S = 12.0


class PoolCounters(msgspec.Struct):
    """Connection attempts that succeeded and failed since the start."""

    opened: int = 0
    failed: int = 0


class ConnectionPool:
    """Idle and busy connections by address."""

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        #: The budget of what the connections buffer.
        self.memory = memory or MemoryBudget()
        self._idle: dict[str, list[ReplicaConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self.counters = PoolCounters()
        #: The shortest connect time to each address so far, in seconds.
        self.min_connect_s: dict[str, float] = {}

    def is_connected(self, address: str) -> bool:
        """Whether there is a usable idle connection to an address."""
        now_s = self._loop.time()
        return any(connection.is_usable(now_s) for connection in self._idle.get(address, ()))

    async def acquire(self, address: str, limit: int) -> ReplicaConnection | Failure:
        """Return an idle or new connection; ``limit`` bounds the open ones to the address.

        A failure means that nothing was sent.
        """
        idle = self.pop_idle(address)
        if idle is not None:
            return idle
        return await self.open_new(address, limit)

    async def open_new(self, address: str, limit: int) -> ReplicaConnection | Failure:
        """Open a connection even if an idle one exists; ``limit`` bounds the open ones."""
        if self._open_counts.get(address, 0) >= limit:
            return FailureKind.OVERLOADED.because(
                f"all {limit} connections to {address} are in use"
            )
        return await self._open_with_retry(address)

    def release(self, address: str, connection: ReplicaConnection) -> None:
        """Put back a connection on which nothing was sent."""
        connection.idle_since_s = self._loop.time()
        self._idle.setdefault(address, []).append(connection)

    def pop_idle(self, address: str) -> ReplicaConnection | None:
        """Remove and return a usable idle connection, or None; unusable ones are closed."""
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now_s):
                return connection
            connection.close()
        return None

    async def _open_with_retry(self, address: str) -> ReplicaConnection | Failure:
        """Open a connection; retry once if the timeout expired during a stall of this process."""
        started_at_s = self._loop.time()
        connection = await self._open_one(address)
        late_s = self._loop.time() - started_at_s - CONNECT_TIMEOUT_S
        if isinstance(connection, Failure) and late_s > STALL_THRESHOLD_S:
            connection = await self._open_one(address)
        return connection

    async def _open_one(self, address: str) -> ReplicaConnection | Failure:
        host, _, port = address.rpartition(":")
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        released = False
        started_at_s = self._loop.time()

        def release() -> None:
            nonlocal released
            if not released:
                released = True
                self._decrement_open(address)

        def on_idle(connection: ReplicaConnection) -> None:
            if connection.closed:
                release()
            else:
                self._idle.setdefault(address, []).append(connection)

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: ReplicaConnection(on_idle, self.memory), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            release()
            self.counters.failed += 1
            refused = isinstance(error, ConnectionRefusedError)
            kind = FailureKind.CONNECTION_REFUSED if refused else FailureKind.BACKEND_UNREACHABLE
            return kind.because(
                f"{address}: {type(error).__name__}",
                remedy="check that it is running and reachable",
            )
        except asyncio.CancelledError:
            release()
            raise
        self.counters.opened += 1
        took_s = self._loop.time() - started_at_s
        self.min_connect_s[address] = min(took_s, self.min_connect_s.get(address, took_s))
        return connection

    def _decrement_open(self, address: str) -> None:
        remaining = self._open_counts.get(address, 1) - 1
        if remaining > 0:
            self._open_counts[address] = remaining
        else:
            self._open_counts.pop(address, None)

    def sweep(self, now_s: float) -> None:
        """Close connections that have been idle too long or whose keep-alive time has expired."""
        for address in list(self._idle):
            usable: list[ReplicaConnection] = []
            for connection in self._idle[address]:
                fresh = now_s - connection.idle_since_s < IDLE_TIMEOUT_S
                if fresh and connection.is_usable(now_s):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)
