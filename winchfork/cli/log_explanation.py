"""Explains one request from routers' log events: where it was sent and how it ended.

The explanation holds the events logged under the request's id and, from the daemon that served it,
the events around that time that may affect any of its requests or that concern a replica that the
request was sent to.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from winchfork.cli.log_reading import LoggedEvent

#: Seconds before a request's first event and after its last one within which other events are
#: included. An ejection lasts at most 8 s; a replica's crash is detected within 4 s.
BEFORE_S = 10.0
AFTER_S = 4.0
#: Events that may affect any request of a daemon.
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
#: Prefix of an outcome -> what it means for the request.
_MEANINGS = {
    "delivered": "the replica's complete answer was delivered to the caller",
    "passed_on": "the replica failed, and its answer was passed on to the caller unchanged",
    "overloaded": "the replica refused the request, and it could not be sent to another",
    "no_replica": "no replica accepted requests in the remaining time",
    "stream_origin_unknown": "no daemon that was asked knew which software began the stream",
    "outcome_unknown": "the run broke off; the request may have run and could not be retried",
    "deadline_exceeded": "the deadline of the caller or the route passed",
    "caller_left": "the caller closed its connection",
    "ends_replicas": "replicas crashed while they ran this request",
    "configuration_stale": "the API key could not be checked: the configuration was too old",
    "configuration_unknown": "the daemon had just started and had no configuration yet",
    "quota_exceeded": "the tenant exceeded its quota",
    "not_found": "no route matches, and the configuration is current",
    "unauthenticated": "the API key is unknown, and the configuration is current",
    "stopping": "the daemon was shutting down",
}
#: Value of ``truncated_by`` -> what cut the answer short after it had begun.
_TRUNCATIONS = {
    "caller": "the answer was cut short: the caller closed its connection",
    "deadline": "the answer was cut short at the deadline",
    "replica": "the answer was cut short by its replica or the connection to it",
    "router": "the answer was cut short by the router",
}
#: Value of ``repeat_denied`` -> why the request was not retried.
_DENIALS = {
    "sends": "it was sent to as many replicas as its route allows",
    "time": "no time was left",
    "budget": "the retry budget was exhausted",
}


class RequestExplanation(msgspec.Struct, frozen=True):
    """The events related to a request, in order of time, and what its outcome means."""

    request_id: str
    events: tuple[LoggedEvent, ...]
    meaning: str


def explain_request(events: Iterable[LoggedEvent], request_id: str) -> RequestExplanation | None:
    """Return the explanation of a request, or None if no event has its id."""
    ordered = sorted(events, key=lambda event: event.at_s)
    own = [event for event in ordered if event.field("id") == request_id]
    if not own:
        return None
    selection = _RelatedEvents(own)
    related = [event for event in ordered if selection.includes(event)]
    return RequestExplanation(request_id, tuple(related), _meaning(own))


class _RelatedEvents:
    """Selects a request's own events, and those of its daemon that may have affected it."""

    def __init__(self, own: Sequence[LoggedEvent]) -> None:
        self._request_id = own[0].field("id")
        self._source = own[0].source
        self._from_s = own[0].at_s - BEFORE_S
        self._until_s = own[-1].at_s + AFTER_S
        self._replicas = {event.field("replica") for event in own} - {""}

    def includes(self, event: LoggedEvent) -> bool:
        """Return whether an event is related to the request."""
        if event.field("id"):
            return event.field("id") == self._request_id
        if event.source != self._source or not self._from_s <= event.at_s <= self._until_s:
            return False
        return event.name in _DAEMON_EVENTS or event.field("replica") in self._replicas


def _meaning(own: Sequence[LoggedEvent]) -> str:
    last = own[-1]
    outcome = last.field("outcome") or last.field("code")
    if not outcome:
        return "the request has not ended in these logs"
    texts = (text for start, text in _MEANINGS.items() if outcome.startswith(start))
    meaning = next(texts, outcome)
    denial = _DENIALS.get(last.field("repeat_denied"), "")
    parts = [meaning]
    truncation = _TRUNCATIONS.get(last.field("truncated_by"))
    if truncation is not None:
        parts.append(truncation)
    if denial and not outcome.startswith("delivered"):
        parts.append(f"not retried: {denial}")
    if last.field("reason"):
        parts.append(last.field("reason"))
    return "; ".join(parts)
