"""The operators of a soak: they publish weights and order software rollouts at random times."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from standins.answer_faults import ReplicaFault
from standins.deployment import PlatformStandins
from standins.rollout_operator import RolloutOperator
from standins.soak.checks import check_rollout

MIN_WEIGHTS_INTERVAL_S, MAX_WEIGHTS_INTERVAL_S = 2.0, 6.0
MIN_ROLLOUT_INTERVAL_S, MAX_ROLLOUT_INTERVAL_S = 1.0, 8.0
#: Duration that a rollout's order allows.
ROLLOUT_DURATION_S = 8.0
_POLL_INTERVAL_S = 0.05


class Operators:
    """Acts until ``until_s``, concurrently with the faults, and checks each rollout at its end."""

    def __init__(
        self,
        platform: PlatformStandins,
        seed: str,
        until_s: float,
        log_line: Callable[[str], None],
        *,
        orders_software: bool = True,
    ) -> None:
        self._orders_software = orders_software
        self._platform = platform
        self._seed = seed
        self._until_s = until_s
        self._log_line = log_line
        self.outcomes: Counter[str] = Counter()
        self.violations: list[str] = []

    async def run(self) -> None:
        """Act until ``until_s``; return once every rollout has ended."""
        platform = self._platform
        if not self._orders_software:
            await self._publish_weights()
            return
        await asyncio.gather(
            self._publish_weights(),
            self._order_software("models", platform.model_rollouts),
            self._order_software("editing", platform.application_rollouts),
        )

    async def publish_next(self) -> int:
        """Publish the next version once the store is up; return the version."""
        while self._platform.store.down:
            await asyncio.sleep(_POLL_INTERVAL_S)
        version = self._platform.weights_operator.newest_version + 1
        self._platform.publish_weights(version)
        self._log_line(f"version {version} is acknowledged")
        return version

    async def _publish_weights(self) -> None:
        generator = random.Random(f"{self._seed}/weights")
        while await self._pause(generator.uniform(MIN_WEIGHTS_INTERVAL_S, MAX_WEIGHTS_INTERVAL_S)):
            await self.publish_next()

    async def _order_software(self, name: str, operator: RolloutOperator) -> None:
        generator = random.Random(f"{self._seed}/software/{name}")
        while await self._pause(generator.uniform(MIN_ROLLOUT_INTERVAL_S, MAX_ROLLOUT_INTERVAL_S)):
            fault = generator.choice((ReplicaFault.NONE, ReplicaFault.FAILS, ReplicaFault.SLOW))
            report = await operator.roll_out(fault, ROLLOUT_DURATION_S)
            self.outcomes[f"software {fault.value} {report.state or 'unsaid'}"] += 1
            self.violations += check_rollout(report, fault)

    async def _pause(self, for_s: float) -> bool:
        """Sleep for ``for_s``, at most until ``until_s``; return whether time is left."""
        remaining_s = self._until_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(for_s, remaining_s)))
        return for_s < remaining_s
