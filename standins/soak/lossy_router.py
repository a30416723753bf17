"""A router process whose datagrams can be lost and whose steady clock stands still in suspensions.

``python -m standins.soak.lossy_router`` runs the router as the platform starts it. A datagram
between a machine that is cut off and any other is dropped where it is sent.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import winchfork.early_stop  # noqa: F401 - before the slow imports
from standins.soak.network_partition import PARTITION_FILE_VARIABLE, NetworkPartition
from standins.soak.suspended_clock import (
    SUSPENDED_FILE_VARIABLE,
    SuspendedTime,
    exclude_suspensions,
)
from winchfork.platform.__main__ import main
from winchfork.router.boot_clock import BootClockLoop


class LossyTransport:
    """Passes datagrams on to a transport, but for those that are lost."""

    def __init__(self, transport: asyncio.DatagramTransport, cut: NetworkPartition) -> None:
        self._transport = transport
        self._cut = cut
        self._own = transport.get_extra_info("sockname")[0]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, unless a cut lies between."""
        if not self._cut.separates(self._own, address[0]):
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class LossyProtocol(asyncio.DatagramProtocol):
    """Gives another protocol the lossy transport."""

    def __init__(self, protocol: asyncio.DatagramProtocol, cut: NetworkPartition) -> None:
        self._protocol = protocol
        self._cut = cut

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Wrap the transport."""
        self._protocol.connection_made(LossyTransport(transport, self._cut))  # type: ignore[arg-type]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on."""
        self._protocol.datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Pass an error on."""
        self._protocol.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on."""
        self._protocol.connection_lost(exc)


def lose_datagrams(cut: NetworkPartition) -> None:
    """Have every datagram endpoint of this process lose what a cut loses."""
    create = BootClockLoop.create_datagram_endpoint

    async def create_lossy(self: BootClockLoop, factory: Any, *args: Any, **options: Any) -> Any:
        return await create(self, lambda: LossyProtocol(factory(), cut), *args, **options)

    BootClockLoop.create_datagram_endpoint = create_lossy  # type: ignore[method-assign,assignment]


if __name__ == "__main__":
    exclude_suspensions(SuspendedTime(Path(os.environ[SUSPENDED_FILE_VARIABLE])))
    lose_datagrams(NetworkPartition(Path(os.environ[PARTITION_FILE_VARIABLE])))
    sys.exit(main())
