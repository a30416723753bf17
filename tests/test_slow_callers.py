"""Callers that read slower than replicas answer."""

from __future__ import annotations

import asyncio
import socket

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    HANG_TIMEOUT_S,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    read_answer,
    signed,
)

#: Larger than the buffers of the sockets between the router and a slow caller.
LARGE_BODY = b"x" * (3 * 1024 * 1024)
RECEIVE_BUFFER_BYTES = 4096


async def connect_slowly(
    relay: RelayUnderTest,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a caller's connection with a small receive buffer."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw.setblocking(False)
    await asyncio.get_running_loop().sock_connect(raw, ("127.0.0.1", relay.port))
    return await asyncio.open_connection(sock=raw, limit=RECEIVE_BUFFER_BYTES)


class SlowCallerTest(RelayTestCase):
    async def test_a_slow_caller_leaves_a_connection_that_serves_the_next_request(self) -> None:
        """Guards against a pooled connection whose reading stays paused."""
        replica = ScriptedReplica(
            answering(lambda request: signed(request, LARGE_BODY)),
            answering(lambda request: signed(request, b"next")),
        )
        relay = await self.relay(replica)
        reader, writer = await connect_slowly(relay)
        writer.write(caller_request())
        while relay.service.active_requests or not replica.received:
            await asyncio.sleep(0.01)
        answer = await relay.ask("id-2")
        self.assertEqual((answer.body, replica.connections), (b"next", 1))
        slow = await asyncio.wait_for(read_answer(reader), HANG_TIMEOUT_S)
        self.assertTrue(slow.whole)
        writer.close()
