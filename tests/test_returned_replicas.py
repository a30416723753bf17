"""Replicas that return under their id with another version, while their entries are late."""

from __future__ import annotations

import asyncio

from tests.returned_replicas_case import CALM_S, NEW, SENDING_S, ReturnedReplicasTestCase

#: Seconds for which streams begin before the entries arrive.
BEGINNING_S = 0.5
#: Seconds from a replica's return to its entry, where that is late.
ENTRY_DELAY_S = 1.2


class ReturnedReplicasTest(ReturnedReplicasTestCase):
    async def open_idle_connections(self) -> None:
        """Let each router open a connection to each replica that carries no request yet."""
        for router in self.deployment.routers:
            for replica in router.state.fleet.of_service("models"):
                await router.service.connector.verify(replica)

    async def test_streams_keep_to_a_version_that_returned_while_the_store_was_down(self) -> None:
        """Guards against streams of a returned replica being recorded by its former entry."""

        async def end_outage() -> None:
            await asyncio.sleep(SENDING_S / 2)
            for replica in self.replicas[1::2]:
                self.write_entry(replica)
            self.deployment.store.down = False

        await self.send_streams(seconds=CALM_S)
        self.deployment.store.down = True
        for replica in self.replicas[1::2]:
            await self.return_as(replica, NEW)
        await self.open_idle_connections()
        self.truncate_streams()
        await self.send_streams(end_outage())
        self.check_streams()
        self.assertGreater(self.served_by(NEW), 12)

    async def test_streams_keep_to_a_version_whose_entries_are_late(self) -> None:
        """Guards against the time between a replica's return and its entry, store or not."""

        async def replace() -> None:
            await asyncio.sleep(CALM_S)
            for replica in self.replicas[1::2]:
                await self.return_as(replica, NEW)
                asyncio.get_running_loop().call_later(ENTRY_DELAY_S, self.write_entry, replica)

        self.truncate_streams()
        await self.send_streams(replace())
        self.check_streams()
        self.assertGreater(self.served_by(NEW), 12)

    async def test_streams_go_on_when_the_entry_of_what_began_them_arrives(self) -> None:
        """Guards against a version that streams are bound to and that no entry ever names."""

        async def write_entries() -> None:
            await asyncio.sleep(1.2 * BEGINNING_S)
            for replica in self.replicas:
                self.write_entry(replica)

        for replica in self.replicas:
            await self.return_as(replica, NEW)
            replica.token_interval_s = 0.01
            replica.truncated_share = 1.0
        await self.send_streams(write_entries(), seconds=BEGINNING_S)
        self.check_streams()
        self.assertGreater(sum(len(stream.resumptions) for stream in self.streams), 12)
