"""The promise on limits: a replica that names how many requests a second it takes gets no more."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from standins.notice_checks import IsExcused, Sender, never_excused
from standins.notice_emitter import AnnouncedLimit, Arrival, NoticeEmitter

#: Seconds over which requests are counted.
WINDOW_S = 4.0
#: Seconds after the first answer with a limit from which on it holds.
LIMIT_PROPAGATION_S = 3.0
#: Seconds after an answer with a limit from which on its router is bound by it.
LIMIT_APPLY_DELAY_S = 0.5
#: What a window may hold: so many times what the limit allows in it, and so many requests more.
MAX_RATE_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5


@dataclasses.dataclass(frozen=True)
class WindowCount:
    """Requests of bound routers within one window, and how many were allowed."""

    requests: int
    limit_per_s: float
    ended_at_s: float = 0.0

    @property
    def allowed(self) -> float:
        """The most that the promise allows."""
        return MAX_RATE_FACTOR * self.limit_per_s * WINDOW_S + MAX_EXTRA_REQUESTS

    @property
    def excess(self) -> float:
        """How many came beyond that; negative where fewer came."""
        return self.requests - self.allowed


def worst_window(
    notices: NoticeEmitter, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> WindowCount | None:
    """Return the window in which most came beyond what was allowed; None without a limit."""
    counts = list(_windows(notices, senders, excused))
    return max(counts, key=lambda count: count.excess, default=None)


def check_limits(
    replicas: Iterable[tuple[str, NoticeEmitter]],
    senders: Mapping[str, Sender],
    excused: IsExcused = never_excused,
) -> list[str]:
    """Return a line for each replica that got more than the limit that it had named."""
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
    heard_s: dict[int, float] = {}
    for answer in notices.limited_answers:
        router = senders[answer.request_id].router
        heard_s[router] = min(answer.at_s, heard_s.get(router, answer.at_s))
    holds_s = notices.limited_answers[0].at_s + LIMIT_PROPAGATION_S

    def is_bound(arrival: Arrival) -> bool:
        router = senders[arrival.request_id].router
        known_s = heard_s.get(router)
        if known_s is None or known_s + LIMIT_APPLY_DELAY_S > arrival.at_s:
            return False
        return not excused(router, arrival.at_s - WINDOW_S, arrival.at_s)

    bound = [item for item in notices.arrivals if item.at_s >= holds_s and is_bound(item)]
    first = 0
    for number, arrival in enumerate(bound):
        while bound[first].at_s <= arrival.at_s - WINDOW_S:
            first += 1
        per_s = _max_limit(notices.limits, bound[first].at_s, arrival.at_s)
        if per_s is not None:
            yield WindowCount(number - first + 1, per_s, arrival.at_s)


def _max_limit(limits: Sequence[AnnouncedLimit], from_s: float, until_s: float) -> float | None:
    """Return the highest limit that held in a time; None if none was named in some of it."""
    most = None
    ends_s = [item.since_s for item in limits[1:]] + [float("inf")]
    if not limits or limits[0].since_s > from_s:
        return None
    for limit, end_s in zip(limits, ends_s, strict=True):
        if end_s <= from_s or limit.since_s > until_s:
            continue
        if limit.per_s is None:
            return None
        most = max(limit.per_s, most or 0.0)
    return most
