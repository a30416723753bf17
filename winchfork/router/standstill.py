"""Notices that this process did not run for a while: stopped, or kept off its processor.

What did not come in that time says nothing about its senders.
"""

from __future__ import annotations

from winchfork.logs import log_event

#: Seconds between two ticks from which on a process counts as having stood still: several times
#: the pause between ticks, and well below the bounds on daemons that are in touch.
STANDSTILL_S = 1.0


class StandstillWatch:
    """Compares the times of a tick that comes some times a second. Times are monotonic seconds."""

    def __init__(self, started_s: float) -> None:
        self._ticked_s = started_s

    def tick(self, now_s: float) -> None:
        """Take a tick in, and log a standstill before it."""
        gap_s = now_s - self._ticked_s
        self._ticked_s = now_s
        if gap_s >= STANDSTILL_S:
            log_event("process_stood_still", "WARNING", for_s=gap_s)
