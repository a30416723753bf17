"""Requests that end each replica that runs them.

One caller sent the same request again and again, each time under a new id and at another router,
and every replica that began to run it ended some 100 ms later, with all that ran there. Nothing
remembered a request beyond one try: ten replicas ended in 16 s, six of them after the third and
more than three seconds later, and 28 streams of others broke with them. Each of the ten was logged
as `outcome=outcome_unknown reason="connection closed" sends=1`, under ten ids and from six routers,
all of one prompt family and of one length (508 tokens unread).
"""

from __future__ import annotations

import asyncio
import unittest

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.replica_server import FatalRequest
from tests.relay_support import ReceivedAnswer, read_answer

_PATIENCE_S = 25.0
FATAL_BODY = b"fatal"
#: Replicas that may end under one request before it is refused.
MOST_ENDS = 3
#: Runs that may be under way elsewhere, or sent before all routers know.
MOST_LATER_RUNS = 3


def _stream_request(request_id: str, body: bytes) -> bytes:
    head = (
        f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 3000\r\nX-Model: {MODEL}\r\nX-Token-Usage: 900,12\r\n"
        f"X-Prefix-Hash: 5c1e07a2:300,91bd3f06:410,{len(body):08x}:190\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def _deploy(self, *, keeps_id: bool) -> LoopbackDeployment:
        deployment = LoopbackDeployment()
        await deployment.start()
        self.addAsyncCleanup(deployment.stop)
        for replica in deployment.model_replicas:
            replica.fatal_request = FatalRequest(FATAL_BODY, keeps_id=keeps_id)
        await asyncio.wait_for(deployment.wait_until_ready(), _PATIENCE_S)
        return deployment

    async def _ask(
        self, deployment: LoopbackDeployment, router: int, request_id: str, body: bytes
    ) -> ReceivedAnswer:
        address = deployment.settings[router].caller_address
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_stream_request(request_id, body))
        try:
            return await asyncio.wait_for(read_answer(reader), _PATIENCE_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ReceivedAnswer(0, {}, b"", False)
        finally:
            writer.close()

    async def _repeat(self, deployment: LoopbackDeployment, times: int, first: int = 0) -> None:
        for number in range(first, first + times):
            await self._ask(deployment, number % 3, f"fatal-{number}", FATAL_BODY)
            await asyncio.sleep(0.25)

    async def _ends_are_few(self, *, keeps_id: bool) -> None:
        deployment = await self._deploy(keeps_id=keeps_id)
        await self._repeat(deployment, 20)
        runs = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        self.assertGreaterEqual(runs, 1)
        self.assertLessEqual(runs, MOST_ENDS + MOST_LATER_RUNS)
        answer = await self._ask(deployment, 0, "innocent", b"other")
        self.assertTrue(answer.whole)
        self.assertEqual(answer.status, 200)

    async def test_a_request_that_ends_replicas_is_kept_from_them(self) -> None:
        """Replicas come back under a new id, or under the one that they had."""
        for keeps_id in (False, True):
            with self.subTest(keeps_id=keeps_id):
                await self._ends_are_few(keeps_id=keeps_id)

    async def test_it_is_kept_from_them_also_after_a_restart_of_every_router(self) -> None:
        deployment = await self._deploy(keeps_id=False)
        await self._repeat(deployment, 12)
        await deployment.restart_routers()
        before = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        await self._repeat(deployment, 8, first=100)
        after = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        self.assertEqual(after - before, 0)
