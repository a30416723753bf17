"""Promises on what replicas say in their answers: one that leaves, or rests, is left alone."""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping

from standins.spoken_notices import Backoff, SpokenNotices

#: Seconds after a router had the word of a replica that leaves in which it may send to it still.
LEAVING_BOUND_S = 2.0
#: Seconds after a replica has asked for rest in which requests may still be on their way.
UNDER_WAY_S = 0.5
#: Requests of one router that may reach a replica within its rest.
MOST_IN_REST = 2


@dataclasses.dataclass(frozen=True)
class Sender:
    """The router that a caller sent a request to, and when, by the loop's clock.

    ``life`` tells the starts of one router apart: what an earlier one heard is forgotten.
    """

    router: int
    sent_s: float
    life: int = 0


def sent_to_leaving(notices: SpokenNotices, senders: Mapping[str, Sender]) -> list[str]:
    """Return the requests sent to a router long after it had heard that the replica leaves."""
    heard_s: dict[tuple[int, int], float] = {}
    for answer in notices.left:
        sender = senders[answer.request_id]
        heard_s.setdefault((sender.router, sender.life), answer.at_s)
    late = []
    for arrival in notices.arrivals:
        sender = senders[arrival.request_id]
        first_s = heard_s.get((sender.router, sender.life))
        if first_s is not None and sender.sent_s > first_s + LEAVING_BOUND_S:
            late.append(arrival.request_id)
    return late


def reached_in_rest(notices: SpokenNotices, senders: Mapping[str, Sender]) -> Counter[str]:
    """Return, by the request that was turned away, how many of its router came within the rest."""
    counts: Counter[str] = Counter()
    for backoff in notices.backoffs:
        sender = senders[backoff.request_id]
        counts[backoff.request_id] = sum(
            _is_in_rest(arrival.at_s, backoff)
            and senders[arrival.request_id].router == sender.router
            and senders[arrival.request_id].life == sender.life
            for arrival in notices.arrivals
        )
    return counts


def judge_notices(
    replicas: Iterable[tuple[str, SpokenNotices]], senders: Mapping[str, Sender]
) -> list[str]:
    """Return a line for each replica that was not left alone as it had asked."""
    broken = []
    for replica_id, notices in replicas:
        late = sent_to_leaving(notices, senders)
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests, the first {late[0]}, were sent to {replica_id} "
                f"over {LEAVING_BOUND_S:g} s after an answer had said that it leaves"
            )
        counts = reached_in_rest(notices, senders)
        worst = max(counts, key=lambda name: counts[name], default="")
        if counts[worst] > MOST_IN_REST:
            broken.append(
                f"BUDGET: {counts[worst]} requests reached {replica_id} within the rest that it "
                f"had asked for when it turned {worst} away"
            )
    return broken


def _is_in_rest(at_s: float, backoff: Backoff) -> bool:
    return backoff.at_s + UNDER_WAY_S < at_s < backoff.until_s
