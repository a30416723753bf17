"""The life of one request, told from routers' log lines: where it was sent and what came of it.

A daemon writes a request's own events under its id. What else decided about it is in the events of
the replicas that it was sent to, and of the daemon itself: these are taken from the seconds around
the request, from the daemon that served it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from winchfork.cli.log_reading import LoggedEvent

#: How long before a request events may still have decided about it, and how long after its end they
#: may explain it, in seconds: ejections last 8 s at most, a replica's end is known within 4 s.
BEFORE_S = 10.0
AFTER_S = 4.0
#: Events of a daemon as a whole that explain refusals.
_DAEMON_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "store_outage_ended",
        "router_started",
        "router_stopping",
        "zone_lost",
        "zone_regained",
        "weights_named",
        "configuration_installed",
        "replica_limit",
    }
)
#: What an outcome means to an operator; what begins with one of these is that.
_MEANINGS = {
    "delivered": "the caller has the replica's whole answer",
    "passed_on": "the replica failed, and the caller has its answer unchanged",
    "overloaded": "the replica turned the request away, and it could not be sent to another",
    "no_replica": "no replica took requests in the time that was left",
    "outcome_unknown": "a run broke off; it may have run and could not be repeated",
    "deadline_exceeded": "the time that the caller or the route allows was over",
    "caller_left": "the caller closed its connection",
    "ends_replicas": "replicas ended while they ran this request",
    "configuration_stale": "the key could not be checked: the store's word was too old",
    "configuration_unknown": "the daemon had just started and knew no configuration",
    "quota_exceeded": "the tenant is over its limit",
    "not_found": "no route matches, and the configuration is current",
    "unauthenticated": "the key is not known, and the configuration is current",
    "stopping": "the daemon was stopping",
}
_DENIALS = {
    "sends": "it was sent to as many replicas as its route allows",
    "time": "no time was left",
    "budget": "the budget of repeats was spent",
}


class RequestExplanation(msgspec.Struct, frozen=True):
    """The events that tell of a request, in order, and what they come to."""

    request_id: str
    events: tuple[LoggedEvent, ...]
    meaning: str


def explain_request(events: Iterable[LoggedEvent], request_id: str) -> RequestExplanation | None:
    """Return what is logged of a request; None where no line names it."""
    known = sorted(events, key=lambda event: event.at_s)
    own = [event for event in known if event.field("id") == request_id]
    if not own:
        return None
    around = _RelatedEvents(own)
    told = [event for event in known if around.includes(event)]
    return RequestExplanation(request_id, tuple(told), _meaning(own))


class _RelatedEvents:
    """What may have decided about a request: its own events, and others of its daemon."""

    def __init__(self, own: Sequence[LoggedEvent]) -> None:
        self._request_id = own[0].field("id")
        self._source = own[0].source
        self._from_s = own[0].at_s - BEFORE_S
        self._until_s = own[-1].at_s + AFTER_S
        self._replicas = {event.field("replica") for event in own} - {""}

    def includes(self, event: LoggedEvent) -> bool:
        """Whether an event is among them."""
        if event.field("id"):
            return event.field("id") == self._request_id
        if event.source != self._source or not self._from_s <= event.at_s <= self._until_s:
            return False
        return event.name in _DAEMON_EVENTS or event.field("replica") in self._replicas


def _meaning(own: Sequence[LoggedEvent]) -> str:
    last = own[-1]
    outcome = last.field("outcome") or last.field("code")
    if not outcome:
        return "it has not ended as far as these lines go"
    texts = (text for start, text in _MEANINGS.items() if outcome.startswith(start))
    meaning = next(texts, outcome)
    denial = _DENIALS.get(last.field("repeat_denied"), "")
    parts = [meaning]
    if denial and not outcome.startswith("delivered"):
        parts.append(f"not repeated: {denial}")
    if last.field("reason"):
        parts.append(last.field("reason"))
    return "; ".join(parts)
