"""What faults strike: the routers and what they run among, and where disturbances are noted."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from standins.fleet import Surroundings
from standins.soak.disruptions import DisruptionLog
from standins.soak.routers import RouterUnderSoak


@dataclasses.dataclass(frozen=True)
class Scene:
    """The parts of one run."""

    routers: Sequence[RouterUnderSoak]
    surroundings: Surroundings
    disruptions: DisruptionLog
