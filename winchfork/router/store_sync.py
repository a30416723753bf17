"""Keeps the router's beliefs in step with the store: list once, then watch.

One watch covers every document, so one call proves all of them current. An empty batch proves that
nothing had changed when the wait was over; the proof is dated by the moment that the wait must have
ended, never by when the answer came, and by the question when the answer is late. Positions never
go back; an era of the store begins with a complete list, and what comes of another one is dropped.
In a large fleet two hubs watch; a daemon that peers keep informed takes their updates, and asks the
store itself only when its proof grows old.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable

from winchfork.core.document_table import DocumentTable, TableItem, TableUpdate
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.document_installer import DocumentInstaller, EntryDate
from winchfork.router.document_relay import DocumentRelay
from winchfork.router.documents import DocumentReader
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.state import RouterState
from winchfork.stores.async_key_value import AsyncKeyValueStore

#: Longest wait of one watch. A cut that heals is noticed within this and the store's time limit.
WATCH_WAIT_S = 1.6
#: The same for a watcher of a large fleet, which is as current as its last answer.
FLEET_WATCH_WAIT_S = 0.4
#: Pause of a hub after a change, so that changes that come together cost one call.
CHANGE_BATCH_S = 0.1
#: Pause between looks of a daemon that hubs keep informed.
RELAYED_POLL_PERIOD_S = 0.1
#: An empty answer that is later than this after its wait proves nothing about the wait.
LATE_ANSWER_S = 0.5
#: First and longest pause after a failed call; each pause is jittered by half of itself.
INITIAL_BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 0.5
#: The same for a daemon that is no hub: there are many, and hubs will tell it.
MAX_FOLLOWER_BACK_OFF_S = 1.5
#: A daemon that has just started is held to the bound on versions this long after its process
#: began: starts of 3 s on a busy machine, not counted, let old weights be begun for 3 s more.
START_GRACE_S = 3.0
#: Part of the time to become stable that is not relied on.
STABILIZATION_MARGIN_S = 0.5
_ALL_KEYS = ""


class StoreSync:
    """The task that follows the store."""

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
        #: The entries as they were written, to be passed on to peers.
        self.table = DocumentTable()
        self._relay: DocumentRelay | None = None
        self._lost_since_s: float | None = None
        self._has_listed = False
        #: When what is being installed was written.
        self._entry_date = EntryDate(-math.inf, assumed=True)

    def set_relay(self, relay: DocumentRelay) -> None:
        """Pass changes on to peers, and rely on theirs where hubs keep this daemon informed."""
        self._relay = relay

    async def run(self) -> None:
        """Follow the store until cancelled."""
        failures = 0
        while True:
            if self._has_listed and self._relay is not None and self._relay.is_relay_current:
                self._mark_store_regained(self._state.clock())
                self._restart_weights_bounds()
                failures = 0
                await asyncio.sleep(RELAYED_POLL_PERIOD_S)
                continue
            position = self._state.store_position
            asked_s = self._state.clock()
            failure = await (self._watch_once() if self._has_listed else self._list_once())
            if failure is None:
                failures = 0
                if self._relays_to_others and self._state.store_position > position:
                    await asyncio.sleep(CHANGE_BATCH_S)
                continue
            failures += 1
            if failure.kind is FailureKind.HISTORY_LOST:
                # The store answers a watch: a list is due at once, however long it was away.
                failures = 1 if self._has_listed else failures
                self._has_listed = False
            else:
                self._state.store_outage.record_failure(asked_s, self._state.clock())
                self._mark_store_lost(failure)
            await asyncio.sleep(self._back_off_s(failures))

    def _back_off_s(self, failures: int) -> float:
        longest_s = MAX_BACK_OFF_S if self._is_watcher else MAX_FOLLOWER_BACK_OFF_S
        pause_s = min(longest_s, INITIAL_BACK_OFF_S * 2.0 ** (failures - 1))
        return pause_s * (0.5 + self._generator.random())

    @property
    def _is_watcher(self) -> bool:
        """Whether this daemon is one of those that watch the store."""
        return self._relay is None or self._relay.is_watcher

    @property
    def _relays_to_others(self) -> bool:
        return self._relay is not None and self._relay.relays_to_others

    async def _list_once(self) -> Failure | None:
        asked_s = self._state.clock()
        snapshot = await self._store.list(_ALL_KEYS)
        if isinstance(snapshot, Failure):
            return snapshot
        if snapshot.position.era < self._state.eras.newest:
            return self._drop_answer(snapshot.position, "era_over")
        after_outage = self._lost_since_s is not None
        self._mark_store_regained(asked_s)
        self._entry_date = self._date_entries(in_time=False)
        items = tuple(TableItem(item.key, item.revision, item.value) for item in snapshot.items)
        self._install_complete(items, snapshot.position, after_outage)
        self._record_proof(asked_s)
        return None

    def _install_complete(
        self, items: tuple[TableItem, ...], at: StorePosition, after_outage: bool
    ) -> None:
        """Take a complete list in, and note what it no longer holds.

        What the first list of an era lacks may only not have been written again yet.
        """
        if at.era > self._state.store_position.era:
            self._begin_era(at)
            self._installer.is_restoring = self._installer.has_listed
            after_outage = after_outage or self._installer.has_listed
        self._install_newer(items, at.era)
        self._installer.is_restoring = False
        missing = self.table.missing_from(item.key for item in items)
        gone = [TableItem(key, at.revision, None, after_outage) for key in missing]
        self.table.mark_listed(at.revision, after_outage=after_outage)
        self._install_newer(gone, at.era)
        if LEADER_KEY not in {item.key for item in items}:
            self._leadership.record_no_entry(at)
        self._advance_position(at)
        self._has_listed = self._installer.has_listed = True

    async def _watch_once(self) -> Failure | None:
        asked_s = self._state.clock()
        wait_s = self._watch_wait_s()
        base = self._state.store_position
        batch = await self._store.watch(_ALL_KEYS, base.revision, wait_s)
        if isinstance(batch, Failure):
            return batch
        if batch.position.era != base.era or base.era != self._state.store_position.era:
            return self._drop_answer(batch.position, "other_era")
        answered_s = self._state.clock()
        in_time = answered_s - asked_s <= wait_s + LATE_ANSWER_S
        self._entry_date = self._date_entries(in_time=in_time and self._lost_since_s is None)
        self._mark_store_regained(asked_s)
        items = tuple(TableItem(item.key, item.revision, item.value) for item in batch.items)
        self._install_newer(items, batch.position.era)
        self._advance_position(batch.position)
        if self._relay is not None:
            self._relay.broadcast(TableUpdate(base, batch.position, False, False, items))
        waited = in_time and not batch.items and answered_s - asked_s >= wait_s
        self._record_proof(asked_s + wait_s if waited else asked_s)
        return None

    def _begin_era(self, at: StorePosition) -> None:
        """Begin an era of the store with the list that comes next."""
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
        """Take nothing of an answer that belongs to another era: a list has to come first."""
        self._state.metrics.updates_dropped.labels(why).inc()
        log_event(
            "store_answer_dropped",
            "WARNING",
            why=why,
            era=at.era or None,
            revision=at.revision,
            known_era=self._state.store_position.era or None,
        )
        return FailureKind.HISTORY_LOST.because(f"an answer of era {at.era}")

    def _advance_position(self, at: StorePosition) -> None:
        """Everything up to a position is known here; one that is below ours is counted and told."""
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

    def _date_entries(self, *, in_time: bool) -> EntryDate:
        """Date what an answer brings: now, or as old as it may be if this daemon could not hear."""
        now_s = self._state.clock()
        proven_s = self._state.freshness.proven_at_s
        if in_time and self._state.stall_detector.ran_since(proven_s, now_s):
            return EntryDate(now_s, assumed=False)
        return EntryDate(max(proven_s, now_s - self._assumed_age_s()), assumed=True)

    def _record_proof(self, at_s: float) -> None:
        """The store has shown everything that it held at ``at_s``."""
        self._state.freshness.prove(at_s)
        self._state.store_outage.record_answer(at_s)
        self._restart_weights_bounds()

    def _watch_wait_s(self) -> float:
        """Return how long a watch may wait; not at all when a proof is wanted at once.

        An answer that brings something, or comes late, proves no more than its question's time: the
        next has that much less time, so that no proof of a sound fleet grows older than one wait.
        """
        if self._lost_since_s is not None or not self._is_watcher:
            return 0.0
        left_s = WATCH_WAIT_S - self._state.freshness.age_s(self._state.clock())
        return max(0.0, min(left_s, FLEET_WATCH_WAIT_S if self._relays_to_others else WATCH_WAIT_S))

    def install_update(self, update: TableUpdate) -> bool:
        """Install what a peer passed on; False when something before it is missing here."""
        age_s = self._state.freshness.age_s(self._state.clock())
        # One that watches itself and hears it from a peer could not hear it when it was written.
        in_time = age_s <= WATCH_WAIT_S + LATE_ANSWER_S and not self._is_watcher
        known = self._state.store_position
        self._entry_date = self._date_entries(in_time=in_time and update.at.era == known.era)
        if update.complete:
            self._install_complete(update.items, update.at, update.after_outage)
            return True
        if update.at.era != known.era:
            return False
        self._install_newer(update.items, known.era)
        if not self._has_listed or update.base > known:
            return False
        self._state.store_position = max(known, update.at)
        return True

    # Documents

    def expire_missing_replicas(self, now_s: float) -> None:
        """Settle what waits for replicas to write themselves again."""
        self._installer.expire_missing_replicas(now_s)

    def _install_newer(self, items: Iterable[TableItem], era: int) -> None:
        """Install the entries that are newer than what is held."""
        for item in items:
            if self.table.apply(item):
                self._installer.install(item, era, self._entry_date)

    def _assumed_age_s(self) -> float:
        """Return how long ago a version counts as named that the first list holds.

        It may have been named long ago, and until a peer tells, a daemon that has just started is
        granted the rest of a bound that began before it did. One that has listed could not hear
        since its last proof, and its grace counts from then.
        """
        now_s = self._state.clock()
        began_s = self._state.started_at_s
        if self._has_listed:
            began_s = max(began_s, self._state.freshness.proven_at_s)
        grace_s = START_GRACE_S - (now_s - began_s)
        return max(0.0, self._state.settings.bounds.weights_s - max(0.0, grace_s))

    # The store as a dependency

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
        """Begin bounds on weights anew that were running when the store was lost for all.

        One daemon's failed calls move nothing: the others go on counting and loading.
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
                    heard_before_s=outage.ended_at_s - named.received_at_s,
                    begins_in_s=begins_s - self._state.clock(),
                )

    def _stabilization_s(self) -> float:
        """Return how long a store that has come back is not yet counted as stable."""
        return max(0.0, self._state.settings.bounds.contact_s - STABILIZATION_MARGIN_S)
