"""Carries out operators' orders to roll out another software version to a service.

Only the leader writes. Each step is one transaction that writes the service's record and the status
that operators read. It is conditional on the revision of the record and on the leader's entry, so
that a lost or late write, or one of a former leader, cannot undo a later decision. A step is taken
only on observed facts: replicas that accept work, answers, and work that has ended.
"""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict

import msgspec

from winchfork.core.answer_rate import AnswerRate
from winchfork.core.software_plan import RolloutStep, RolloutView, next_step
from winchfork.core.software_state import (
    SoftwareOrder,
    SoftwareState,
)
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.documents import StatusWriter
from winchfork.router.evidence_exchange import EvidenceExchange
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.quota_exchange import SILENCE_S, daemon_memory_s
from winchfork.router.software_records import encode_record, software_record_key
from winchfork.router.state import RouterState
from winchfork.stores.async_key_value import AsyncKeyValueStore, ExpectedRevision, PutItem

POLL_PERIOD_S = 0.1
#: Pause after a write, successful or not, until the store's watch has delivered the current record.
WRITE_PAUSE_S = 0.3
#: Assumed age of an order or a record that existed when this daemon started.
ASSUMED_AGE_AT_START_S = 3.0
#: Runs longer than this many times the mean may be aborted at the time limit, since they are rare.
LONG_RUN_RATIO = 4.0
#: Coverage of a daemon that receives the reports of every other daemon.
FULL_COVERAGE = 1.0


class _FirstSeen(msgspec.Struct, frozen=True):
    """A revision, and when this daemon first saw it."""

    revision: int
    since_s: float


class SoftwareRollout:
    """The task that advances rollouts while this daemon leads; it only observes otherwise."""

    def __init__(
        self,
        state: RouterState,
        leadership: Leadership,
        store: AsyncKeyValueStore,
        status: StatusWriter,
        evidence: EvidenceExchange,
    ) -> None:
        self._state = state
        self._versions = state.software
        self._leadership = leadership
        self._store = store
        self._status = status
        self._evidence = evidence
        self._records_seen: dict[str, _FirstSeen] = {}
        #: Recent answer rate of each service, tracked on every daemon, since any may lead next.
        self._rates: defaultdict[str, AnswerRate] = defaultdict(AnswerRate)
        self._orders_seen: dict[str, _FirstSeen] = {}
        self._next_check_s: dict[str, float] = {}
        #: Since when reports of some daemon are missing; None if there are none missing.
        self._coverage_gap_since_s: float | None = None
        #: When a daemon whose reports are missing may last have been dropped from the coverage.
        self._coverage_lost_s = -math.inf

    async def run(self) -> None:
        """Advance rollouts until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            if not self._versions.enabled:
                continue
            self._observe()
            if self._leadership.leads():
                for service in self._versions.services():
                    await self._advance(service)

    def _observe(self) -> None:
        """Record when each order and record was first seen; any daemon may lead next."""
        now_s = self._state.clock()
        self._observe_coverage(now_s)
        for service in self._versions.services():
            _record_first_seen(self._records_seen, service, self._versions.revision(service), now_s)
            if self._versions.effective_state(service).running:
                answers = self._evidence.evidence(service).all_answers
                self._rates[service].record(answers, now_s)
            order = self._versions.orders.get(service)
            if order is not None:
                self._record_order_seen(order, now_s)

    def _record_order_seen(self, order: SoftwareOrder, now_s: float) -> None:
        """Record when an order was first seen; the time stays if the order's number changes."""
        seen = self._orders_seen.get(order.service)
        if seen is not None:
            number = self._versions.current_order_number(order.service, seen.revision)
            self._orders_seen[order.service] = _FirstSeen(number, seen.since_s)
        _record_first_seen(self._orders_seen, order.service, order.revision, now_s)

    def _observe_coverage(self, now_s: float) -> None:
        """Track gaps in the daemons' reports, and when a silent daemon may have been dropped."""
        if self._state.quotas.refill_share.coverage >= FULL_COVERAGE:
            self._coverage_gap_since_s = None
            return
        if self._coverage_gap_since_s is None:
            self._coverage_gap_since_s = now_s
        retention_s = daemon_memory_s(self._state.settings.bounds) - SILENCE_S
        if now_s - self._coverage_gap_since_s >= retention_s:
            self._coverage_lost_s = now_s

    def _is_fleet_covered(self, service: str) -> bool:
        """Whether the reports of all daemons arrived without a gap since a service's order.

        A daemon that was dropped from the coverage since then may still run unreported requests.
        """
        order = self._orders_seen.get(service)
        was_covered = order is not None and self._coverage_lost_s < order.since_s
        return was_covered and self._coverage_gap_since_s is None

    async def _advance(self, service: str) -> None:
        now_s = self._state.clock()
        if now_s < self._next_check_s.get(service, 0.0):
            return
        step = self._next_step(service)
        if step is not None:
            await self._write(step)

    def _next_step(self, service: str) -> RolloutStep | None:
        record = self._versions.recorded_state(service)
        order = self._versions.orders.get(service)
        if record is None:
            assumed = self._versions.effective_state(service)
            if not assumed.in_force:
                return None
            return RolloutStep(assumed, "the service has no record of the version in force")
        if order is not None and order.revision > record.order_revision:
            return self._start_order(record, order)
        if self._versions.is_record_lost(service):
            return RolloutStep(record, "the restored store has no record, or an earlier one")
        if not record.running:
            return None
        return next_step(record, self._view(record), self._state.settings.bounds.exposure)

    def _start_order(self, record: SoftwareState, order: SoftwareOrder) -> RolloutStep:
        aged = msgspec.structs.replace(
            record.with_order(order), elapsed_s=self._age_s(self._orders_seen[order.service])
        )
        if order.target in record.judged_bad and order.target != record.in_force:
            return RolloutStep(
                aged.rolled_back(judged_bad=False), "an earlier rollout found the version bad"
            )
        if order.target == record.in_force and not record.running:
            return RolloutStep(aged.completed(), "the version is already in force")
        return RolloutStep(aged, "an operator ordered the rollout")

    def _age_s(self, seen: _FirstSeen) -> float:
        """Return the age of an order or a record, from when this daemon first saw it.

        An extra age is assumed for one that existed when this daemon started.
        """
        assumed_s = (
            ASSUMED_AGE_AT_START_S if self._versions.was_found_at_start(seen.revision) else 0.0
        )
        return self._state.clock() - seen.since_s + assumed_s

    def _remaining_s(self, record: SoftwareState, elapsed_s: float) -> float:
        """Return the time until an order's time limit.

        Uses the order's age if it is greater than ``elapsed_s``, which falls short: it adds up the
        ages of successive records, each from when it was first seen, shortly after its write.
        """
        seen = self._orders_seen.get(record.service)
        if seen is not None and seen.revision == record.order_revision:
            elapsed_s = max(elapsed_s, self._age_s(seen))
        return record.duration_s - elapsed_s

    def _view(self, record: SoftwareState) -> RolloutView:
        seen = self._records_seen[record.service]
        self._state.fleet.refresh()
        replicas = self._state.fleet.of_service(record.service)
        now_s = self._state.clock()
        working = [item for item in replicas if item.accepting and now_s >= item.ejected_until_s]
        new = [item for item in working if item.listing.software == record.target]
        old = [item for item in working if item.listing.software == record.in_force]
        leaving = [item for item in replicas if item.listing.software != record.target]
        evidence = self._evidence.evidence(record.service)
        elapsed_s = record.elapsed_s + self._age_s(seen)
        return RolloutView(
            elapsed_s=elapsed_s,
            remaining_s=self._remaining_s(record, elapsed_s),
            stage_s=now_s - seen.since_s,
            new_replicas=len(new),
            new_slots=sum(item.listing.slots for item in new),
            old_slots=sum(item.listing.slots for item in old),
            old_running=sum(item.running for item in leaving),
            all_daemons_reported=self._is_fleet_covered(record.service),
            new_answers=evidence.new_answers,
            all_answers=evidence.all_answers,
            recent_per_s=self._rates[record.service].per_s,
            assessment=self._evidence.assessment(record.service),
            stop_cause=self._versions.stop_cause(record),
            longest_run_s=LONG_RUN_RATIO * self._state.mean_run_s,
        )

    async def _write(self, step: RolloutStep) -> None:
        record = step.state
        service = record.service
        expected = [
            ExpectedRevision(LEADER_KEY, self._leadership.entry_revision),
            ExpectedRevision(software_record_key(service), self._versions.revision(service)),
        ]
        puts = [PutItem(software_record_key(service), encode_record(record))]
        if record.order_revision:
            puts.append(self._status.rollout_status(service, record.target, record.outcome))
        written = await self._store.transact(expected, puts)
        failed = isinstance(written, Failure)
        evidence = self._evidence.evidence(service)
        log_event(
            "software_step",
            "WARNING" if failed else "INFO",
            service=service,
            target=record.target or None,
            order=record.order_revision or None,
            phase=record.phase.value,
            share=record.share,
            outcome=record.outcome.value,
            elapsed_s=record.elapsed_s,
            reason=step.reason,
            new_answers=evidence.new_answers,
            new_bad=evidence.new_bad_answers,
            all_answers=evidence.all_answers,
            written=str(written) if failed else "yes",
            fence=self._leadership.fence,
        )
        self._next_check_s[service] = self._state.clock() + WRITE_PAUSE_S


def _record_first_seen(
    seen: dict[str, _FirstSeen], service: str, revision: int, now_s: float
) -> None:
    known = seen.get(service)
    if known is None or known.revision != revision:
        seen[service] = _FirstSeen(revision, now_s)
