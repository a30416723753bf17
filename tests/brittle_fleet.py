"""Simulated brittle replicas in front of daemons that exchange peer messages. Virtual time."""

from __future__ import annotations

import asyncio
import random

from tests.peer_support import Daemon, Network
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.replica_notice import AnswerNotice
from winchfork.router.replica_search import POLL_INTERVAL_S

SERVICE = "brittle"
LATENCY_S = 0.002
RUN_S = 0.3
#: Seconds that a request waits for a place.
MAX_WAIT_S = 0.4


class BrittleReplica:
    """Admits ``room`` requests at once and counts what it rejects."""

    def __init__(self, replica_id: str, slots: int) -> None:
        self.listing = ReplicaListing(replica_id, SERVICE, f"{replica_id}:1", "z1", slots, True)
        self.room = slots
        self.running = 0
        self.served = 0
        self.rejected_s: list[float] = []

    def max_rejected_in_a_second(self, from_s: float) -> int:
        """Return the most rejections in any second since ``from_s``."""
        times = [at_s for at_s in self.rejected_s if at_s >= from_s]
        return max(
            (sum(at_s - 1.0 < other <= at_s for other in times) for at_s in times), default=0
        )


class BrittleFleet:
    """Daemons that send at random to the replicas at which they have a place."""

    def __init__(
        self, network: Network, daemons: list[Daemon], replicas: int, slots: int, per_s: float
    ) -> None:
        self.daemons = daemons
        self.replicas = [BrittleReplica(f"b-{number}", slots) for number in range(replicas)]
        self.per_s: float | None = per_s
        self._random = random.Random(len(daemons))
        self._runs: set[asyncio.Task[None]] = set()
        self._requests = 0
        for daemon in daemons:
            for replica in self.replicas:
                daemon.state.install_listing(replica.listing)

    @property
    def capacity_per_s(self) -> float:
        """The requests a second that the replicas can serve."""
        return sum(replica.room for replica in self.replicas) / RUN_S

    async def overload(self, seconds: float, factor: float) -> None:
        """Offer requests at ``factor`` times the capacity, to daemons at random."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        mean_s = 1.0 / (factor * self.capacity_per_s)
        while loop.time() < until_s:
            await asyncio.sleep(self._random.expovariate(1.0) * mean_s)
            task = asyncio.create_task(self._offer(self._random.choice(self.daemons)))
            self._runs.add(task)
            task.add_done_callback(self._runs.discard)

    async def _offer(self, daemon: Daemon) -> None:
        """Wait for a place as a request does, and run; give up after ``MAX_WAIT_S``."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_WAIT_S
        while loop.time() < until_s:
            replicas = list(self.replicas)
            self._random.shuffle(replicas)
            for replica in replicas:
                known = daemon.state.fleet.get(replica.listing.replica_id)
                assert known is not None
                if daemon.state.brittle.has_place(known):
                    await self._run(daemon, known, replica)
                    return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _run(self, daemon: Daemon, known: RelayReplica, replica: BrittleReplica) -> None:
        loop = asyncio.get_running_loop()
        self._requests += 1
        key, sent_s = self._requests, loop.time()
        known.record_sent(key, 0, sent_s + RUN_S)
        await asyncio.sleep(LATENCY_S)
        rejected = replica.running >= replica.room
        if rejected:
            replica.rejected_s.append(loop.time())
        else:
            replica.running += 1
            await asyncio.sleep(RUN_S * (0.5 + self._random.random()))
            replica.running -= 1
            replica.served += 1
        notice = AnswerNotice(brittle_per_s=self.per_s)
        await asyncio.sleep(LATENCY_S)
        known.record_ended(key)
        daemon.state.notices.record(known, notice, sent_s)
        if rejected:
            daemon.state.brittle.record_rejection(known)
