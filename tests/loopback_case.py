"""A test case with whole routers, stand-in replicas and callers that send random streams."""

from __future__ import annotations

import asyncio
import random
import unittest

from standins.deployment import API_KEY, MODEL, LoopbackDeployment
from standins.notice_checks import Sender
from standins.replica_server import ReplicaServer
from tests.relay_support import ReceivedAnswer, read_answer

MAX_WAIT_S = 25.0
SEED = 21
FAMILIES = 23
STREAMS_PER_S = 25


def stream_request(number: int, family: int) -> bytes:
    """Return a short request of a prompt family whose answer is streamed."""
    return (
        f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: stream-{number}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\nX-Token-Usage: 400,8\r\n"
        f"X-Prefix-Hash: 5c1e07a2:90,{family:08x}:110,{number:08x}:200\r\n"
        "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    ).encode()


class LoopbackTestCase(unittest.IsolatedAsyncioTestCase):
    routers = 3
    #: Whether the links between routers and replicas can be given faults.
    simulate_links = False
    contracts = "base,rollout"

    async def asyncSetUp(self) -> None:
        # Debug mode takes most of the processor here, and whole routers depend on real time.
        asyncio.get_running_loop().set_debug(False)
        self.deployment = self.make_deployment()
        await self.deployment.start()
        self.addAsyncCleanup(self.deployment.stop)
        await asyncio.wait_for(self.deployment.wait_until_ready(), MAX_WAIT_S)
        self.deployment.allow_retries()
        self.random = random.Random(SEED)
        self.senders: dict[str, Sender] = {}
        self.statuses: list[int] = []

    def make_deployment(self) -> LoopbackDeployment:
        """Return the deployment, before it starts."""
        return LoopbackDeployment(
            self.routers, simulate_links=self.simulate_links, contracts=self.contracts
        )

    async def send_request(self, router: int) -> ReceivedAnswer:
        """Send one request to a router and read its streamed answer."""
        number = len(self.senders)
        self.senders[f"stream-{number}"] = Sender(router, asyncio.get_running_loop().time())
        host, _, port = self.deployment.settings[router].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(stream_request(number, self.random.randrange(FAMILIES)))
        try:
            answer = await asyncio.wait_for(read_answer(reader), MAX_WAIT_S)
        finally:
            writer.close()
        self.statuses.append(answer.status)
        return answer

    async def send_for(self, seconds: float) -> None:
        """Send requests to random routers for a while, and wait for all answers."""
        pending = []
        for _ in range(int(seconds * STREAMS_PER_S)):
            pending.append(
                asyncio.create_task(self.send_request(self.random.randrange(self.routers)))
            )
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*pending)

    def models_by_requests(self) -> list[ReplicaServer]:
        """Return the model replicas, those with the most requests first."""
        models = self.deployment.model_replicas
        return sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
