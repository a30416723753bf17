"""Assembles a daemon from the core, the cluster tasks and the interfaces."""

from __future__ import annotations

import random
import socket
import ssl
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from winchfork.backends.http_client import HttpClient
from winchfork.backends.openai_engine import OpenAiEngine
from winchfork.cluster.claim_client import ClaimClient
from winchfork.cluster.event_reader import EventReader
from winchfork.cluster.messages import MESSAGE_TYPES
from winchfork.cluster.node import PeerNode
from winchfork.cluster.panel_manager import PanelManager
from winchfork.cluster.placement_lookup import PlacementLookup
from winchfork.cluster.platform_sync import PlatformSync
from winchfork.cluster.state import DaemonState
from winchfork.cluster.transport import PeerTransport
from winchfork.cluster.waiting_work import WaitingWork
from winchfork.cluster.wire import PeerCodec
from winchfork.control.configuration_writer import ConfigurationWriter
from winchfork.control.rollout import RolloutManager
from winchfork.control.rpc_server import OperatorService, RpcServer
from winchfork.core.member import Member
from winchfork.errors import Failure, FailureKind
from winchfork.gateway.app import GatewayApplication
from winchfork.gateway.generation import GenerationRouter
from winchfork.gateway.metrics import GatewayMetrics
from winchfork.gateway.relay import Relay
from winchfork.gateway.server import PooledServer
from winchfork.gateway.stored_request_runner import StoredRequestRunner
from winchfork.logs import log_event
from winchfork.settings import Settings
from winchfork.stores.etcd_json import EtcdJsonStore
from winchfork.stores.machine_list import HttpMachineSource

_BACKGROUND_THREADS = 6


class Daemon:
    """One daemon. Build it with :func:`build_daemon`; :meth:`start` and :meth:`stop` run it."""

    def __init__(self, settings: Settings, cluster_key: bytes) -> None:
        self.settings = settings
        incarnation = int(time.time() * 1000)
        # For probe order and fan-out; a seed per daemon keeps daemons from acting in lockstep.
        generator = random.Random(f"{settings.daemon.id}:{incarnation}")
        self._client = HttpClient()
        self._platform_client = HttpClient()
        engine = OpenAiEngine(self._client)
        store = EtcdJsonStore(self._platform_client, settings.platform.key_value_endpoints)
        machines = HttpMachineSource(self._platform_client, settings.platform.machine_list_url)
        transport = PeerTransport(
            settings.daemon.peer_address, PeerCodec(cluster_key, MESSAGE_TYPES)
        )
        own = Member(
            settings.daemon.id,
            settings.daemon.zone,
            transport.address,
            settings.daemon.http_address,
            incarnation,
        )
        self.state = DaemonState(settings, own, generator)
        self.node = PeerNode(self.state, transport, generator)
        self._sync = PlatformSync(self.node, store, machines)
        self._reader = EventReader(self.node, engine)
        self._panels = PanelManager(self.node, store)
        self._rollouts = RolloutManager(self.node, store, engine)
        self.metrics = GatewayMetrics()
        generations = GenerationRouter(self.state, PlacementLookup(self.node), engine, self.metrics)
        relay = Relay(self.state, self._client, ClaimClient(self.node), self.metrics)
        stored = StoredRequestRunner(self.state, generations)
        self._waiting = WaitingWork(self.node, store, stored.run)
        application = GatewayApplication(
            self.state, generations, relay, self.metrics, self._waiting
        )
        self._http = PooledServer(
            settings.daemon.http_address, application, settings.limits.workers, _tls(settings)
        )
        service = OperatorService(self.node, ConfigurationWriter(self.node, store), self._rollouts)
        self._rpc = RpcServer(settings, service)
        self._background_tasks = ThreadPoolExecutor(
            _BACKGROUND_THREADS, thread_name_prefix="background"
        )

    @property
    def http_address(self) -> str:
        """The bound address of the callers' interface."""
        return self._http.address

    @property
    def rpc_address(self) -> str:
        """The bound address of the operators' interface."""
        return f"{self.settings.daemon.rpc_address.rpartition(':')[0]}:{self._rpc.port}"

    def start(self) -> None:
        """Start all tasks and interfaces; the configuration and peers are loaded while serving."""
        for task in (
            self.node.run_receiver,
            self.node.run_ticks,
            self._reader.run,
            self._panels.run,
            self._rollouts.run,
            self._waiting.run,
        ):
            self._background_tasks.submit(task)
        self._sync.start()
        self._rpc.start()
        self._http.start()
        log_event(
            "daemon_started",
            id=self.settings.daemon.id,
            zone=self.settings.daemon.zone,
            http=self.http_address,
            rpc=self.rpc_address,
            peer=self.node.transport.address,
        )

    def stop(self) -> None:
        """Stop as planned: refuse new requests, finish running ones and notify peers."""
        log_event("daemon_stopping", id=self.settings.daemon.id)
        self.state.stopping = True
        self._http.stop(wait=True)
        self._reader.stop()
        self._panels.stop()
        self._rollouts.stop()
        self._waiting.stop()
        self._sync.stop()
        self._rpc.stop()
        self.node.stop()
        self._background_tasks.shutdown(wait=False, cancel_futures=True)
        self._client.close()
        self._platform_client.close()
        log_event("daemon_stopped", id=self.settings.daemon.id)

    def stop_at_once(self) -> None:
        """Simulate a crash in tests: finish no request and notify no peer."""
        self.state.stopping = True
        self._reader.stop()
        self._panels.stop()
        self._rollouts.stop()
        self._waiting.stop()
        self._sync.stop()
        self._rpc.stop()
        self.node.stop_at_once()
        self._background_tasks.shutdown(wait=False, cancel_futures=True)
        self._http.stop(wait=False)
        self._client.close()
        self._platform_client.close()

    def wait_until_stopped(self, stop_requested: threading.Event) -> None:
        """Block until a stop is requested, then call :meth:`stop`."""
        stop_requested.wait()
        self.stop()


def build_daemon(settings: Settings) -> Daemon | Failure:
    """Build a daemon; the failure names the setting, file or address at fault."""
    key = settings.cluster_key_bytes()
    if isinstance(key, Failure):
        return key
    for name, kind in (
        ("http_address", socket.SOCK_STREAM),
        ("rpc_address", socket.SOCK_STREAM),
        ("peer_address", socket.SOCK_DGRAM),
    ):
        failure = _check_free(name, getattr(settings.daemon, name), kind)
        if failure is not None:
            return failure
    try:
        return Daemon(settings, key)
    except (OSError, ssl.SSLError, SystemExit) as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"the daemon cannot listen: {error}", remedy="check the addresses and the TLS files"
        )


def _check_free(name: str, address: str, kind: socket.SocketKind) -> Failure | None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind is socket.SOCK_STREAM:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError as error:
            return FailureKind.INVALID_SETTINGS.because(
                f"daemon.{name}: {address} cannot be bound: {error.strerror}",
                remedy="use a free address of this machine",
            )
    return None


def _tls(settings: Settings) -> ssl.SSLContext | None:
    if settings.tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls.certificate_file, settings.tls.key_file)
    return context
