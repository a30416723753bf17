"""What faults strike: the routers and what they run among, and where disturbances are noted."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from standins.deployment import PlatformStandins
from standins.soak.disruptions import DisruptionLog
from standins.soak.routers import SoakRouter


@dataclasses.dataclass(frozen=True)
class FaultContext:
    """The parts of one run."""

    routers: Sequence[SoakRouter]
    platform: PlatformStandins
    disruptions: DisruptionLog
