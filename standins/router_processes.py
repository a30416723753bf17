"""Router processes around the stand-ins of a platform, with faults of single processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.deployment import ZONES, PlatformStandins
from standins.fault_proxy import Fault
from standins.soak.callers import send_request, stream_headers
from standins.soak.network_partition import PARTITION_FILE_NAME, NetworkPartition
from standins.soak.replica_partition import REPLICA_PARTITION_NAME, ReplicaPartition
from standins.soak.routers import SoakRouter

_POLL_INTERVAL_S = 0.2


class RouterProcesses:
    """``count`` router processes, whose files are in ``folder``."""

    def __init__(self, platform: PlatformStandins, count: int, folder: Path) -> None:
        self._platform = platform
        self._folder = folder
        self._partition = NetworkPartition(folder / PARTITION_FILE_NAME)
        self.routers = [
            SoakRouter(platform, number, ZONES[number % len(ZONES)], folder)
            for number in range(1, count + 1)
        ]

    async def start(self) -> None:
        """Start the stand-ins and the processes; return once each router serves a stream."""
        await self._platform.start()
        self._partition.write(set())
        replicas = ReplicaPartition(self._folder / REPLICA_PARTITION_NAME)
        replicas.write({}, self._platform.replica_addresses())
        for router in self.routers:
            await router.prepare()
            await router.start()
        for router in self.routers:
            await self._wait_until_serving(router)

    async def _wait_until_serving(self, router: SoakRouter) -> None:
        sent = 0
        while True:
            name = f"first-{router.number}-{sent}"
            reply = await send_request(router.address, "/review/x", name, stream_headers(1, 0, 0))
            if reply.status == 200:
                return
            sent += 1
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def suspend(self, index: int, seconds: float) -> None:
        """Suspend the machine of a process, whose monotonic clock lacks that time."""
        router = self.routers[index]
        router.pause(True)
        await asyncio.sleep(seconds)
        router.add_suspension(seconds)
        router.pause(False)

    def isolate(self, index: int) -> None:
        """Isolate one router from the store and its peers, silently, until it is healed."""
        router = self.routers[index]
        router.proxy.fault = Fault.STALL
        self._partition.write({router.machine_ip})

    def heal(self, index: int) -> None:
        """End the isolation of a router."""
        self.routers[index].proxy.fault = Fault.NONE
        self._partition.write(set())

    async def stop(self) -> None:
        """End the processes, then the stand-ins."""
        for router in self.routers:
            router.pause(False)
            await router.end_process(signal.SIGKILL)
            await router.proxy.stop()
        await self._platform.stop()
