"""Requests that wait for a place where every replica has named a limit, the most urgent first.

A place is one request that a replica takes from this daemon. Where there are fewer places than
requests, what cannot have one soon is told so at once; what waits is served by priority, and then
in the order in which it came.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections.abc import Sequence

import msgspec

#: Part of a request's latency objective for which it waits for a place. Where demand goes on being
#: more than there are places, everybody waits for as long as anybody may: what is served has to be
#: in time all the same.
MAX_WAIT_SHARE = 0.5
#: It waits for up to this many of the times in which places come, even where that is longer: with
#: few places a second it would else be refused though nobody is before it.
MAX_WAIT_PERMITS = 2.0


class PermitOpening(msgspec.Struct, frozen=True):
    """A replica takes a request in ``in_s`` seconds, and one more every ``interval_s``."""

    available_in_s: float
    interval_s: float


def permit_in_s(openings: Sequence[PermitOpening], ahead: int) -> float:
    """Return in how many seconds there is a place for a request with so many ahead of it."""
    heap = [(opening.available_in_s, opening.interval_s) for opening in openings]
    heapq.heapify(heap)
    if not heap:
        return math.inf
    for _ in range(ahead):
        in_s, interval_s = heap[0]
        heapq.heapreplace(heap, (in_s + interval_s, interval_s))
    return heap[0][0]


def max_permit_wait_s(openings: Sequence[PermitOpening], target_s: float) -> float:
    """Return how long a request with this latency objective waits for a place."""
    per_s = sum(
        1.0 / opening.interval_s for opening in openings if not math.isinf(opening.available_in_s)
    )
    patient_s = MAX_WAIT_SHARE * target_s
    return max(patient_s, MAX_WAIT_PERMITS / per_s) if per_s else patient_s


class PermitTicket(msgspec.Struct, frozen=True, order=True):
    """A waiting request: the lower its priority, and then its number, the sooner it is served."""

    priority: int
    number: int


class PermitQueue:
    """The requests of one service that wait for places at this daemon."""

    def __init__(self) -> None:
        self._waiting: list[PermitTicket] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def join(self, priority: int) -> PermitTicket:
        """Wait from now on."""
        self._last_number += 1
        ticket = PermitTicket(priority, self._last_number)
        bisect.insort(self._waiting, ticket)
        return ticket

    def leave(self, ticket: PermitTicket) -> None:
        """Wait no longer: served, refused, or gone."""
        self._waiting.remove(ticket)

    def ahead(self, ticket: PermitTicket) -> int:
        """Return how many requests are served before this one."""
        return bisect.bisect_left(self._waiting, ticket)
