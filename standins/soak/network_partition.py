"""The machines of a soak that are cut off from the others, as a file tells their routers."""

from __future__ import annotations

from pathlib import Path

#: Names the file in the environment of a router process.
PARTITION_FILE_VARIABLE = "SOAK_CUT_MACHINES"
#: Its name in the folder of a soak.
PARTITION_FILE_NAME = "cut-machines"


class NetworkPartition:
    """The machines that are cut off, by IP number, as a file says."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._isolated: frozenset[str] = frozenset()

    def write(self, addresses: set[str]) -> None:
        """Cut these machines off, and no others."""
        lines = "\n".join(sorted(addresses))
        beside = self._file.with_suffix(".new")
        beside.write_text(lines)
        beside.replace(self._file)

    def separates(self, one: str, other: str) -> bool:
        """Whether datagrams between two machines are lost."""
        self._read_again()
        return one != other and (one in self._isolated or other in self._isolated)

    def _read_again(self) -> None:
        try:
            changed_ns = self._file.stat().st_mtime_ns
        except FileNotFoundError:
            return
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._isolated = frozenset(self._file.read_text().split())
