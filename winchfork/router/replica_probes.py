"""Probes whether a replica can be reached after a run on it broke off or peers reported it."""

from __future__ import annotations

import asyncio

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.relay_replica import RelayReplica
from winchfork.errors import FailureKind
from winchfork.router.replica_connector import ReplicaConnector
from winchfork.router.state import RouterState

#: Seconds from a broken run to the probe; one probe covers all runs that break in this time. When a
#: replica crashes, its other runs break within some milliseconds.
PROBE_DELAY_S = 0.03


class ReplicaProbes:
    """Connects to a replica by any path after a broken run or a report, and records the result."""

    def __init__(self, state: RouterState, connector: ReplicaConnector) -> None:
        self._state = state
        self._connector = connector
        #: Hashes of the incarnations whose probe has not begun yet.
        self._scheduled: set[int] = set()
        #: Hashes of those of them that are ejected without proof by another path.
        self._unverified: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def verify_ejection(self, replica: RelayReplica) -> None:
        """Schedule a probe that ends the replica's ejection if it reaches it by some path."""
        self._unverified.add(replica.incarnation_hash)
        self.schedule(replica)

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
        was_unverified = replica.incarnation_hash in self._unverified
        self._unverified.discard(replica.incarnation_hash)
        started_at_s = self._state.clock()
        # An idle connection proves nothing: its end may not have been detected yet.
        failed = await self._connector.verify(replica)
        if failed is None:
            self._state.crashes.record_connected(replica, started_at_s)
            if was_unverified:
                self._state.end_ejection(replica)
            return
        if failed.failure.kind is FailureKind.CONNECTION_REFUSED:
            self._state.crashes.record_crash(replica, CrashEvidence.PORT_CLOSED)
        if failed.is_unreachable:
            self._state.record_unreachable(
                replica, failed.failure.reason, confirmed=failed.confirmed
            )
