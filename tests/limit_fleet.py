"""A simulated replica with a request limit in front of daemons that exchange peer messages.

Runs in virtual time. Daemons send whenever their own state allows it; each answer of the replica
announces its current limit.
"""

from __future__ import annotations

import asyncio
import bisect
import random

from tests.peer_support import Daemon, Network
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.replica_notice import AnswerNotice

WINDOW_S = 4.0
ANSWER_S = 0.05
REPLICA = "i-limited"


def install_limited_replica(daemon: Daemon, started_at_ms: int = 0) -> None:
    """Install the replica's listing at a daemon."""
    listing = ReplicaListing(
        REPLICA, "s", "a:2", "z1", 8, True, {"m": 1}, started_at_ms=started_at_ms
    )
    daemon.state.install_listing(listing)


class LimitedReplica:
    """One replica that is listed at every daemon, with a limit of ``per_s`` requests per second."""

    def __init__(self, network: Network, daemons: list[Daemon], per_s: float | None = None) -> None:
        self.network = network
        self.daemons = daemons
        self.per_s = per_s
        self.arrivals_s: list[float] = []
        self.senders: set[str] = set()
        self._answers: set[asyncio.Task[None]] = set()
        self._random = random.Random(len(daemons))
        for daemon in daemons:
            install_limited_replica(daemon)

    def replica_at(self, daemon: Daemon) -> RelayReplica:
        """Return a daemon's state of the replica."""
        replica = daemon.state.fleet.get(REPLICA)
        assert replica is not None
        return replica

    def limits(self) -> list[float | None]:
        """Return the limit known to each running daemon."""
        running = [item for item in self.daemons if item.ip in self.network.groups]
        return [self.replica_at(daemon).notice.limit.per_s for daemon in running]

    def send_if_allowed(self, daemon: Daemon, *, skip_check: bool = False) -> bool:
        """Send a request from a daemon if its state allows it; return whether it was sent."""
        if daemon.ip not in self.network.groups:
            return False
        now_s = daemon.state.clock()
        replica = self.replica_at(daemon)
        if not skip_check and not replica.accepts_requests(now_s):
            return False
        replica.notice.record_sent(now_s)
        self.arrivals_s.append(now_s)
        self.senders.add(daemon.ip)
        task = asyncio.create_task(self._answer(daemon, replica, now_s))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)
        return True

    async def _answer(self, daemon: Daemon, replica: RelayReplica, sent_s: float) -> None:
        notice = AnswerNotice(limit_per_s=self.per_s, has_limit=self.per_s is not None)
        await asyncio.sleep(ANSWER_S)
        if daemon.ip in self.network.groups:
            daemon.state.notices.record(replica, notice, sent_s)

    async def generate_load(self, seconds: float, requests_per_s: float = 10.0) -> None:
        """Generate ``requests_per_s`` requests at each daemon, at random times."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        mean_s = 1.0 / (requests_per_s * len(self.daemons))
        while loop.time() < until_s:
            await asyncio.sleep(self._random.expovariate(1.0) * mean_s)
            self.send_if_allowed(self._random.choice(self.daemons))

    def max_in_window(self, from_s: float) -> int:
        """Return the largest number of requests that arrived in any 4 s since ``from_s``."""
        arrivals_s = [at_s for at_s in self.arrivals_s if at_s >= from_s]
        return max(
            (
                number + 1 - bisect.bisect_right(arrivals_s, at_s - WINDOW_S)
                for number, at_s in enumerate(arrivals_s)
            ),
            default=0,
        )
