"""Records the start time of the process and handles SIGTERM while it is still starting.

Import this module first: other imports may take seconds on a busy machine. A SIGTERM in that time
ends the process with status 0; nothing is being served yet.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

from winchfork.boot_clock import boot_seconds

#: Start time of this process, as :func:`boot_seconds`.
STARTED_AT_S = boot_seconds()


def _exit(number: int, frame: FrameType | None) -> None:
    # SystemExit may be discarded by the code that is running, and the stop with it.
    os._exit(0)


signal.signal(signal.SIGTERM, _exit)
