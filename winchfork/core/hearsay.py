"""What peers alone say of replicas: advice, and no false word of one of them empties a service.

As long as one peer alone says something of a replica that this daemon has not heard itself, that
counts for up to half of a service's replicas. What two peers say counts for all.
"""

from __future__ import annotations

from collections.abc import Collection

#: Peers whose word counts for any number of replicas.
CONFIRMING_PEERS = 2
#: Part of a service's replicas for which the word of one peer counts.
MOST_SHARE = 0.5
#: Replicas of which it is remembered who said something: more than a fleet has.
MOST_REMEMBERED = 2048


class Hearsay:
    """Who has said one kind of thing of which replica, named by the hash of its incarnation."""

    def __init__(self) -> None:
        self._tellers: dict[int, set[str]] = {}

    def forget(self, incarnation: int) -> None:
        """This daemon has heard it itself, or it is over."""
        self._tellers.pop(incarnation, None)

    def is_alone(self, incarnation: int) -> bool:
        """Whether one peer alone says it."""
        return len(self._tellers.get(incarnation, ())) == 1

    def counts(self, incarnation: int, teller: str, heeded: Collection[int], replicas: int) -> bool:
        """Take in a peer's word, and return whether to heed it.

        ``heeded`` are the incarnations of the service of which it is heeded already, and
        ``replicas`` how many the service has. A word that does not count is kept until another
        peer confirms it.
        """
        is_known = incarnation in heeded
        if is_known and incarnation not in self._tellers:
            return True
        tellers = self._tellers.setdefault(incarnation, set())
        tellers.add(teller)
        if len(self._tellers) > MOST_REMEMBERED:
            del self._tellers[next(iter(self._tellers))]
        if is_known or len(tellers) >= CONFIRMING_PEERS:
            return True
        alone = sum(self.is_alone(other) for other in heeded)
        return alone + 1 <= MOST_SHARE * replicas
