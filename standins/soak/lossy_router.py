"""A router process with simulated datagram loss, partitions from replicas, and suspensions.

``python -m standins.soak.lossy_router`` runs the router as the platform starts it. A datagram from
or to an isolated machine is dropped by its sender; the monotonic clock excludes suspensions.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import winchfork.early_stop  # noqa: F401 - installs its handler before the slow imports
from standins.soak.network_partition import PARTITION_FILE_VARIABLE, NetworkPartition
from standins.soak.replica_partition import (
    MACHINE_IP_VARIABLE,
    REPLICA_PARTITION_VARIABLE,
    ReplicaPartition,
    apply_replica_partition,
)
from standins.soak.suspended_clock import (
    SUSPENDED_FILE_VARIABLE,
    SuspendedTime,
    exclude_suspensions,
)
from winchfork.platform.__main__ import main
from winchfork.router.boot_clock import BootClockLoop


class LossyTransport:
    """Forwards datagrams to a transport, except those that a partition drops."""

    def __init__(self, transport: asyncio.DatagramTransport, partition: NetworkPartition) -> None:
        self._transport = transport
        self._partition = partition
        self._own_ip = transport.get_extra_info("sockname")[0]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram unless the partition separates the two machines."""
        if not self._partition.separates(self._own_ip, address[0]):
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class LossyProtocol(asyncio.DatagramProtocol):
    """Wraps the transport of another protocol in a ``LossyTransport``."""

    def __init__(self, protocol: asyncio.DatagramProtocol, partition: NetworkPartition) -> None:
        self._protocol = protocol
        self._partition = partition

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Connect the wrapped protocol to the lossy transport."""
        self._protocol.connection_made(LossyTransport(transport, self._partition))  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Forward a datagram to the wrapped protocol."""
        self._protocol.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Forward an error to the wrapped protocol."""
        self._protocol.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forward the loss of the connection to the wrapped protocol."""
        self._protocol.connection_lost(exc)


def lose_datagrams(partition: NetworkPartition) -> None:
    """Patch the event loop class so that every datagram endpoint applies the partition."""
    create = BootClockLoop.create_datagram_endpoint

    async def create_lossy(self: BootClockLoop, factory: Any, *args: Any, **options: Any) -> Any:
        return await create(self, lambda: LossyProtocol(factory(), partition), *args, **options)

    BootClockLoop.create_datagram_endpoint = create_lossy  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    exclude_suspensions(SuspendedTime(Path(os.environ[SUSPENDED_FILE_VARIABLE])))
    lose_datagrams(NetworkPartition(Path(os.environ[PARTITION_FILE_VARIABLE])))
    replica_partition = ReplicaPartition(Path(os.environ[REPLICA_PARTITION_VARIABLE]))
    apply_replica_partition(replica_partition, os.environ[MACHINE_IP_VARIABLE])
    sys.exit(main())
