"""Promises on what replicas say in their answers: one that leaves, or rests, is left alone."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from standins.notice_emitter import Backoff, NoticeEmitter

#: Seconds after a router had the word of a replica that leaves in which it may send to it still.
DRAINING_GRACE_S = 2.0
#: Seconds after a replica has asked for rest in which requests may still be on their way.
IN_FLIGHT_S = 0.5
#: Requests of one router that may reach a replica within its rest.
MAX_DURING_BACKOFF = 2


class IsExcused(Protocol):
    """Whether a router may have forgotten between two times what it had heard, or stood still."""

    def __call__(self, router: int, from_s: float, until_s: float) -> bool:
        """Tell it of a router."""
        ...


def never_excused(router: int, from_s: float, until_s: float) -> bool:
    """Excuse nothing."""
    return False


@dataclasses.dataclass(frozen=True)
class Sender:
    """The router that a caller sent a request to, and when, by the loop's clock."""

    router: int
    sent_at_s: float = 0.0


def sent_to_draining(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> list[str]:
    """Return the requests sent to a router long after it had heard that the replica leaves."""
    heard: dict[int, list[float]] = {}
    for answer in notices.draining_answers:
        heard.setdefault(senders[answer.request_id].router, []).append(answer.at_s)
    late = []
    for arrival in notices.arrivals:
        sender = senders[arrival.request_id]
        early = [
            heard_s
            for heard_s in heard.get(sender.router, ())
            if heard_s < sender.sent_at_s - DRAINING_GRACE_S
        ]
        # What it heard last and early enough is forgotten the least.
        if early and not excused(sender.router, max(early), arrival.at_s):
            late.append(arrival.request_id)
    return late


def reached_during_backoff(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> Counter[str]:
    """Return, by the request that was turned away, how many of its router came within the rest."""
    counts: Counter[str] = Counter()
    for backoff in notices.backoffs:
        router = senders[backoff.request_id].router
        if excused(router, backoff.at_s, backoff.until_s):
            continue
        counts[backoff.request_id] = sum(
            _is_in_rest(arrival.at_s, backoff) and senders[arrival.request_id].router == router
            for arrival in notices.arrivals
        )
    return counts


def check_notices(
    replicas: Iterable[tuple[str, NoticeEmitter]],
    senders: Mapping[str, Sender],
    excused: IsExcused = never_excused,
) -> list[str]:
    """Return a line for each replica that was not left alone as it had asked."""
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


def _is_in_rest(at_s: float, backoff: Backoff) -> bool:
    return backoff.at_s + IN_FLIGHT_S < at_s < backoff.until_s
