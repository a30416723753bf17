"""Simulated machine suspensions: a monotonic clock that excludes the suspended time.

While a process is paused by a signal, its monotonic clock advances; in a real suspension it does
not. A file holds the total suspended time in seconds, which the patched clocks subtract.
"""

from __future__ import annotations

import time
from pathlib import Path

#: Environment variable of a router process with the file's path.
SUSPENDED_FILE_VARIABLE = "SOAK_SUSPENDED"


class SuspendedTime:
    """The time in seconds that a machine was suspended since its router process started."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._total_s = 0.0

    def write(self, total_s: float) -> None:
        """Set the total; the file is replaced atomically."""
        new_file = self._file.with_suffix(".new")
        new_file.write_text(repr(total_s))
        new_file.replace(self._file)
        self._total_s = total_s

    def total_s(self) -> float:
        """Return the total, read again if the file has changed."""
        try:
            changed_ns = self._file.stat().st_mtime_ns
        except FileNotFoundError:
            return self._total_s
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._total_s = float(self._file.read_text())
        return self._total_s


def exclude_suspensions(suspended: SuspendedTime) -> None:
    """Patch this process's monotonic clocks to subtract the suspended time."""
    monotonic, clock_gettime = time.monotonic, time.clock_gettime

    def adjusted_clock_gettime(clock: int) -> float:
        seconds = clock_gettime(clock)
        return seconds - suspended.total_s() if clock == time.CLOCK_MONOTONIC else seconds

    time.monotonic = lambda: monotonic() - suspended.total_s()
    time.clock_gettime = adjusted_clock_gettime
