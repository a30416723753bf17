"""Lanes of faults: the faults of one lane run one after the other, different lanes overlap."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

FaultAction = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Lane:
    """A sequence of faults drawn at random, with pauses of up to ``max_pause_s`` between them."""

    name: str
    faults: Sequence[FaultAction]
    max_pause_s: float
    #: Upper bound of the random delay before the first fault.
    max_start_delay_s: float = 0.0

    async def run(self, generator: random.Random, until_s: float, counts: Counter[str]) -> None:
        """Inject faults until ``until_s``; return after the end of the last one.

        ``counts`` counts the faults by name.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(generator.random() * self.max_start_delay_s)
        while loop.time() < until_s:
            fault = generator.choice(self.faults)
            counts[getattr(fault, "__name__", self.name)] += 1
            await fault()
            await asyncio.sleep(generator.random() * self.max_pause_s)
