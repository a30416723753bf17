"""What was disturbed when: the times within which a promise with a time bound is not held against.

The store and the links are everybody's: while one of them is disturbed, and for the contact time
after it, no bound runs. A router's own disturbance excuses the requests that this router sent, no
others.
"""

from __future__ import annotations

import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator

#: Stands for the store or a link in place of a router's number.
ALL_ROUTERS = 0
#: What befalls a process: it forgets what it had heard, or does not run.
KILL = "kill"
PLANNED_STOP = "planned stop"
STALL = "standstill"
PROCESS_FAULTS = (KILL, PLANNED_STOP, STALL)


@dataclasses.dataclass
class Disruption:
    """One disturbance; ``ended_s`` is infinite while it lasts. Times of the loop's clock."""

    kind: str
    router: int
    started_at_s: float
    ended_at_s: float = math.inf


class DisruptionLog:
    """Keeps every disturbance of a run."""

    def __init__(
        self, contact_s: float, clock: Callable[[], float], log_line: Callable[[str], None]
    ) -> None:
        self._contact_s = contact_s
        self._clock = clock
        self.log_line = log_line
        self._all: list[Disruption] = []

    @contextlib.contextmanager
    def during(self, what: str, router: int = ALL_ROUTERS) -> Iterator[None]:
        """Note a disturbance that lasts as long as the block."""
        disruption = Disruption(what, router, self._clock())
        self._all.append(disruption)
        self.log_line(f"{what} begins" + self._whose(router))
        try:
            yield
        finally:
            disruption.ended_at_s = self._clock()
            self.log_line(f"{what} ends" + self._whose(router))

    def record_instant(self, what: str, router: int) -> None:
        """Note a disturbance of a router that lasts no time, such as a reset."""
        now_s = self._clock()
        self._all.append(Disruption(what, router, now_s, now_s))
        self.log_line(what + self._whose(router))

    def undisturbed_since_s(self, at_s: float) -> float | None:
        """Return since when the store and all links have been sound; None: they are not."""
        start_s = -math.inf
        for disruption in self._all:
            if disruption.router != ALL_ROUTERS or disruption.started_at_s > at_s:
                continue
            sound_s = disruption.ended_at_s + self._contact_s
            if sound_s > at_s:
                return None
            start_s = max(start_s, sound_s)
        return start_s

    def excuses(self, router: int, at_s: float) -> bool:
        """Tell whether a router was disturbed itself at a moment, or shortly before."""
        return any(
            disruption.router == router
            and disruption.started_at_s <= at_s < disruption.ended_at_s + self._contact_s
            for disruption in self._all
        )

    def process_disturbed_between(self, router: int, from_s: float, until_s: float) -> bool:
        """Tell whether a router's process was ended, started or stood still in that time."""
        return any(
            disruption.router == router
            and disruption.kind in PROCESS_FAULTS
            and disruption.started_at_s < until_s
            and disruption.ended_at_s > from_s
            for disruption in self._all
        )

    @staticmethod
    def _whose(router: int) -> str:
        return "" if router == ALL_ROUTERS else f" at router {router}"
