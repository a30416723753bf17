"""The memory of another process, as the kernel counts it."""

from __future__ import annotations

from pathlib import Path


def read_memory_mb(pid: int, field: str) -> float:
    """Return ``VmRSS`` (now) or ``VmHWM`` (the most so far) in MB; 0 once the process has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    kib = [int(line.split()[1]) for line in status.splitlines() if line.startswith(f"{field}:")]
    return kib[0] * 1024 / 1e6 if kib else 0.0
