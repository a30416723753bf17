"""Simulated partitions of routers from replicas in a soak: a shared file names them."""

from __future__ import annotations

import asyncio
import functools
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from standins.replica_links import LinkFault, ReplicaLinks
from winchfork.router.boot_clock import BootClockLoop

#: Environment variable of a router process with the file's path.
REPLICA_PARTITION_VARIABLE = "SOAK_REPLICA_PARTITION"
#: Environment variable with the IP address of a router's machine.
MACHINE_IP_VARIABLE = "SOAK_MACHINE_IP"
#: The file's name in the folder of a soak.
REPLICA_PARTITION_NAME = "replica-partition"
_POLL_INTERVAL_S = 0.05


class ReplicaPartition:
    """The faults on the links of routers to replicas, by the IP address of the router's machine."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._faults: Mapping[str, str] = {}
        self._replicas: frozenset[str] = frozenset()

    def write(self, faults: Mapping[str, LinkFault], replicas: set[str]) -> None:
        """Apply exactly these faults to the links to these addresses."""
        values = {address: fault.value for address, fault in faults.items()}
        new_file = self._file.with_suffix(".new")
        new_file.write_text(json.dumps({"faults": values, "replicas": sorted(replicas)}))
        new_file.replace(self._file)

    def fault_of(self, machine_ip: str) -> LinkFault:
        """Return the fault on one router's links."""
        self._reload_if_changed()
        return LinkFault(self._faults.get(machine_ip, LinkFault.NONE.value))

    def replicas(self) -> frozenset[str]:
        """Return the addresses that the faults apply to."""
        self._reload_if_changed()
        return self._replicas

    def _reload_if_changed(self) -> None:
        try:
            changed_ns = self._file.stat().st_mtime_ns
        except FileNotFoundError:
            return
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            document = json.loads(self._file.read_text())
            self._faults = document["faults"]
            self._replicas = frozenset(document["replicas"])


def apply_replica_partition(partition: ReplicaPartition, machine_ip: str) -> None:
    """Patch the event loop class so that connections to replicas follow the partition."""
    connect = BootClockLoop.create_connection

    async def create(self: BootClockLoop, *args: Any, **options: Any) -> Any:
        # The links replace this method at the loop, so it is called once.
        links = ReplicaLinks(
            partition.replicas, only_router=0, connect=functools.partial(connect, self)
        )
        _follow(self, links, partition, machine_ip)
        return await self.create_connection(*args, **options)

    BootClockLoop.create_connection = create  # type: ignore[method-assign,assignment]


def _follow(
    loop: asyncio.AbstractEventLoop,
    links: ReplicaLinks,
    partition: ReplicaPartition,
    machine_ip: str,
    known: LinkFault = LinkFault.NONE,
) -> None:
    fault = partition.fault_of(machine_ip)
    if fault is not known:
        links.set_fault(0, fault)
    loop.call_later(_POLL_INTERVAL_S, _follow, loop, links, partition, machine_ip, fault)
