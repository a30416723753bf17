"""One daemon's reads of archived records of streams. Virtual time."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from tests.archive_fleet import SERVICE, STABILIZATION_S, ArchiveFleet, attempt
from tests.virtual_loop import run_virtually
from winchfork.core.store_position import StorePosition
from winchfork.core.stream_batch import StreamBatch, StreamRecord
from winchfork.core.stream_origin import StreamOrigin, stream_key
from winchfork.errors import Failure, FailureKind
from winchfork.router.stream_records import POSITION_PREFIX, STREAMS_PREFIX, encode_batch
from winchfork.router.stream_store import MAX_RECORD_BYTES_PER_S, RECORDS_RETRY_S
from winchfork.stores.async_key_value import StoreSnapshot

ORIGIN = StreamOrigin(SERVICE, "v1")


class ArchivedRecordsTest(unittest.TestCase):
    def run_daemon(self, scenario: Callable[[ArchiveFleet], Awaitable[None]]) -> None:
        async def main() -> None:
            fleet = ArchiveFleet(1)
            await asyncio.sleep(STABILIZATION_S)
            self.listed: list[str] = []
            self.refused_prefix = ""
            store = fleet.daemons[0].store
            list_entries = store.list

            async def list_and_record(prefix: str) -> StoreSnapshot | Failure:
                self.listed.append(prefix)
                if prefix == self.refused_prefix:
                    return FailureKind.STORE_UNAVAILABLE.because("refused")
                return await list_entries(prefix)

            store.list = list_and_record  # type: ignore[method-assign]
            await scenario(fleet)

        run_virtually(main())

    def put_records(self, fleet: ArchiveFleet, *names: str, number: int = 0) -> None:
        records = [StreamRecord(stream_key("school", name), ORIGIN, 20.0) for name in names]
        value = encode_batch(StreamBatch.of(records))
        fleet.store.put(f"{STREAMS_PREFIX}n9-1/{number}", value)

    async def find(self, fleet: ArchiveFleet, name: str) -> StreamOrigin | Failure:
        origins = fleet.daemons[0].state.stream_origins
        return await origins.find(attempt(f"again-{name}", name))

    def test_records_that_were_read_recently_are_not_read_again(self) -> None:
        """Guards against a whole archive that is sent for each stream taken up."""

        async def scenario(fleet: ArchiveFleet) -> None:
            names = [f"stream-{number}" for number in range(int(MAX_RECORD_BYTES_PER_S / 17))]
            self.put_records(fleet, *names)
            for name in names[:3]:
                self.assertEqual(await self.find(fleet, name), ORIGIN)
            self.assertEqual(self.listed, [STREAMS_PREFIX, POSITION_PREFIX, POSITION_PREFIX])
            self.put_records(fleet, "later", number=1)
            await asyncio.sleep(1.5)
            self.assertEqual(await self.find(fleet, "later"), ORIGIN)

        self.run_daemon(scenario)

    def test_the_list_is_proven_although_the_records_cannot_be_read(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            confirm_list = fleet.daemons[0].state.stream_origins.confirm_list
            self.refused_prefix = STREAMS_PREFIX
            self.assertIsNotNone(await confirm_list())
            self.assertIsNone(await confirm_list())
            self.refused_prefix = ""
            await asyncio.sleep(RECORDS_RETRY_S)
            self.assertIsNone(await confirm_list())
            self.assertEqual(self.listed, [STREAMS_PREFIX, POSITION_PREFIX, STREAMS_PREFIX])

        self.run_daemon(scenario)

    def test_a_record_counts_although_the_list_cannot_be_proven(self) -> None:
        """Guards against a record that is passed over because the list of replicas is old."""

        async def scenario(fleet: ArchiveFleet) -> None:
            self.put_records(fleet, "stream")
            daemon = fleet.daemons[0]
            daemon.state.store_position = StorePosition(0, 0)
            fleet.store.compact_history()
            fleet.kill(daemon)
            self.assertIsNotNone(await daemon.state.stream_origins.confirm_list())
            self.assertEqual(await self.find(fleet, "stream"), ORIGIN)

        self.run_daemon(scenario)

    def test_a_record_that_a_restore_of_the_store_lost_is_still_known(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            backup = fleet.store.backup()
            self.put_records(fleet, "first", "second")
            self.assertEqual(await self.find(fleet, "first"), ORIGIN)
            fleet.store.restore(backup)
            await asyncio.sleep(2.0)
            self.assertEqual(await self.find(fleet, "second"), ORIGIN)

        self.run_daemon(scenario)


if __name__ == "__main__":
    unittest.main()
