"""Probes whether a replica still listens after a run on it broke off."""

from __future__ import annotations

import asyncio

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import Failure, FailureKind
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.state import RouterState

#: Seconds from a broken run to the probe; one probe covers all runs that break in this time. When a
#: replica crashes, its other runs break within some milliseconds.
PROBE_DELAY_S = 0.03


class ReplicaProbes:
    """Opens a connection to a replica after a broken run and records the result."""

    def __init__(self, state: RouterState, pool: ConnectionPool) -> None:
        self._state = state
        self._pool = pool
        #: Hashes of the incarnations whose probe has not begun yet.
        self._scheduled: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def schedule(self, replica: RelayReplica) -> None:
        """Schedule a probe of this incarnation, unless one is scheduled."""
        if replica.incarnation_hash in self._scheduled:
            return
        self._scheduled.add(replica.incarnation_hash)
        task = asyncio.get_running_loop().create_task(self._probe(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, replica: RelayReplica) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        self._scheduled.discard(replica.incarnation_hash)
        started_at_s = self._state.clock()
        address = replica.listing.address
        limit = self._state.connection_limit(replica.listing.service)
        # An idle connection proves nothing: its end may not have been detected yet.
        connection = await self._pool.open_new(address, limit)
        if not isinstance(connection, Failure):
            self._pool.release(address, connection)
            self._state.crashes.record_connected(replica, started_at_s)
        elif connection.kind is FailureKind.CONNECTION_REFUSED:
            self._state.crashes.record_crash(replica, CrashEvidence.PORT_CLOSED)
