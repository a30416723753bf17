"""Simulated network partitions of a soak: a shared file names the isolated machines."""

from __future__ import annotations

from pathlib import Path

#: Environment variable of a router process with the file's path.
PARTITION_FILE_VARIABLE = "SOAK_CUT_MACHINES"
#: The file's name in the folder of a soak.
PARTITION_FILE_NAME = "cut-machines"


class NetworkPartition:
    """The set of isolated machines, by IP address, stored in a file."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._isolated: frozenset[str] = frozenset()

    def write(self, addresses: set[str]) -> None:
        """Isolate exactly these machines; the file is replaced atomically."""
        lines = "\n".join(sorted(addresses))
        new_file = self._file.with_suffix(".new")
        new_file.write_text(lines)
        new_file.replace(self._file)

    def separates(self, one: str, other: str) -> bool:
        """Return whether datagrams between two machines are lost."""
        self._reload_if_changed()
        return one != other and (one in self._isolated or other in self._isolated)

    def _reload_if_changed(self) -> None:
        try:
            changed_ns = self._file.stat().st_mtime_ns
        except FileNotFoundError:
            return
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._isolated = frozenset(self._file.read_text().split())
