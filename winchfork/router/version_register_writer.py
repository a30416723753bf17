"""Keeps the store's record of the versions that may have begun streams.

The leader writes at once; the other daemons add what they see missing only if the leader has not
for a while. Nothing is written while the versions stay the same.
"""

from __future__ import annotations

import asyncio
import random

from winchfork.core.version_register import VersionRecord, difference
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.state import RouterState
from winchfork.router.version_records import VERSION_RECORD_KEY, encode_version_record
from winchfork.stores.async_key_value import AsyncKeyValueStore, ExpectedRevision, PutItem

CHECK_PERIOD_S = 0.1
#: Seconds that the other daemons leave a missing version to the leader.
OTHERS_DELAY_S = 1.0
#: Limit of a random delay that the other daemons add, in seconds per daemon of the fleet.
SPREAD_PER_DAEMON_S = 0.02
#: Mean seconds from a failed write to the retry; varied at random by up to half.
RETRY_DELAY_S = 0.6
#: Limit of a random delay that the other daemons add to it, in seconds per daemon of the fleet.
RETRY_SPREAD_PER_DAEMON_S = 0.1


class VersionRegisterWriter:
    """The task that writes the record; it runs on every daemon."""

    def __init__(
        self,
        state: RouterState,
        leadership: Leadership,
        store: AsyncKeyValueStore,
        generator: random.Random,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._store = store
        self._generator = generator
        #: When this daemon adds what is missing if it does not lead; None if nothing is missing.
        self._due_at_s: float | None = None
        self._retry_at_s = 0.0

    async def run(self) -> None:
        """Write the record whenever it has to change, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            revised = self._next_record()
            if revised is not None:
                await self._write(revised)

    def _next_record(self) -> VersionRecord | None:
        """Return the record that is due to be written; None if none is."""
        tracker, now_s = self._state.software_tracker, self._state.clock()
        era, span_s = self._state.store_position.era, tracker.span_s()
        if span_s is None or era != self._state.eras.newest:
            return None
        if self._leadership.leads():
            self._due_at_s = None
            revised = tracker.register.revised(era, tracker.history, span_s, now_s)
            return revised if now_s >= self._retry_at_s else None
        extended = tracker.register.extended(era, span_s, now_s)
        if extended is None:
            self._due_at_s = None
        elif self._due_at_s is None:
            self._due_at_s = now_s + OTHERS_DELAY_S + self._spread_s(SPREAD_PER_DAEMON_S)
        is_due = self._due_at_s is not None and now_s >= max(self._due_at_s, self._retry_at_s)
        return extended if is_due else None

    async def _write(self, record: VersionRecord) -> None:
        register = self._state.software_tracker.register
        expected = [ExpectedRevision(VERSION_RECORD_KEY, register.revision)]
        if self._leadership.leads():
            expected.append(ExpectedRevision(LEADER_KEY, self._leadership.entry_revision))
        known = register.record.services if register.record is not None else {}
        put = PutItem(VERSION_RECORD_KEY, encode_version_record(record))
        written = await self._store.transact(expected, [put])
        if isinstance(written, Failure):
            self._retry_at_s = self._state.clock() + self._retry_delay_s()
            log_event("software_versions_not_written", "WARNING", reason=written.reason)
            return
        log_event(
            "software_versions_written",
            era=record.era,
            revision=written.revision,
            added=_text(difference(record.services, known)),
            removed=_text(difference(known, record.services)),
        )
        # The watch may have brought a later record before this answer.
        is_newer = written.revision > register.revision
        if written.era == self._state.store_position.era and is_newer:
            self._state.software_tracker.install_record(record, written.revision)

    def _retry_delay_s(self) -> float:
        pause_s = RETRY_DELAY_S * (0.5 + self._generator.random())
        if self._leadership.leads():
            return pause_s
        return pause_s + self._spread_s(RETRY_SPREAD_PER_DAEMON_S)

    def _spread_s(self, per_daemon_s: float) -> float:
        """Return a random delay such that the fleet's writes stay far apart."""
        return self._generator.random() * per_daemon_s * self._state.daemon_count


def _text(versions: dict[str, frozenset[str]]) -> str | None:
    names = [f"{service}:{item}" for service in versions for item in sorted(versions[service])]
    return ",".join(sorted(names)) or None
