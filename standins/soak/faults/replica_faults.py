"""Faults of replicas: crashes with late entries, torn streams, and words in answers alone."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.deployment import PlatformStandins
from standins.replica_server import ReplicaServer
from standins.rollout_operator import RolloutOperator
from standins.stale_entries import StaleEntry

#: How long a crashed replica is away, and how long an entry outlives its replica (up to three
#: heartbeats), at most; seconds.
MAX_DOWN_S = 2.0
MAX_LAPSE_S = 3.6
#: How long after the return the old entry is written once more, and how long it then stays.
MIN_LATE_WRITE_DELAY_S, MAX_LATE_WRITE_DELAY_S = 0.3, 2.5
MIN_LATE_ENTRY_S, MAX_LATE_ENTRY_S = 1.0, 4.0
#: How long a replica serves on that says in its answers alone that it leaves; how long replicas
#: turn requests away, and the rest that they ask for; seconds.
MIN_DRAINING_S, MAX_DRAINING_S = 2.0, 6.0
MIN_REFUSING_S, MAX_REFUSING_S = 0.5, 4.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.2, 4.0
#: How long replicas name limits, over how many values in turn, and how high they are at most, in
#: requests a second.
MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S = 3.0, 9.0
MAX_LIMIT_COUNT = 2
MAX_LIMIT_PER_S = 2.0


class ReplicaFaults:
    """Strikes replicas of the versions in force."""

    def __init__(
        self, platform: PlatformStandins, generator: random.Random, log_line: Callable[[str], None]
    ) -> None:
        self._platform = platform
        self._random = generator
        self._log_line = log_line

    async def crash(self) -> None:
        """A replica crashes and returns at its address; its old entry lapses before or after."""
        replica, entry = await self._crash(self._any_operator())
        lapsing = asyncio.create_task(self._lapse(entry, self._random.uniform(0.0, MAX_LAPSE_S)))
        await asyncio.sleep(self._random.uniform(0.0, MAX_DOWN_S))
        await self._return(replica)
        await lapsing

    async def crash_with_late_entry(self, operator: RolloutOperator | None = None) -> None:
        """The old entry has lapsed, the new incarnation is listed; then the old one comes back."""
        replica, entry = await self._crash(operator or self._any_operator())
        await self._lapse(entry, self._random.uniform(0.0, MAX_DOWN_S))
        await self._return(replica)
        await asyncio.sleep(self._random.uniform(MIN_LATE_WRITE_DELAY_S, MAX_LATE_WRITE_DELAY_S))
        self._log_line(f"{entry.key} is written late")
        entry.write_late()
        await self._lapse(entry, self._random.uniform(MIN_LATE_ENTRY_S, MAX_LATE_ENTRY_S))

    async def torn_streams(self) -> None:
        """The next stream of each replica breaks off inside an event."""
        for replica in self._platform.model_rollouts.replicas:
            replica.truncate_at_event = self._random.randrange(0, 6)

    async def leaves_by_its_answers(self) -> None:
        """A replica says that it leaves in its answers only, serves on, ends, and starts anew."""
        replica = self._random.choice(self._any_operator().replicas)
        self._log_line(f"{replica.replica_id} leaves by its answers")
        replica.notices.draining = True
        await asyncio.sleep(self._random.uniform(MIN_DRAINING_S, MAX_DRAINING_S))
        self._log_line(f"{replica.replica_id} ends")
        entry = await replica.crash()
        lapsing = asyncio.create_task(self._lapse(entry, self._random.uniform(0.0, MAX_LAPSE_S)))
        await self._return(replica)
        await lapsing

    async def turn_away_with_a_wait(self) -> None:
        """One or more replicas of a service, at times all, turn requests away and ask for rest."""
        replicas = self._any_operator().replicas
        struck = self._random.sample(replicas, self._random.randint(1, len(replicas)))
        rest_s = self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        names = ",".join(replica.replica_id for replica in struck)
        self._log_line(f"{names} turn away for {rest_s:.2f} s")
        words = [replica.notices for replica in struck]
        for notices in words:
            notices.backoff_s = rest_s
        await asyncio.sleep(self._random.uniform(MIN_REFUSING_S, MAX_REFUSING_S))
        for notices in words:
            notices.backoff_s = None
        self._log_line(f"{names} turn nothing away")

    async def name_limits(self) -> None:
        """One or more replicas of a service, at times all, name limits that rise and fall."""
        replicas = self._any_operator().replicas
        struck = self._random.sample(replicas, self._random.randint(1, len(replicas)))
        names = ",".join(replica.replica_id for replica in struck)
        words = [replica.notices for replica in struck]
        for _ in range(self._random.randint(1, MAX_LIMIT_COUNT)):
            per_s = round(
                self._random.choice((0.0, 0.5, 1.0, self._random.random() * MAX_LIMIT_PER_S)), 1
            )
            self._log_line(f"{names} name a limit of {per_s:g} a second")
            for notices in words:
                notices.set_limit(per_s)
            await asyncio.sleep(self._random.uniform(MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S))
        for notices in words:
            notices.set_limit(None)
        self._log_line(f"{names} name no limit")

    def _any_operator(self) -> RolloutOperator:
        """Return the operator of either service, drawn by the number of its replicas."""
        surroundings = self._platform
        operators = (surroundings.model_rollouts, surroundings.application_rollouts)
        return self._random.choice([one for one in operators for _ in one.replicas])

    async def _crash(self, operator: RolloutOperator) -> tuple[ReplicaServer, StaleEntry]:
        replica = self._random.choice(operator.replicas)
        self._log_line(f"{replica.replica_id} crashes")
        return replica, await replica.crash()

    async def _return(self, replica: ReplicaServer) -> None:
        await replica.restart()
        self._log_line(f"{replica.replica_id} has returned on version {replica.weights_version}")

    async def _lapse(self, entry: StaleEntry, after_s: float) -> None:
        await asyncio.sleep(after_s)
        entry.lapse()
        self._log_line(f"{entry.key} has lapsed")
