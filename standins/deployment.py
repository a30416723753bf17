"""A whole deployment in one process on loopback: the store, replicas and real routers.

The routers use the same adapters as ``python3 -m winchfork.platform`` and read settings in the
platform's format. Each router has a loopback address of its own, because all peers share one port.
"""

from __future__ import annotations

import asyncio
import copy
import dataclasses
import socket
from typing import Any

import msgspec

from standins.replica_links import ReplicaLinks
from standins.replica_server import ReplicaServer
from standins.rollout_operator import RolloutOperator
from standins.store_server import StoreServer
from standins.weights_operator import WeightsOperator
from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget
from winchfork.emulator.free_ports import free_port, free_ports
from winchfork.errors import Failure
from winchfork.platform.adapters import platform_adapters
from winchfork.platform.settings import parse_settings
from winchfork.router.process import RouterProcess
from winchfork.router.settings import RouterSettings

MODEL = "himal-70b"
API_KEY = "school-key-1"
#: The API key of a tenant whose priority is higher than the route's.
URGENT_API_KEY = "press-key-1"
ZONES = ("thamel", "patan", "bhaktapur")
#: Memory limit in the routers' settings.
MEMORY_MB = 150
#: The retry budget that ``allow_retries`` sets; the stand-ins' settings allow no retries.
RETRY_ALLOWANCE = RetryAllowance(ratio=0.2, slack=56.0, window_s=10.0)
_CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {
            "Name": "review",
            "Host": "proofs.example",
            "PathPrefix": "/review/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "Service": "models",
            "MaxAttempts": 2,
            "Resumable": True,
            "StickySessions": True,
            "GapTargetMs": 500,
        },
        {
            "Name": "roster",
            "Host": "proofs.example",
            "PathPrefix": "/roster/",
            "Kind": "unsafe",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 300,
            "Priority": 2,
            "Service": "editing",
            "MaxAttempts": 1,
        },
    ],
    "Services": [
        {
            "Name": "models",
            "MaxConnections": 200,
            "Engine": {
                "Slots": 16,
                "KvCapacityTokens": 100_000,
                "KvTokenBytes": 163_840,
                "LinkMbps": 1_000_000.0,
                "Models": [{"Name": MODEL}],
            },
        },
        {"Name": "editing", "MaxConnections": 100},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [
        {"Name": "school", "ApiKeys": [API_KEY]},
        {"Name": "press", "ApiKeys": [URGENT_API_KEY], "Priority": 0},
    ],
}


def node_id(zone: str, number: int = 0) -> str:
    """Return the node id of a zone's router; a ``number`` above the number of zones is appended."""
    return f"front-{zone}-{number}" if number > len(ZONES) else f"front-{zone}"


@dataclasses.dataclass(frozen=True)
class WeightsTiming:
    """The bound on replaced weights in the routers' settings, and the duration of a load."""

    version_bound_s: float = 8.0
    load_duration_s: float = 0.1


class PlatformStandins:
    """The stand-ins around the routers: the store, four model and two application replicas.

    ``contracts`` are those in the routers' settings.
    """

    def __init__(
        self, weights_timing: WeightsTiming | None = None, contracts: str = "base,rollout"
    ) -> None:
        self._contracts = contracts
        self.weights_timing = weights_timing or WeightsTiming()
        self.store = StoreServer()
        self.weights_operator = WeightsOperator(self.store, MODEL)
        self.model_replicas = [
            ReplicaServer(self.store, f"i-model-{number}", "models", ZONES[number % 3], MODEL)
            for number in range(4)
        ]
        self.application_replicas = [
            ReplicaServer(self.store, f"i-app-{number}", "editing", ZONES[number])
            for number in range(2)
        ]
        for replica in self.model_replicas:
            replica.load_duration_s = self.weights_timing.load_duration_s
        #: All replicas, including those that have stopped.
        self.all_model_replicas = list(self.model_replicas)
        self.all_application_replicas = list(self.application_replicas)
        #: One operator for the software of each service.
        self.model_rollouts = RolloutOperator(
            self.store, "models", self.model_replicas, self.new_model_replica
        )
        self.application_rollouts = RolloutOperator(
            self.store, "editing", self.application_replicas, self._new_application_replica
        )
        self._peer_port = free_port("127.0.0.1", socket.SOCK_DGRAM)
        self.configuration: dict[str, Any] = copy.deepcopy(_CONFIGURATION)

    def new_model_replica(self, replica_id: str, software: str) -> ReplicaServer:
        """Return a model replica with the newest weights, which is not started yet."""
        zone = ZONES[len(replica_id) % len(ZONES)]
        replica = ReplicaServer(self.store, replica_id, "models", zone, MODEL, software)
        replica.weights_version = max(item.weights_version for item in self.model_rollouts.replicas)
        replica.fatal_request = self.model_replicas[0].fatal_request
        replica.endless_share = self.model_replicas[0].endless_share
        replica.load_duration_s = self.weights_timing.load_duration_s
        self.all_model_replicas.append(replica)
        return replica

    def _new_application_replica(self, replica_id: str, software: str) -> ReplicaServer:
        replica = ReplicaServer(self.store, replica_id, "editing", ZONES[0], software=software)
        self.all_application_replicas.append(replica)
        return replica

    async def start(self) -> None:
        """Start the store with a configuration and version 1 of the weights, and the replicas."""
        await self.store.start()
        self.store.put("op/config", self.configuration)
        self.publish_weights(1)
        for replica in (*self.model_replicas, *self.application_replicas):
            await replica.start()

    def replica_addresses(self) -> set[str]:
        """Return the addresses of all replicas, including those that have stopped."""
        replicas = (*self.all_model_replicas, *self.all_application_replicas)
        return {replica.address for replica in replicas}

    def add_api_key(self, key: str) -> None:
        """Publish a newer configuration in which the first tenant has an additional API key."""
        self.configuration["Version"] += 1
        self.configuration["Tenants"][0]["ApiKeys"].append(key)
        self.store.put("op/config", self.configuration)

    async def stop(self) -> None:
        """Stop the replicas of the current software versions and the store."""
        for replica in (*self.model_rollouts.replicas, *self.application_rollouts.replicas):
            await replica.stop()
        await self.store.stop()

    def publish_weights(self, version: int) -> None:
        """Publish new weights, as an operator does."""
        self.weights_operator.publish(version)

    def settings_text(self, number: int, zone: str, store_address: str = "") -> str:
        """Return the settings of router ``number`` in the platform's format."""
        ip = f"127.0.0.{number}"
        front_port, readiness_port = free_ports(2, ip)
        lines = [
            f"Node={node_id(zone, number)}",
            f"Ip={ip}",
            f"Zone={zone}",
            f"ListenAddresses.Front={ip}:{front_port}",
            f"ListenAddresses.Readiness={ip}:{readiness_port}",
            f"InternalPorts={self._peer_port},{self._peer_port}",
            "Seeds=127.0.0.1:1",
            f"Contracts={self._contracts}",
            f"Limits.MemoryMb={MEMORY_MB}",
            "Bounds.ExposureShare=0.1",
            "Bounds.ExposureSlack=50",
            f"Bounds.VersionMs={self.weights_timing.version_bound_s * 1000:.0f}",
            f"Platform.Address={store_address or self.store.address}",
        ]
        return "\n".join(lines)


class LoopbackDeployment(PlatformStandins):
    """The stand-ins and routers (one a zone by default) in this process."""

    def __init__(
        self,
        routers: int = len(ZONES),
        *,
        simulate_links: bool = False,
        contracts: str = "base,rollout",
    ) -> None:
        super().__init__(contracts=contracts)
        self._simulate_links = simulate_links
        #: Faults on the links between routers and replicas; set while running, if simulated.
        self.links: ReplicaLinks | None = None
        self._zones = [ZONES[number % len(ZONES)] for number in range(routers)]
        self.settings: list[RouterSettings] = []
        self.routers: list[RouterProcess] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the stand-ins and the routers; ``wait_until_ready`` waits for the routers."""
        await super().start()
        if self._simulate_links:
            self.links = ReplicaLinks(self.replica_addresses)
        for number, zone in enumerate(self._zones, start=1):
            self._add_router(number, zone)

    def kill_router(self, index: int) -> None:
        """Simulate the death of a router: its sockets close, and nothing of it runs any more."""
        router = self.routers[index]
        for task in (self.tasks[index], *router._tasks, *router.service._tasks):
            task.cancel()
        for server in router._servers:
            server.close()
        for connection in list(router.service._connections):
            connection.close()
        router._peers.close()
        router._replica_pool.close()
        router.service.connector.close()
        router._call_pool.close()

    def replace_router(self, index: int) -> None:
        """Start a router without state in the place of one that has died or was stopped."""
        del self.routers[index], self.settings[index], self.tasks[index]
        self._add_router(index + 1, self._zones[index], index)

    def _add_router(self, number: int, zone: str, index: int | None = None) -> None:
        index = len(self.routers) if index is None else index
        settings = parse_settings(self.settings_text(number, zone))
        if isinstance(settings, Failure):
            raise ValueError(str(settings))
        settings = msgspec.structs.replace(settings, metrics_address=f"{settings.machine_ip}:0")
        router = RouterProcess(settings, platform_adapters(), lambda: settings)
        self.settings.insert(index, settings)
        self.routers.insert(index, router)
        running = router.run()
        if self.links is not None:
            running = self.links.run_router(number - 1, running)
        self.tasks.insert(index, asyncio.create_task(running))

    async def wait_until_ready(self) -> None:
        """Wait until every router is ready and knows at least one replica."""
        while not all(router.state.ready and len(router.state.fleet) for router in self.routers):
            await asyncio.sleep(0.02)

    def allow_retries(self) -> None:
        """Set a retry budget on every router, as if it had run for a whole window."""
        for router in self.routers:
            started_s = router.state.clock() - RETRY_ALLOWANCE.window_s
            router.state.retry_budget = SlidingRetryBudget(RETRY_ALLOWANCE, started_s)

    def crash_leader(self) -> RouterSettings | None:
        """Simulate a crash of the leader by cancelling its tasks; return its settings, if any."""
        for router, settings in zip(self.routers, self.settings, strict=True):
            if router.state.leader_id == settings.node_id:
                for task in router._tasks:
                    task.cancel()
                return settings
        return None

    async def restart_routers(self) -> None:
        """Replace every router by a new one without state; wait until they are ready."""
        await self._stop_routers()
        self.settings.clear()
        self.routers.clear()
        self.tasks.clear()
        for number, zone in enumerate(self._zones, start=1):
            self._add_router(number, zone)
        await self.wait_until_ready()

    async def stop(self) -> None:
        """Stop the routers with a planned stop, then the stand-ins."""
        await self._stop_routers()
        if self.links is not None:
            self.links.uninstall()
        await super().stop()

    async def _stop_routers(self) -> None:
        for router in self.routers:
            router.request_stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)
