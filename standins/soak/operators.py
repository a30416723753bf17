"""The operators of a soak: they name weights every few seconds, and order software now and then."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from standins.answer_faults import ReplicaFault
from standins.fleet import Surroundings
from standins.rollout_operator import RolloutOperator
from standins.soak.promises import judge_rollout

LEAST_BETWEEN_WEIGHTS_S, MOST_BETWEEN_WEIGHTS_S = 2.0, 6.0
LEAST_BETWEEN_SOFTWARE_S, MOST_BETWEEN_SOFTWARE_S = 1.0, 8.0
#: How long a rollout of software may take.
ROLLOUT_S = 8.0
_LOOK_S = 0.05


class Operators:
    """Act beside the faults until a moment; what came of rollouts is judged at once."""

    def __init__(
        self, surroundings: Surroundings, seed: str, until_s: float, tell: Callable[[str], None]
    ) -> None:
        self._surroundings = surroundings
        self._seed = seed
        self._until_s = until_s
        self._tell = tell
        self.outcomes: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self) -> None:
        """Act until the time is up and every rollout has ended."""
        surroundings = self._surroundings
        await asyncio.gather(
            self._name_weights(),
            self._order_software("models", surroundings.model_rollouts),
            self._order_software("editing", surroundings.application_rollouts),
        )

    async def name_next(self) -> int:
        """Name the next version, once the store takes it; return it."""
        while self._surroundings.store.down:
            await asyncio.sleep(_LOOK_S)
        version = self._surroundings.weights.newest + 1
        self._surroundings.name_weights(version)
        self._tell(f"version {version} is acknowledged")
        return version

    async def _name_weights(self) -> None:
        generator = random.Random(f"{self._seed}/weights")
        while await self._pause(generator.uniform(LEAST_BETWEEN_WEIGHTS_S, MOST_BETWEEN_WEIGHTS_S)):
            await self.name_next()

    async def _order_software(self, name: str, operator: RolloutOperator) -> None:
        generator = random.Random(f"{self._seed}/software/{name}")
        while await self._pause(
            generator.uniform(LEAST_BETWEEN_SOFTWARE_S, MOST_BETWEEN_SOFTWARE_S)
        ):
            fault = generator.choice((ReplicaFault.NONE, ReplicaFault.FAILS, ReplicaFault.SLOW))
            report = await operator.roll(fault, ROLLOUT_S)
            self.outcomes[f"software {fault.value} {report.state or 'unsaid'}"] += 1
            self.broken += judge_rollout(report, fault)

    async def _pause(self, for_s: float) -> bool:
        """Wait; False when the time is up."""
        left_s = self._until_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(for_s, left_s)))
        return for_s < left_s
