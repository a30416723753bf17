"""A log of disruptions, during which guarantees with a time bound are not checked.

A disruption of the store or of a link suspends the bounds of all routers while it lasts and for the
contact time afterwards. A disruption of one router excuses only the requests sent by this router.
"""

from __future__ import annotations

import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator

#: Used in place of a router's number for the store and the links.
ALL_ROUTERS = 0
#: Disruptions of a router process, which loses its state or does not run.
KILL = "kill"
PLANNED_STOP = "planned stop"
STALL = "standstill"
PROCESS_FAULTS = (KILL, PLANNED_STOP, STALL)


@dataclasses.dataclass
class Disruption:
    """One disruption, in event loop time; ``ended_at_s`` is infinite while it lasts."""

    kind: str
    router: int
    started_at_s: float
    ended_at_s: float = math.inf


class DisruptionLog:
    """Records every disruption of a run."""

    def __init__(
        self, contact_s: float, clock: Callable[[], float], log_line: Callable[[str], None]
    ) -> None:
        self._contact_s = contact_s
        self._clock = clock
        self.log_line = log_line
        self._all: list[Disruption] = []

    @contextlib.contextmanager
    def during(self, what: str, router: int = ALL_ROUTERS) -> Iterator[None]:
        """Record a disruption that lasts as long as the ``with`` block."""
        disruption = Disruption(what, router, self._clock())
        self._all.append(disruption)
        self.log_line(f"{what} begins" + self._router_suffix(router))
        try:
            yield
        finally:
            disruption.ended_at_s = self._clock()
            self.log_line(f"{what} ends" + self._router_suffix(router))

    def record_instant(self, what: str, router: int) -> None:
        """Record a disruption of a router without duration, such as a connection reset."""
        now_s = self._clock()
        self._all.append(Disruption(what, router, now_s, now_s))
        self.log_line(what + self._router_suffix(router))

    def undisrupted_since_s(self, at_s: float) -> float | None:
        """Return since when the store and all links have worked; None if they don't at ``at_s``.

        The contact time after a disruption counts as disrupted.
        """
        start_s = -math.inf
        for disruption in self._all:
            if disruption.router != ALL_ROUTERS or disruption.started_at_s > at_s:
                continue
            recovered_s = disruption.ended_at_s + self._contact_s
            if recovered_s > at_s:
                return None
            start_s = max(start_s, recovered_s)
        return start_s

    def excuses(self, router: int, at_s: float) -> bool:
        """Return whether a router was disrupted at ``at_s`` or within the contact time before."""
        return any(
            disruption.router == router
            and disruption.started_at_s <= at_s < disruption.ended_at_s + self._contact_s
            for disruption in self._all
        )

    def process_disrupted_between(self, router: int, from_s: float, until_s: float) -> bool:
        """Return whether a router's process was stopped, restarted or stalled in an interval."""
        return any(
            disruption.router == router
            and disruption.kind in PROCESS_FAULTS
            and disruption.started_at_s < until_s
            and disruption.ended_at_s > from_s
            for disruption in self._all
        )

    @staticmethod
    def _router_suffix(router: int) -> str:
        return "" if router == ALL_ROUTERS else f" at router {router}"
