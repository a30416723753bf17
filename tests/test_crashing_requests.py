"""Requests that crash every replica that runs them, end to end.

Guards against a caller that repeats such a request, under new ids and at several routers, and
crashes one replica after another.
"""

from __future__ import annotations

import asyncio
import unittest

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.replica_server import FatalRequest
from tests.relay_support import ReceivedAnswer, read_answer

_MAX_WAIT_S = 25.0
FATAL_BODY = b"fatal"
#: Replicas that may crash under one request before it is refused.
MAX_CRASHES = 3
#: Further runs that may be under way by then, or begin before all routers have been informed.
MAX_LATER_RUNS = 3


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
        await asyncio.wait_for(deployment.wait_until_ready(), _MAX_WAIT_S)
        return deployment

    async def _ask(
        self, deployment: LoopbackDeployment, router: int, request_id: str, body: bytes
    ) -> ReceivedAnswer:
        address = deployment.settings[router].caller_address
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(_stream_request(request_id, body))
        try:
            return await asyncio.wait_for(read_answer(reader), _MAX_WAIT_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ReceivedAnswer(0, {}, b"", False)
        finally:
            writer.close()

    async def _repeat(self, deployment: LoopbackDeployment, times: int, first: int = 0) -> None:
        for number in range(first, first + times):
            await self._ask(deployment, number % 3, f"fatal-{number}", FATAL_BODY)
            await asyncio.sleep(0.25)

    async def _check_crashes_are_bounded(self, *, keeps_id: bool) -> None:
        deployment = await self._deploy(keeps_id=keeps_id)
        await self._repeat(deployment, 20)
        runs = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        self.assertGreaterEqual(runs, 1)
        self.assertLessEqual(runs, MAX_CRASHES + MAX_LATER_RUNS)
        answer = await self._ask(deployment, 0, "innocent", b"other")
        self.assertTrue(answer.whole)
        self.assertEqual(answer.status, 200)

    async def test_a_request_that_crashes_replicas_is_refused(self) -> None:
        """Replicas restart under a new id, or under their previous one."""
        for keeps_id in (False, True):
            with self.subTest(keeps_id=keeps_id):
                await self._check_crashes_are_bounded(keeps_id=keeps_id)

    async def test_it_is_still_refused_after_a_restart_of_every_router(self) -> None:
        deployment = await self._deploy(keeps_id=False)
        await self._repeat(deployment, 12)
        await deployment.restart_routers()
        before = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        await self._repeat(deployment, 8, first=100)
        after = sum(len(replica.fatal_runs) for replica in deployment.model_replicas)
        self.assertEqual(after - before, 0)
