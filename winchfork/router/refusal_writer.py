"""Writes the records of refused requests and parts to the store, once for the whole fleet."""

from __future__ import annotations

import asyncio
import functools
import random

from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.refusal_records import RefusalRecords
from winchfork.router.state import RouterState
from winchfork.stores.async_key_value import AsyncKeyValueStore, ExpectedRevision, PutItem

#: Seconds that the other daemons wait for the one that sent the last run to write the record.
OTHERS_DELAY_S = 0.4
#: Limit of a random delay that the other daemons add, in seconds per daemon of the fleet.
SPREAD_PER_DAEMON_S = 0.02
#: Mean seconds from a failed write to the retry; varied at random by up to half.
RETRY_DELAY_S = 0.6
#: Limit of the records that wait to be written; further ones stay in memory only.
MAX_PENDING = 64


class RefusalWriter:
    """The task that writes the records; it runs on every daemon."""

    def __init__(
        self, state: RouterState, store: AsyncKeyValueStore, generator: random.Random
    ) -> None:
        self._state = state
        self._store = store
        self._generator = generator
        self._due_at_s: dict[bytes, float] = {}
        #: The records that hold each digest that is due.
        self._records: dict[bytes, RefusalRecords] = {}
        self._scheduled = asyncio.Event()
        for ledger in (state.crashes, state.crashes.parts):
            ledger.on_record_changed = functools.partial(self.schedule, ledger.records)

    def schedule(self, records: RefusalRecords, digest: bytes, *, own: bool) -> None:
        """Schedule a write of a digest's record; ``own``: this daemon sent the last run."""
        if digest in self._due_at_s or len(self._due_at_s) >= MAX_PENDING:
            return
        spread_s = self._generator.random() * SPREAD_PER_DAEMON_S * self._state.daemon_count
        self._due_at_s[digest] = self._state.clock() + (0.0 if own else OTHERS_DELAY_S + spread_s)
        self._records[digest] = records
        self._scheduled.set()

    async def run(self) -> None:
        """Write the records that are due, until cancelled."""
        while True:
            if not self._due_at_s:
                self._scheduled.clear()
                await self._scheduled.wait()
            digest = min(self._due_at_s, key=self._due_at_s.__getitem__)
            wait_s = self._due_at_s[digest] - self._state.clock()
            if wait_s > 0.0:
                self._scheduled.clear()
                await _wait_at_most(self._scheduled, wait_s)
                continue
            await self._write(digest)

    async def _write(self, digest: bytes) -> None:
        records = self._records[digest]
        if records.matches_history(digest):
            self._remove(digest)
            return
        key = records.key_of(digest)
        expected = ExpectedRevision(key, records.revision(key))
        value = records.encode_record(digest)
        written = await self._store.transact([expected], [PutItem(key, value)])
        if isinstance(written, Failure):
            pause_s = RETRY_DELAY_S * (0.5 + self._generator.random())
            self._due_at_s[digest] = self._state.clock() + pause_s
            log_event("refusal_not_written", "WARNING", digest=digest.hex(), reason=written.reason)
            return
        self._remove(digest)
        log_event("refusal_written", digest=digest.hex(), key=key, revision=written.revision)

    def _remove(self, digest: bytes) -> None:
        del self._due_at_s[digest]
        del self._records[digest]


async def _wait_at_most(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
