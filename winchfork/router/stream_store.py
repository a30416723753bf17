"""Reads the store for requests whose stream has no record at this daemon and its peers.

A read brings the archived records of streams, unless they were read recently. It also proves the
list of replicas. What a list says is true as of its last proof, and a stream may have begun at a
replica that was listed since. So a conclusion from the list needs a read that begins after the
request has arrived, and a list that contains all that the store held then.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchfork.core.store_position import StorePosition
from winchfork.core.stream_batch import ArchivedStreams, StreamRecord
from winchfork.errors import Failure, FailureKind
from winchfork.router.state import RouterState
from winchfork.router.stream_origin_exchange import VIEW_SETTLED_S
from winchfork.router.stream_records import POSITION_PREFIX, STREAMS_PREFIX, decode_batch
from winchfork.stores.async_key_value import AsyncKeyValueStore, StoreSnapshot

#: Seconds for a read, and for this daemon's list to contain what the store held then.
READ_TIMEOUT_S = 0.5
CATCH_UP_TIMEOUT_S = 0.6
_CATCH_UP_TICK_S = 0.01
#: Limit on the reads of all daemons together, a part of what the store takes.
MAX_FLEET_READS_PER_S = 500.0
#: Until the members of the fleet are known: reads without a pause, and seconds between further
#: ones.
STARTING_READS = 3
STARTING_INTERVAL_S = 0.1
#: Bytes of records that one daemon reads a second, on average.
MAX_RECORD_BYTES_PER_S = 100_000.0
#: Seconds from a failed read of the records to the next.
RECORDS_RETRY_S = 1.0


class StreamStore:
    """Shares each read of the store among the requests that wait for it. Not thread-safe."""

    def __init__(self, state: RouterState, store: AsyncKeyValueStore) -> None:
        self._state = state
        self._store = store
        self._reading = asyncio.Lock()
        self._pending: asyncio.Task[Failure | None] | None = None
        self._last_read_s = state.clock() - 1.0
        self._reads = 0
        self._archived = ArchivedStreams()
        self._records_due_s = state.clock()
        #: Called while the list is behind the store.
        self.on_behind: Callable[[], None] = lambda: None
        state.stream_origins.find_archived = self.find

    def find(self, key: bytes) -> list[StreamRecord]:
        """Return the records of a stream that were read."""
        return self._archived.find(key, self._state.clock())

    async def confirm_list(self) -> Failure | None:
        """Wait until the list of replicas contains all that the store holds at or after this call.

        Returns why this is not known; the list may be old then.
        """
        if self._pending is None:
            self._pending = asyncio.get_running_loop().create_task(self._read_in_turn())
        return await asyncio.shield(self._pending)

    async def _read_in_turn(self) -> Failure | None:
        async with self._reading:
            pause_s = self._last_read_s + self._interval_s() - self._state.clock()
            await asyncio.sleep(max(0.0, pause_s))
            # Requests that arrive from here on need a read that has not begun.
            self._pending = None
            self._last_read_s = self._state.clock()
            self._reads += 1
            position = await self._read()
        if isinstance(position, Failure):
            return position
        return await self._catch_up(position)

    def _interval_s(self) -> float:
        """Return the seconds between two reads."""
        interval_s = self._state.daemon_count / MAX_FLEET_READS_PER_S
        is_starting = self._state.clock() - self._state.started_at_s < VIEW_SETTLED_S
        if is_starting and self._reads >= STARTING_READS:
            return max(interval_s, STARTING_INTERVAL_S)
        return interval_s

    async def _read(self) -> StorePosition | Failure:
        reads_records = self._state.clock() >= self._records_due_s
        snapshot = await self._list(STREAMS_PREFIX if reads_records else POSITION_PREFIX)
        if isinstance(snapshot, Failure):
            self._records_due_s = max(self._records_due_s, self._last_read_s + RECORDS_RETRY_S)
            return snapshot
        if reads_records:
            self._keep(snapshot)
        if snapshot.position.era < self._state.eras.newest:
            return FailureKind.HISTORY_LOST.because(
                "the answer is from an earlier era of the store"
            )
        return snapshot.position

    async def _list(self, prefix: str) -> StoreSnapshot | Failure:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._store.list(prefix)
        except TimeoutError:
            return FailureKind.STORE_UNAVAILABLE.because(f"no answer in {READ_TIMEOUT_S} s")

    def _keep(self, snapshot: StoreSnapshot) -> None:
        """Keep the batches that are new. Records stay true after a restore of the store."""
        now_s = self._state.clock()
        self._archived.remove_expired(now_s)
        for item in snapshot.items:
            if item.value is None or item.key in self._archived:
                continue
            batch = decode_batch(item.value)
            if isinstance(batch, Failure):
                self._state.record_refused_document(item.key, batch)
            else:
                self._archived.add(item.key, batch, now_s)
        size = sum(len(item.value or b"") for item in snapshot.items)
        self._records_due_s = self._last_read_s + size / MAX_RECORD_BYTES_PER_S

    async def _catch_up(self, position: StorePosition) -> Failure | None:
        until_s = self._state.clock() + CATCH_UP_TIMEOUT_S
        while self._state.store_position < position:
            if self._state.clock() >= until_s:
                return FailureKind.STORE_UNAVAILABLE.because(
                    f"the list of replicas is behind revision {position.revision}"
                )
            self.on_behind()
            await asyncio.sleep(_CATCH_UP_TICK_S)
        return None
