"""Connects to replicas, directly or through a peer that reaches them.

A new direct connection that does not come up soon is hedged: peers are asked whether they reach the
replica. The first path that works is used. Only if no path does is the replica unreachable.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from winchfork.core.member import Member
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_paths import MAX_RELAY_PEERS, ReplicaPaths
from winchfork.core.zone_hubs import FleetView
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.pooled_http_client import PooledHttpClient
from winchfork.router.replica_connection import RelayLeg, ReplicaConnection
from winchfork.router.replica_reach import Reach, ReachResult, ReplicaReach
from winchfork.router.state import RouterState

#: Seconds after which a connection that is not up is hedged.
HEDGE_DELAY_S = 0.15
#: Seconds between two looks for lost paths that are to be checked.
CHECK_TICK_S = 0.25
#: Limit on this daemon's open connections to one peer.
MAX_PEER_CONNECTIONS = 64
#: Share of the listed replicas without a direct path from which on this daemon counts as
#: partitioned from the replicas.
PARTITIONED_SHARE = 0.1

#: Seconds for which a path must have been lost to count for that; a sound replica or link may be
#: silent for a second or so.
PARTITIONED_AFTER_S = 1.5

_DirectTask = asyncio.Task[ReplicaConnection | Failure]
_UNREACHABLE_KINDS = (FailureKind.BACKEND_UNREACHABLE, FailureKind.CONNECTION_REFUSED)


class ConnectFailure(msgspec.Struct, frozen=True):
    """Nothing was sent. ``confirmed``: a peer could not reach the replica either.

    ``unverified``: no peer has been asked, so this daemon's link may be at fault.
    """

    failure: Failure
    confirmed: bool = False
    unverified: bool = False

    @property
    def is_unreachable(self) -> bool:
        """Whether no connection came up, as opposed to a limit of this daemon."""
        return self.failure.kind in _UNREACHABLE_KINDS


class ReplicaConnector:
    """Opens, reuses and releases connections for requests to replicas."""

    def __init__(self, state: RouterState, pool: ConnectionPool, generator: random.Random) -> None:
        self._state = state
        self._pool = pool
        self._generator = generator
        self.paths = ReplicaPaths()
        self._peer_pool = ConnectionPool(state.memory)
        #: Connections for questions to peers, beside those that requests take.
        self._question_pool = ConnectionPool(state.memory)
        client = PooledHttpClient(
            self._question_pool, lambda label: state.metrics.calls.labels(label).inc()
        )
        self._reach = ReplicaReach(self.paths, client, state.clock, generator)
        self._tasks: set[asyncio.Task[None]] = set()

    def set_view(self, view: Callable[[], FleetView | None]) -> None:
        """Set the function that returns the fleet as this daemon sees it."""
        self._reach.view = view

    @property
    def is_partitioned(self) -> bool:
        """Whether peers have reached many replicas for a while that this daemon does not reach."""
        lost = self.paths.count_lost_for(PARTITIONED_AFTER_S, self._state.clock())
        return lost > PARTITIONED_SHARE * len(self._state.fleet)

    def is_connected(self, address: str) -> bool:
        """Whether a request can be sent to an address without a new connection to the replica."""
        return self.paths.is_lost(address) or self._pool.is_connected(address)

    def pop_idle(self, replica: RelayReplica) -> ReplicaConnection | None:
        """Return an idle direct connection, or None."""
        if self.paths.is_lost(replica.listing.address):
            return None
        return self._pool.pop_idle(replica.listing.address)

    def release(self, replica: RelayReplica, connection: ReplicaConnection) -> None:
        """Put back a connection on which nothing was sent."""
        if connection.relay is not None:
            self._peer_pool.release(connection.relay.peer_address, connection)
        else:
            self._pool.release(replica.listing.address, connection)

    async def connect(
        self, replica: RelayReplica, has_others: Callable[[], bool] = lambda: False
    ) -> ReplicaConnection | ConnectFailure:
        """Return a connection to a replica by any path that exists.

        ``has_others`` returns whether the request may go to another replica. It then had better do
        so at once if the direct connection is refused: most often the replica has crashed.
        """
        address = replica.listing.address
        if self.paths.is_lost(address):
            relayed = await self._connect_through_known_peer(address)
            if relayed is not None:
                return relayed
        return await self._connect_by_any_path(replica, has_others)

    async def verify(self, replica: RelayReplica) -> ConnectFailure | None:
        """Return the failure if no path leads to a replica; proven by a new connection."""
        connection = await self._connect_by_any_path(replica, lambda: False)
        if isinstance(connection, ConnectFailure):
            return connection
        self.release(replica, connection)
        return None

    async def connect_directly(self, replica: RelayReplica) -> ReplicaConnection | Failure:
        """Open a new direct connection, even if an idle one exists."""
        limit = self._state.connection_limit(replica.listing.service)
        connection = await self._pool.open_new(replica.listing.address, limit)
        if not isinstance(connection, Failure):
            self._record_restored(replica.listing.address)
        return connection

    async def check_directly(self, replica: RelayReplica, timeout_s: float) -> Failure | None:
        """Return why a new direct connection did not come up in time; None if it did."""
        direct = asyncio.get_running_loop().create_task(self.connect_directly(replica))
        direct.add_done_callback(lambda task: self._release_unused(replica, task))
        await asyncio.wait({direct}, timeout=timeout_s)
        if not direct.done():
            return FailureKind.BACKEND_UNREACHABLE.because(f"not connected in {timeout_s:.2f} s")
        result = direct.result()
        return result if isinstance(result, Failure) else None

    def record_relayed(self, replica: RelayReplica, relay: RelayLeg) -> None:
        """Record that a peer has relayed a whole answer."""
        self.paths.renew_proof(replica.listing.address, relay.peer_id, self._state.clock())

    def record_relay_failure(self, replica: RelayReplica, relay: RelayLeg) -> None:
        """Record that a peer did not relay a request, or lost the answer."""
        self.paths.record_peer_failure(replica.listing.address, relay.peer_id, self._state.clock())

    def suspect(self, replica: RelayReplica) -> None:
        """Drop the idle direct connections to a replica, whose path may be lost."""
        self._pool.close_idle(replica.listing.address)

    def close(self) -> None:
        """Close all idle connections to peers."""
        self._peer_pool.close()
        self._question_pool.close()

    def sweep(self, now_s: float) -> None:
        """Close the connections to peers that have been idle too long."""
        self._peer_pool.sweep(now_s)
        self._question_pool.sweep(now_s)

    async def run(self) -> None:
        """Check lost paths until cancelled."""
        while True:
            await asyncio.sleep(CHECK_TICK_S)
            for address in self.paths.take_due_checks(self._state.clock()):
                task = asyncio.get_running_loop().create_task(self._check_lost_path(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    # Paths

    async def _connect_by_any_path(
        self, replica: RelayReplica, has_others: Callable[[], bool]
    ) -> ReplicaConnection | ConnectFailure:
        loop = asyncio.get_running_loop()
        direct = loop.create_task(self.connect_directly(replica))
        check: asyncio.Task[ReachResult] | None = None
        try:
            await asyncio.wait({direct}, timeout=HEDGE_DELAY_S)
            if direct.done() and _is_refused(direct.result()) and has_others():
                return ConnectFailure(_as_failure(direct.result()), unverified=True)
            if not direct.done() or _is_unreachable(direct.result()):
                check = loop.create_task(self._reach.check(replica.listing.address))
                await _wait_for_a_path(direct, check)
            if direct.done() and not _is_unreachable(direct.result()):
                return _as_result(direct.result())
        except asyncio.CancelledError:
            direct.add_done_callback(lambda task: self._release_unused(replica, task))
            raise
        finally:
            if check is not None:
                check.cancel()
        assert check is not None
        return await self._continue_through_peers(replica, direct, check.result())

    async def _continue_through_peers(
        self, replica: RelayReplica, direct: _DirectTask, result: ReachResult
    ) -> ReplicaConnection | ConnectFailure:
        """Connect to the peer that reaches the replica, while the direct connection is awaited."""
        peer = result.peer
        if peer is None:
            return _combined_failure(_as_failure(direct.result()), result.reach)
        direct.add_done_callback(lambda task: self._settle_direct(replica, peer, task))
        connection = await self._connect_to_peer(peer)
        return connection if connection is not None else _peer_lost(peer)

    def _settle_direct(self, replica: RelayReplica, peer: Member, direct: _DirectTask) -> None:
        """Record the end of a direct connection attempt that a peer has outrun."""
        if not direct.cancelled() and _is_unreachable(direct.result()):
            self._record_lost(replica, peer)
        else:
            self._release_unused(replica, direct)

    def _release_unused(self, replica: RelayReplica, direct: _DirectTask) -> None:
        connection = None if direct.cancelled() else direct.result()
        if isinstance(connection, ReplicaConnection):
            self._pool.release(replica.listing.address, connection)

    async def _connect_through_known_peer(self, address: str) -> ReplicaConnection | None:
        """Return a connection to a peer that has reached the address recently, or None."""
        now_s = self._state.clock()
        ids = self.paths.relay_peers(address, now_s)
        for peer_id in self._generator.sample(ids, min(len(ids), MAX_RELAY_PEERS)):
            peer = self._reach.find_peer(peer_id)
            connection = await self._connect_to_peer(peer) if peer is not None else None
            if connection is not None:
                return connection
            self.paths.record_peer_failure(address, peer_id, self._state.clock())
        return None

    async def _connect_to_peer(self, peer: Member) -> ReplicaConnection | None:
        connection = await self._peer_pool.acquire(peer.peer_address, MAX_PEER_CONNECTIONS)
        if isinstance(connection, Failure):
            return None
        connection.relay = RelayLeg(peer.member_id, peer.peer_address)
        return connection

    async def _check_lost_path(self, address: str) -> None:
        """Try a direct connection again; look for further peers while it fails."""
        replica = next(
            (item for item in self._state.fleet.replicas() if item.listing.address == address), None
        )
        if replica is None:
            self.paths.forget(address)
            return
        connection = await self.connect_directly(replica)
        if not isinstance(connection, Failure):
            self._pool.release(address, connection)
            return
        result = await self._reach.check(address)
        if result.peer is not None and self.paths.is_lost(address):
            self.paths.record_reached_by_peer(address, result.peer.member_id, self._state.clock())

    def _record_lost(self, replica: RelayReplica, peer: Member) -> None:
        address = replica.listing.address
        now_s = self._state.clock()
        if not self.paths.record_reached_by_peer(address, peer.member_id, now_s):
            return
        self._pool.close_idle(address)
        self._state.end_ejection(replica)
        log_event(
            "direct_path_lost",
            "WARNING",
            replica=replica.replica_id,
            reached_by=peer.member_id,
            lost=self.paths.lost_count,
        )
        self._state.on_path_lost(replica)

    def _record_restored(self, address: str) -> None:
        if self.paths.record_restored(address):
            log_event("direct_path_restored", address=address, lost=self.paths.lost_count)


async def _wait_for_a_path(direct: _DirectTask, check: asyncio.Task[ReachResult]) -> None:
    """Wait until a direct connection or a peer's word shows a path, or both have failed."""
    await asyncio.wait({direct, check}, return_when=asyncio.FIRST_COMPLETED)
    if not check.done() and _is_unreachable(direct.result()):
        await asyncio.wait({check})
    elif check.done() and check.result().peer is None:
        await asyncio.wait({direct})


def _is_unreachable(result: ReplicaConnection | Failure) -> bool:
    return isinstance(result, Failure) and result.kind in _UNREACHABLE_KINDS


def _is_refused(result: ReplicaConnection | Failure) -> bool:
    return isinstance(result, Failure) and result.kind is FailureKind.CONNECTION_REFUSED


def _as_failure(result: ReplicaConnection | Failure) -> Failure:
    assert isinstance(result, Failure)
    return result


def _as_result(result: ReplicaConnection | Failure) -> ReplicaConnection | ConnectFailure:
    return ConnectFailure(result) if isinstance(result, Failure) else result


def _peer_lost(peer: Member) -> ConnectFailure:
    return ConnectFailure(
        FailureKind.OVERLOADED.because(f"no connection to peer {peer.member_id} that relays")
    )


def _combined_failure(direct: Failure, reach: Reach) -> ConnectFailure:
    """Return the failure of all paths.

    A refusal counts as such only if a peer was refused too, or none has answered: a partition may
    refuse this daemon's connections alone.
    """
    if reach is Reach.UNKNOWN:
        return ConnectFailure(direct)
    kind = (
        FailureKind.CONNECTION_REFUSED
        if reach is Reach.REFUSED
        else FailureKind.BACKEND_UNREACHABLE
    )
    return ConnectFailure(kind.because(direct.reason, remedy=direct.remedy), confirmed=True)
