"""Keeps the router's state in sync with the store: list once, then watch.

One watch covers all documents, so that one call proves all of them current. An empty batch proves
that nothing had changed by the end of the wait, so the proof is dated by the start of the call plus
the wait, never by the arrival of the answer; if the answer is late, by the start of the call alone.

Positions only advance. An era of the store begins with a complete list, and answers from another
era are dropped. In a large fleet two hubs watch; the other daemons use relayed updates, and query
the store themselves only when their freshness proof gets too old.

Archived records of streams are read by :class:`.stream_store.StreamStore`. Here they are neither
kept nor relayed, and do not count as changes for other daemons.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.document_table import DocumentTable, TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.document_installer import DocumentInstaller, EntryDate, EntrySource
from winchfork.router.document_relay import DocumentRelay
from winchfork.router.documents import DocumentReader
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.state import RouterState
from winchfork.router.stream_records import is_stream_batch_key
from winchfork.stores.async_key_value import AsyncKeyValueStore, StoreItem

#: Longest wait of one watch, which bounds how late a restored connection is noticed.
WATCH_WAIT_S = 1.6
#: The same for a watcher that relays to a large fleet, whose data are as recent as its last answer.
FLEET_WATCH_WAIT_S = 0.4
#: Pause of a hub after a change, to receive further changes in one call.
CHANGE_BATCH_S = 0.1
#: Poll interval of a daemon that gets relayed updates.
RELAYED_POLL_PERIOD_S = 0.1
#: An answer later than this after its wait is dated from the start of the call.
LATE_ANSWER_S = 0.5
#: First and longest backoff after failed calls, before jitter of half its length up or down.
INITIAL_BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 0.5
#: The longest backoff of a daemon that is no watcher: there are many, and hubs send them changes.
MAX_FOLLOWER_BACK_OFF_S = 1.5
#: How long after the start of its process a daemon may use weights older than those that it finds
#: named. Not counted from the first list, since the start alone may take seconds.
START_GRACE_S = 3.0
#: Part of the store's stabilization time that is not relied on.
STABILIZATION_MARGIN_S = 0.5
_ALL_KEYS = ""
#: Prefix of the keys that routers write. One of them, the record of versions, is never removed.
OWN_PREFIX = "winchfork/"


class StoreSync:
    """The task that lists and watches the store. Not thread-safe."""

    def __init__(
        self,
        state: RouterState,
        store: AsyncKeyValueStore,
        reader: DocumentReader,
        leadership: Leadership,
        generator: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._leadership = leadership
        self._installer = DocumentInstaller(state, reader, leadership)
        self._generator = generator
        #: The store's entries, from which peers' pulls are answered.
        self.table = DocumentTable()
        self._relay: DocumentRelay | None = None
        self._lost_since_s: float | None = None
        self._has_listed = False
        #: Whether entries may have come and gone unseen before those that are being installed.
        self._has_unseen_entries = False
        #: Until when this daemon's own calls would have shown a change at once.
        self._observed_until_s = -math.inf
        self._catch_up_requested = asyncio.Event()
        #: Called with each batch of records of streams that a watch shows.
        self.on_stream_batch: Callable[[bytes], None] = lambda value: None
        #: When the entries that are being installed were written.
        self._entry_date = EntryDate(-math.inf, assumed=True)

    def set_relay(self, relay: DocumentRelay) -> None:
        """Relay changes through ``relay``, and rely on its updates while they are current."""
        self._relay = relay

    async def run(self) -> None:
        """Sync with the store until cancelled."""
        failures = 0
        while True:
            if self._is_relayed:
                self._mark_store_regained(self._state.clock())
                self._restart_weights_bounds()
                failures = 0
                await self._pause(RELAYED_POLL_PERIOD_S)
                continue
            self._catch_up_requested.clear()
            position = self._state.store_position
            started_s = self._state.clock()
            failure = await (self._watch_once() if self._has_listed else self._list_once())
            if failure is None:
                failures = 0
                if self._relays_to_others and self._state.store_position > position:
                    await self._pause(CHANGE_BATCH_S)
                continue
            failures += 1
            if failure.kind is FailureKind.HISTORY_LOST:
                # The store has answered, so list soon, without the backoff of earlier failures.
                failures = 1 if self._has_listed else failures
                self._has_listed = False
            else:
                self._state.store_outage.record_failure(started_s, self._state.clock())
                self._mark_store_lost(failure)
            await asyncio.sleep(self._back_off_s(failures))

    def request_catch_up(self) -> None:
        """Read what the store holds now without a pause, also if relayed updates are current."""
        self._catch_up_requested.set()

    @property
    def _is_relayed(self) -> bool:
        """Whether relayed updates do instead of calls to the store."""
        if not self._has_listed or self._relay is None or self._catch_up_requested.is_set():
            return False
        return self._relay.is_relay_current

    async def _pause(self, seconds: float) -> None:
        """Wait, but not while a catch-up is requested."""
        try:
            async with asyncio.timeout(seconds):
                await self._catch_up_requested.wait()
        except TimeoutError:
            return

    def _back_off_s(self, failures: int) -> float:
        max_s = MAX_BACK_OFF_S if self._is_watcher else MAX_FOLLOWER_BACK_OFF_S
        pause_s = min(max_s, INITIAL_BACK_OFF_S * 2.0 ** (failures - 1))
        return pause_s * (0.5 + self._generator.random())

    @property
    def _is_watcher(self) -> bool:
        """Whether this daemon watches the store."""
        return self._relay is None or self._relay.is_watcher

    @property
    def _relays_to_others(self) -> bool:
        return self._relay is not None and self._relay.relays_to_others

    async def _list_once(self) -> Failure | None:
        started_s = self._state.clock()
        snapshot = await self._store.list(_ALL_KEYS)
        if isinstance(snapshot, Failure):
            return snapshot
        if snapshot.position.era < self._state.eras.newest:
            return self._drop_answer(snapshot.position, "era_over")
        after_outage = self._lost_since_s is not None
        self._mark_store_regained(started_s)
        self._state.store_outage.record_answer(started_s)
        self._entry_date = self._date_entries(EntrySource.LIST, in_time=False)
        self._observed_until_s = started_s
        items = _table_items(snapshot.items)
        self._install_complete(items, snapshot.position, after_outage)
        self._record_proof(started_s)
        return None

    def _install_complete(
        self, items: tuple[TableItem, ...], at: StorePosition, after_outage: bool
    ) -> None:
        """Install a complete list, and the removal of the entries that it lacks.

        The first list of an era counts as one after an outage: an entry may be missing only because
        it has not been written again yet.
        """
        if at.era > self._state.store_position.era:
            self._begin_era(at)
            self._installer.is_restoring = self._installer.has_listed
            after_outage = after_outage or self._installer.has_listed
        if not self._installer.has_listed and not _has_own_key(items):
            self._state.software_tracker.record_first_use()
        elif at != self._state.store_position:
            self._record_unseen_entries(is_new_era=at.era > self._state.store_position.era)
        self._install_newer(items, at.era)
        self._installer.is_restoring = False
        missing = self.table.missing_from(item.key for item in items)
        removed = tuple(TableItem(key, at.revision, None, after_outage) for key in missing)
        self.table.mark_listed(at.revision, after_outage=after_outage)
        self._install_newer(self._mark_lapses(removed), at.era)
        if LEADER_KEY not in {item.key for item in items}:
            self._leadership.record_no_entry(at)
        self._advance_position(at)
        self._state.document_position = self._state.store_position
        self._has_listed = self._installer.has_listed = True
        self._seed_history()

    def _record_unseen_entries(self, *, is_new_era: bool = False) -> None:
        """Record that entries may have come and gone unseen since the last freshness proof.

        A list and a peer's answer show the latest entries only, unlike the events of a watch.
        """
        gap_s = self._state.freshness.age_s(self._state.clock())
        self._state.software_tracker.record_unseen(gap_s, is_new_era=is_new_era)
        self._has_unseen_entries = True

    def _seed_history(self) -> None:
        """Take the versions of entries that were not seen from the fleet's record, once valid."""
        if self._has_unseen_entries and self._state.software_tracker.seed_history():
            self._has_unseen_entries = False

    async def _watch_once(self) -> Failure | None:
        started_s = self._state.clock()
        wait_s = self._watch_wait_s()
        base = self._state.store_position
        relayed_base = self._state.document_position
        batch = await self._store.watch(_ALL_KEYS, base.revision, wait_s)
        if isinstance(batch, Failure):
            return batch
        if batch.position.era != base.era or base.era != self._state.store_position.era:
            return self._drop_answer(batch.position, "other_era")
        answered_s = self._state.clock()
        in_time = answered_s - started_s <= wait_s + LATE_ANSWER_S
        is_current = in_time and self._lost_since_s is None
        unobserved_s = started_s - self._observed_until_s
        self._entry_date = self._date_entries(
            EntrySource.WATCH, in_time=is_current, unobserved_s=unobserved_s
        )
        self._observed_until_s = answered_s
        self._mark_store_regained(started_s)
        self._state.store_outage.record_answer(started_s)
        items = self._mark_lapses(_table_items(batch.items))
        self._pass_on_stream_batches(batch.items)
        self._install_newer(items, batch.position.era)
        self._advance_position(batch.position)
        self._seed_history()
        if self._relay is not None:
            self._relay.broadcast(TableUpdate(relayed_base, batch.position, False, False, items))
        waited = in_time and not batch.items and answered_s - started_s >= wait_s
        self._record_proof(started_s + wait_s if waited else started_s)
        return None

    def _pass_on_stream_batches(self, items: Iterable[StoreItem]) -> None:
        for item in items:
            if item.value is None or not is_stream_batch_key(item.key):
                continue
            try:
                self.on_stream_batch(item.value)
            except Exception as error:  # noqa: BLE001 - anybody may write an entry
                self._installer.refuse(TableItem(item.key, item.revision, item.value), error)

    def _begin_era(self, at: StorePosition) -> None:
        """Prepare for the list that begins a new era of the store."""
        self._state.eras.advance_to(at.era, reported_by="update")
        known = self._state.store_position
        if self._installer.has_listed:
            log_event(
                "store_era_begun",
                "WARNING",
                era=at.era,
                revision=at.revision,
                known_era=known.era or None,
                known_revision=known.revision,
            )
        self.table.begin_era()

    def _drop_answer(self, at: StorePosition, why: str) -> Failure:
        """Drop an answer from another era; the returned failure leads to a new list."""
        self._state.metrics.updates_dropped.labels(why).inc()
        log_event(
            "store_answer_dropped",
            "WARNING",
            why=why,
            era=at.era or None,
            revision=at.revision,
            known_era=self._state.store_position.era or None,
        )
        return FailureKind.HISTORY_LOST.because(f"the answer is from store era {at.era}")

    def _advance_position(self, at: StorePosition) -> None:
        """Advance the known position to ``at``; count and log one that is below it."""
        known = self._state.store_position
        if at < known:
            self._state.metrics.updates_dropped.labels("revision_below").inc()
            log_event(
                "store_revision_below",
                "WARNING",
                revision=at.revision,
                known=known.revision,
                era=at.era or None,
            )
        self._state.store_position = max(known, at)

    def _date_entries(
        self, source: EntrySource, *, in_time: bool, unobserved_s: float = math.inf
    ) -> EntryDate:
        """Return the earliest time at which the entries of an answer may have been written.

        All entries that were written before the last proof are known. An entry that a watch shows
        is no older than its arrival and the ``unobserved_s`` seconds before that watch in which no
        call was waiting; a relayed one may have been delayed for any time. The date is an
        assumption if the proof is old, the answer not ``in_time`` or the process has stalled.
        """
        now_s = self._state.clock()
        stalls = self._state.stall_detector
        proven_s = self._state.freshness.proven_at_s
        is_proof_recent = now_s - proven_s <= WATCH_WAIT_S + LATE_ANSWER_S
        if in_time and is_proof_recent and stalls.ran_since(proven_s, now_s):
            earliest_s = stalls.earliest_arrival_s(now_s) - unobserved_s
            return EntryDate(max(proven_s, earliest_s), False, source, proven_s)
        written_at_s = max(proven_s, now_s - self._assumed_age_s())
        return EntryDate(written_at_s, True, source, proven_s)

    def _record_proof(self, at_s: float) -> None:
        """Record that all entries that the store held at ``at_s`` are known."""
        self._state.freshness.prove(at_s)
        self._state.store_outage.record_answer(at_s)
        self._restart_weights_bounds()

    def _watch_wait_s(self) -> float:
        """Return how long a watch may wait; 0 if a freshness proof is needed at once.

        The age of the proof is deducted, since an answer with entries or a late one only proves the
        start of its call. So while calls succeed, no proof gets older than one wait.
        """
        if self._lost_since_s is not None or not self._is_watcher:
            return 0.0
        left_s = WATCH_WAIT_S - self._state.freshness.age_s(self._state.clock())
        return max(0.0, min(left_s, FLEET_WATCH_WAIT_S if self._relays_to_others else WATCH_WAIT_S))

    def install_update(self, update: TableUpdate) -> bool:
        """Install a relayed update; False if changes before it may be missing."""
        known = self._state.store_position
        # A watcher that gets an update from a peer has missed it in its own watch.
        in_time = update.at.era == known.era and not self._is_watcher
        self._entry_date = self._date_entries(EntrySource.RELAY, in_time=in_time)
        if update.complete:
            self._install_complete(update.items, update.at, update.after_outage)
            return True
        if update.at.era != known.era:
            return False
        # Earlier builds also relay records of streams.
        items = tuple(item for item in update.items if not is_stream_batch_key(item.key))
        self._install_newer(self._mark_lapses(items), known.era)
        if not self._has_listed or update.base > known:
            return False
        self._state.store_position = max(known, update.at)
        self._seed_history()
        return True

    # Documents

    def expire_missing_replicas(self, now_s: float) -> None:
        """Remove missing replicas whose grace period is over, and list entries held back."""
        self._installer.expire_missing_replicas(now_s)

    def _install_newer(self, items: Iterable[TableItem], era: int) -> None:
        """Install the entries that are newer than those in the table."""
        for item in items:
            is_unknown = not self.table.holds(item.key)
            if not self.table.apply(item):
                continue
            if is_unknown and self._installer.is_replica_removal(item):
                self._record_unseen_entries()
            self._installer.install(item, era, self._entry_date)
            latest = StorePosition(era, item.revision)
            self._state.document_position = max(self._state.document_position, latest)

    def _mark_lapses(self, items: tuple[TableItem, ...]) -> tuple[TableItem, ...]:
        """Mark the removals of replicas whose entries may have lapsed in an outage of the store.

        These are the removals since the last freshness proof, whoever reported them: a peer that
        has just started does not know of the outage. Other entries need no renewal.
        """
        proven_s = self._state.freshness.proven_at_s
        if not self._state.store_outage.may_have_lapsed_since(proven_s):
            return items
        return tuple(
            msgspec.structs.replace(item, missing_after_outage=True)
            if self._installer.is_replica_removal(item)
            else item
            for item in items
        )

    def _assumed_age_s(self) -> float:
        """Return the assumed age of a weights version that was named at an unknown time.

        It may have been named long ago, so the bound on older weights is assumed to end
        ``START_GRACE_S`` after the process started, or after the last freshness proof if there was
        a list before. A peer's report of the actual time takes precedence.
        """
        now_s = self._state.clock()
        began_s = self._state.started_at_s
        if self._has_listed:
            began_s = max(began_s, self._state.freshness.proven_at_s)
        grace_s = START_GRACE_S - (now_s - began_s)
        return max(0.0, self._state.settings.bounds.weights_s - max(0.0, grace_s))

    # Outages

    def _mark_store_lost(self, failure: Failure) -> None:
        if self._lost_since_s is None:
            self._lost_since_s = self._state.clock()
            log_event(
                "store_lost",
                "WARNING",
                reason=str(failure),
                revision=self._state.store_position.revision,
            )

    def _mark_store_regained(self, now_s: float) -> None:
        lost_s, self._lost_since_s = self._lost_since_s, None
        if lost_s is None:
            return
        log_event("store_regained", after_s=now_s - lost_s)

    def _restart_weights_bounds(self) -> None:
        """Restart the weights bounds that were running when a fleet-wide store outage began.

        An outage of this daemon alone has no effect on the bounds.
        """
        outage = self._state.store_outage.pop_ended()
        if outage is None:
            return
        log_event("store_outage_ended", "WARNING", for_s=outage.ended_at_s - outage.started_at_s)
        bound_s = self._state.settings.bounds.weights_s
        begins_s = outage.ended_at_s + self._stabilization_s()
        for model, history in self._state.weights_versions.items():
            for named in history.restart_bounds(outage.started_at_s, begins_s, bound_s):
                log_event(
                    "weights_bound_restarted",
                    "WARNING",
                    model=model,
                    version=named.version,
                    heard_before_s=outage.ended_at_s - named.published_at_s,
                    begins_in_s=begins_s - self._state.clock(),
                )

    def _stabilization_s(self) -> float:
        """Return how long after its return a store does not yet count as stable."""
        return max(0.0, self._state.settings.bounds.contact_s - STABILIZATION_MARGIN_S)


def _has_own_key(items: Iterable[TableItem]) -> bool:
    """Whether routers have written to the store."""
    return any(item.key.startswith(OWN_PREFIX) for item in items)


def _table_items(items: Iterable[StoreItem]) -> tuple[TableItem, ...]:
    """Return the entries that daemons keep and relay."""
    return tuple(
        TableItem(item.key, item.revision, item.value)
        for item in items
        if not is_stream_batch_key(item.key)
    )
