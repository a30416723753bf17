"""The memory that this process occupies, as the kernel counts it."""

from __future__ import annotations

import os
from pathlib import Path

_STATM = Path("/proc/self/statm")


def resident_bytes() -> int:
    """Return the resident set size in bytes; 0 where the kernel does not tell it."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
