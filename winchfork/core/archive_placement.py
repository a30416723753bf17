"""Which daemons archive the records of begun streams, by rendezvous hashing.

Every write to the store wakes all daemons that watch it, so a few daemons write for all. In a
small fleet each record has both archivers, so that one may die unnoticed; in a large one it has one
archiver. Daemons that see the same members choose the same archivers. If their views differ, a
record may be written by none or once more.
"""

from __future__ import annotations

from collections.abc import Iterable

from winchfork.core.member import Member
from winchfork.core.rendezvous import member_hash, mixed_order, rendezvous_rank

#: Members for each archiver, and the least number of archivers.
MEMBERS_PER_ARCHIVER = 25
MIN_ARCHIVERS = 2
_DUTY = "stream archiver"


def archiver_count(members: int) -> int:
    """Return how many of a fleet's members archive."""
    return min(members, max(MIN_ARCHIVERS, -(-members // MEMBERS_PER_ARCHIVER)))


class ArchivePlacement:
    """The archivers among ``members``, and those that are responsible for each stream."""

    def __init__(self, members: Iterable[Member]) -> None:
        by_id = {member.member_id: member for member in members}
        self._archivers = [
            (member_hash(member_id), by_id[member_id])
            for member_id in rendezvous_rank(_DUTY, by_id)[: archiver_count(len(by_id))]
        ]

    @property
    def archivers(self) -> frozenset[tuple[str, int]]:
        """The ids and incarnations of the archivers."""
        return frozenset((member.member_id, member.incarnation) for _, member in self._archivers)

    def archivers_of(self, key: bytes) -> list[Member]:
        """Return the archivers that write the record of a stream."""
        number = int.from_bytes(key[:8], "big")
        ordered = sorted(self._archivers, key=lambda item: mixed_order(number, item[0]))
        copies = len(ordered) if len(ordered) <= MIN_ARCHIVERS else 1
        return [member for _, member in ordered[:copies]]
