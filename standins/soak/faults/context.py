"""What the faults share: the routers, the stand-ins and the log of disruptions."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from standins.deployment import PlatformStandins
from standins.soak.disruptions import DisruptionLog
from standins.soak.routers import SoakRouter


@dataclasses.dataclass(frozen=True)
class FaultContext:
    """The parts of one soak run that faults act on."""

    routers: Sequence[SoakRouter]
    platform: PlatformStandins
    disruptions: DisruptionLog
