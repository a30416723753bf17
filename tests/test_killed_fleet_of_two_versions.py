"""Streams of two versions of a service's software when all routers are killed at once."""

from __future__ import annotations

import asyncio

from standins.resuming_callers import (
    MIN_JUDGED_RESUMPTIONS,
    ResumableStream,
    check_resumptions,
    check_versions,
    send_resumable_stream,
)
from tests.loopback_case import FAMILIES, LoopbackTestCase

STREAMS_PER_S = 25
MIN_TOKENS, MAX_TOKENS = 50, 120
#: Streams last from one to two and a half seconds.
TOKEN_INTERVAL_S = 0.02
#: Seconds in which routers come to know each other.
STABILIZATION_S = 2.2
#: Seconds for which streams are sent before the routers are killed, and after.
BEFORE_S, AFTER_S = 2.5, 0.8
DOWN_S = 0.5
#: Each broken stream is taken up once, at a router that is back.
MAX_RESUMPTIONS = 1
RESUMPTION_DELAY_S = DOWN_S + 1.0


class KilledFleetTest(LoopbackTestCase):
    routers = 6
    contracts = "base"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams: list[ResumableStream] = []
        self._sending: list[asyncio.Task[None]] = []
        for replica in self.deployment.model_replicas:
            replica.token_interval_s = TOKEN_INTERVAL_S

    def upgrade_half(self) -> None:
        """Change the software of every other replica, and the entries with it."""
        for replica in self.deployment.model_replicas[::2]:
            replica.software = "v1.1"
            replica.announce("ready")

    def choose_address(self, attempt_id: str) -> str:
        return self.random.choice(self.deployment.settings).caller_address

    async def send_streams(self, seconds: float) -> None:
        """Begin streams for a while; they go on afterwards."""
        for _ in range(int(seconds * STREAMS_PER_S)):
            tokens = self.random.randrange(MIN_TOKENS, MAX_TOKENS)
            stream = ResumableStream(f"stream-{len(self.streams)}", tokens)
            self.streams.append(stream)
            family = self.random.randrange(FAMILIES)
            sent = send_resumable_stream(
                stream,
                family,
                self.choose_address,
                max_resumptions=MAX_RESUMPTIONS,
                delay_s=RESUMPTION_DELAY_S,
            )
            self._sending.append(asyncio.create_task(sent))
            await asyncio.sleep(1.0 / STREAMS_PER_S)

    async def replace_all_routers(self) -> None:
        """Kill all routers at once, and start others without state."""
        indexes = range(self.routers)
        for index in indexes:
            self.deployment.kill_router(index)
        await asyncio.sleep(DOWN_S)
        for index in indexes:
            self.deployment.replace_router(index)
        await self.deployment.wait_until_ready()

    async def check_streams(self) -> None:
        """Wait until all streams have ended, and check their versions and resumptions."""
        await asyncio.gather(*self._sending)
        resumptions = sum(len(stream.resumptions) for stream in self.streams)
        self.assertGreaterEqual(resumptions, MIN_JUDGED_RESUMPTIONS)
        self.assertEqual(check_versions(self.streams), [])
        self.assertEqual(check_resumptions(self.streams), [])

    async def test_streams_go_on_at_their_version_after_all_routers_were_killed(self) -> None:
        """Guards against streams that nobody knows once all routers have died."""
        self.upgrade_half()
        await asyncio.sleep(STABILIZATION_S)
        await self.send_streams(BEFORE_S)
        await self.replace_all_routers()
        await self.send_streams(AFTER_S)
        await self.check_streams()

    async def add_second_version(self) -> None:
        """Start as many replicas of another version as there are of the first."""
        for number in range(len(self.deployment.model_replicas)):
            replica = self.deployment.new_model_replica(f"i-newer-{number}", "v1.1")
            replica.token_interval_s = TOKEN_INTERVAL_S
            await replica.start()
            self.addAsyncCleanup(replica.stop)

    async def test_streams_begun_before_the_second_version_go_on(self) -> None:
        """Guards against streams that were recorded nowhere while one version served alone."""
        await asyncio.sleep(STABILIZATION_S)
        await self.send_streams(BEFORE_S / 2)
        await self.add_second_version()
        await self.send_streams(BEFORE_S / 2)
        await self.replace_all_routers()
        await self.send_streams(AFTER_S)
        await self.check_streams()
