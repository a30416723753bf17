"""Reads of the store that prove a daemon's list of replicas current. Virtual time."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.test_platform_documents import REPLICA
from tests.test_store_sync import Followed
from tests.virtual_loop import run_virtually, stall_loop
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.stream_origin_exchange import VIEW_SETTLED_S
from winchfork.router.stream_store import (
    CATCH_UP_TIMEOUT_S,
    MAX_FLEET_READS_PER_S,
    READ_TIMEOUT_S,
    STARTING_INTERVAL_S,
    STARTING_READS,
    StreamStore,
)
from winchfork.stores.async_key_value import StoreSnapshot

#: The fleet that the router is designed for, and the reads a second that the store takes from it.
FLEET_ROUTERS = 420
STORE_READS_PER_S = 2_000
#: How long ago a stream may have begun, and a time in which one version is the only one for it.
STREAM_AGE_S = 20.0
ALONE_S = 40.0


class SlowStore(MemoryStore):
    """A store that answers a list after a delay, with its position at the start of the call.

    It does not answer at all while ``silent`` is set.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0
        self.silent = False
        #: The times at which lists were called.
        self.lists_s: list[float] = []

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        self.lists_s.append(asyncio.get_running_loop().time())
        answer = await super().list(prefix)
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        return answer


class Reader:
    """A daemon that knows the store's first position, and reads the store."""

    def __init__(self, store: SlowStore, number: int = 1) -> None:
        loop = asyncio.get_running_loop()
        settings = RouterSettings(f"n{number}", "z1", "g", "", "", "", "")
        self.store = store
        self.state = RouterState(settings, loop.time, random.Random(number))
        self.state.store_position = store.at
        self.stream_store = StreamStore(self.state, store)

    def confirm(self) -> asyncio.Task[Failure | None]:
        return asyncio.create_task(self.stream_store.confirm_list())


class StreamStoreTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[SlowStore, Reader], Awaitable[None]]) -> None:
        async def main() -> None:
            store = SlowStore()
            store.put("servers/i-1", b"")
            await scenario(store, Reader(store))

        run_virtually(main())

    def assert_refused(self, result: Failure | None, kind: FailureKind) -> None:
        assert isinstance(result, Failure)
        self.assertIs(result.kind, kind)

    def test_requests_share_a_read(self) -> None:
        """Guards against a read for each of the streams that a router's death breaks."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            results = await asyncio.gather(*(reader.confirm() for _ in range(200)))
            self.assertEqual(results, [None] * 200)
            self.assertEqual(len(store.lists_s), 1)

        self.run_scenario(scenario)

    def test_requests_that_arrive_during_a_read_share_the_next(self) -> None:
        """Guards against an answer that is older than the stream it is used for."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            store.delay_s = 0.2
            first = reader.confirm()
            await asyncio.sleep(0.1)
            store.put("servers/i-2", b"")
            arrived_s = reader.state.clock()
            later = [reader.confirm() for _ in range(5)]
            self.assertIsNone(await first)
            self.assertFalse(any(task.done() for task in later))
            await asyncio.sleep(0.3)
            # The daemon has not yet seen what the second read has.
            self.assertFalse(any(task.done() for task in later))
            reader.state.store_position = store.at
            self.assertEqual(await asyncio.gather(*later), [None] * 5)
            self.assertEqual(len(store.lists_s), 2)
            self.assertGreaterEqual(store.lists_s[1], arrived_s)

        self.run_scenario(scenario)

    def test_a_read_after_another_has_its_own_position(self) -> None:
        async def scenario(store: SlowStore, reader: Reader) -> None:
            self.assertIsNone(await reader.confirm())
            store.put("servers/i-2", b"")
            self.assert_refused(await reader.confirm(), FailureKind.STORE_UNAVAILABLE)

        self.run_scenario(scenario)

    def test_the_list_is_awaited_up_to_the_position(self) -> None:
        """Guards against a conclusion before an entry that the store has is installed."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            for number in (2, 3):
                store.put(f"servers/i-{number}", b"")
            confirming = reader.confirm()
            await asyncio.sleep(0.1)
            reader.state.store_position = StorePosition(store.era, store.revision - 1)
            await asyncio.sleep(0.1)
            self.assertFalse(confirming.done())
            reader.state.store_position = store.at
            self.assertIsNone(await confirming)

        self.run_scenario(scenario)

    def test_a_list_that_stays_behind_is_refused_in_time(self) -> None:
        async def scenario(store: SlowStore, reader: Reader) -> None:
            store.put("servers/i-2", b"")
            started_s = reader.state.clock()
            self.assert_refused(await reader.confirm(), FailureKind.STORE_UNAVAILABLE)
            took_s = reader.state.clock() - started_s
            self.assertLess(took_s, READ_TIMEOUT_S + CATCH_UP_TIMEOUT_S)

        self.run_scenario(scenario)

    def test_an_answer_from_an_earlier_era_is_refused(self) -> None:
        """Guards against a copy of the store that lacks the latest entries."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            reader.state.eras.advance_to(store.era + 1, reported_by="test")
            self.assert_refused(await reader.confirm(), FailureKind.HISTORY_LOST)

        self.run_scenario(scenario)

    def test_a_later_era_is_awaited_whatever_its_revision(self) -> None:
        async def scenario(store: SlowStore, reader: Reader) -> None:
            backup = store.backup()
            for number in (2, 3):
                store.put(f"servers/i-{number}", b"")
            reader.state.store_position = store.at
            store.restore(backup)
            self.assertLess(store.revision, reader.state.store_position.revision)
            self.assert_refused(await reader.confirm(), FailureKind.STORE_UNAVAILABLE)
            confirming = reader.confirm()
            await asyncio.sleep(0.1)
            reader.state.store_position = store.at
            self.assertIsNone(await confirming)

        self.run_scenario(scenario)

    def test_a_silent_store_refuses_in_time_and_is_read_again(self) -> None:
        """Guards against a call that hangs and holds up those after it."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            store.silent = True
            first = reader.confirm()
            await asyncio.sleep(READ_TIMEOUT_S / 2)
            second = reader.confirm()
            arrived_s = reader.state.clock()
            self.assert_refused(await first, FailureKind.STORE_UNAVAILABLE)
            self.assert_refused(await second, FailureKind.STORE_UNAVAILABLE)
            # The rest of the first read, and its own.
            self.assertLess(reader.state.clock() - arrived_s, 2.0 * READ_TIMEOUT_S)
            store.silent = False
            self.assertIsNone(await reader.confirm())

        self.run_scenario(scenario)

    def test_a_failed_read_is_refused_and_read_again(self) -> None:
        async def scenario(store: SlowStore, reader: Reader) -> None:
            store.down = True
            self.assert_refused(await reader.confirm(), FailureKind.STORE_UNAVAILABLE)
            store.down = False
            self.assertIsNone(await reader.confirm())

        self.run_scenario(scenario)

    def test_a_caller_that_leaves_does_not_end_the_read_of_others(self) -> None:
        async def scenario(store: SlowStore, reader: Reader) -> None:
            store.delay_s = 0.2
            leaving, staying = reader.confirm(), reader.confirm()
            await asyncio.sleep(0.1)
            leaving.cancel()
            self.assertIsNone(await staying)
            self.assertEqual(len(store.lists_s), 1)

        self.run_scenario(scenario)

    def test_the_reads_of_a_large_fleet_are_bounded(self) -> None:
        """Guards against more reads than the store takes while streams are taken up anywhere."""
        seconds = 10.0

        async def scenario(store: SlowStore, _: Reader) -> None:
            readers = [Reader(store, number) for number in range(FLEET_ROUTERS)]
            until_s = readers[0].state.clock() + seconds

            async def read_on(reader: Reader) -> None:
                reader.state.daemon_count = FLEET_ROUTERS
                while reader.state.clock() < until_s:
                    self.assertIsNone(await reader.confirm())

            await asyncio.gather(*(read_on(reader) for reader in readers))
            reads = Counter(int(at_s) for at_s in store.lists_s)
            self.assertLessEqual(max(reads.values()), STORE_READS_PER_S)
            # Each may read once at the beginning.
            total = MAX_FLEET_READS_PER_S * seconds + 2 * FLEET_ROUTERS
            self.assertLessEqual(len(store.lists_s), total)

        self.run_scenario(scenario)

    def test_a_daemon_that_does_not_know_the_fleet_yet_reads_rarely(self) -> None:
        """Guards against the reads of a large fleet that starts at once."""

        async def scenario(store: SlowStore, reader: Reader) -> None:
            reader.state.started_at_s = reader.state.clock()
            while reader.state.clock() - reader.state.started_at_s < VIEW_SETTLED_S:
                self.assertIsNone(await reader.confirm())
            reads = STARTING_READS + VIEW_SETTLED_S / STARTING_INTERVAL_S + 1
            self.assertLessEqual(len(store.lists_s), reads)

        self.run_scenario(scenario)


class ConfirmedConclusionTest(unittest.TestCase):
    """Conclusions of a daemon that follows a store with one version for long."""

    def run_scenario(
        self, scenario: Callable[[MemoryStore, Followed, StreamStore], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            store = MemoryStore()
            _put_replica(store, "i-1", "v1")
            daemon = Followed(store)
            stream_store = StreamStore(daemon.state, store)
            for _ in range(int(ALONE_S / 0.2)):
                daemon.state.software_tracker.observe()
                await asyncio.sleep(0.2)
            self.assertEqual(await _conclude(daemon, stream_store), "v1")
            await scenario(store, daemon, stream_store)

        run_virtually(main())

    def test_a_replica_that_joins_is_seen_before_the_conclusion(self) -> None:
        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            _put_replica(store, "i-2", "v1.1")
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)

    def test_a_daemon_that_no_longer_watches_concludes_nothing(self) -> None:
        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            daemon.task.cancel()
            _put_replica(store, "i-2", "v1.1")
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)

    def test_a_replica_that_came_and_left_is_not_overlooked(self) -> None:
        """Guards against streams of a replica whose entry was there for a moment."""

        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            _put_replica(store, "i-2", "v1.1")
            store.remove("servers/i-2")
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)

    def test_a_replica_that_came_and_left_before_a_new_list_is_not_overlooked(self) -> None:
        """Guards against a list that lacks what the lost history held."""

        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            _put_replica(store, "i-2", "v1.1")
            store.remove("servers/i-2")
            store.compact_history()
            await asyncio.sleep(1.0)
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)

    def test_a_version_that_left_during_a_suspension_is_not_overlooked(self) -> None:
        """Guards against a removal that is read before the list is looked at again."""

        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            _put_replica(store, "i-2", "v1.1")
            await asyncio.sleep(0.1)
            daemon.state.software_tracker.observe()
            stall_loop(ALONE_S)
            store.remove("servers/i-2")
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)

    def test_a_relayed_removal_of_an_unknown_replica_is_not_overlooked(self) -> None:
        """Guards against a peer's latest entries, which lack what came and left between."""

        async def scenario(store: MemoryStore, daemon: Followed, reader: StreamStore) -> None:
            daemon.task.cancel()
            known = daemon.state.store_position
            _put_replica(store, "i-2", "v1.1")
            store.remove("servers/i-2")
            removal = TableItem("servers/i-2", store.revision, None)
            update = TableUpdate(known, store.at, False, False, (removal,))
            self.assertTrue(daemon.sync.install_update(update))
            self.assertIsNone(await _conclude(daemon, reader))

        self.run_scenario(scenario)


def _put_replica(store: MemoryStore, replica_id: str, software: str) -> None:
    entry = {**REPLICA, "Version": software}
    store.put(f"servers/{replica_id}", json.dumps(entry).encode())


async def _conclude(daemon: Followed, reader: StreamStore) -> str | None:
    """Return what began each recent stream by the daemon's list, once that is confirmed."""
    if await reader.confirm_list() is not None:
        return None
    tracker = daemon.state.software_tracker
    tracker.observe()
    service = str(REPLICA["Service"])
    return tracker.history.only_version(service, STREAM_AGE_S, daemon.state.clock())
