"""Exchanges the ages of published weights versions between daemons.

A daemon that has started, stalled or been cut off can only assume when a version was published. It
queries peers until one of them knows, and dates the reply by its query, so that a late reply only
makes the date too early. Every daemon also reports the ages to new members, which may not query.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from winchfork.core.member import Member
from winchfork.core.weight_rollout import VersionHistory
from winchfork.core.zone_hubs import FleetView
from winchfork.logs import log_event
from winchfork.router.peer_messages import (
    VersionAgeEntry,
    VersionAgeQuery,
    VersionAgeReply,
    VersionAges,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Peers that are queried at a time.
QUERIED_PEERS = 2
#: First and longest interval between queries, in seconds; it doubles each time.
INITIAL_QUERY_INTERVAL_S = 0.2
MAX_QUERY_INTERVAL_S = 2.0
#: Longest time in seconds from a query to its reply; a later one would date versions too early.
MAX_REPLY_S = 0.5
#: Bounds the table of queries whose replies are accepted.
MAX_OPEN_QUERIES = 8
_NONCE_BITS = 32


class VersionAgeExchange:
    """Queries peers for the dates that this daemon assumes, and answers their queries."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._known_members: set[tuple[str, int]] = set()
        self._last_view: FleetView | None = None
        #: When each query was sent, by nonce.
        self._queried_at_s: OrderedDict[int, float] = OrderedDict()
        self._next_query_at_s = -math.inf
        self._query_interval_s = INITIAL_QUERY_INTERVAL_S

    def tick(self, now_s: float) -> None:
        """Report the ages to new members, and query peers if a date is assumed."""
        self._report_to_new_members(now_s)
        if not self._is_date_missing(now_s):
            self._next_query_at_s = -math.inf
            self._query_interval_s = INITIAL_QUERY_INTERVAL_S
        elif now_s >= self._next_query_at_s:
            self._query(now_s)
            self._next_query_at_s = now_s + self._query_interval_s
            self._query_interval_s = min(MAX_QUERY_INTERVAL_S, 2.0 * self._query_interval_s)

    # Reports to new members

    def _report_to_new_members(self, now_s: float) -> None:
        """Outside a full mesh only hubs report, to their own zone and to hubs of other zones."""
        view = self._peers.view
        if view is self._last_view:
            return
        self._last_view = view
        receivers = view.others if view.is_full_mesh else []
        if not view.is_full_mesh and view.is_hub:
            receivers = [*view.zone_peers, *view.other_zone_hubs]
        members = {(member.member_id, member.incarnation): member for member in receivers}
        new_members = [members[key] for key in members.keys() - self._known_members]
        self._known_members = set(members)
        entries = self._known_ages(now_s)
        if entries:
            self._peers.send_each(new_members, VersionAges(entries))

    def handle_report(self, message: VersionAges) -> None:
        """Apply a peer's report, which was sent at any time since this process started."""
        now_s = self._state.clock()
        for entry in message.entries:
            age_s = entry.age_ms / 1000.0
            self._history(entry.model).narrow_published_at(
                entry.version, self._state.started_at_s - age_s, now_s - age_s
            )

    # Queries

    def _is_date_missing(self, now_s: float) -> bool:
        """Whether a date is assumed of a version whose bound may not have passed.

        An assumed date is at most the bound too early.
        """
        bound_s = self._state.settings.bounds.weights_s
        return any(
            published.assumed and now_s < published.published_at_s + 2.0 * bound_s
            for history in self._state.weights_versions.values()
            for published in history.versions
        )

    def _query(self, now_s: float) -> None:
        nonce = self._state.generator.getrandbits(_NONCE_BITS)
        self._queried_at_s[nonce] = now_s
        if len(self._queried_at_s) > MAX_OPEN_QUERIES:
            self._queried_at_s.popitem(last=False)
        query = VersionAgeQuery(self._peers.view.own.peer_address, nonce)
        self._peers.send_each(self._queried_members(), query)

    def _queried_members(self) -> list[Member]:
        view = self._peers.view
        if view.is_full_mesh:
            members = list(view.others)
        else:
            hubs = (*view.own_hubs, *view.other_zone_hubs)
            members = [hub for hub in hubs if hub.member_id != view.own.member_id]
        return self._state.generator.sample(members, min(QUERIED_PEERS, len(members)))

    def handle_query(self, message: VersionAgeQuery) -> None:
        """Reply with the ages that this daemon knows."""
        entries = self._known_ages(self._state.clock())
        if entries:
            self._peers.send(message.sender_address, VersionAgeReply(message.nonce, entries))

    def handle_reply(self, message: VersionAgeReply) -> None:
        """Adopt the ages of a reply, which are as of the query or later."""
        now_s = self._state.clock()
        queried_at_s = self._queried_at_s.get(message.nonce)
        if queried_at_s is None or now_s - queried_at_s > MAX_REPLY_S:
            return
        for entry in message.entries:
            published_at_s = queried_at_s - entry.age_ms / 1000.0
            if self._history(entry.model).update_published_at(entry.version, published_at_s):
                log_event(
                    "weights_dated",
                    model=entry.model,
                    version=entry.version,
                    dated_s_ago=now_s - published_at_s,
                    reply_s=now_s - queried_at_s,
                )

    def _known_ages(self, now_s: float) -> tuple[VersionAgeEntry, ...]:
        """Return the ages of the versions whose dates are not assumed."""
        return tuple(
            VersionAgeEntry(
                model, published.version, math.ceil((now_s - published.published_at_s) * 1000)
            )
            for model, history in self._state.weights_versions.items()
            for published in history.versions
            if not published.assumed
        )

    def _history(self, model: str) -> VersionHistory:
        return self._state.weights_versions.setdefault(model, VersionHistory())
