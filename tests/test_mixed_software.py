"""Streams of a service whose replicas run several versions of its software side by side."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from standins.replica_links import LinkFault
from standins.resuming_callers import (
    ResumableStream,
    check_resumptions,
    check_versions,
    send_resumable_stream,
)
from tests.loopback_case import FAMILIES, LoopbackTestCase

STREAMS_PER_S = 40
MIN_TOKENS, MAX_TOKENS = 40, 160
TRUNCATED_SHARE = 0.3
#: Seconds for which streams are sent, and the first part of that without faults.
SENDING_S = 4.0
CALM_S = 0.5
ROUTER_INTERVAL_S = 0.9


class MixedSoftwareTest(LoopbackTestCase):
    routers = 6
    simulate_links = True
    contracts = "base"
    #: Versions that have fewer than two replicas at times.
    vanishing: frozenset[str] = frozenset()

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams: list[ResumableStream] = []
        self.replicas = self.deployment.model_replicas
        for replica in self.replicas[::2]:
            self.upgrade(replica.replica_id, "v1.1")
        await asyncio.sleep(0.3)

    def upgrade(self, replica_id: str, software: str) -> None:
        """Change a replica's software, and its entry with it."""
        replica = next(item for item in self.replicas if item.replica_id == replica_id)
        replica.software = software
        replica.announce("ready")

    def truncate_streams(self) -> None:
        for replica in self.replicas:
            replica.truncated_share = TRUNCATED_SHARE

    def choose_address(self, attempt_id: str) -> str:
        return self.random.choice(self.deployment.settings).caller_address

    async def send_streams(self, *faults: Awaitable[None]) -> None:
        """Send streams while faults happen, and check their versions and resumptions.

        Resumptions are judged of streams whose version has two replicas throughout.
        """
        sending = [asyncio.ensure_future(fault) for fault in faults]
        tasks = []
        for number in range(int(SENDING_S * STREAMS_PER_S)):
            tokens = self.random.randrange(MIN_TOKENS, MAX_TOKENS)
            stream = ResumableStream(f"stream-{number}", tokens)
            self.streams.append(stream)
            family = self.random.randrange(FAMILIES)
            sent = send_resumable_stream(stream, family, self.choose_address)
            tasks.append(asyncio.create_task(sent))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*tasks, *sending)
        self.assertEqual(check_versions(self.streams), [])
        judged = [stream for stream in self.streams if not stream.versions & self.vanishing]
        self.assertEqual(check_resumptions(judged), [])

    async def test_an_answer_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against a retry inside an answer at a replica of another version."""
        self.truncate_streams()
        await self.send_streams()

    async def test_resumed_streams_go_on_at_their_version_after_routers_die(self) -> None:
        """Guards against a resumption that is placed like a new stream."""

        async def kill_routers() -> None:
            await asyncio.sleep(CALM_S)
            for index in (0, 3, 1):
                self.deployment.kill_router(index)
                self.deployment.replace_router(index)
                await asyncio.sleep(ROUTER_INTERVAL_S)

        self.truncate_streams()
        await self.send_streams(kill_routers())
        self.assertGreater(sum(len(stream.resumptions) for stream in self.streams), 12)

    async def test_resumed_streams_go_on_at_their_version_beside_planned_stops(self) -> None:
        """Guards against what a router knows of streams being lost with its planned stop."""

        async def stop_routers() -> None:
            await asyncio.sleep(CALM_S)
            for index in (2, 4, 5):
                self.deployment.routers[index].request_stop()
                await asyncio.sleep(ROUTER_INTERVAL_S)

        self.truncate_streams()
        await self.send_streams(stop_routers())

    async def test_streams_go_on_at_their_version_through_peers(self) -> None:
        """Guards against a router that continues a stream at whatever replica a peer reaches."""

        async def cut_links() -> None:
            await asyncio.sleep(CALM_S)
            assert self.deployment.links is not None
            for index in (0, 1):
                self.deployment.links.set_fault(index, LinkFault.RESET)

        self.truncate_streams()
        await self.send_streams(cut_links())

    async def test_streams_end_when_no_replica_of_their_version_is_left(self) -> None:
        """Guards against streams that go on at the one version that is left."""
        self.vanishing = frozenset({"v1.1"})

        async def leave() -> None:
            await asyncio.sleep(CALM_S)
            leaving = [replica for replica in self.replicas if replica.software == "v1.1"]
            for replica in leaving:
                (await replica.crash()).lapse()
            await asyncio.sleep(SENDING_S / 2)
            for replica in leaving:
                await replica.restart()

        self.truncate_streams()
        await self.send_streams(leave())

    async def test_streams_keep_to_a_version_that_others_are_replaced_by(self) -> None:
        """Guards against a replica that comes back with another version under its id."""

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            for replica in self.replicas[1::2]:
                (await replica.crash()).lapse()
                replica.software = "v1.2"
                await replica.restart(keeps_id=True)
                await asyncio.sleep(ROUTER_INTERVAL_S)

        self.truncate_streams()
        await self.send_streams(replace())
