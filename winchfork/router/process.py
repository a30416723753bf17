"""The router process: wires the components, listens, runs the background tasks and shuts down.

A graceful shutdown first makes the process not ready, so that the load balancer in front stops
sending requests. The process still accepts requests for ``LOAD_BALANCER_DRAIN_S``, but at most half
of the time until it cuts those that are left, and closes each caller's connection after its answer.
Then it refuses requests, and ends when none is active and all answers are sent, or the grace period
is over. It listens until its end: a load balancer that finds too few daemons ready sends callers to
all of them.
"""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from winchfork import __version__
from winchfork.backends.replica_control import ReplicaControl
from winchfork.core.memory_budget import Reservation
from winchfork.errors import Failure
from winchfork.logs import configure_logs, log_event
from winchfork.resident_memory import resident_bytes
from winchfork.router.boot_clock import BootClockLoop
from winchfork.router.caller_connection import CallerConnection
from winchfork.router.caller_listener import CallerListener
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.documents import DocumentReader, StatusWriter
from winchfork.router.header_codec import HeaderCodec
from winchfork.router.leadership import Leadership
from winchfork.router.log_output import LogOutput
from winchfork.router.log_rate_limit import LogRateLimit
from winchfork.router.peer_relay import PeerRelay
from winchfork.router.peer_wiring import connect_peers
from winchfork.router.peers import PeerGroup
from winchfork.router.pooled_http_client import PooledHttpClient
from winchfork.router.refusal_writer import RefusalWriter
from winchfork.router.service import RouterService
from winchfork.router.settings import RouterSettings
from winchfork.router.software_rollout import SoftwareRollout
from winchfork.router.state import RouterState
from winchfork.router.store_sync import StoreSync
from winchfork.router.stream_archive import StreamArchive
from winchfork.router.stream_store import StreamStore
from winchfork.router.text_server import TextConnection
from winchfork.router.version_register_writer import VersionRegisterWriter
from winchfork.router.weights_rollout import WeightsRollout
from winchfork.stores.async_key_value import AsyncKeyValueStore, OnStoreAnswer

SWEEP_PERIOD_S = 0.5
LOG_FLUSH_PERIOD_S = 0.1
#: Pause before a background task that ended unexpectedly is restarted.
DUTY_RESTART_PAUSE_S = 0.2
#: After a stop request, the load balancer may send requests until two of its probes have failed, or
#: longer if too few other daemons are ready.
LOAD_BALANCER_DRAIN_S = 2.3
#: Time at the end of the grace period that is reserved for closing connections and exiting, and the
#: largest share of the period that this may be.
STOP_MARGIN_S = 0.5
MAX_STOP_MARGIN_SHARE = 1 / 6
_BACKLOG = 1024
_PLAIN_TEXT = b"text/plain; charset=utf-8"


class RouterAdapters(msgspec.Struct, frozen=True):
    """The parts that a deployment supplies: header names, documents, store and replica control."""

    header_codec: HeaderCodec
    documents: DocumentReader
    status: StatusWriter
    make_store: Callable[[PooledHttpClient, str, OnStoreAnswer], AsyncKeyValueStore]
    make_control: Callable[[PooledHttpClient], ReplicaControl]


ReadSettings = Callable[[], RouterSettings | Failure]


class RouterProcess:
    """The components of a running router, and its background tasks ("duties")."""

    def __init__(
        self,
        settings: RouterSettings,
        adapters: RouterAdapters,
        read_settings: ReadSettings,
        log_lines_dropped: Callable[[], int] = lambda: 0,
    ) -> None:
        loop = asyncio.get_running_loop()
        # For backoff, jitter and Retry-After values, seeded so that daemons do not act in step.
        generator = random.Random(f"{settings.node_id}:{time.time_ns()}")
        self._loop = loop
        self._settings = settings
        self._read_settings = read_settings
        self._log_lines_dropped = log_lines_dropped
        self.state = RouterState(settings, loop.time, generator)
        self._replica_pool = ConnectionPool(self.state.memory)
        self._call_pool = ConnectionPool(self.state.memory)
        self._http_client = PooledHttpClient(
            self._call_pool, lambda label: self.state.metrics.calls.labels(label).inc()
        )
        self.service = RouterService(self.state, self._replica_pool, adapters.header_codec)
        store = adapters.make_store(
            self._http_client, settings.store_address, self.state.eras.handle_answer
        )
        self._relay = PeerRelay(self.service)
        self._peers = PeerGroup(self.state, generator)
        self.service.connector.set_view(lambda: self._peers.view)
        self._peers.store_delay_s = lambda: self._call_pool.min_connect_s.get(
            settings.store_address
        )
        self._leadership = Leadership(
            store,
            settings.node_id,
            settings.bounds.lease_s,
            loop.time,
            generator,
            settings.store_min_lease_s,
        )
        self._sync = StoreSync(self.state, store, adapters.documents, self._leadership, generator)
        control = adapters.make_control(self._http_client)
        self.state.incarnations.control = control
        connected = connect_peers(self.state, self._peers, self._sync, self._leadership)
        self._weights_rollout = WeightsRollout(
            self.state, self._leadership, control, self._peers, connected.weights
        )
        self._stream_origins = connected.stream_origins
        stream_store = StreamStore(self.state, store)
        self.state.stream_origins.confirm_list = stream_store.confirm_list
        stream_store.on_behind = self._sync.request_catch_up
        self._stream_archive = StreamArchive(self.state, store, generator)
        self._stream_archive.connect(connected.stream_archive)
        self._sync.on_stream_batch = self._stream_archive.handle_batch
        self._refusals = RefusalWriter(self.state, store, generator)
        self._versions = VersionRegisterWriter(self.state, self._leadership, store, generator)
        self._software_rollout = SoftwareRollout(
            self.state, self._leadership, store, adapters.status, connected.evidence
        )
        self._servers: list[asyncio.Server | CallerListener] = []
        self._caller_listener: CallerListener | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_requested = asyncio.Event()
        self._shed_log_limit = LogRateLimit()
        self._register_gauges()
        self.state.memory.on_growth = self._log_buffers_grown
        self.state.memory.on_shed = self._log_shed

    def install_signal_handlers(self) -> None:
        """Shut down gracefully on SIGTERM and SIGINT, reload the settings on SIGHUP."""
        self._loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        self._loop.add_signal_handler(signal.SIGINT, self.request_stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    def request_stop(self) -> None:
        """Begin a graceful shutdown; :meth:`run` returns when it is complete."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        await self._listen()
        await self._peers.open()
        for duty in (
            self._sync.run,
            self._sweep,
            self._peers.run,
            self._leadership.run,
            self._weights_rollout.run,
            self._software_rollout.run,
            self._refusals.run,
            self._versions.run,
            self._stream_archive.run,
            self.service.connector.run,
            self.service.watch_silence,
        ):
            self._tasks.append(self._loop.create_task(self._supervise(duty)))
        log_event(
            "router_started",
            version=__version__,
            node=self._settings.node_id,
            zone=self._settings.zone,
            callers=self._settings.caller_address,
            store=self._settings.store_address,
        )
        await self._stop_requested.wait()
        await self._stop()

    async def _supervise(self, duty: Callable[[], Awaitable[None]]) -> None:
        """Run a duty, and restart it whenever it ends; an error must not end the process."""
        while True:
            try:
                await duty()
            except Exception as error:  # noqa: BLE001 - the duty is restarted after any error
                log_event("duty_failed", "ERROR", duty=duty.__qualname__, error=repr(error))
            await asyncio.sleep(DUTY_RESTART_PAUSE_S)

    async def _listen(self) -> None:
        settings = self._settings
        self._caller_listener = CallerListener(
            settings.caller_address, lambda: CallerConnection(self.service), self._loop.time
        )
        self._servers.append(self._caller_listener)
        await self._serve_on(settings.readiness_address, lambda: TextConnection(self._readiness))
        if settings.peer_ports[0]:
            address = f"{settings.machine_ip}:{settings.peer_ports[0]}"
            await self._serve_optionally(
                "relay_unavailable", address, lambda: CallerConnection(self._relay)
            )
        if settings.metrics_address:
            await self._serve_optionally(
                "metrics_unavailable",
                settings.metrics_address,
                lambda: TextConnection(self._metrics_page),
            )

    async def _serve_optionally(
        self, event: str, address: str, factory: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        """Listen; if the port is in use, log ``event``, and the router runs without."""
        try:
            await self._serve_on(address, factory)
        except OSError as error:
            log_event(event, "WARNING", address=address, reason=repr(error))

    async def _serve_on(self, address: str, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        host, _, port = address.rpartition(":")
        server = await self._loop.create_server(factory, host, int(port), backlog=_BACKLOG)
        self._servers.append(server)

    # Pages

    def _readiness(self, path: str) -> tuple[int, bytes, bytes]:
        ready = self.state.ready
        return (200, _PLAIN_TEXT, b"ready\n") if ready else (503, _PLAIN_TEXT, b"no\n")

    def _metrics_page(self, path: str) -> tuple[int, bytes, bytes]:
        return 200, _PLAIN_TEXT, self.state.metrics.render()

    def _register_gauges(self) -> None:
        state = self.state
        add = state.metrics.add_gauge
        add("ready", "Whether this process accepts callers.", lambda: state.ready)
        add("replicas", "Listed replicas.", lambda: len(state.fleet))
        add("parts_believed", "Prompt parts assumed to be cached.", lambda: len(state.parts))
        add("daemons", "Daemons that share the budgets.", lambda: state.daemon_count)
        history = state.crashes.history
        add(
            "requests_suspected",
            "Requests during which a replica crashed.",
            lambda: history.suspected_count,
        )
        add(
            "requests_barred",
            "Requests refused because they crash replicas.",
            lambda: history.refused_count,
        )
        parts = state.crashes.parts.history
        add(
            "parts_limited",
            "Prompt parts whose requests run one at a time or are refused.",
            lambda: parts.refused_count,
        )
        add(
            "store_revision",
            "Store revision up to which all entries are known.",
            lambda: state.store_position.revision,
        )
        add("store_era", "Newest known era of the store; 0 if unknown.", lambda: state.eras.newest)
        tracker = state.software_tracker
        add(
            "software_versions_recorded",
            "Versions in the store's record of those that may have begun streams; 0 if it is void.",
            lambda: tracker.register.count(state.store_position.era),
        )
        add(
            "configuration_version",
            "Version of the active configuration; 0 if there is none.",
            lambda: state.routing_table.version if state.routing_table else 0,
        )
        add(
            "configuration_age_seconds",
            "Time since the configuration was last proven current.",
            lambda: state.freshness.age_s(state.clock()),
        )
        add(
            "quota_coverage",
            "Share of the fleet whose quota use is known; 0 if a hub's report is overdue.",
            lambda: state.quotas.refill_share.coverage,
        )
        state.metrics.software_shares = state.software.shares
        state.metrics.replica_limits = state.limits.limits_by_replica
        add(
            "zones_unreachable",
            "Zones that get no requests because they are unreachable.",
            lambda: len(state.zone_reachability.unreachable(state.clock())),
        )
        add(
            "region_round_trip_seconds",
            "Round-trip time to another region.",
            lambda: state.region_delay.round_trip_s,
        )
        add(
            "peer_bytes_to_other_regions",
            "Bytes sent to peers in other regions.",
            lambda: self._peers.cross_region_bytes,
        )
        state.metrics.remaining_quotas = lambda: state.quotas.remaining(state.clock())
        add(
            "replicas_through_peers",
            "Replicas that are reached only through peers.",
            lambda: self.service.connector.paths.lost_count,
        )
        add("relayed_active", "Peers' requests being relayed.", lambda: self._relay.active_requests)
        counters = self._replica_pool.counters
        add(
            "caller_connections_closed_unread",
            "Callers' connections that could not be served in time.",
            lambda: self._caller_listener.closed_unread if self._caller_listener else 0,
        )
        add("connections_opened", "Connections opened to replicas.", lambda: counters.opened)
        add("connections_failed", "Failed connection attempts.", lambda: counters.failed)
        add("peer_bytes_sent", "Bytes sent to peers.", lambda: self._peers.sent_bytes)
        add("peer_messages_sent", "Messages sent to peers.", lambda: self._peers.sent_messages)
        memory = state.memory
        add("buffered_bytes", "Buffered bytes of other processes.", lambda: memory.total)
        add("buffered_bytes_peak", "The most of them at a time.", lambda: memory.peak)
        add("buffers_shed", "Buffers shed for lack of memory.", lambda: memory.shed_count)
        add("resident_bytes", "Memory that this process occupies.", resident_bytes)
        state.metrics.buffered_bytes = lambda: {kind.value: n for kind, n in memory.by_kind.items()}
        add("log_lines_dropped", "Dropped log lines.", lambda: self._log_lines_dropped())

    def _log_buffers_grown(self) -> None:
        memory = self.state.memory
        sizes = {kind.value: size for kind, size in memory.by_kind.items() if size}
        log_event(
            "buffers_grown", "WARNING", total=memory.total, resident=resident_bytes(), **sizes
        )

    def _log_shed(self, reservation: Reservation) -> None:
        if self._shed_log_limit.allows(self._loop.time()):
            log_event(
                "buffer_shed",
                "ERROR",
                kind=reservation.kind.value,
                size=reservation.size,
                total=self.state.memory.total,
            )

    # Duties

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_s = self._loop.time()
            self.service.sweep(now_s)
            self._relay.sweep(now_s)
            self._call_pool.sweep(now_s)
            self._sync.expire_missing_replicas(now_s)

    def _reload(self) -> None:
        settings = self._read_settings()
        if isinstance(settings, Failure):
            log_event("settings_refused", "WARNING", reason=str(settings))
            return
        changed = [
            name
            for name in RouterSettings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self.state.settings = settings
        log_event("settings_reloaded", changed=",".join(changed) or "nothing")

    @property
    def _is_busy(self) -> bool:
        """Whether a caller or a peer awaits an answer, or has one that is not sent whole."""
        if self.service.busy_connections or self._relay.active_requests:
            return True
        return bool(self.service.unsent_connections or self._relay.unsent_connections)

    async def _stop(self) -> None:
        requested_s = self._loop.time()
        self.state.stopping = True
        log_event("router_stopping", active=self.service.active_requests)
        # Callers of this router continue their streams at others from now on.
        self._stream_origins.hand_over()
        handover = self._loop.create_task(self._weights_rollout.stop())
        grace_s = self._settings.bounds.grace_s
        cut_in_s = grace_s - min(STOP_MARGIN_S, grace_s * MAX_STOP_MARGIN_SHARE)
        deadline_s = requested_s + cut_in_s
        await asyncio.sleep(min(LOAD_BALANCER_DRAIN_S, cut_in_s / 2))
        # Requests that arrive later may not finish within the grace period.
        self.service.refusing_requests = True
        self.service.close_callers_when_idle()
        self._relay.close_when_idle()
        while self._is_busy and self._loop.time() < deadline_s:
            await asyncio.sleep(0.02)
        await asyncio.wait([handover], timeout=max(0.0, deadline_s - self._loop.time()))
        unsent = self.service.unsent_connections + self._relay.unsent_connections
        cut = await self.service.cut_requests()
        for server in self._servers:
            server.close()
        self.service.close_late_callers()
        self._stream_origins.hand_over()
        self._peers.leave()
        for task in self._tasks:
            task.cancel()
        self._peers.close()
        self._replica_pool.close()
        self.service.connector.close()
        self._call_pool.close()
        log_event(
            "router_stopped",
            took_s=self._loop.time() - requested_s,
            cut=cut,
            unsent=unsent,
        )


def run_router(
    settings: RouterSettings,
    adapters: RouterAdapters,
    read_settings: ReadSettings,
    started_s: float,
) -> int:
    """Run one router process to its end and return the exit status.

    ``started_s`` is when the process started, by the clock of :class:`BootClockLoop`.
    """
    output = LogOutput()
    configure_logs("info", output.write)

    async def flush_logs() -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH_PERIOD_S)
            output.flush()

    async def main() -> None:
        flushing = asyncio.get_running_loop().create_task(flush_logs())
        try:
            process = RouterProcess(settings, adapters, read_settings, lambda: output.dropped)
            process.state.started_at_s = started_s
            process.install_signal_handlers()
            await process.run()
        finally:
            flushing.cancel()

    # Exclude objects created by imports from garbage collection; they live as long as the process.
    gc.collect()
    gc.freeze()
    try:
        with asyncio.Runner(loop_factory=BootClockLoop) as runner:
            runner.run(main())
    except OSError as error:
        log_event("router_failed", "ERROR", reason=repr(error))
        return 1
    finally:
        output.flush()
    return 0
