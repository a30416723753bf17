"""The tree of an earlier build, for routers that run beside those of this one."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent.parent


def unpack_build(commit: str, folder: Path) -> Path:
    """Lay a commit's tree into a new folder below ``folder`` and return it."""
    tree = folder / "earlier"
    packed = subprocess.run(
        ["git", "archive", commit], cwd=_ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(tree, filter="data")
    return tree
