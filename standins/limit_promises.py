"""The promise on limits: a replica that names how many requests a second it takes gets no more."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from standins.notice_promises import IsExcused, Sender, never_excused
from standins.spoken_notices import Arrival, NamedLimit, SpokenNotices

#: Seconds over which requests are counted.
WINDOW_S = 4.0
#: Seconds after the first answer with a limit from which on it holds.
CONTACT_S = 3.0
#: Seconds after an answer with a limit from which on its router is bound by it.
HEARD_S = 0.5
#: What a window may hold: so many times what the limit allows in it, and so many requests more.
MOST_SHARE = 1.5
MOST_MORE = 5


@dataclasses.dataclass(frozen=True)
class WindowCount:
    """Requests of bound routers within one window, and how many were allowed."""

    requests: int
    per_s: float
    ends_s: float = 0.0

    @property
    def allowed(self) -> float:
        """The most that the promise allows."""
        return MOST_SHARE * self.per_s * WINDOW_S + MOST_MORE

    @property
    def over(self) -> float:
        """How many came beyond that; negative where fewer came."""
        return self.requests - self.allowed


def worst_window(
    notices: SpokenNotices, senders: Mapping[str, Sender], excused: IsExcused = never_excused
) -> WindowCount | None:
    """Return the window in which most came beyond what was allowed; None without a limit."""
    counts = list(_windows(notices, senders, excused))
    return max(counts, key=lambda count: count.over, default=None)


def judge_limits(
    replicas: Iterable[tuple[str, SpokenNotices]],
    senders: Mapping[str, Sender],
    excused: IsExcused = never_excused,
) -> list[str]:
    """Return a line for each replica that got more than the limit that it had named."""
    broken = []
    for replica_id, notices in replicas:
        worst = worst_window(notices, senders, excused)
        if worst is not None and worst.over > 0:
            broken.append(
                f"LIMIT: {worst.requests} requests reached {replica_id} in {WINDOW_S:g} s, which "
                f"had named a limit of {worst.per_s:g} a second; allowed {worst.allowed:g}"
            )
    return broken


def _windows(
    notices: SpokenNotices, senders: Mapping[str, Sender], excused: IsExcused
) -> Iterable[WindowCount]:
    if not notices.limited:
        return
    heard_s: dict[int, float] = {}
    for answer in notices.limited:
        router = senders[answer.request_id].router
        heard_s[router] = min(answer.at_s, heard_s.get(router, answer.at_s))
    holds_s = notices.limited[0].at_s + CONTACT_S

    def is_bound(arrival: Arrival) -> bool:
        router = senders[arrival.request_id].router
        known_s = heard_s.get(router)
        if known_s is None or known_s + HEARD_S > arrival.at_s:
            return False
        return not excused(router, arrival.at_s - WINDOW_S, arrival.at_s)

    bound = [item for item in notices.arrivals if item.at_s >= holds_s and is_bound(item)]
    first = 0
    for number, arrival in enumerate(bound):
        while bound[first].at_s <= arrival.at_s - WINDOW_S:
            first += 1
        per_s = _most_named(notices.limits, bound[first].at_s, arrival.at_s)
        if per_s is not None:
            yield WindowCount(number - first + 1, per_s, arrival.at_s)


def _most_named(limits: Sequence[NamedLimit], from_s: float, until_s: float) -> float | None:
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
