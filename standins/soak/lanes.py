"""Lanes of faults: within one, a fault ends before the next begins; lanes overlap."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

FaultAction = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Lane:
    """Kinds of faults, one drawn after the other, with pauses up to ``most_pause_s`` between."""

    name: str
    faults: Sequence[FaultAction]
    max_pause_s: float
    #: The lane begins up to this many seconds late.
    max_start_delay_s: float = 0.0

    async def run(self, generator: random.Random, until_s: float, counts: Counter[str]) -> None:
        """Inject faults until a moment; the last one is let end."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(generator.random() * self.max_start_delay_s)
        while loop.time() < until_s:
            fault = generator.choice(self.faults)
            counts[getattr(fault, "__name__", self.name)] += 1
            await fault()
            await asyncio.sleep(generator.random() * self.max_pause_s)
