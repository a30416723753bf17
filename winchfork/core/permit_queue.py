"""A priority queue of requests that wait for a permit under the replicas' request limits.

A permit allows this daemon to send one request to one replica. Waiting requests are served by
priority and then first come, first served. The caller refuses a request whose expected wait is
longer than :func:`max_permit_wait_s`.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections.abc import Sequence

import msgspec

#: Largest share of a request's latency objective that it may wait for a permit. Under lasting
#: overload all requests wait for as long as they may, and still have to be answered in time.
MAX_WAIT_SHARE = 0.5
#: Number of mean permit intervals that a request may wait in any case; keeps requests from being
#: refused from an empty queue when permits are rare.
MAX_WAIT_PERMITS = 2.0


class PermitOpening(msgspec.Struct, frozen=True):
    """A replica that grants a permit in ``available_in_s`` and then one every ``interval_s``."""

    available_in_s: float
    interval_s: float


def permit_in_s(openings: Sequence[PermitOpening], ahead: int) -> float:
    """Return the seconds until a permit for a request with ``ahead`` requests before it.

    Infinite without openings.
    """
    heap = [(opening.available_in_s, opening.interval_s) for opening in openings]
    heapq.heapify(heap)
    if not heap:
        return math.inf
    for _ in range(ahead):
        in_s, interval_s = heap[0]
        heapq.heapreplace(heap, (in_s + interval_s, interval_s))
    return heap[0][0]


def max_permit_wait_s(openings: Sequence[PermitOpening], target_s: float) -> float:
    """Return how many seconds a request with this latency objective may wait for a permit."""
    per_s = sum(
        1.0 / opening.interval_s for opening in openings if not math.isinf(opening.available_in_s)
    )
    max_wait_s = MAX_WAIT_SHARE * target_s
    return max(max_wait_s, MAX_WAIT_PERMITS / per_s) if per_s else max_wait_s


class PermitTicket(msgspec.Struct, frozen=True, order=True):
    """A waiting request. The lowest ``priority`` is served first, then the lowest ``number``."""

    priority: int
    number: int


class PermitQueue:
    """The requests of one service that wait for permits at this daemon."""

    def __init__(self) -> None:
        self._waiting: list[PermitTicket] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def join(self, priority: int) -> PermitTicket:
        """Add a request; a lower ``priority`` is more urgent."""
        self._last_number += 1
        ticket = PermitTicket(priority, self._last_number)
        bisect.insort(self._waiting, ticket)
        return ticket

    def leave(self, ticket: PermitTicket) -> None:
        """Remove a request that was served, refused or cancelled."""
        self._waiting.remove(ticket)

    def ahead(self, ticket: PermitTicket) -> int:
        """Return how many requests are served before this one."""
        return bisect.bisect_left(self._waiting, ticket)
