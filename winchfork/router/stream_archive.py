"""Writes records of begun streams to the store, in batches under leases that outlive them.

What the store does not take waits, up to a limit, until it has expired. No request waits for it.
If two daemons archive the same streams and watch the store, each writes what the other has not.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import OrderedDict

import msgspec

from winchfork.core.archive_placement import archiver_count
from winchfork.core.stream_batch import StreamBatch, StreamRecord
from winchfork.core.stream_origin import MAX_STREAMS, StreamOrigin
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.state import RouterState
from winchfork.router.stream_archive_exchange import StreamArchiveExchange
from winchfork.router.stream_records import decode_batch, encode_batch, stream_batch_key
from winchfork.stores.async_key_value import (
    AsyncKeyValueStore,
    ExpectedRevision,
    PutItem,
    StoreLease,
)

#: Mean seconds between two batches, varied at random by up to half, so that archivers do not act in
#: step. It is longer if all would write more often than ``MAX_FLEET_WRITES_PER_S``.
WRITE_INTERVAL_S = 0.2
MAX_FLEET_WRITES_PER_S = 20.0
#: Seconds in which further records are gathered after a quiet time.
GATHER_S = 0.1
#: Mean seconds from a failed write to the next, varied at random by up to half.
RETRY_DELAY_S = 1.0
#: Records of one batch; a page of the store's list has room for several.
MAX_BATCH_RECORDS = 4096
#: Seconds for which the batches share a lease, beyond the life of their records.
LEASE_SHARED_S = 10.0
#: A record that is kept no longer than this beyond the one written, in seconds, is not written.
_RENEWAL_S = 1.0


class _Entry(msgspec.Struct, frozen=True):
    origin: StreamOrigin
    expires_at_s: float


class StreamArchive:
    """The task that writes one daemon's batches. Not thread-safe."""

    def __init__(
        self, state: RouterState, store: AsyncKeyValueStore, generator: random.Random
    ) -> None:
        self._state = state
        self._store = store
        self._generator = generator
        self._pending: OrderedDict[bytes, _Entry] = OrderedDict()
        self._written: OrderedDict[bytes, _Entry] = OrderedDict()
        self._added = asyncio.Event()
        self._number = 0
        self._lease: StoreLease | None = None
        self._lease_ends_s = 0.0
        self._last_write_s = state.clock() - WRITE_INTERVAL_S
        self._failing = False

    def connect(self, exchange: StreamArchiveExchange) -> None:
        """Write what ``exchange`` selects."""
        exchange.on_archivable = self.add
        exchange.on_store_restored = self.forget_written

    def add(self, key: bytes, origin: StreamOrigin, expires_at_s: float) -> None:
        """Have a record written, unless an equal one was."""
        entry = _Entry(origin, expires_at_s)
        written = self._written.get(key)
        if written is not None and _covers(written, entry):
            return
        self._pending[key] = entry
        if len(self._pending) > MAX_STREAMS:
            self._pending.popitem(last=False)
        self._added.set()

    def handle_batch(self, value: bytes) -> None:
        """Drop the records that another daemon has written, from an entry of the store."""
        batch = decode_batch(value)
        if isinstance(batch, Failure):
            return
        now_s = self._state.clock()
        for record in batch.records():
            written = _Entry(record.origin, now_s + record.remaining_s)
            pending = self._pending.get(record.key)
            if pending is not None and _covers(written, pending):
                del self._pending[record.key]
                self._written[record.key] = written
                self._last_write_s = now_s

    def forget_written(self) -> None:
        """Forget which records were written, because the store may have lost them."""
        self._written.clear()

    async def run(self) -> None:
        """Write the records that are pending, until cancelled."""
        while True:
            if not self._pending:
                self._added.clear()
                await self._added.wait()
            await self._wait_until_due()
            failure = await self._write()
            if failure is not None:
                await asyncio.sleep(RETRY_DELAY_S * (0.5 + self._generator.random()))

    async def _wait_until_due(self) -> None:
        """Wait until the last write, which may be another daemon's, is long enough ago."""
        least_s = archiver_count(self._state.daemon_count) / MAX_FLEET_WRITES_PER_S
        interval_s = max(WRITE_INTERVAL_S, least_s) * (0.5 + self._generator.random())
        await asyncio.sleep(GATHER_S)
        while (left_s := self._last_write_s + interval_s - self._state.clock()) > 0.0:
            await asyncio.sleep(left_s)

    async def _write(self) -> Failure | None:
        """Write a batch of the oldest pending records."""
        now_s = self._state.clock()
        self._remove_expired(now_s)
        entries = list(itertools.islice(self._pending.items(), MAX_BATCH_RECORDS))
        if not entries:
            return None
        self._last_write_s = now_s
        records = [
            StreamRecord(key, item.origin, item.expires_at_s - now_s) for key, item in entries
        ]
        key = stream_batch_key(self._state.settings.node_id, self._state.start_id, self._number)
        self._number += 1
        batch = StreamBatch.of(records)
        failure = await self._put(key, batch)
        self._log(key, batch, failure)
        if failure is None:
            self._record_written(dict(entries))
        return failure

    async def _put(self, key: str, batch: StreamBatch) -> Failure | None:
        lease = await self._lease_for(batch.longest_s)
        if isinstance(lease, Failure):
            return lease
        put = PutItem(key, encode_batch(batch), lease.lease_id)
        position = await self._store.transact([ExpectedRevision(key, 0)], [put])
        if not isinstance(position, Failure):
            return None
        if position.kind is FailureKind.NOT_FOUND:
            self._lease = None
        return position

    async def _lease_for(self, remaining_s: float) -> StoreLease | Failure:
        """Return a lease of the current era that lasts for ``remaining_s`` or longer."""
        now_s = self._state.clock()
        lease = self._lease
        is_valid = lease is not None and lease.era >= self._state.eras.newest
        if lease is not None and is_valid and now_s + remaining_s <= self._lease_ends_s:
            return lease
        ttl_s = max(self._state.settings.store_min_lease_s, remaining_s + LEASE_SHARED_S)
        granted = await self._store.grant_lease(ttl_s)
        if not isinstance(granted, Failure):
            self._lease, self._lease_ends_s = granted, now_s + ttl_s
        return granted

    def _record_written(self, entries: dict[bytes, _Entry]) -> None:
        for key, entry in entries.items():
            self._written[key] = entry
            # A record that was renewed meanwhile is still to be written.
            if self._pending.get(key) is entry:
                del self._pending[key]
        while len(self._written) > MAX_STREAMS:
            self._written.popitem(last=False)

    def _remove_expired(self, now_s: float) -> None:
        for table in (self._pending, self._written):
            for key in [key for key, item in table.items() if now_s >= item.expires_at_s]:
                del table[key]

    def _log(self, key: str, batch: StreamBatch, failure: Failure | None) -> None:
        """Log a written batch, and the first failure after one."""
        if failure is None:
            log_event("streams_archived", key=key, streams=len(batch), longest_s=batch.longest_s)
        elif not self._failing:
            log_event("streams_not_archived", "WARNING", streams=len(batch), reason=failure.reason)
        self._failing = failure is not None


def _covers(written: _Entry, entry: _Entry) -> bool:
    """Whether a written record makes another one of the same stream unnecessary."""
    is_same = written.origin == entry.origin
    return is_same and entry.expires_at_s <= written.expires_at_s + _RENEWAL_S
