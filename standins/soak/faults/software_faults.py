"""Replicas of several software versions side by side, without an order to the system."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.deployment import PlatformStandins
from standins.replica_server import ReplicaServer

#: The first version and those that replicas are replaced by.
VERSIONS = ("v1", "v1.1", "v1.2")
#: Time for which a replica serves after it has announced its end.
MIN_DRAIN_S, MAX_DRAIN_S = 0.3, 2.0
#: Time from a replica's end to its return under the same id.
MAX_DOWN_S = 1.0


class SoftwareFaults:
    """Replaces model replicas by others of a random version."""

    def __init__(
        self, platform: PlatformStandins, generator: random.Random, log_line: Callable[[str], None]
    ) -> None:
        self._platform = platform
        self._random = generator
        self._log_line = log_line
        self._replaced = 0

    @property
    def _replicas(self) -> list[ReplicaServer]:
        return self._platform.model_rollouts.replicas

    async def replace_as_planned(self) -> None:
        """Start a new replica, then let another one drain and end."""
        leaving = self._random.choice(self._replicas)
        await self._start_in_place_of(leaving)
        leaving.announce("draining")
        await asyncio.sleep(self._random.uniform(MIN_DRAIN_S, MAX_DRAIN_S))
        await leaving.stop()

    async def replace_after_a_crash(self) -> None:
        """Let a replica end without notice, and start a new one."""
        leaving = self._random.choice(self._replicas)
        await leaving.stop()
        await asyncio.sleep(self._random.uniform(0.0, MAX_DOWN_S))
        await self._start_in_place_of(leaving)

    async def return_with_another_version(self) -> None:
        """Crash a replica, which returns under its id with another version."""
        replica = self._random.choice(self._replicas)
        (await replica.crash()).lapse()
        await asyncio.sleep(self._random.uniform(0.0, MAX_DOWN_S))
        replica.software = self._random.choice(VERSIONS)
        self._log_line(f"{replica.replica_id} returns at {replica.software}")
        await replica.restart(keeps_id=True)

    async def _start_in_place_of(self, leaving: ReplicaServer) -> None:
        self._replaced += 1
        software = self._random.choice(VERSIONS)
        replica = self._platform.new_model_replica(f"i-models-{self._replaced}", software)
        await replica.start()
        self._replicas[self._replicas.index(leaving)] = replica
        self._log_line(f"{replica.replica_id} at {software} in place of {leaving.replica_id}")
