"""Accepting more callers' connections than can be served in time."""

from __future__ import annotations

import asyncio
import socket
import unittest

from winchfork.core.accept_queue import MAX_STANDING_S, AcceptQueue
from winchfork.emulator.free_ports import free_port
from winchfork.router.caller_listener import MAX_ACCEPTS_PER_TURN, CallerListener

WAITING = 3 * MAX_ACCEPTS_PER_TURN


class AcceptQueueTest(unittest.TestCase):
    def test_a_queue_is_overdue_only_after_it_stood_for_long_without_being_empty(self) -> None:
        queue = AcceptQueue(1.0)
        self.assertFalse(queue.is_overdue(100.0))
        queue.mark_waiting(100.0)
        queue.mark_waiting(100.9)
        self.assertFalse(queue.is_overdue(101.0))
        self.assertTrue(queue.is_overdue(101.1))
        queue.mark_empty()
        queue.mark_waiting(200.0)
        self.assertFalse(queue.is_overdue(200.1))


class GreetingProtocol(asyncio.Protocol):
    """Writes one byte to each connection that is served."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(b"g")


class CallerListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now_s = 50.0
        self.served = 0
        self.address = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.listener = CallerListener(self.address, self._make_protocol, lambda: self.now_s)
        self.addCleanup(self.listener.close)

    def _make_protocol(self) -> GreetingProtocol:
        self.served += 1
        return GreetingProtocol()

    def _connect(self, count: int) -> list[socket.socket]:
        """Open connections; the operating system accepts them into its queue."""
        host, _, port = self.address.rpartition(":")
        opened = [socket.create_connection((host, int(port))) for _ in range(count)]
        for connection in opened:
            connection.setblocking(False)
            self.addCleanup(connection.close)
        return opened

    async def _first_byte(self, connection: socket.socket) -> bytes:
        """Return what a caller receives first: empty if its connection was closed."""
        try:
            return await asyncio.get_running_loop().sock_recv(connection, 1)
        except ConnectionResetError:
            return b""

    async def test_connections_are_accepted_a_few_in_each_turn_of_the_loop(self) -> None:
        """Guards against a burst of new connections that keeps all others waiting."""
        opened = self._connect(WAITING)
        before, most = 0, 0
        while before < WAITING:
            await asyncio.sleep(0)
            most = max(most, self.served - before)
            before = self.served
        self.assertLessEqual(most, MAX_ACCEPTS_PER_TURN)
        received = [await self._first_byte(connection) for connection in opened]
        self.assertEqual(received, [b"g"] * WAITING)

    async def test_connections_beyond_what_can_be_served_in_time_are_closed_unread(self) -> None:
        """Guards against reading requests of callers that have gone by the time they are served."""
        opened = self._connect(WAITING)
        for connection in opened:
            connection.send(b"request")
        while not self.served:
            await asyncio.sleep(0)
        self.now_s += MAX_STANDING_S + 0.1
        received = [await self._first_byte(connection) for connection in opened]
        served = received.count(b"g")
        self.assertGreaterEqual(served, MAX_ACCEPTS_PER_TURN)
        self.assertEqual(received.count(b""), WAITING - served)
        self.assertEqual(self.listener.closed_unread, WAITING - served)
        self.assertLess(served, WAITING)

    async def test_a_crowded_listener_serves_again_when_its_queue_has_been_empty(self) -> None:
        opened = self._connect(WAITING)
        while not self.served:
            await asyncio.sleep(0)
        self.now_s += MAX_STANDING_S + 0.1
        await self._first_byte(opened[-1])
        self.now_s += 100.0
        (late,) = self._connect(1)
        self.assertEqual(await self._first_byte(late), b"g")

    async def test_a_closed_listener_refuses_connections_and_keeps_open_ones(self) -> None:
        (opened,) = self._connect(1)
        self.assertEqual(await self._first_byte(opened), b"g")
        self.listener.close()
        self.listener.close()
        with self.assertRaises(ConnectionRefusedError):
            self._connect(1)
        with self.assertRaises(BlockingIOError):
            opened.recv(1)
