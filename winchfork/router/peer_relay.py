"""Relays requests of peers to replicas that they do not reach.

The peer has admitted and placed the request, and bounds and repeats it. A relay only passes it on,
once, over a direct connection, and passes the answer back as it arrives. An answer that is not
complete is not completed: the connection to the peer closes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from winchfork.core.memory_budget import MemoryBudget
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import CallerLimits
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.caller_connection import ActiveRequest, CallerConnection
from winchfork.router.http_types import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    AnswerTruncated,
    IncomingRequest,
    end_to_end,
    find_header,
    render_headers,
)
from winchfork.router.relay_messages import (
    FAILED_STATUS,
    REACH_PATH,
    REACHED_STATUS,
    RELAY_FAILURE,
    RELAY_TO,
    RelayFailure,
    read_relay_incarnation,
    without_relay_headers,
)
from winchfork.router.replica_connection import Exchange, ReplicaConnection

if TYPE_CHECKING:
    from winchfork.router.service import RouterService

#: Requests that are relayed at a time.
MAX_RELAYED = 128
#: Seconds that a connection may take to come up for a peer's question; less than the peer waits.
CHECK_TIMEOUT_S = 0.35
#: Largest header in bytes: a caller's and those that the peer has added.
MAX_HEADER_BYTES = 65_536
_LENGTH = b"content-length"


class PeerRelay:
    """Serves the connections of peers; implements :class:`.caller_connection.CallerHandler`."""

    def __init__(self, service: RouterService) -> None:
        self._service = service
        self._state = service.state
        self._connections: set[CallerConnection] = set()
        self._active: dict[_RelayedExchange, asyncio.Task[None]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    @property
    def active_requests(self) -> int:
        """The number of requests that are being relayed."""
        return len(self._active)

    @property
    def unsent_connections(self) -> int:
        """The number of peers' connections with an answer that has not been sent whole."""
        return sum(1 for connection in self._connections if connection.has_unsent)

    def sweep(self, now_s: float) -> None:
        """Enforce the timeouts of the connections of peers."""
        for connection in list(self._connections):
            connection.enforce_timeouts(now_s)

    def close_when_idle(self) -> None:
        """Close every connection after its answer, idle ones at once."""
        for connection in list(self._connections):
            connection.close_when_idle()

    # CallerHandler

    @property
    def memory(self) -> MemoryBudget:
        """The budget of what the connections buffer."""
        return self._state.memory

    def limits(self) -> CallerLimits:
        """Return the callers' limit on bodies, with room for the headers that the peer has added.

        Idle connections are kept for longer than peers do, so that none closes as it is used.
        """
        return CallerLimits(
            header_bytes=MAX_HEADER_BYTES, body_bytes=self._service.limits().body_bytes
        )

    def connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    def start_request(
        self, connection: CallerConnection, request: IncomingRequest
    ) -> ActiveRequest:
        """Relay a request, or answer whether its replica is reached."""
        if self._state.stopping:
            connection.close_after_answer = True
        target = (find_header(request.headers, RELAY_TO) or b"").decode("latin-1")
        replica = self._find_replica(target)
        refused = replica is None or self._service.refusing_requests
        if request.path == REACH_PATH:
            return self._start_check(connection, None if refused else replica)
        if replica is None or refused or len(self._active) >= MAX_RELAYED:
            _write_failure(connection, RelayFailure.UNAVAILABLE)
            return _NothingToStop()
        exchange = _RelayedExchange(self._service, connection, request, replica)
        task = asyncio.get_running_loop().create_task(exchange.run())
        self._active[exchange] = task
        exchange.on_end = lambda: self._active.pop(exchange, None)
        return exchange

    def refuse_malformed(self, connection: CallerConnection, failure: Failure) -> None:
        """Refuse invalid input; the connection closes after the answer."""
        _write_failure(connection, RelayFailure.UNAVAILABLE)

    # Internals

    def _find_replica(self, address: str) -> RelayReplica | None:
        replicas = self._state.fleet.replicas()
        return next((item for item in replicas if item.listing.address == address), None)

    def _start_check(
        self, connection: CallerConnection, replica: RelayReplica | None
    ) -> ActiveRequest:
        check = self._answer_check(connection, replica)
        task = asyncio.get_running_loop().create_task(check)
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)
        return _NothingToStop()

    async def _answer_check(
        self, connection: CallerConnection, replica: RelayReplica | None
    ) -> None:
        failure = RelayFailure.UNAVAILABLE if replica is None else await self._check(replica)
        if failure is None:
            connection.write_answer(REACHED_STATUS, [], b"")
        else:
            connection.write_answer(FAILED_STATUS, [], failure.value.encode())

    async def _check(self, replica: RelayReplica) -> RelayFailure | None:
        """Return why this daemon does not reach a replica directly; None if it does."""
        connector = self._service.connector
        if connector.paths.is_lost(replica.listing.address):
            return RelayFailure.UNREACHABLE
        failure = await connector.check_directly(replica, CHECK_TIMEOUT_S)
        return _relay_failure(failure) if failure is not None else None


class _NothingToStop:
    """A request that is answered by the relay itself."""

    def caller_disconnected(self) -> None:
        """Do nothing."""

    def set_backpressure(self, paused: bool) -> None:
        """Do nothing."""


class _RelayedExchange:
    """One relayed request; implements :class:`.caller_connection.ActiveRequest`."""

    def __init__(
        self,
        service: RouterService,
        peer: CallerConnection,
        request: IncomingRequest,
        replica: RelayReplica,
    ) -> None:
        self._service = service
        self._peer = peer
        self._request = request
        self._replica = replica
        self._connection: ReplicaConnection | None = None
        self._peer_left = False
        #: Called once, when nothing more is to be relayed.
        self.on_end: Callable[[], object] = lambda: None

    # ActiveRequest

    def caller_disconnected(self) -> None:
        """Abandon the replica's answer: the peer has left."""
        self._peer_left = True
        if self._connection is not None:
            self._connection.abandon()
        self.on_end()

    def set_backpressure(self, paused: bool) -> None:
        """Pause or resume reading from the replica."""
        if self._connection is not None:
            self._connection.pause() if paused else self._connection.resume()

    # Lifecycle

    async def run(self) -> None:
        """Send the request; its answer is passed on by callbacks."""
        fields = self._service.header_codec.read_request(self._request.headers)
        if isinstance(fields, Failure):
            self._fail(RelayFailure.UNAVAILABLE)
            return
        connection = await self._connect()
        if self._peer_left:
            if not isinstance(connection, Failure):
                self._service.pool.release(self._replica.listing.address, connection)
            return
        if isinstance(connection, Failure):
            self._fail(_relay_failure(connection))
            return
        if not await self._leads_to_incarnation(connection):
            self._service.pool.release(self._replica.listing.address, connection)
            if not self._peer_left:
                self._fail(RelayFailure.UNPROVEN)
            return
        self._connection = connection
        no_body = self._request.method == b"HEAD"
        codec = self._service.header_codec
        request_id = fields.request_id
        exchange = Exchange(
            self._deliver,
            lambda head: codec.read_answer(head).may_answer(request_id),
            no_body,
        )
        connection.start(self._message_head(), self._request.body, exchange)

    async def _leads_to_incarnation(self, connection: ReplicaConnection) -> bool:
        """Whether the connection is usable and leads to the only incarnation that may run it."""
        started_at_ms = read_relay_incarnation(self._request.headers)
        if not started_at_ms:
            return True
        opened_at_s = connection.opened_at_s
        incarnations = self._service.state.incarnations
        proven = await incarnations.leads_to(self._replica, opened_at_s, started_at_ms)
        if proven is None:
            return False
        self._replica = proven
        return not self._peer_left and connection.is_usable(self._service.state.clock())

    async def _connect(self) -> ReplicaConnection | Failure:
        if self._service.connector.paths.is_lost(self._replica.listing.address):
            return FailureKind.BACKEND_UNREACHABLE.because("this daemon has no direct path either")
        idle = self._service.connector.pop_idle(self._replica)
        if idle is not None:
            return idle
        return await self._service.connector.connect_directly(self._replica)

    def _message_head(self) -> bytes:
        request = self._request
        headers = without_relay_headers(end_to_end(request.headers))
        start_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        return render_headers(start_line, headers)

    def _deliver(self, part: AnswerPart) -> None:
        if self._peer_left:
            return
        if isinstance(part, AnswerHead | AnswerData):
            self._replica.last_received_at_s = self._service.state.clock()
        if isinstance(part, AnswerHead):
            headers = without_relay_headers(end_to_end(part.headers))
            headers = [pair for pair in headers if pair[0].lower() != _LENGTH]
            self._peer.start_answer(part.status, part.reason, headers, part.length)
        elif isinstance(part, AnswerData):
            self._peer.write_body(part.data)
        elif isinstance(part, AnswerEnd):
            self.on_end()
            self._peer.finish_answer()
        else:
            self._abort(part)

    def _abort(self, part: AnswerTruncated) -> None:
        log_event("relay_truncated", replica=self._replica.replica_id, reason=part.reason)
        self.on_end()
        self._peer.abort_answer()

    def _fail(self, failure: RelayFailure) -> None:
        self.on_end()
        _write_failure(self._peer, failure)


def _write_failure(connection: CallerConnection, failure: RelayFailure) -> None:
    headers = [(RELAY_FAILURE, failure.value.encode())]
    connection.write_answer(FAILED_STATUS, headers, b"")


def _relay_failure(failure: Failure) -> RelayFailure:
    if failure.kind is FailureKind.CONNECTION_REFUSED:
        return RelayFailure.REFUSED
    if failure.kind is FailureKind.BACKEND_UNREACHABLE:
        return RelayFailure.UNREACHABLE
    return RelayFailure.UNAVAILABLE
