"""The first moments of a process: when it began, and an end as planned if it is asked to stop.

Imported first: the imports that follow take some tenths of a second, on a busy machine seconds, in
which SIGTERM would end the process by the signal. Nothing is being served by then.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType

from winchfork.boot_clock import boot_seconds

#: When this process began, by its router's clock.
STARTED_AT_S = boot_seconds()


def _end(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


signal.signal(signal.SIGTERM, _end)
