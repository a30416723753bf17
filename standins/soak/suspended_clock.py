"""The steady clock of a router process in a soak, which does not count suspensions.

A process that is stopped by a signal has its clocks run on. To its machine a suspension is the
same, but that the steady clock stands still meanwhile: a file tells for how long, and whatever in
the process ages by that clock is then younger than it is.
"""

from __future__ import annotations

import time
from pathlib import Path

#: Names the file in the environment of a router process.
SUSPENDED_FILE_VARIABLE = "SOAK_SUSPENDED"


class SuspendedTime:
    """The seconds that a machine has been suspended since its router process started."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._total_s = 0.0

    def write(self, total_s: float) -> None:
        """Let it be so many."""
        beside = self._file.with_suffix(".new")
        beside.write_text(repr(total_s))
        beside.replace(self._file)
        self._total_s = total_s

    def total_s(self) -> float:
        """Return them, as the file says now."""
        try:
            changed_ns = self._file.stat().st_mtime_ns
        except FileNotFoundError:
            return self._total_s
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._total_s = float(self._file.read_text())
        return self._total_s


def exclude_suspensions(suspended: SuspendedTime) -> None:
    """Have the steady clock of this process stand still for as long as the file says."""
    monotonic, clock_gettime = time.monotonic, time.clock_gettime

    def steady_clock_gettime(clock: int) -> float:
        seconds = clock_gettime(clock)
        return seconds - suspended.total_s() if clock == time.CLOCK_MONOTONIC else seconds

    time.monotonic = lambda: monotonic() - suspended.total_s()
    time.clock_gettime = steady_clock_gettime
