"""A whole deployment on loopback in one process: platform, engines, applications, daemons."""

from __future__ import annotations

import socket
import time

from winchfork.control.convert import configuration_to_message
from winchfork.control.rpc_client import OperatorClient
from winchfork.core.configuration import hash_api_key
from winchfork.daemon import Daemon, build_daemon
from winchfork.emulator.application_server import ApplicationServer
from winchfork.emulator.engine_model import EngineSettings
from winchfork.emulator.engine_server import EngineServer
from winchfork.emulator.free_ports import free_port
from winchfork.emulator.platform_server import PlatformServer
from winchfork.emulator.workload import Deployment
from winchfork.errors import Failure, FailureKind
from winchfork.settings import Settings
from winchfork.stores.machine_list import Machine, MachineState

OPERATOR_TOKEN = "dev-operator"
_CLUSTER_KEY = "a development key, not a secret"
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.05


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM, preferred_port: int = 0) -> str:
    """Return a loopback address whose port is free now."""
    if not preferred_port:
        return f"127.0.0.1:{free_port(kind=kind)}"
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind is socket.SOCK_STREAM:
            # As the servers do, so that a port in TIME_WAIT from an earlier run counts as free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", preferred_port))
        except OSError:
            return f"127.0.0.1:{free_port(kind=kind)}"
        return f"127.0.0.1:{preferred_port}"


class EmulatedPlatform:
    """The emulated platform, engines and applications of one deployment, without daemons."""

    def __init__(self, deployment: Deployment, platform_address: str = "127.0.0.1:0") -> None:
        self.deployment = deployment
        self.platform = PlatformServer(platform_address)
        settings = EngineSettings(cache_blocks=deployment.cache_blocks, step_base_s=0.016)
        self.engines = [
            EngineServer("127.0.0.1:0", settings, seed=number)
            for number in range(deployment.engine_replicas)
        ]
        self.applications = [
            ApplicationServer("127.0.0.1:0") for _ in range(deployment.application_replicas)
        ]

    def start(self) -> None:
        """Start every server and add it to the platform's machine list."""
        self.platform.start()
        for number, engine in enumerate(self.engines):
            engine.start()
            self._list(f"engine-{number}", self.deployment.engine_pool, number, engine.address)
        for number, application in enumerate(self.applications):
            application.start()
            self._list(
                f"app-{number}", self.deployment.application_pool, number, application.address
            )

    def stop(self) -> None:
        """Stop every server without waiting for running requests."""
        for engine in self.engines:
            engine.stop()
        for application in self.applications:
            application.stop()
        self.platform.stop()

    def _list(self, machine_id: str, pool: str, number: int, address: str) -> None:
        zones = self.deployment.zones
        zone = zones[number % len(zones)]
        self.platform.put_machine(Machine(machine_id, pool, zone, address, MachineState.LIVE))


class DevFleet:
    """The daemons of one deployment on loopback, one per zone."""

    def __init__(self, emulated: EmulatedPlatform, first_port: int = 0, policy: str = "") -> None:
        self._emulated = emulated
        deployment = emulated.deployment
        count = len(deployment.zones)
        http = [free_address(preferred_port=_port(first_port, i)) for i in range(count)]
        rpc = [free_address(preferred_port=_port(first_port, 20 + i)) for i in range(count)]
        peer = [free_address(socket.SOCK_DGRAM, _port(first_port, 10 + i)) for i in range(count)]
        self.settings = [
            _settings(deployment, emulated, number, http[number], rpc[number], peer, policy)
            for number in range(count)
        ]
        self.daemons: list[Daemon | None] = [None] * count

    def start(self) -> Failure | None:
        """Start every daemon, apply the configuration, and wait until all are ready.

        Return the failure if a daemon does not start, or not all are ready in time.
        """
        for number in range(len(self.settings)):
            failure = self.start_daemon(number)
            if failure is not None:
                return failure
        failure = self._apply_configuration()
        return failure or self._wait_until_ready()

    def start_daemon(self, number: int) -> Failure | None:
        """Start or restart the daemon of zone ``number``."""
        daemon = build_daemon(self.settings[number])
        if isinstance(daemon, Failure):
            return daemon
        daemon.start()
        self.daemons[number] = daemon
        return None

    def stop(self) -> None:
        """Shut down every daemon, letting running requests finish."""
        for daemon in self.daemons:
            if daemon is not None:
                daemon.stop()

    def running(self) -> list[Daemon]:
        """Return the running daemons."""
        return [daemon for daemon in self.daemons if daemon is not None]

    def operator(self, number: int = 0) -> OperatorClient:
        """Return an operator client connected to one daemon."""
        return OperatorClient(self.settings[number].daemon.rpc_address, OPERATOR_TOKEN)

    def _apply_configuration(self) -> Failure | None:
        message = configuration_to_message(self._emulated.deployment.configuration())
        reply = self.operator().apply_configuration(message, 0)
        return reply if isinstance(reply, Failure) else None

    def _wait_until_ready(self) -> Failure | None:
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all(_is_ready(daemon) for daemon in self.running()):
                return None
            time.sleep(_READY_POLL_S)
        return FailureKind.NO_REPLICA.because("the fleet did not become ready in time")


def _is_ready(daemon: Daemon) -> bool:
    state = daemon.state
    with state.lock:
        configuration = state.configuration.current
        engine_pools = {pool.name for pool in configuration.pools_by_model.values()}
        engines = [item for item in state.fleet.replicas() if item.pool in engine_pools]
        engines_known = bool(engines) and all(item.identity is not None for item in engines)
        votes = any(voter.may_vote for voter in state.voters.values())
        return configuration.revision > 0 and engines_known and votes


def _port(first_port: int, offset: int) -> int:
    return first_port + offset if first_port else 0


def _settings(
    deployment: Deployment,
    emulated: EmulatedPlatform,
    number: int,
    http: str,
    rpc: str,
    peer: list[str],
    policy: str,
) -> Settings:
    daemon = {
        "id": f"{deployment.zones[number]}-1",
        "zone": deployment.zones[number],
        "region": deployment.region,
        "http_address": http,
        "rpc_address": rpc,
        "peer_address": peer[number],
        "seeds": tuple(address for address in peer if address != peer[number]),
        "cluster_key": _CLUSTER_KEY,
        "operator_token_sha256": (hash_api_key(OPERATOR_TOKEN),),
    }
    if policy:
        daemon["policy"] = policy
    address = emulated.platform.address
    return Settings.model_validate(
        {
            "daemon": daemon,
            "platform": {
                "key_value_endpoints": (address,),
                "machine_list_url": f"{address}/machines",
            },
        }
    )
