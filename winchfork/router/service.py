"""The caller-facing part of a router process: admits requests and tracks connections."""

from __future__ import annotations

import asyncio

from winchfork.core.memory_budget import MemoryBudget
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import CallerLimits
from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.caller_connection import ActiveRequest, CallerConnection
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.continued_request import ContinuedRequest
from winchfork.router.header_codec import HeaderCodec
from winchfork.router.http_types import IncomingRequest
from winchfork.router.quota_gate import QuotaCharge, QuotaGate
from winchfork.router.refusals import refusal_answer
from winchfork.router.relayed_request import RelayedRequest
from winchfork.router.replica_connector import ReplicaConnector
from winchfork.router.replica_probes import ReplicaProbes
from winchfork.router.request_admission import AdmittedRequest, RequestAdmission
from winchfork.router.request_guard import RequestGuard
from winchfork.router.silence_watch import WATCH_PERIOD_S, SilenceWatch
from winchfork.router.state import RouterState
from winchfork.router.stream_origins import continues_stream

_DEFAULT_LIMITS = CallerLimits()


class RefusedRequest:
    """A request that was refused without an attempt."""

    def caller_disconnected(self) -> None:
        """Do nothing: there is no attempt to stop."""

    def set_backpressure(self, paused: bool) -> None:
        """Do nothing: there is no attempt to pause."""


class RouterService:
    """Serves callers by the state of this process."""

    def __init__(self, state: RouterState, pool: ConnectionPool, header_codec: HeaderCodec) -> None:
        self.state = state
        self.pool = pool
        self.header_codec = header_codec
        #: Set in the last part of a planned stop: new requests are refused as not run.
        self.refusing_requests = False
        self._admission = RequestAdmission(state)
        self._quota_gate = QuotaGate(state.quotas, state.clock, state.metrics)
        self._connections: set[CallerConnection] = set()
        #: Those that were opened while requests are refused.
        self._late_connections: set[CallerConnection] = set()
        self._tasks: dict[asyncio.Task[None], RelayedRequest] = {}
        #: Requests that wait until it is known which software began the streams they continue.
        self._lookups: set[asyncio.Task[None]] = set()
        self.connector = ReplicaConnector(state, pool, state.generator)
        state.is_connected = self.connector.is_connected
        state.is_partitioned = lambda: self.connector.is_partitioned
        self._probes = ReplicaProbes(state, self.connector)
        self._silence_watch = SilenceWatch(state.clock, self._probes)
        state.on_unresponsive = self._replica_silent
        state.on_unverified_ejection = self._probes.verify_ejection
        state.on_path_lost = self._replica_unreachable
        state.on_zone_unreachable = self._zone_unreachable
        state.crashes.on_connection_broken = self._probes.schedule

    # CallerHandler

    @property
    def memory(self) -> MemoryBudget:
        """The budget of what the connections buffer."""
        return self.state.memory

    def limits(self) -> CallerLimits:
        """Return the configured limits of callers."""
        return self.state.routing_table.limits if self.state.routing_table else _DEFAULT_LIMITS

    def connection_opened(self, connection: CallerConnection) -> None:
        """Add a connection."""
        self._connections.add(connection)
        if self.refusing_requests:
            self._late_connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)
        self._late_connections.discard(connection)

    def start_request(
        self, connection: CallerConnection, request: IncomingRequest
    ) -> ActiveRequest:
        """Admit and start a request, or refuse it."""
        if self.state.stopping:
            connection.close_after_answer = True
        if self.refusing_requests:
            stopping = FailureKind.STOPPING.because("this daemon is stopping", retry_after_s=0.05)
            return self._refuse(connection, stopping, None)
        fields = self.header_codec.read_request(request.headers)
        if isinstance(fields, Failure):
            return self._refuse(connection, fields, None)
        admitted = self._admission.admit(request, fields)
        if isinstance(admitted, Failure):
            return self._refuse(connection, admitted, fields.request_id)
        refusal = RequestGuard(self.state.crashes, admitted).refusal()
        if refusal is not None:
            return self._refuse(connection, refusal, fields.request_id)
        charge = self._quota_gate.admit(admitted.tenant, fields.declared_tokens)
        if isinstance(charge, Failure):
            return self._refuse(connection, charge, fields.request_id)
        if continues_stream(admitted):
            return self._continue_stream(connection, request, admitted, charge)
        return self._relay(connection, request, admitted, charge)

    def _relay(
        self,
        connection: CallerConnection,
        request: IncomingRequest,
        admitted: AdmittedRequest,
        charge: QuotaCharge | None,
        origin: StreamOrigin | None = None,
    ) -> ActiveRequest:
        active = RelayedRequest(self, connection, request, admitted, charge, origin)
        task = asyncio.get_running_loop().create_task(active.run())
        self._tasks[task] = active
        task.add_done_callback(self._tasks.pop)
        return active

    def _continue_stream(
        self,
        connection: CallerConnection,
        request: IncomingRequest,
        admitted: AdmittedRequest,
        charge: QuotaCharge | None,
    ) -> ActiveRequest:
        """Find out which software began the stream, then relay the request or refuse it."""

        request_id = admitted.fields.request_id
        active = ContinuedRequest(
            self.state.stream_origins,
            admitted,
            lambda origin: self._relay(connection, request, admitted, charge, origin),
            lambda failure: self._refuse(connection, failure, request_id),
            charge,
            self.state.incarnations.find,
        )
        task = asyncio.get_running_loop().create_task(active.run())
        self._lookups.add(task)
        task.add_done_callback(self._lookups.discard)
        return active

    def refuse_malformed(self, connection: CallerConnection, failure: Failure) -> None:
        """Refuse invalid input; the connection closes after the answer."""
        self._refuse(connection, failure, None)

    def _refuse(
        self, connection: CallerConnection, failure: Failure, request_id: str | None
    ) -> RefusedRequest:
        self.state.metrics.requests.labels(failure.kind.value).inc()
        log_event(
            "request_refused",
            id=request_id,
            code=failure.kind.value,
            reason=failure.reason,
            known_s=self.state.freshness.age_s(self.state.clock()),
            configuration=self.state.routing_table.version if self.state.routing_table else 0,
        )
        answer = refusal_answer(failure, request_id, self.state.generator)
        connection.write_answer(answer.status, answer.headers, answer.body)
        return RefusedRequest()

    def _replica_silent(self, replica: RelayReplica) -> None:
        """Check a replica that did not acknowledge a request, and let its requests have backups."""
        self.connector.suspect(replica)
        self._probes.schedule(replica)
        self._replica_unreachable(replica)

    def _replica_unreachable(self, replica: RelayReplica) -> None:
        for request in list(self._tasks.values()):
            request.runner.replica_unreachable(replica)

    def _zone_unreachable(self, zone: str) -> None:
        lost = [item for item in self.state.fleet.replicas() if item.listing.zone == zone]
        for replica in lost:
            self._replica_unreachable(replica)

    # Maintenance

    async def watch_silence(self) -> None:
        """Look for silent attempts until cancelled."""
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            self._silence_watch.look([request.runner for request in self._tasks.values()])

    @property
    def active_requests(self) -> int:
        """The number of requests in progress."""
        return len(self._tasks) + len(self._lookups)

    @property
    def busy_connections(self) -> int:
        """The number of callers' connections with a request, without those that were opened late.

        Requests on late connections are refused, so a stop need not wait for them.
        """
        awaited = self._connections - self._late_connections
        return sum(1 for connection in awaited if connection.busy)

    @property
    def unsent_connections(self) -> int:
        """The number of callers' connections with an answer that has not been sent whole."""
        return sum(1 for connection in self._connections if connection.has_unsent)

    def sweep(self, now_s: float) -> None:
        """Enforce the timeouts of callers' connections; close idle connections to replicas."""
        for connection in list(self._connections):
            connection.enforce_timeouts(now_s)
        self.pool.sweep(now_s)
        self.connector.sweep(now_s)

    def close_callers_when_idle(self) -> None:
        """Close every caller's connection after its answer, idle ones at once."""
        for connection in list(self._connections):
            connection.close_when_idle()

    async def cut_requests(self) -> int:
        """End the requests in progress, at the end of the grace period; return their number."""
        tasks = [*self._lookups, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(tasks)

    def close_late_callers(self) -> None:
        """Close the connections that were opened while requests are refused."""
        for connection in list(self._late_connections):
            connection.close()
