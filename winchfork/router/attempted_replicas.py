"""The replicas that one request was sent to, and those that it may be sent to next."""

from __future__ import annotations

from collections.abc import Iterable


class AttemptedReplicas:
    """Replicas by whether they may have run the request or have refused it as not run.

    A route limits the replicas that a request is sent to, not how often one is asked that has not
    run it. New requests ask each replica once; a request whose answer has begun cannot be refused
    any more, so it asks again where it was refused.
    """

    def __init__(self, max_replicas: int) -> None:
        self._max_replicas = max_replicas
        self._tried: set[str] = set()
        self._refused: set[str] = set()
        #: Those that the request was not sent to for want of proof which incarnation answers.
        self.unproven: set[str] = set()

    def add(self, replica_id: str, *, refused: bool = False) -> None:
        """Add a replica that the request was sent to; ``refused``: it did not run it."""
        self._tried.add(replica_id)
        if refused:
            self._refused.add(replica_id)
        else:
            self._refused.discard(replica_id)

    @property
    def allows_another(self) -> bool:
        """Whether a begun answer may be sent to one more replica, or again where it was refused."""
        return bool(self._refused) or len(self._tried) < self._max_replicas

    def is_exhausted(self, replica_ids: Iterable[str]) -> bool:
        """Whether neither the listed replicas nor any new one may continue a begun answer."""
        return len(self._tried) >= self._max_replicas and self._refused.isdisjoint(replica_ids)

    def excluded(self, replica_ids: Iterable[str], *, answer_begun: bool) -> set[str]:
        """Return which of these replicas the request may not be sent to."""
        if not answer_begun:
            return set(self._tried)
        if len(self._tried) < self._max_replicas:
            return self._tried - self._refused
        return set(replica_ids) - self._refused
