"""Check that a replica that announces a request limit receives no more requests than it allows.

Requests are counted from ``LIMIT_PROPAGATION_S`` after the first announcement, and only those of
routers that received a limit at least ``LIMIT_APPLY_DELAY_S`` earlier.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from standins.notice_checks import IsExcused, Sender, never_excused
from standins.notice_emitter import AnnouncedLimit, Arrival, NoticeEmitter

#: Length of a window in which requests are counted.
WINDOW_S = 4.0
#: Time from the first answer with a limit until requests are counted.
LIMIT_PROPAGATION_S = 3.0
#: Time from an answer with a limit until its router must apply it.
LIMIT_APPLY_DELAY_S = 0.5
#: Bound on the requests in a window: the limit times this factor, plus these extra requests.
MAX_RATE_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5


@dataclasses.dataclass(frozen=True)
class WindowCount:
    """Requests in one window from routers that must apply the limit."""

    requests: int
    limit_per_s: float
    ended_at_s: float = 0.0

    @property
    def allowed(self) -> float:
        """The highest number of requests that passes the check."""
        return MAX_RATE_FACTOR * self.limit_per_s * WINDOW_S + MAX_EXTRA_REQUESTS

    @property
    def excess(self) -> float:
        """The number of requests above ``allowed``; negative below it."""
        return self.requests - self.allowed


def worst_window(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> WindowCount | None:
    """Return the window with the highest excess, or None if no window has a limit."""
    counts = list(_windows(notices, senders, excused))
    return max(counts, key=lambda count: count.excess, default=None)


def check_limits(
    replicas: Iterable[tuple[str, NoticeEmitter]],
    senders: Mapping[str, Sender],
    excused: IsExcused = never_excused,
) -> list[str]:
    """Return a line for each replica that received more requests than its limit allows."""
    broken = []
    for replica_id, notices in replicas:
        worst = worst_window(notices, senders, excused)
        if worst is not None and worst.excess > 0:
            broken.append(
                f"LIMIT: {worst.requests} requests reached {replica_id} in {WINDOW_S:g} s, which "
                f"had named a limit of {worst.limit_per_s:g} a second; allowed {worst.allowed:g}"
            )
    return broken


def _windows(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused
) -> Iterable[WindowCount]:
    if not notices.limited_answers:
        return
    first_received_s: dict[int, float] = {}
    for answer in notices.limited_answers:
        router = senders[answer.request_id].router
        first_received_s[router] = min(answer.at_s, first_received_s.get(router, answer.at_s))
    counted_from_s = notices.limited_answers[0].at_s + LIMIT_PROPAGATION_S

    def is_bound(arrival: Arrival) -> bool:
        router = senders[arrival.request_id].router
        first_s = first_received_s.get(router)
        if first_s is None or first_s + LIMIT_APPLY_DELAY_S > arrival.at_s:
            return False
        return not excused(router, arrival.at_s - WINDOW_S, arrival.at_s)

    bound = [item for item in notices.arrivals if item.at_s >= counted_from_s and is_bound(item)]
    first = 0
    for number, arrival in enumerate(bound):
        while bound[first].at_s <= arrival.at_s - WINDOW_S:
            first += 1
        limit_per_s = _max_limit(notices.limits, bound[first].at_s, arrival.at_s)
        if limit_per_s is not None:
            yield WindowCount(number - first + 1, limit_per_s, arrival.at_s)


def _max_limit(limits: Sequence[AnnouncedLimit], from_s: float, until_s: float) -> float | None:
    """Return the highest limit within an interval, or None if part of it had no limit."""
    highest = None
    ends_s = [item.since_s for item in limits[1:]] + [float("inf")]
    if not limits or limits[0].since_s > from_s:
        return None
    for limit, end_s in zip(limits, ends_s, strict=True):
        if end_s <= from_s or limit.since_s > until_s:
            continue
        if limit.limit_per_s is None:
            return None
        highest = max(limit.limit_per_s, highest or 0.0)
    return highest
