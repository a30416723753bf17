"""Check that routers stop sending to a replica whose answers announce draining or a backoff."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from standins.notice_emitter import Backoff, NoticeEmitter

#: Time after a draining answer in which its router may still send to the replica.
DRAINING_GRACE_S = 2.0
#: Time after a backoff answer in which arrivals count as already in flight.
IN_FLIGHT_S = 0.5
#: Requests of one router that may reach a replica within its backoff.
MAX_DURING_BACKOFF = 2


class IsExcused(Protocol):
    """Tells whether a router may have lost its state or been stalled within an interval."""

    def __call__(self, router: int, from_s: float, until_s: float) -> bool:
        """Return whether the router is excused between ``from_s`` and ``until_s``."""
        ...


def never_excused(router: int, from_s: float, until_s: float) -> bool:
    """Return False: no router is excused."""
    return False


@dataclasses.dataclass(frozen=True)
class Sender:
    """The router that a caller sent a request to, and the time on the event loop's clock."""

    router: int
    sent_at_s: float = 0.0


def sent_to_draining(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> list[str]:
    """Return the ids of requests sent more than ``DRAINING_GRACE_S`` after a draining answer.

    A request is compared with the draining answers that its own router received; the time at which
    the caller sent it counts.
    """
    received: dict[int, list[float]] = {}
    for answer in notices.draining_answers:
        received.setdefault(senders[answer.request_id].router, []).append(answer.at_s)
    late = []
    for arrival in notices.arrivals:
        sender = senders[arrival.request_id]
        early = [
            received_s
            for received_s in received.get(sender.router, ())
            if received_s < sender.sent_at_s - DRAINING_GRACE_S
        ]
        # The latest of these answers leaves the shortest interval in which state can be lost.
        if early and not excused(sender.router, max(early), arrival.at_s):
            late.append(arrival.request_id)
    return late


def reached_during_backoff(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> Counter[str]:
    """Count, by the id of the refused request, its router's arrivals within the backoff."""
    counts: Counter[str] = Counter()
    for backoff in notices.backoffs:
        router = senders[backoff.request_id].router
        if excused(router, backoff.at_s, backoff.until_s):
            continue
        counts[backoff.request_id] = sum(
            _is_in_backoff(arrival.at_s, backoff) and senders[arrival.request_id].router == router
            for arrival in notices.arrivals
        )
    return counts


def check_notices(
    replicas: Iterable[tuple[str, NoticeEmitter]],
    senders: Mapping[str, Sender],
    excused: IsExcused = never_excused,
) -> list[str]:
    """Return a line for each replica and announcement after which too many requests arrived."""
    broken = []
    for replica_id, notices in replicas:
        late = sent_to_draining(notices, senders, excused)
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests, the first {late[0]}, were sent to {replica_id} "
                f"over {DRAINING_GRACE_S:g} s after an answer had said that it leaves"
            )
        counts = reached_during_backoff(notices, senders, excused)
        worst = max(counts, key=lambda name: counts[name], default="")
        if counts[worst] > MAX_DURING_BACKOFF:
            broken.append(
                f"BUDGET: {counts[worst]} requests reached {replica_id} within the rest that it "
                f"had asked for when it turned {worst} away"
            )
    return broken


def _is_in_backoff(at_s: float, backoff: Backoff) -> bool:
    return backoff.at_s + IN_FLIGHT_S < at_s < backoff.until_s
