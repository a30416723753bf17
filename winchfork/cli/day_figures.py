"""Aggregates router log events by second: outcomes, first-event times, dispatches and marks."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from winchfork.cli.log_reading import LoggedEvent

#: Prefix of an outcome -> its group in the plot; any other outcome counts as failed.
_GROUPS = {
    "delivered": "served",
    "caller_left": "left by callers",
    "passed_on": "failed",
    "no_replica": "refused",
    "overloaded": "refused",
    "configuration": "refused",
    "quota_exceeded": "refused",
    "stopping": "refused",
    "not_found": "refused",
    "unauthenticated": "refused",
}
FAILED = "failed"
GROUPS = ("served", "refused", FAILED, "left by callers")
#: Events that are marked in the plot -> the field that names their subject (empty: none).
_MARKED = {
    "weights_named": "version",
    "configuration_installed": "version",
    "software_ordered": "target",
    "replica_ejected": "replica",
    "replica_notice": "replica",
    "replica_limit": "replica",
    "store_outage_ended": "",
    "router_started": "node",
    "router_stopping": "",
    "leadership_taken": "",
    "zone_lost": "zone",
}


class Mark(msgspec.Struct, frozen=True, order=True):
    """An event marked in the plot; equal events of several daemons in one second are one mark."""

    second: int
    event: str
    subject: str


class StoreUnreachablePeriod(msgspec.Struct, frozen=True):
    """Seconds in which one daemon could not reach the store; ``until_s`` is None while open."""

    source: str
    from_s: float
    until_s: float | None


class DayFigures(msgspec.Struct, frozen=True):
    """Figures of one day; seconds count from the first event, at Unix time ``started_at_s``."""

    started_at_s: float
    seconds: int
    outcomes: dict[str, Counter[int]]
    first_event_s: dict[int, list[float]]
    sent: dict[str, Counter[int]]
    marks: tuple[Mark, ...]
    store_unreachable: tuple[StoreUnreachablePeriod, ...]

    def first_event_at(self, second: int, share: float) -> float | None:
        """Return the quantile ``share`` (0 to 1) of a second's times to first event, in seconds.

        None if no stream of that second has one.
        """
        waits_s = sorted(self.first_event_s.get(second, ()))
        return waits_s[min(len(waits_s) - 1, int(share * len(waits_s)))] if waits_s else None

    def busiest(self, count: int) -> list[str]:
        """Return the ``count`` replicas with the most requests sent to them, the busiest first."""
        totals = {replica: counts.total() for replica, counts in self.sent.items()}
        return sorted(totals, key=lambda replica: (-totals[replica], replica))[:count]


def outcome_group(outcome: str) -> str:
    """Return the plot group of an outcome."""
    found = (group for start, group in _GROUPS.items() if outcome.startswith(start))
    return next(found, FAILED)


def figures_of_day(events: Iterable[LoggedEvent]) -> DayFigures | None:
    """Aggregate the events of all logs; return None if there are none."""
    ordered = sorted(events, key=lambda event: event.at_s)
    if not ordered:
        return None
    started_at_s = ordered[0].at_s
    outcomes: dict[str, Counter[int]] = {group: Counter() for group in GROUPS}
    first_event_s: defaultdict[int, list[float]] = defaultdict(list)
    sent: defaultdict[str, Counter[int]] = defaultdict(Counter)
    marks: set[Mark] = set()
    for event in ordered:
        second = int(event.at_s - started_at_s)
        if event.name in ("request_done", "request_refused"):
            outcome = event.field("outcome") or event.field("code")
            outcomes[outcome_group(outcome)][second] += 1
            if event.field("first_event_s"):
                first_event_s[second].append(float(event.field("first_event_s")))
        elif event.name == "request_sent":
            sent[event.field("replica")][second] += 1
        elif event.name in _MARKED:
            marks.add(Mark(second, event.name, event.field(_MARKED[event.name])))
    return DayFigures(
        started_at_s,
        int(ordered[-1].at_s - started_at_s) + 1,
        outcomes,
        dict(first_event_s),
        dict(sent),
        tuple(sorted(marks)),
        tuple(_store_unreachable_periods(ordered, started_at_s)),
    )


def _store_unreachable_periods(
    events: Sequence[LoggedEvent], started_at_s: float
) -> list[StoreUnreachablePeriod]:
    lost_s: dict[str, float] = {}
    found = []
    for event in events:
        at_s = event.at_s - started_at_s
        if event.name == "store_lost":
            lost_s.setdefault(event.source, at_s)
        elif event.name == "store_regained" and event.source in lost_s:
            found.append(StoreUnreachablePeriod(event.source, lost_s.pop(event.source), at_s))
    return found + [
        StoreUnreachablePeriod(source, from_s, None) for source, from_s in lost_s.items()
    ]
