"""Replicas some of whose answers never end, and the memory of the routers that they reach."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from standins.deployment import MEMORY_MB, PlatformStandins
from standins.soak.routers import SoakRouter

#: Share of the answers in which one part never ends.
ENDLESS_SHARE = 0.02
_PERIOD_S = 0.1


def prepare_endless_answers(platform: PlatformStandins) -> None:
    """Let every replica write such answers."""
    for replica in (*platform.model_replicas, *platform.application_replicas):
        replica.endless_share = ENDLESS_SHARE


class MemoryWatch:
    """Reads the memory of the routers' processes until cancelled."""

    def __init__(self, routers: Sequence[SoakRouter]) -> None:
        self._routers = routers
        self.peak_mb = 0.0

    async def run(self) -> None:
        """Read it again and again; processes that are killed have been read shortly before."""
        while True:
            peaks = [router.peak_memory_mb for router in self._routers]
            self.peak_mb = max(self.peak_mb, *peaks)
            await asyncio.sleep(_PERIOD_S)

    def violations(self) -> list[str]:
        """Return a line if a process has gone over the limit in its settings."""
        if self.peak_mb <= MEMORY_MB:
            return []
        return [f"a router has occupied {self.peak_mb:.0f} MB, where {MEMORY_MB} are its limit"]
