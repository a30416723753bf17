"""Probes whether a replica on which a run broke still listens."""

from __future__ import annotations

import asyncio

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import Failure, FailureKind
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.state import RouterState

#: Seconds after a break until the replica's port is tried: the other runs of a replica that ends
#: break within some milliseconds, and one probe serves them all.
PROBE_DELAY_S = 0.03


class ReplicaProbes:
    """Opens a connection to a replica after a break, and keeps it for use if it comes up."""

    def __init__(self, state: RouterState, pool: ConnectionPool) -> None:
        self._state = state
        self._pool = pool
        #: Incarnations with a probe that has not begun yet.
        self._scheduled: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def schedule(self, replica: RelayReplica) -> None:
        """Probe soon, unless that is due already."""
        if replica.order_hash in self._scheduled:
            return
        self._scheduled.add(replica.order_hash)
        task = asyncio.get_running_loop().create_task(self._probe(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, replica: RelayReplica) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        self._scheduled.discard(replica.order_hash)
        asked_s = self._state.clock()
        address = replica.listing.address
        limit = self._state.connection_limit(replica.listing.service)
        # A kept connection says nothing: its end may not have been heard of yet.
        connection = await self._pool.open_new(address, limit)
        if not isinstance(connection, Failure):
            self._pool.release(address, connection)
            self._state.crashes.record_connected(replica, asked_s)
        elif connection.kind is FailureKind.CONNECTION_REFUSED:
            self._state.crashes.record_crash(replica, CrashEvidence.PORT_CLOSED)
