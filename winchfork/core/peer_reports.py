"""What peers alone say of replicas: advice, and no false word of one of them empties a service.

As long as one peer alone says something of a replica that this daemon has not heard itself, that
counts for up to half of a service's replicas. What two peers say counts for all.
"""

from __future__ import annotations

from collections.abc import Collection

#: Peers whose word counts for any number of replicas.
MIN_CONFIRMING_PEERS = 2
#: Part of a service's replicas for which the word of one peer counts.
MAX_UNCONFIRMED_SHARE = 0.5
#: Replicas of which it is remembered who said something: more than a fleet has.
MAX_REMEMBERED = 2048


class PeerReports:
    """Who has said one kind of thing of which replica, named by the hash of its incarnation."""

    def __init__(self) -> None:
        self._reporters: dict[int, set[str]] = {}

    def forget(self, incarnation: int) -> None:
        """This daemon has heard it itself, or it is over."""
        self._reporters.pop(incarnation, None)

    def is_unconfirmed(self, incarnation: int) -> bool:
        """Whether one peer alone says it."""
        return len(self._reporters.get(incarnation, ())) == 1

    def accept(
        self, incarnation: int, reporter: str, accepted: Collection[int], replicas: int
    ) -> bool:
        """Take in a peer's word, and return whether to heed it.

        ``heeded`` are the incarnations of the service of which it is heeded already, and
        ``replicas`` how many the service has. A word that does not count is kept until another
        peer confirms it.
        """
        is_known = incarnation in accepted
        if is_known and incarnation not in self._reporters:
            return True
        tellers = self._reporters.setdefault(incarnation, set())
        tellers.add(reporter)
        if len(self._reporters) > MAX_REMEMBERED:
            del self._reporters[next(iter(self._reporters))]
        if is_known or len(tellers) >= MIN_CONFIRMING_PEERS:
            return True
        alone = sum(self.is_unconfirmed(other) for other in accepted)
        return alone + 1 <= MAX_UNCONFIRMED_SHARE * replicas
