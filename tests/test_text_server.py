"""The pages for readiness and metrics, before clients that misbehave."""

from __future__ import annotations

import asyncio
import unittest

from winchfork.router.text_server import MAX_REQUEST_BYTES, TextConnection

_REQUEST = b"GET /page HTTP/1.1\r\nHost: router\r\n\r\n"
_PAGE = b"x" * 100_000
#: What the connection may hold for a client: what it may write before it pauses, and one page.
_HELD_BYTES = 64 * 1024 + 2 * len(_PAGE)


class TextServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.connections: list[TextConnection] = []
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._connection, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        address = self.server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.writer.close)

    def _connection(self) -> TextConnection:
        connection = TextConnection(lambda path: (200, b"text/plain", _PAGE))
        self.connections.append(connection)
        return connection

    async def test_a_page_is_answered_again_and_again(self) -> None:
        """Guards against limits that close the connection of a sound client."""
        for _ in range(3 * MAX_REQUEST_BYTES // len(_REQUEST)):
            self.writer.write(_REQUEST)
            head = await self.reader.readuntil(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
            await self.reader.readexactly(len(_PAGE))

    async def test_a_request_without_end_closes_the_connection(self) -> None:
        """Guards against a request that is kept however long it is."""
        self.writer.write(b"GET /" + b"a" * (4 * MAX_REQUEST_BYTES))
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(self.reader.readexactly(1), 2.0)

    async def test_pages_that_are_not_read_are_not_kept(self) -> None:
        """Guards against a client that asks for pages and does not read them."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        highest = 0
        for _ in range(100):
            self.writer.write(_REQUEST * 50)
            await asyncio.sleep(0.002)
            transport = self.connections[0]._transport
            assert transport is not None
            highest = max(highest, transport.get_write_buffer_size())
        self.assertLess(highest, _HELD_BYTES)


if __name__ == "__main__":
    unittest.main()
