"""A test case whose replicas return under their id with another version, without an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from standins.replica_server import ReplicaServer
from standins.resuming_callers import (
    ResumableStream,
    check_order,
    check_resumptions,
    check_versions,
    send_resumable_stream,
)
from tests.loopback_case import FAMILIES, LoopbackTestCase

STREAMS_PER_S = 50
MIN_TOKENS, MAX_TOKENS = 40, 160
TRUNCATED_SHARE = 0.3
#: Seconds for which streams are sent, and the first part of that without faults.
SENDING_S = 2.0
CALM_S = 0.4
#: Seconds for which a crashed replica is away.
AWAY_S = 0.2
OLD, NEW = "v1", "v1.1"


class ReturnedReplicasTestCase(LoopbackTestCase):
    contracts = "base"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.streams: list[ResumableStream] = []
        self.replicas = self.deployment.model_replicas

    def choose_address(self, attempt_id: str) -> str:
        return self.random.choice(self.deployment.settings).caller_address

    async def return_as(self, replica: ReplicaServer, software: str) -> None:
        """Crash a replica and start it under its id with another version, without its entry."""
        await replica.crash()
        replica.holds_entry_back = True
        await asyncio.sleep(AWAY_S)
        replica.software = software
        await replica.restart(keeps_id=True)

    def write_entry(self, replica: ReplicaServer) -> None:
        replica.holds_entry_back = False
        replica.announce("ready")

    def truncate_streams(self) -> None:
        for replica in self.replicas:
            replica.truncated_share = TRUNCATED_SHARE

    async def send_streams(self, *faults: Awaitable[None], seconds: float = SENDING_S) -> None:
        """Send streams while faults happen."""
        sending = [asyncio.ensure_future(fault) for fault in faults]
        tasks = []
        for _ in range(int(seconds * STREAMS_PER_S)):
            tokens = self.random.randrange(MIN_TOKENS, MAX_TOKENS)
            stream = ResumableStream(f"stream-{len(self.streams)}", tokens)
            self.streams.append(stream)
            family = self.random.randrange(FAMILIES)
            sent = send_resumable_stream(stream, family, self.choose_address)
            tasks.append(asyncio.create_task(sent))
            await asyncio.sleep(1.0 / STREAMS_PER_S)
        await asyncio.gather(*tasks, *sending)

    def check_streams(self) -> None:
        """Check the versions, the order of events, and that taken up streams go on."""
        self.assertEqual(check_versions(self.streams), [])
        self.assertEqual([text for item in self.streams for text in check_order(item)], [])
        self.assertEqual(check_resumptions(self.streams), [])
        counted = sum(
            router.state.metrics.mixed_streams.value for router in self.deployment.routers
        )
        mixed = sum(len(stream.versions) > 1 for stream in self.streams)
        self.assertLessEqual(counted, mixed, "routers count streams of one version as mixed")

    def served_by(self, version: str) -> int:
        """Return how many streams hold events of a version."""
        return sum(version in stream.versions for stream in self.streams)
