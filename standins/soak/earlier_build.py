"""Unpack an earlier build, whose routers run together with those of the current one."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent.parent


def unpack_build(commit: str, folder: Path) -> Path:
    """Unpack a commit's tree into ``folder / "earlier"`` and return that path."""
    tree = folder / "earlier"
    packed = subprocess.run(
        ["git", "archive", commit], cwd=_ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(tree, filter="data")
    return tree
