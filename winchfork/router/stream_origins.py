"""What this daemon knows of begun streams, and how it learns what began a stream elsewhere.

A stream's origin is recorded before its first event is sent: here, and by the
:class:`.stream_origin_exchange.StreamOriginExchange` at some peers. For a request that continues a
stream it is looked up here and then at peers; without a record, a service that has had one version
only for long enough has begun it with that, if the list of replicas is proven current after the
request has arrived (:class:`.stream_store.StreamStore`).
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from winchfork.core.routing import Route, RouteKind, RoutingTable
from winchfork.core.software_history import DEPARTED_S
from winchfork.core.stream_batch import StreamRecord
from winchfork.core.stream_origin import StreamOrigin, StreamOriginTable, stream_key
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event

if TYPE_CHECKING:
    from winchfork.router.request_admission import AdmittedRequest
    from winchfork.router.state import RouterState

#: An origin is kept for this many times the longest attempt, plus a margin in seconds, so that the
#: caller's later attempts find it.
LIFETIME_ATTEMPTS = 2.0
LIFETIME_MARGIN_S = 5.0
#: Seconds after a caller's deadline in which its last attempt may arrive here.
DEADLINE_MARGIN_S = 2.0
#: Upper bound of the time for which an origin is kept, in seconds.
MAX_LIFETIME_S = 120.0
#: Retry-After in seconds if a peer that was asked, or the store, has not answered in time.
UNANSWERED_RETRY_AFTER_S = 0.3
_REMEDY = "send the request as a new one, without the last event's id"


class OriginQuestion(msgspec.Struct, frozen=True):
    """Which software began a stream?

    ``service`` is the only service of the route, or empty if there are several. The stream began at
    most ``max_age_s`` ago.
    """

    key: bytes
    service: str
    max_age_s: float


class PeersAnswer(msgspec.Struct, frozen=True):
    """What peers have recorded. ``complete``: all that were asked have replied."""

    recorded: StreamOrigin | None = None
    complete: bool = True


async def _ask_nobody(question: OriginQuestion) -> PeersAnswer:
    return PeersAnswer()


async def _confirm_nothing() -> Failure | None:
    return FailureKind.STORE_UNAVAILABLE.because("the store is not read")


def continues_stream(admitted: AdmittedRequest) -> bool:
    """Whether a request asks for the rest of a stream that an earlier attempt has begun."""
    fields = admitted.fields
    if admitted.route.kind is not RouteKind.STREAMING:
        return False
    return fields.resume_after is not None or fields.origin_id is not None


def stream_lifetime_s(admitted: AdmittedRequest) -> float:
    """Return for how many seconds after its first event a stream may be continued."""
    return _lifetime_s(max(admitted.route.timeout_s, admitted.fields.deadline_s or 0.0))


def _lifetime_s(attempt_s: float) -> float:
    return min(MAX_LIFETIME_S, LIFETIME_ATTEMPTS * attempt_s + LIFETIME_MARGIN_S)


def _services(route: Route) -> list[str]:
    return [share.service for share in route.shares if share.weight > 0]


def _origin_key(admitted: AdmittedRequest) -> bytes:
    fields = admitted.fields
    return stream_key(admitted.caller, fields.origin_id or fields.request_id)


class StreamOrigins:
    """The origins that one daemon knows."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self.table = StreamOriginTable()
        #: The longest deadline of a request on each route, by its name.
        self._longest_deadlines_s: dict[str, float] = {}
        #: When each route was seen to lead to other services than before, by its name.
        self._moved_at_s: dict[str, float] = {}
        #: Called with the key, the origin and the lifetime in seconds of each stream begun here.
        self.on_recorded: Callable[[bytes, StreamOrigin, float], None] = lambda *recorded: None
        self.ask_peers: Callable[[OriginQuestion], Awaitable[PeersAnswer]] = _ask_nobody
        #: Waits until the list of replicas is proven current after the call; returns why it is not.
        self.confirm_list: Callable[[], Awaitable[Failure | None]] = _confirm_nothing
        #: Returns the records of a stream that were read from the store.
        self.find_archived: Callable[[bytes], Iterable[StreamRecord]] = lambda key: ()

    def record(self, admitted: AdmittedRequest, origin: StreamOrigin) -> None:
        """Record that the first event of an attempt is about to be sent."""
        keys = {stream_key(admitted.caller, admitted.fields.request_id)}
        if continues_stream(admitted):
            keys.add(_origin_key(admitted))
        lifetime_s = stream_lifetime_s(admitted)
        self._record_deadline(admitted)
        for key in keys:
            self.table.record(key, origin, self._state.clock() + lifetime_s)
            self.on_recorded(key, origin, lifetime_s)

    def question(self, admitted: AdmittedRequest) -> OriginQuestion:
        """Return the question that a request which continues a stream poses."""
        services = _services(admitted.route)
        max_age_s = self._max_age_s(admitted)
        has_moved = self._has_moved(admitted.route, max_age_s)
        service = services[0] if len(services) == 1 and not has_moved else ""
        return OriginQuestion(_origin_key(admitted), service, max_age_s)

    def record_table(self, table: RoutingTable) -> None:
        """Record which routes lead to other services in a table that is about to be installed."""
        known = self._state.routing_table
        if known is None:
            return
        services = {route.name: _services(route) for route in known.routes}
        for route in table.routes:
            if route.name in services and services[route.name] != _services(route):
                self._moved_at_s[route.name] = self._state.clock()

    def _has_moved(self, route: Route, max_age_s: float) -> bool:
        """Whether another service may have begun the route's streams of this age."""
        moved_at_s = self._moved_at_s.get(route.name, -math.inf)
        max_delay_s = self._state.settings.bounds.contact_s
        return self._state.clock() - moved_at_s <= max_age_s + max_delay_s

    def _max_age_s(self, admitted: AdmittedRequest) -> float:
        """Return how many seconds ago a stream that is continued now may have begun.

        All attempts of a caller lie within the deadline of its first one. A daemon that has just
        started does not know the callers' deadlines.
        """
        route = admitted.route
        max_s = LIFETIME_ATTEMPTS * route.timeout_s
        longest_s = max(route.timeout_s, self._longest_deadlines_s.get(route.name, 0.0))
        if self._state.clock() - self._state.started_at_s < max_s:
            longest_s = max_s
        return min(max_s, longest_s) + DEADLINE_MARGIN_S

    def _record_deadline(self, admitted: AdmittedRequest) -> None:
        """Record how long a caller waits for an answer."""
        name, deadline_s = admitted.route.name, admitted.fields.deadline_s or 0.0
        self._longest_deadlines_s[name] = max(deadline_s, self._longest_deadlines_s.get(name, 0.0))

    def recorded(self, key: bytes) -> StreamOrigin | None:
        """Return the recorded origin of a stream, if this daemon has it."""
        return self.table.find(key, self._state.clock())

    def mixed_services(self) -> frozenset[str]:
        """Return the services of which several versions may have begun streams that go on."""
        return frozenset(
            service
            for service in self._state.software_tracker.history.services()
            if self._is_mixed(service, MAX_LIFETIME_S + DEPARTED_S)
            and self._is_mixed(service, self._reach_s(service))
        )

    def _is_mixed(self, service: str, for_s: float) -> bool:
        history = self._state.software_tracker.history
        return len(history.versions(service, for_s, self._state.clock())) > 1

    def _reach_s(self, service: str) -> float:
        """Return how long ago a version may have been listed that began a recorded stream."""
        table = self._state.routing_table
        if table is None:
            return MAX_LIFETIME_S + DEPARTED_S
        attempts_s = [
            max(route.timeout_s, self._longest_deadlines_s.get(route.name, 0.0))
            for route in table.routes
            if service in _services(route)
        ]
        return _lifetime_s(max(attempts_s, default=0.0)) + DEPARTED_S

    def _recorded_in_store(self, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream by what was read from the store, or learned meanwhile."""
        now_s = self._state.clock()
        for record in self.find_archived(key):
            self.table.record(key, record.origin, now_s + record.remaining_s)
        return self.recorded(key)

    def _conclude(
        self, question: OriginQuestion, unconfirmed: Failure | None
    ) -> StreamOrigin | Failure | None:
        """Return the origin if only one version can have begun the stream.

        Returns ``unconfirmed``, why the list of replicas may be older than the stream, if it may.
        """
        if unconfirmed is not None:
            return unconfirmed
        tracker = self._state.software_tracker
        tracker.observe()
        now_s = self._state.clock()
        software = tracker.history.only_version(question.service, question.max_age_s, now_s)
        return StreamOrigin(question.service, software) if software is not None else None

    async def find(self, admitted: AdmittedRequest) -> StreamOrigin | Failure:
        """Return the origin of the stream that a request continues, or why it is refused.

        A record goes before a conclusion: a daemon whose list is older may have begun the stream at
        a version that is no longer listed.
        """
        question = self.question(admitted)
        origin = self.recorded(question.key)
        if origin is not None:
            return self._check_service(admitted, question, origin, "here")
        answer = await self.ask_peers(question)
        if answer.recorded is not None:
            return self._check_service(admitted, question, answer.recorded, "peers")
        unconfirmed = await self.confirm_list()
        archived = self._recorded_in_store(question.key)
        if archived is not None:
            return self._check_service(admitted, question, archived, "store")
        concluded = self._conclude(question, unconfirmed)
        if isinstance(concluded, StreamOrigin):
            return self._check_service(admitted, question, concluded, "only_version")
        self._record_lookup(admitted, "unknown", unconfirmed=concluded)
        may_be_found = concluded is not None or not answer.complete
        return FailureKind.STREAM_ORIGIN_UNKNOWN.because(
            "it is not known which version of the software began the stream",
            remedy=_REMEDY,
            retry_after_s=UNANSWERED_RETRY_AFTER_S if may_be_found else question.max_age_s,
        )

    def _check_service(
        self,
        admitted: AdmittedRequest,
        question: OriginQuestion,
        origin: StreamOrigin,
        source: str,
    ) -> StreamOrigin | Failure:
        """Return the origin, unless the route no longer leads to its service."""
        if origin.service in _services(admitted.route):
            self._record_lookup(admitted, source, origin)
            return origin
        self._record_lookup(admitted, "moved", origin)
        return FailureKind.STREAM_ORIGIN_UNKNOWN.because(
            f"the route no longer leads to {origin.service}, which began the stream",
            remedy=_REMEDY,
            retry_after_s=question.max_age_s,
        )

    def _record_lookup(
        self,
        admitted: AdmittedRequest,
        source: str,
        origin: StreamOrigin | None = None,
        *,
        unconfirmed: Failure | None = None,
    ) -> None:
        """Count and log what decided the origin, and how recent this daemon's list is."""
        self._state.metrics.continued_streams.labels(source).inc()
        log_event(
            "stream_origin_found" if origin is not None else "stream_origin_unknown",
            id=admitted.fields.request_id,
            origin=admitted.fields.origin_id,
            source=source,
            service=origin.service if origin is not None else None,
            software=origin.software if origin is not None else None,
            known_s=self._state.freshness.age_s(self._state.clock()),
            uptime_s=self._state.clock() - self._state.started_at_s,
            revision=self._state.store_position.revision,
            unconfirmed=unconfirmed.reason if unconfirmed is not None else None,
        )
