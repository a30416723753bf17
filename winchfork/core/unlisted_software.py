"""Names for the software of an incarnation that has no entry yet.

A replica that has restarted under its id may run another version than the one listed. Until its new
entry arrives, its software is named after the incarnation, so that what it begins goes on there
only. Once the entry is known, :meth:`.relay_fleet.RelayFleet.resolve_software` gives the version.
"""

from __future__ import annotations

import msgspec

_PREFIX = "unlisted:"


class UnlistedIncarnation(msgspec.Struct, frozen=True):
    """An incarnation by id and start time in milliseconds since 1970; 0 if not known."""

    replica_id: str
    started_at_ms: int

    @property
    def software(self) -> str:
        """The name of its software."""
        return f"{_PREFIX}{self.replica_id}@{self.started_at_ms}"


def is_unlisted(software: str) -> bool:
    """Whether a version is the name of an incarnation's software that was not listed."""
    return software.startswith(_PREFIX)


def unlisted_incarnation(software: str) -> UnlistedIncarnation | None:
    """Return the incarnation that the name of a software stands for; None for a version."""
    if not is_unlisted(software):
        return None
    replica_id, _, started_at_ms = software.removeprefix(_PREFIX).rpartition("@")
    if not started_at_ms.isascii() or not started_at_ms.isdigit():
        return None
    return UnlistedIncarnation(replica_id, int(started_at_ms))
