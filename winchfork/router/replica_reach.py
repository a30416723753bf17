"""Asks peers whether they reach a replica."""

from __future__ import annotations

import asyncio
import enum
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from winchfork.core.member import Member
from winchfork.core.replica_paths import ReplicaPaths
from winchfork.core.zone_hubs import FleetView
from winchfork.errors import Failure
from winchfork.router.pooled_http_client import PooledHttpClient
from winchfork.router.relay_messages import (
    REACH_PATH,
    REACHED_STATUS,
    RELAY_TO,
    RelayFailure,
    parse_relay_failure,
)

#: Peers asked about one replica, and seconds between the first and each further one.
MAX_ASKED_PEERS = 4
ASK_INTERVAL_S = 0.08
#: Seconds until a peer must have answered; it may have to wait for a connection itself.
ANSWER_TIMEOUT_S = 0.5


class Reach(enum.Enum):
    """What peers say of a replica."""

    REACHED = "reached"
    #: A peer's connection was refused: nothing listens at the address.
    REFUSED = "refused"
    #: No peer that answered could connect.
    UNREACHABLE = "unreachable"
    #: No peer has answered.
    UNKNOWN = "unknown"


class ReachResult(msgspec.Struct, frozen=True):
    """What peers say of a replica; ``peer`` is one that reaches it, None if none does."""

    reach: Reach
    peer: Member | None = None


class ReplicaReach:
    """Asks several peers, each a little later than the one before, until one reaches a replica."""

    def __init__(
        self,
        paths: ReplicaPaths,
        client: PooledHttpClient,
        clock: Callable[[], float],
        generator: random.Random,
    ) -> None:
        self._paths = paths
        self._client = client
        self._clock = clock
        self._generator = generator
        #: Returns the fleet as this daemon sees it; None without peers.
        self.view: Callable[[], FleetView | None] = lambda: None
        self._checks: dict[str, asyncio.Task[ReachResult]] = {}

    async def check(self, address: str) -> ReachResult:
        """Return what peers say of an address; checks of one address at a time are shared."""
        check = self._checks.get(address)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check(address))
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        return await asyncio.shield(check)

    def find_peer(self, peer_id: str) -> Member | None:
        """Return a peer by id; None if it is no member any more."""
        view = self.view()
        others = view.others if view is not None else ()
        return next((member for member in others if member.member_id == peer_id), None)

    def _choose_peers(self, address: str) -> list[Member]:
        """Return the peers to ask: by turns one of this zone and one of others.

        Those that failed recently and those of other regions come last. A whole zone may be
        partitioned, so near ones alone would not do.
        """
        view = self.view()
        if view is None:
            return []
        now_s = self._clock()
        own_zone = view.own.zone

        def order(member: Member) -> tuple[bool, bool, float]:
            return (
                self._paths.has_failed(address, member.member_id, now_s),
                view.regions.is_cross_region(own_zone, member.zone),
                self._generator.random(),
            )

        near = heapq.nsmallest(MAX_ASKED_PEERS, view.zone_peers, key=order)
        far = [member for member in view.others if member.zone != own_zone]
        far = heapq.nsmallest(MAX_ASKED_PEERS, far, key=order)
        turns = itertools.chain.from_iterable(itertools.zip_longest(near, far))
        return [member for member in turns if member is not None][:MAX_ASKED_PEERS]

    async def _check(self, address: str) -> ReachResult:
        tasks: set[asyncio.Task[ReachResult]] = set()
        outcomes: list[Reach] = []
        peers = self._choose_peers(address)
        try:
            while peers or tasks:
                if peers:
                    ask = self._ask(peers.pop(0), address)
                    tasks.add(asyncio.get_running_loop().create_task(ask))
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=ASK_INTERVAL_S if peers else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.result().reach is Reach.REACHED:
                        return task.result()
                    outcomes.append(task.result().reach)
        finally:
            for task in tasks:
                task.cancel()
        return ReachResult(_combine(outcomes))

    async def _ask(self, peer: Member, address: str) -> ReachResult:
        reply = await self._client.call(
            peer.peer_address,
            b"GET",
            REACH_PATH.encode(),
            None,
            ANSWER_TIMEOUT_S,
            label="reach",
            headers=[(RELAY_TO, address.encode())],
        )
        if not isinstance(reply, Failure) and reply.status == REACHED_STATUS:
            return ReachResult(Reach.REACHED, peer)
        self._paths.record_peer_failure(address, peer.member_id, self._clock())
        if isinstance(reply, Failure):
            return ReachResult(Reach.UNKNOWN)
        failure = parse_relay_failure(reply.body)
        return ReachResult(_REACH_BY_FAILURE.get(failure, Reach.UNKNOWN))


_REACH_BY_FAILURE = {
    RelayFailure.REFUSED: Reach.REFUSED,
    RelayFailure.UNREACHABLE: Reach.UNREACHABLE,
}


def _combine(outcomes: list[Reach]) -> Reach:
    """Return the strongest of the peers' words: one refusal shows that the machine is there."""
    for reach in (Reach.REFUSED, Reach.UNREACHABLE):
        if reach in outcomes:
            return reach
    return Reach.UNKNOWN
