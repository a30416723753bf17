"""Answers that arrive while this process is stalled count when it resumes.

Guards against reporting a timeout on resumption although the answer waits in the socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
import unittest

from tests.relay_support import ScriptedReplica, answering, never_answering
from winchfork.errors import Failure
from winchfork.router.connection_pool import CONNECT_TIMEOUT_S, ConnectionPool
from winchfork.router.pooled_http_client import CallReply, PooledHttpClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LIMIT_S = 0.5


class AnswerInThread:
    """A server in a thread, which answers also while the event loop is blocked."""

    def __init__(self) -> None:
        self.asked = threading.Event()
        self.answered = threading.Event()
        self._may_answer = threading.Event()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def answer(self) -> None:
        """Answer, and return when the answer has been sent."""
        self._may_answer.set()
        self.answered.wait()

    def close(self) -> None:
        self._may_answer.set()
        self._thread.join()
        self._socket.close()

    def _serve(self) -> None:
        connection, _ = self._socket.accept()
        with connection:
            connection.recv(4096)
            self.asked.set()
            self._may_answer.wait()
            with contextlib.suppress(OSError):
                connection.sendall(ANSWER)
            self.answered.set()


class StallTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.server = AnswerInThread()
        self.addCleanup(self.server.close)

    async def call(self) -> CallReply | Failure:
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        client = PooledHttpClient(pool)
        return await client.call(self.server.address, b"GET", b"/", None, LIMIT_S, label="test")

    async def test_an_answer_that_arrives_during_a_stall_counts(self) -> None:
        call = asyncio.create_task(self.call())
        while not self.server.asked.is_set():
            await asyncio.sleep(0.001)
        self.server.answer()
        time.sleep(LIMIT_S)
        self.assertEqual(await call, CallReply(200, b"ok"))

    async def test_a_connection_that_is_established_during_a_stall_is_no_failure(self) -> None:
        """Guards against ejecting a replica, here and at peers, because of an own stall."""
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        acquiring = asyncio.create_task(pool.acquire(self.server.address, 4))
        await asyncio.sleep(0)
        time.sleep(2 * CONNECT_TIMEOUT_S)
        connection = await acquiring
        assert not isinstance(connection, Failure)
        connection.close()


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_after_a_timeout_uses_a_new_connection(self) -> None:
        """Guards against calls that time out on one stale idle connection after the other."""
        keep_alive = answering(lambda request: ANSWER)
        server = ScriptedReplica(keep_alive, keep_alive, keep_alive, never_answering, keep_alive)
        await server.start()
        self.addAsyncCleanup(server.stop)
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        client = PooledHttpClient(pool)

        async def call(limit_s: float) -> CallReply | Failure:
            return await client.call(server.address, b"GET", b"/", None, limit_s, label="test")

        await asyncio.gather(call(5.0), call(5.0), call(5.0))
        self.assertIsInstance(await call(0.05), Failure)
        self.assertFalse(pool.is_connected(server.address))
        self.assertIsInstance(await call(5.0), CallReply)
        self.assertEqual(server.connections, 4)
