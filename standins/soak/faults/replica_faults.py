"""Faults of replicas: crashes, late store entries, truncated streams and notices in answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.deployment import PlatformStandins
from standins.replica_server import ReplicaServer
from standins.rollout_operator import RolloutOperator
from standins.stale_entries import StaleEntry

#: Time from a crash to the restart.
MAX_DOWN_S = 2.0
#: Time from a crash until the entry lapses: up to three heartbeats.
MAX_LAPSE_S = 3.6
#: Time from the restart to the late write of the old entry, and how long the entry then stays.
MIN_LATE_WRITE_DELAY_S, MAX_LATE_WRITE_DELAY_S = 0.3, 2.5
MIN_LATE_ENTRY_S, MAX_LATE_ENTRY_S = 1.0, 4.0
#: Time for which a replica serves requests while its answers announce draining.
MIN_DRAINING_S, MAX_DRAINING_S = 2.0, 6.0
#: Time for which replicas refuse requests with a backoff, and that backoff.
MIN_REFUSING_S, MAX_REFUSING_S = 0.5, 4.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.2, 4.0
#: Duration of one announced limit, number of limits in a row, and the highest one in requests/s.
MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S = 3.0, 9.0
MAX_LIMIT_COUNT = 2
MAX_LIMIT_PER_S = 2.0


class ReplicaFaults:
    """Faults of the replicas that run the current software versions."""

    def __init__(
        self, platform: PlatformStandins, generator: random.Random, log_line: Callable[[str], None]
    ) -> None:
        self._platform = platform
        self._random = generator
        self._log_line = log_line

    async def crash(self) -> None:
        """Crash a replica and restart it; its old entry lapses before or after the restart."""
        replica, entry = await self._crash(self._any_operator())
        lapse_task = asyncio.create_task(self._lapse(entry, self._random.uniform(0.0, MAX_LAPSE_S)))
        await asyncio.sleep(self._random.uniform(0.0, MAX_DOWN_S))
        await self._restart(replica)
        await lapse_task

    async def crash_with_late_entry(self, operator: RolloutOperator | None = None) -> None:
        """Crash and restart a replica, then write the lapsed entry of its old incarnation again."""
        replica, entry = await self._crash(operator or self._any_operator())
        await self._lapse(entry, self._random.uniform(0.0, MAX_DOWN_S))
        await self._restart(replica)
        await asyncio.sleep(self._random.uniform(MIN_LATE_WRITE_DELAY_S, MAX_LATE_WRITE_DELAY_S))
        self._log_line(f"{entry.key} is written late")
        entry.write_late()
        await self._lapse(entry, self._random.uniform(MIN_LATE_ENTRY_S, MAX_LATE_ENTRY_S))

    async def torn_streams(self) -> None:
        """Truncate the next stream of most model replicas inside one of its first five events."""
        for replica in self._platform.model_rollouts.replicas:
            replica.truncate_at_event = self._random.randrange(0, 6)

    async def leaves_by_its_answers(self) -> None:
        """Announce draining in a replica's answers only, crash it after a while and restart it."""
        replica = self._random.choice(self._any_operator().replicas)
        self._log_line(f"{replica.replica_id} leaves by its answers")
        replica.notices.draining = True
        await asyncio.sleep(self._random.uniform(MIN_DRAINING_S, MAX_DRAINING_S))
        self._log_line(f"{replica.replica_id} ends")
        entry = await replica.crash()
        lapse_task = asyncio.create_task(self._lapse(entry, self._random.uniform(0.0, MAX_LAPSE_S)))
        await self._restart(replica)
        await lapse_task

    async def turn_away_with_a_wait(self) -> None:
        """Let some or all replicas of a service refuse requests with a backoff."""
        replicas = self._any_operator().replicas
        selected = self._random.sample(replicas, self._random.randint(1, len(replicas)))
        backoff_s = self._random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        names = ",".join(replica.replica_id for replica in selected)
        self._log_line(f"{names} turn away for {backoff_s:.2f} s")
        all_notices = [replica.notices for replica in selected]
        for notices in all_notices:
            notices.backoff_s = backoff_s
        await asyncio.sleep(self._random.uniform(MIN_REFUSING_S, MAX_REFUSING_S))
        for notices in all_notices:
            notices.backoff_s = None
        self._log_line(f"{names} turn nothing away")

    async def name_limits(self) -> None:
        """Let some or all replicas of a service announce changing request limits."""
        replicas = self._any_operator().replicas
        selected = self._random.sample(replicas, self._random.randint(1, len(replicas)))
        names = ",".join(replica.replica_id for replica in selected)
        all_notices = [replica.notices for replica in selected]
        for _ in range(self._random.randint(1, MAX_LIMIT_COUNT)):
            limit_per_s = round(
                self._random.choice((0.0, 0.5, 1.0, self._random.random() * MAX_LIMIT_PER_S)), 1
            )
            self._log_line(f"{names} name a limit of {limit_per_s:g} a second")
            for notices in all_notices:
                notices.set_limit(limit_per_s)
            await asyncio.sleep(self._random.uniform(MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S))
        for notices in all_notices:
            notices.set_limit(None)
        self._log_line(f"{names} name no limit")

    def _any_operator(self) -> RolloutOperator:
        """Draw the operator of one service, weighted by the number of its replicas."""
        platform = self._platform
        operators = (platform.model_rollouts, platform.application_rollouts)
        return self._random.choice([one for one in operators for _ in one.replicas])

    async def _crash(self, operator: RolloutOperator) -> tuple[ReplicaServer, StaleEntry]:
        replica = self._random.choice(operator.replicas)
        self._log_line(f"{replica.replica_id} crashes")
        return replica, await replica.crash()

    async def _restart(self, replica: ReplicaServer) -> None:
        await replica.restart()
        self._log_line(f"{replica.replica_id} has returned on version {replica.weights_version}")

    async def _lapse(self, entry: StaleEntry, after_s: float) -> None:
        await asyncio.sleep(after_s)
        entry.lapse()
        self._log_line(f"{entry.key} has lapsed")
