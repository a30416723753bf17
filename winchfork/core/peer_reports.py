"""Bounds the effect of peers' reports about replicas that this daemon has not observed itself.

A report by a single peer is accepted for at most ``MAX_UNCONFIRMED_SHARE`` of a service's replicas,
so that one faulty peer cannot take a whole service out of use. A report that
``MIN_CONFIRMING_PEERS`` peers agree on is always accepted.
"""

from __future__ import annotations

from collections.abc import Collection

#: Reporters that confirm a report.
MIN_CONFIRMING_PEERS = 2
#: Share of a service's replicas for which unconfirmed reports are accepted.
MAX_UNCONFIRMED_SHARE = 0.5
#: Bounds the table of reported replicas; more than a fleet has.
MAX_REMEMBERED = 2048


class PeerReports:
    """The reporters of one kind of report, by the hash of the replica's incarnation."""

    def __init__(self) -> None:
        self._reporters: dict[int, set[str]] = {}

    def forget(self, incarnation: int) -> None:
        """Drop the reports of a replica: this daemon has observed it itself, or they are void."""
        self._reporters.pop(incarnation, None)

    def is_unconfirmed(self, incarnation: int) -> bool:
        """Whether exactly one peer has reported the replica."""
        return len(self._reporters.get(incarnation, ())) == 1

    def accept(
        self, incarnation: int, reporter: str, accepted: Collection[int], replicas: int
    ) -> bool:
        """Record a peer's report and return whether to act on it.

        ``accepted`` holds the incarnations of the service for which such a report is in effect, and
        ``replicas`` is the number of the service's replicas. A report that is not accepted is
        remembered until another peer confirms it.
        """
        is_known = incarnation in accepted
        if is_known and incarnation not in self._reporters:
            return True
        reporters = self._reporters.setdefault(incarnation, set())
        reporters.add(reporter)
        if len(self._reporters) > MAX_REMEMBERED:
            del self._reporters[next(iter(self._reporters))]
        if is_known or len(reporters) >= MIN_CONFIRMING_PEERS:
            return True
        unconfirmed = sum(self.is_unconfirmed(other) for other in accepted)
        return unconfirmed + 1 <= MAX_UNCONFIRMED_SHARE * replicas
