"""Faults of the routers' network: lost datagrams, and links to replicas."""

from __future__ import annotations

import asyncio
import random

from standins.fault_proxy import Fault
from standins.replica_links import LinkFault
from standins.soak.disruptions import ALL_ROUTERS
from standins.soak.faults.context import FaultContext
from standins.soak.network_partition import NetworkPartition
from standins.soak.replica_partition import ReplicaPartition
from standins.soak.routers import SoakRouter

MIN_FAULT_S, MAX_FAULT_S = 1.0, 6.0


class PeerFaults:
    """Isolates one machine at a time from the others, or some from the replicas."""

    def __init__(
        self,
        context: FaultContext,
        generator: random.Random,
        partition: NetworkPartition,
        replica_partition: ReplicaPartition,
    ) -> None:
        self._context = context
        self._random = generator
        self._partition = partition
        self._replica_partition = replica_partition

    async def peers_cut(self) -> None:
        """Drop the datagrams between one machine and the others; all keep the store.

        No router is excused, because the checked guarantees rest on the store.
        """
        router = self._random.choice(self._context.routers)
        self._context.disruptions.log_line(f"datagrams of router {router.number} are lost")
        await self._isolate(router)
        self._context.disruptions.log_line(f"datagrams of router {router.number} pass")

    async def zone_cut(self) -> None:
        """Cut a zone's only machine off from the others and the store; callers still reach it."""
        free = [item for item in self._context.routers if not item.link_fault.locked()]
        if not free:
            return
        router = self._random.choice(free)
        async with router.link_fault:
            with self._context.disruptions.during(
                f"zone of router {router.number} cut", ALL_ROUTERS
            ):
                router.proxy.fault = Fault.STALL
                await self._isolate(router)
                router.proxy.fault = Fault.NONE

    async def without_replicas(self) -> None:
        """Take the links to all replicas from some routers, or from all of them."""
        count = self._random.randint(1, len(self._context.routers))
        routers = self._random.sample(list(self._context.routers), count)
        faults = [LinkFault.SILENT, LinkFault.RESET, LinkFault.REFUSE_NEW]
        chosen = {router.machine_ip: self._random.choice(faults) for router in routers}
        numbers = ",".join(str(router.number) for router in routers)
        what = f"links of routers {numbers} to replicas cut"
        with self._context.disruptions.during(what, ALL_ROUTERS):
            self._replica_partition.write(chosen, self._replica_addresses())
            await asyncio.sleep(self._random.uniform(MIN_FAULT_S, MAX_FAULT_S))
            self._replica_partition.write({}, self._replica_addresses())

    def _replica_addresses(self) -> set[str]:
        return self._context.platform.replica_addresses()

    async def _isolate(self, router: SoakRouter) -> None:
        self._partition.write({router.machine_ip})
        await asyncio.sleep(self._random.uniform(MIN_FAULT_S, MAX_FAULT_S))
        self._partition.write(set())
