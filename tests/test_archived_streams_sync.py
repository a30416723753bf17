"""Daemons that watch the store while records of streams are written to it. Virtual time."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from tests.large_fleet import LargeFleet, run_in_large_fleet
from tests.memory_store import MemoryStore
from tests.test_store_sync import Followed, follow
from winchfork.router.document_relay import MAX_RELAYED_AGE_S
from winchfork.router.peer_messages import DocumentPull
from winchfork.router.settings import RouterBounds
from winchfork.router.store_sync import WATCH_WAIT_S
from winchfork.router.stream_archive import MAX_FLEET_WRITES_PER_S
from winchfork.router.stream_records import STREAMS_PREFIX

PERIOD_S = 6.0


async def write_batches(store: MemoryStore, per_s: float = MAX_FLEET_WRITES_PER_S) -> None:
    """Write batches, and remove some, until cancelled."""
    for number in itertools.count():
        store.put(f"{STREAMS_PREFIX}n/{number}", b"x" * 500)
        if number % 10 == 9:
            store.remove(f"{STREAMS_PREFIX}n/{number - 9}")
        await asyncio.sleep(1.0 / per_s)


class ArchivedStreamsSyncTest(unittest.TestCase):
    def test_records_are_neither_kept_nor_read_as_documents(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.put(f"{STREAMS_PREFIX}n/0", b"x")
            await followed.wait_until_synced()
            followed.store.compact_history()
            followed.store.put(f"{STREAMS_PREFIX}n/1", b"x")
            await asyncio.sleep(2.0)
            self.assertEqual(followed.state.store_position, followed.store.at)
            whole = followed.sync.table.update_after(followed.store.at, followed.store.at)
            self.assertEqual(whole.items, ())
            listed = followed.sync.table.missing_from(())
            self.assertFalse([key for key in listed if key.startswith(STREAMS_PREFIX)])
            self.assertEqual(followed.state.metrics.documents_refused.value, 0)

        follow(scenario)

    def test_a_change_between_records_is_known_at_once(self) -> None:
        async def scenario(followed: Followed) -> None:
            writing = asyncio.create_task(write_batches(followed.store, 2.0))
            for version in range(10, 20):
                await asyncio.sleep(0.33)
                followed.put_configuration(version)
                await asyncio.sleep(0.1)
                assert followed.state.routing_table is not None
                self.assertEqual(followed.state.routing_table.version, version)
                self.assertLess(followed.age_s(), WATCH_WAIT_S)
            writing.cancel()

        follow(scenario)

    def test_a_large_fleet_stays_current_while_records_are_written(self) -> None:
        """Guards against daemons that take records of streams for changes that they miss."""

        async def scenario(fleet: LargeFleet) -> None:
            writing = asyncio.create_task(write_batches(fleet.store))
            await asyncio.sleep(1.0)
            pulls = 0

            def count_pulls(sender: str, receiver: str, data: bytes) -> None:
                nonlocal pulls
                pulls += isinstance(fleet.daemons[0].peers._codec.decode(data), DocumentPull)

            fleet.network.on_sent = count_pulls
            calls = len(fleet.store.calls)
            for version in range(10, 10 + int(PERIOD_S / RouterBounds().configuration_s)):
                fleet.put_configuration(version)
                await asyncio.sleep(RouterBounds().configuration_s)
                self.assertEqual(fleet.versions(fleet.daemons), {version})
                oldest_s = max(daemon.age_s() for daemon in fleet.daemons)
                self.assertLess(oldest_s, MAX_RELAYED_AGE_S)
            watches = fleet.store.calls[calls:].count("watch")
            writing.cancel()
            self.assertEqual(pulls, 0)
            # Two watchers, with a pause after each answer.
            self.assertLess(watches / PERIOD_S, 25.0)

        run_in_large_fleet(scenario)

    def test_a_daemon_that_gets_relayed_updates_proves_its_list_while_records_are_written(
        self,
    ) -> None:
        """Guards against a list that never reaches the position of the store."""

        async def scenario(fleet: LargeFleet) -> None:
            writing = asyncio.create_task(write_batches(fleet.store))
            await asyncio.sleep(1.0)
            for daemon in fleet.followers()[:8]:
                position = fleet.store.at
                self.assertIsNone(await daemon.state.stream_origins.confirm_list())
                self.assertGreaterEqual(daemon.state.store_position, position)
            writing.cancel()

        run_in_large_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
