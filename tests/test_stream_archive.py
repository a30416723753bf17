"""Streams of several versions are found after all daemons have died at once. Virtual time."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from tests.archive_fleet import (
    SERVICE,
    STABILIZATION_S,
    VERSIONS,
    ArchiveFleet,
    attempt,
)
from tests.hollow_archive_fleet import HollowArchiveFleet
from tests.stream_origin_fleet import Findings
from tests.virtual_loop import run_virtually
from winchfork.core.software_history import DEPARTED_S
from winchfork.core.stream_batch import ArchivedStreams, StreamBatch, StreamRecord
from winchfork.core.stream_origin import RECORD_COPIES, StreamOrigin, stream_key
from winchfork.errors import Failure
from winchfork.router.stream_archive import (
    LEASE_SHARED_S,
    MAX_FLEET_WRITES_PER_S,
    WRITE_INTERVAL_S,
)
from winchfork.router.stream_origin_exchange import VIEW_SETTLED_S
from winchfork.router.stream_origins import stream_lifetime_s
from winchfork.router.stream_records import STREAMS_PREFIX, decode_batch, encode_batch

SMALL, MEDIUM, LARGE = 7, 36, 420
LARGE_STREAMS_PER_S = 1000
#: Bytes a second that a daemon may spend on the control of the fleet.
MAX_CONTROL_BYTES_PER_S = 6000
#: Of resumed streams, the share that has to go on.
MIN_FOUND_SHARE = 0.5
#: Seconds for which streams are begun, about as long as one lasts.
BEGINNING_S = 4.0
LIFETIME_S = stream_lifetime_s(attempt("any"))


class StreamArchiveTest(unittest.TestCase):
    def run_fleet(
        self,
        daemons: int,
        scenario: Callable[[ArchiveFleet], Awaitable[None]],
        versions: tuple[str, ...] = VERSIONS,
    ) -> None:
        async def main() -> None:
            fleet = ArchiveFleet(daemons, versions)
            await asyncio.sleep(STABILIZATION_S)
            await scenario(fleet)

        run_virtually(main())

    def assert_found(self, findings: Findings, share: float = MIN_FOUND_SHARE) -> None:
        self.assertEqual(findings.wrong, 0)
        self.assertGreaterEqual(findings.found_share, share, findings)

    def test_streams_are_found_after_all_daemons_were_killed_at_once(self) -> None:
        """Guards against records that live in daemons' memories only."""

        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all())

        for daemons in (1, SMALL, MEDIUM):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_streams_are_found_after_two_deaths_of_all_daemons(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            for _ in range(2):
                fleet.forget_begun()
                await fleet.begin_for(BEGINNING_S)
                await fleet.replace_all()
                self.assert_found(await fleet.continue_all())
                await asyncio.sleep(STABILIZATION_S)

        self.run_fleet(SMALL, scenario)

    def test_streams_begun_before_the_second_version_are_found(self) -> None:
        """Guards against records of streams that began while one version served alone."""

        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            fleet.put_replica(9, "v1.1")
            await asyncio.sleep(2.0 + WRITE_INTERVAL_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario, ("v1",))

    def test_streams_are_found_after_their_version_has_left(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            fleet.store.remove("servers/i-model-0")
            await asyncio.sleep(WRITE_INTERVAL_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_records_are_written_when_the_store_is_back(self) -> None:
        """Guards against records that are dropped because the store does not take them."""

        async def scenario(fleet: ArchiveFleet) -> None:
            fleet.store.down = True
            await fleet.begin_for(BEGINNING_S)
            fleet.store.down = False
            await asyncio.sleep(4.0)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_records_of_a_write_whose_answer_was_lost_are_written_again(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            fleet.store.write_answers_to_lose = 2
            await fleet.begin_for(BEGINNING_S)
            await asyncio.sleep(3.0)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_another_daemon_archives_when_the_archiver_has_died(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            fleet.store.down = True
            await fleet.begin_for(1.0)
            archiver = fleet.archiver()
            fleet.kill(archiver)
            fleet.daemons.remove(archiver)
            fleet.store.down = False
            await asyncio.sleep(12.0)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.8)

        self.run_fleet(SMALL, scenario)

    def test_streams_are_found_if_an_archiver_died_before_all_did(self) -> None:
        """Guards against records that one daemon alone writes, whose death nobody has noticed."""

        async def scenario(fleet: ArchiveFleet) -> None:
            archiver = fleet.archiver()
            fleet.kill(archiver)
            fleet.daemons.remove(archiver)
            await fleet.begin_for(BEGINNING_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all())

        self.run_fleet(SMALL, scenario)

    def test_a_renewed_record_outlives_the_first_one(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            fleet.begin(1)
            again = attempt("again", "stream-0")
            await asyncio.sleep(LIFETIME_S - 1.0)
            origin = await fleet.daemons[0].state.stream_origins.find(again)
            assert isinstance(origin, StreamOrigin)
            fleet.daemons[0].state.stream_origins.record(again, origin)
            # The lease of the first record ends before the renewed one expires.
            await asyncio.sleep(LEASE_SHARED_S + 2.0)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 1.0)

        self.run_fleet(SMALL, scenario)

    def test_records_that_a_restore_lost_are_written_again(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            backup = fleet.store.backup()
            await fleet.begin_for(BEGINNING_S)
            await asyncio.sleep(WRITE_INTERVAL_S)
            fleet.store.restore(backup)
            self.assertEqual(fleet.store.batch_keys(), [])
            await asyncio.sleep(4.0)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_a_lease_of_the_former_era_is_not_used(self) -> None:
        """Guards against records under a lease of another holder, whose id was given out again."""

        async def scenario(fleet: ArchiveFleet) -> None:
            backup = fleet.store.backup()
            await fleet.begin_for(1.0)
            archiver = fleet.archiver()
            lease = archiver.archive._lease
            assert lease is not None
            fleet.store.restore(backup)
            fleet.store.leases[lease.lease_id] = (fleet.now_s() + 3.0, 3.0)
            fleet.store.leases_granted = lease.lease_id - 1000
            await fleet.begin_for(BEGINNING_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all())

        self.run_fleet(1, scenario)

    def test_garbled_records_are_passed_over(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            short = StreamBatch.of([StreamRecord(b"short", StreamOrigin(SERVICE, "v1"), 9.0)])
            for number, value in enumerate((b"", b"\xc1", b"[]", b"null", encode_batch(short))):
                fleet.store.put(f"{STREAMS_PREFIX}foreign/{number}", value)
            await asyncio.sleep(WRITE_INTERVAL_S)
            await fleet.replace_all()
            self.assert_found(await fleet.continue_all(), 0.9)
            refused = sum(item.state.metrics.documents_refused.value for item in fleet.daemons)
            self.assertGreaterEqual(refused, len(fleet.daemons))

        self.run_fleet(SMALL, scenario)

    def test_an_id_that_was_used_for_two_streams_is_unknown(self) -> None:
        """Guards against a record of one stream that stands for another."""

        async def scenario(fleet: ArchiveFleet) -> None:
            key = stream_key("school", "twice")
            for software in VERSIONS:
                record = StreamRecord(key, StreamOrigin(SERVICE, software), 20.0)
                value = encode_batch(StreamBatch.of([record]))
                fleet.store.put(f"{STREAMS_PREFIX}{software}/0", value)
            found = await fleet.daemons[0].state.stream_origins.find(attempt("again", "twice"))
            self.assertIsInstance(found, Failure)

        self.run_fleet(SMALL, scenario)

    def test_an_id_that_began_two_streams_here_is_unknown(self) -> None:
        """Guards against a second record that is taken for a repetition of the first."""

        async def scenario(fleet: ArchiveFleet) -> None:
            for software in VERSIONS:
                origins = fleet.generator.choice(fleet.daemons).state.stream_origins
                origins.record(attempt("twice"), StreamOrigin(SERVICE, software))
                await asyncio.sleep(0.5)
            await asyncio.sleep(WRITE_INTERVAL_S)
            await fleet.replace_all()
            for daemon in fleet.daemons:
                found = await daemon.state.stream_origins.find(attempt("again", "twice"))
                self.assertIsInstance(found, Failure)

        self.run_fleet(SMALL, scenario)

    def test_batches_are_removed_with_their_leases(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            await asyncio.sleep(WRITE_INTERVAL_S)
            self.assertGreater(len(fleet.store.batch_keys()), 0)
            await asyncio.sleep(LIFETIME_S + LEASE_SHARED_S + 1.0)
            self.assertEqual(fleet.store.batch_keys(), [])

        self.run_fleet(SMALL, scenario)

    def test_nothing_is_written_while_a_service_has_one_version(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            await asyncio.sleep(2 * WRITE_INTERVAL_S)
            self.assertEqual(fleet.store.batches, 0)

        self.run_fleet(SMALL, scenario, ("v1", "v1"))

    def test_writing_ends_when_one_version_has_been_alone_for_long_enough(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(BEGINNING_S)
            fleet.store.remove("servers/i-model-0")
            await asyncio.sleep(LIFETIME_S + DEPARTED_S + 1.0)
            written = fleet.store.batches
            await fleet.begin_for(BEGINNING_S)
            self.assertGreater(written, 0)
            self.assertEqual(fleet.store.batches, written)

        self.run_fleet(SMALL, scenario)

    def test_a_small_fleet_writes_one_batch_in_each_interval(self) -> None:
        async def scenario(fleet: ArchiveFleet) -> None:
            await fleet.begin_for(2 * BEGINNING_S)
            self.assertGreater(fleet.store.batches, 0)
            self.assertLessEqual(fleet.store.batches, 2 * BEGINNING_S / WRITE_INTERVAL_S * 1.2 + 1)

        self.run_fleet(SMALL, scenario)

    def test_a_large_fleet_writes_a_bounded_number_of_batches(self) -> None:
        """Guards against writes and datagrams that grow with the fleet or with its streams."""

        async def main() -> None:
            fleet = HollowArchiveFleet(LARGE)
            await asyncio.sleep(VIEW_SETTLED_S + 1.0)
            fleet.list_versions()
            await asyncio.sleep(1.0)
            await fleet.begin_for(BEGINNING_S, LARGE_STREAMS_PER_S)
            begun = BEGINNING_S * LARGE_STREAMS_PER_S
            self.assertLessEqual(fleet.store.batches / BEGINNING_S, 1.25 * MAX_FLEET_WRITES_PER_S)
            self.assertLessEqual(fleet.datagrams, begun * (RECORD_COPIES + 1))
            most = max(fleet.received_bytes.values())
            self.assertLessEqual(most / BEGINNING_S, MAX_CONTROL_BYTES_PER_S)
            await asyncio.sleep(2.0)
            read = ArchivedStreams()
            for key in fleet.store.batch_keys():
                batch = decode_batch(fleet.store.items[key].value or b"")
                assert isinstance(batch, StreamBatch)
                read.add(key, batch, 0.0)
            self.assertEqual(len(read), begun)

        run_virtually(main())


if __name__ == "__main__":
    unittest.main()
