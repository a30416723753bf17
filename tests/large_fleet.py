"""A large fleet of daemons in three zones with one store, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.test_platform_documents import CONFIGURATION, REPLICA
from tests.virtual_loop import run_virtually

ZONES = ("z1", "z2", "z3")
DAEMONS = 36
STABILIZATION_S = 12.0


class LargeFleet:
    """Daemons in three zones that share one store."""

    def __init__(self) -> None:
        self.network = Network()
        self.store = MemoryStore()
        self.put_configuration(3)
        self.put_replica("i-1")
        self.put_replica("i-2")
        self.daemons = [
            Daemon(self.network, number, ZONES[number % 3], self.store)
            for number in range(1, DAEMONS + 1)
        ]
        for daemon in self.daemons:
            daemon.follow()

    def put_configuration(self, version: int) -> None:
        document = {**CONFIGURATION, "Version": version}
        self.store.put("op/config", json.dumps(document).encode())

    def put_replica(self, replica_id: str, **changes: object) -> None:
        self.store.put(f"servers/{replica_id}", json.dumps({**REPLICA, **changes}).encode())

    def hubs(self) -> list[Daemon]:
        return [daemon for daemon in self.daemons if daemon.peers.view.is_hub]

    def followers(self) -> list[Daemon]:
        return [daemon for daemon in self.daemons if not daemon.peers.view.is_hub]

    def versions(self, daemons: list[Daemon]) -> set[int]:
        return {
            daemon.state.routing_table.version if daemon.state.routing_table else 0
            for daemon in daemons
        }

    async def oldest_proof_s(self, versions: range, daemons: list[Daemon]) -> float:
        """Write one configuration per second; return the maximum age of any daemon's proof."""
        oldest_s = 0.0
        for version in versions:
            self.put_configuration(version)
            for _ in range(10):
                await asyncio.sleep(0.1)
                oldest_s = max(oldest_s, *(daemon.age_s() for daemon in daemons))
        return oldest_s

    def kill(self, daemon: Daemon) -> None:
        daemon.kill(self.network)
        self.daemons.remove(daemon)


def run_in_large_fleet(scenario: Callable[[LargeFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = LargeFleet()
        await asyncio.sleep(STABILIZATION_S)
        await scenario(fleet)

    run_virtually(main())
