"""Simulated network partitions between the machines of a soak."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from standins.soak.lossy_router import LossyProtocol
from standins.soak.network_partition import NetworkPartition
from winchfork.emulator.free_ports import free_port


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records the datagrams that it receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append(data)


class LossTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        file = Path(folder.name) / "cut-machines"
        self.partition = NetworkPartition(file)
        self.machines = [DatagramRecorder() for _ in range(3)]
        self.addresses = [(f"127.0.0.{number}", 0) for number in (1, 2, 3)]
        loop = asyncio.get_running_loop()
        for number, machine in enumerate(self.machines):
            ip = self.addresses[number][0]
            self.addresses[number] = (ip, free_port(ip))
            transport, _ = await loop.create_datagram_endpoint(
                lambda machine=machine: LossyProtocol(machine, NetworkPartition(file)),  # type: ignore[misc]
                local_addr=self.addresses[number],
            )
            self.addCleanup(transport.close)

    async def exchange_datagrams(self) -> list[set[bytes]]:
        """Send each machine's number to every machine; return what each has received."""
        for machine in self.machines:
            machine.received.clear()
        for number, machine in enumerate(self.machines):
            assert machine.transport is not None
            for address in self.addresses:
                machine.transport.sendto(b"%d" % number, address)
        await asyncio.sleep(0.1)
        return [set(machine.received) for machine in self.machines]

    async def test_a_partition_drops_datagrams_both_ways_until_it_heals(self) -> None:
        everything = [{b"0", b"1", b"2"}] * 3
        self.assertEqual(await self.exchange_datagrams(), everything)
        self.partition.write({"127.0.0.2"})
        self.assertEqual(await self.exchange_datagrams(), [{b"0", b"2"}, {b"1"}, {b"0", b"2"}])
        self.partition.write(set())
        self.assertEqual(await self.exchange_datagrams(), everything)
