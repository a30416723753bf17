"""Whole routers before replicas that leave or rest by their answers alone.

The store cannot be reached, or says nothing of it: the answers are the only news. What happened and
which lines settled it stands in `test_replica_notices`.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from standins.fleet import KEY, MODEL, LoopbackDeployment
from standins.notice_promises import LEAVING_BOUND_S, Sender, judge_notices, reached_in_rest
from tests.relay_support import CallerAnswer, read_answer

_PATIENCE_S = 25.0
SEED = 21
FAMILIES = 23
STREAMS_PER_S = 25
REST_S = 3.0


def stream_request(number: int, family: int) -> bytes:
    """Return a short streamed request of a prompt family."""
    return (
        f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: stream-{number}\r\n"
        f"X-Key: {KEY}\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\nX-Token-Usage: 400,8\r\n"
        f"X-Prefix-Hash: 5c1e07a2:90,{family:08x}:110,{number:08x}:200\r\n"
        "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    ).encode()


class NoticesWholeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.deployment = LoopbackDeployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await asyncio.wait_for(self.deployment.wait_until_ready(), _PATIENCE_S)
        self.deployment.allow_repeats()
        self.random = random.Random(SEED)
        self.senders: dict[str, Sender] = {}
        self.statuses: list[int] = []

    async def _ask(self, router: int) -> CallerAnswer:
        number = len(self.senders)
        self.senders[f"stream-{number}"] = Sender(router, asyncio.get_running_loop().time())
        host, _, port = self.deployment.settings[router].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(stream_request(number, self.random.randrange(FAMILIES)))
        try:
            answer = await asyncio.wait_for(read_answer(reader), _PATIENCE_S)
        finally:
            writer.close()
        self.statuses.append(answer.status)
        return answer

    async def _send_for(self, seconds: float) -> None:
        asked = []
        for _ in range(int(seconds * STREAMS_PER_S)):
            asked.append(asyncio.create_task(self._ask(self.random.randrange(3))))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*asked)

    def _busiest(self) -> int:
        models = self.deployment.models
        return max(range(len(models)), key=lambda number: len(models[number].notices.arrivals))

    def _judge(self) -> list[str]:
        models = self.deployment.models
        return judge_notices(((item.replica_id, item.notices) for item in models), self.senders)

    async def test_a_replica_that_leaves_by_its_answers_alone_is_left_alone(self) -> None:
        await self._send_for(1.0)
        leaving = self.deployment.models[self._busiest()]
        leaving.notices.leaving = True
        await self._send_for(LEAVING_BOUND_S + 3.0)
        self.assertGreater(len(leaving.notices.left), 0)
        self.assertEqual(self._judge(), [])

    async def test_replicas_that_rest_are_left_alone_for_so_long(self) -> None:
        await self._send_for(1.0)
        resting = self.deployment.models[self._busiest()]
        for proves_not_run in (True, False):
            resting.notices.rest_s = REST_S
            resting.notices.proves_not_run = proves_not_run
            await self._send_for(REST_S + 1.0)
            resting.notices.rest_s = None
            await self._send_for(0.5)
        counts = reached_in_rest(resting.notices, self.senders)
        self.assertGreater(len(counts), 0)
        self.assertEqual(sum(counts.values()), 0)
