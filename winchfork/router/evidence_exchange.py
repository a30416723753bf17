"""Exchanges evidence on software rollouts between daemons, and stops bad versions.

Each daemon sends its answer counts since the rollout order to its hubs, as totals, so that the next
message makes up for a lost one. Hubs sum the counts of their zone and exchange the sums. Every hub
evaluates the evidence, and so does the leader; the first one whose test raises an alarm broadcasts
a stop, which requires neither a leader nor the store. In a full mesh every daemon sends to every
other, and all evaluate.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.member import Member
from winchfork.core.software_plan import has_exhausted_budget
from winchfork.core.software_state import SoftwarePhase, SoftwareState, StopCause
from winchfork.core.version_evidence import (
    Alarm,
    AnswerCounts,
    Assessment,
    Evidence,
    VersionTest,
)
from winchfork.logs import log_event
from winchfork.router.peer_messages import EvidenceEntry, VersionEvidence, VersionStop
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.service_answers import OLD_VERSION
from winchfork.router.state import RouterState

#: Seconds between two messages about one rollout, and between two with the same counts.
SEND_INTERVAL_S = 0.04
RESEND_INTERVAL_S = 1.0
#: Seconds within which a bad answer is reported: each tenth of a second costs the requests of that
#: time once a bad version is in full use.
EARLY_SEND_DELAY_S = 0.05
#: Seconds between two evaluations.
MIN_EVALUATION_INTERVAL_S = 0.05
#: Share of the new version above which the old one has too few answers to compare latencies with.
MAX_LATENCY_COMPARISON_SHARE = 0.6

_Entries = tuple[EvidenceEntry, ...]


class _ReceivedEvidence(msgspec.Struct):
    """The evidence received on one order, by daemon and start id, and by zone."""

    order_revision: int
    daemons: dict[tuple[str, int], _Entries] = {}
    zones: dict[str, _Entries] = {}
    test: VersionTest = msgspec.field(default_factory=VersionTest)
    sent: _Entries = ()
    sent_at_s: float = 0.0
    zone_sent: _Entries = ()
    zone_sent_at_s: float = 0.0
    stop_sent_at_s: float = 0.0
    evaluated_at_s: float = 0.0


class EvidenceExchange:
    """Sends and evaluates the evidence on running rollouts of one daemon."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._call_later = call_later
        self._send_scheduled = False
        state.software.on_bad_answer = self.send_soon
        self._state = state
        self._versions = state.software
        self._peers = peers
        self._received: dict[str, _ReceivedEvidence] = {}

    def send_soon(self) -> None:
        """Send the counts before the next tick, since a replica has answered badly."""
        if not self._send_scheduled:
            self._send_scheduled = True
            self._call_later(EARLY_SEND_DELAY_S, self._send_now)

    def _send_now(self) -> None:
        self._send_scheduled = False
        self.tick(self._state.clock())

    def tick(self, now_s: float) -> None:
        """Send new evidence on each running rollout, and evaluate it."""
        for service in self._versions.services():
            record = self._versions.effective_state(service)
            if not record.running:
                self._received.pop(service, None)
                continue
            received = self._received_for(service, record.order_revision)
            self._send_own(service, received, now_s)
            if self._evaluates:
                self._send_zone(service, received, now_s)
            if self._evaluates or self._state.leader_id == self._state.settings.node_id:
                self._evaluate(record, received, now_s)

    def evidence(self, service: str) -> Evidence:
        """Return the evidence known here on a service's running rollout."""
        received = self._received.get(service)
        if received is None:
            return Evidence({}, {})
        entries = [entry for zone in self._entries_by_zone(received) for entry in zone]
        old: dict[int, AnswerCounts] = {}
        new: dict[int, dict[int, AnswerCounts]] = {}
        for entry in entries:
            routes = old if entry.replica == OLD_VERSION else new.setdefault(entry.replica, {})
            routes.setdefault(entry.route, AnswerCounts()).add(_counts(entry))
        return Evidence(old, new)

    def assessment(self, service: str) -> Assessment:
        """Return the last assessment of the target, or inconclusive without an evaluation."""
        received = self._received.get(service)
        return received.test.assessment if received is not None else Assessment.INCONCLUSIVE

    # Receiving

    def handle_evidence(self, message: VersionEvidence) -> None:
        """Store the evidence of a daemon or zone, if it is on the order that is known here."""
        record = self._versions.effective_state(message.service)
        number = self._versions.current_order_number(message.service, message.order_revision)
        if not record.running or record.order_revision != number:
            return
        received = self._received_for(message.service, number)
        if not message.zone:
            received.daemons[message.sender_id, message.start_id] = message.entries
        else:
            self._handle_zone(message, received)
        now_s = self._state.clock()
        if self._evaluates and now_s - received.evaluated_at_s >= MIN_EVALUATION_INTERVAL_S:
            self._evaluate(record, received, now_s)

    def _handle_zone(self, message: VersionEvidence, received: _ReceivedEvidence) -> None:
        known = received.zones.get(message.zone, ())
        if _total_answers(message.entries) >= _total_answers(known):
            received.zones[message.zone] = message.entries
        view = self._peers.view
        if view.is_region_hub and view.is_in_other_region(message.sender_id):
            own_id = view.own.member_id
            relayed = msgspec.structs.replace(message, sender_id=own_id)
            self._peers.send_each((*view.same_region_hubs, *view.own_hub_peers), relayed)

    def handle_stop(self, message: VersionStop) -> None:
        """Stop sending requests to a version that another daemon has found bad."""
        self._versions.stop(
            message.service, message.order_revision, message.cause, reported_by=message.sender_id
        )

    # Sending

    @property
    def _evaluates(self) -> bool:
        return self._peers.view.is_full_mesh or self._peers.view.is_hub

    def _received_for(self, service: str, order_revision: int) -> _ReceivedEvidence:
        received = self._received.get(service)
        if received is not None:
            received.order_revision = self._versions.current_order_number(
                service, received.order_revision
            )
        if received is None or received.order_revision != order_revision:
            received = self._received[service] = _ReceivedEvidence(order_revision)
        return received

    def _own_entries(self, service: str) -> _Entries:
        answers = self._versions.answers.get(service)
        if answers is None:
            return ()
        return tuple(
            EvidenceEntry(route, replica, counts.answers, counts.failed, counts.slow)
            for (replica, route), counts in answers.counts.items()
        )

    def _send_own(self, service: str, received: _ReceivedEvidence, now_s: float) -> None:
        entries = self._own_entries(service)
        own_id = self._state.settings.node_id
        received.daemons[own_id, self._state.start_id] = entries
        if not entries or not _is_due(entries, received.sent, now_s - received.sent_at_s):
            return
        received.sent, received.sent_at_s = entries, now_s
        view = self._peers.view
        receivers = view.others if view.is_full_mesh else view.own_hub_peers
        message = VersionEvidence(
            own_id, self._state.start_id, "", service, received.order_revision, entries
        )
        self._peers.send_each(receivers, message)

    def _send_zone(self, service: str, received: _ReceivedEvidence, now_s: float) -> None:
        view = self._peers.view
        if view.is_full_mesh:
            return
        entries = _sum_entries(received.daemons.values())
        if not entries or not _is_due(entries, received.zone_sent, now_s - received.zone_sent_at_s):
            return
        received.zone_sent, received.zone_sent_at_s = entries, now_s
        settings = self._state.settings
        message = VersionEvidence(
            settings.node_id, 0, settings.zone, service, received.order_revision, entries
        )
        receivers = (*view.same_region_hubs, *view.other_region_hubs)
        self._peers.send_each((*receivers, *self._leader_not_among(receivers)), message)

    def _leader_not_among(self, receivers: Iterable[Member]) -> list[Member]:
        """Return the leader, unless it is this daemon or a receiver: it needs the sums as well."""
        leader_id = self._state.leader_id
        informed = {member.member_id for member in receivers} | {self._state.settings.node_id}
        return [
            member
            for member in self._peers.view.members
            if member.member_id == leader_id and leader_id not in informed
        ]

    def _entries_by_zone(self, received: _ReceivedEvidence) -> list[_Entries]:
        if not self._evaluates:
            return list(received.zones.values())
        own_zone = self._state.settings.zone
        others = [entries for zone, entries in received.zones.items() if zone != own_zone]
        return [_sum_entries(received.daemons.values()), *others]

    # Evaluating

    def _evaluate(self, record: SoftwareState, received: _ReceivedEvidence, now_s: float) -> None:
        cause = self._versions.stop_cause(record)
        if cause is not None:
            if now_s - received.stop_sent_at_s >= RESEND_INTERVAL_S:
                self._broadcast_stop(record, received, cause, now_s)
            return
        compare_latency = record.share <= MAX_LATENCY_COMPARISON_SHARE
        evidence = self.evidence(record.service)
        received.evaluated_at_s = now_s
        alarm = received.test.evaluate(evidence, compare_latency=compare_latency)
        if record.targets_version_in_force or record.phase is SoftwarePhase.STABLE:
            return
        if alarm is not None:
            self._log_alarm(record, alarm, evidence)
            self._stop(record, received, StopCause.BAD, now_s)
        elif self._has_overspent(record, received.test.assessment, evidence):
            self._stop(record, received, StopCause.BUDGET_EXHAUSTED, now_s)

    def _has_overspent(
        self, record: SoftwareState, assessment: Assessment, evidence: Evidence
    ) -> bool:
        """Whether a version without approval has exhausted its exposure budget.

        Every evaluating daemon checks this, since there may be no leader at the moment.
        """
        limits = self._state.settings.bounds.exposure
        return has_exhausted_budget(
            record, assessment, evidence.new_answers, evidence.all_answers, limits
        )

    def _stop(
        self, record: SoftwareState, received: _ReceivedEvidence, cause: StopCause, now_s: float
    ) -> None:
        own_id = self._state.settings.node_id
        self._versions.stop(record.service, record.order_revision, cause, reported_by=own_id)
        self._broadcast_stop(record, received, cause, now_s)

    def _log_alarm(self, record: SoftwareState, alarm: Alarm, evidence: Evidence) -> None:
        log_event(
            "software_found_bad",
            "WARNING",
            service=record.service,
            target=record.target,
            order=record.order_revision,
            fault=alarm.fault.value,
            route=f"{alarm.route:016x}",
            answers=alarm.answers,
            bad=alarm.bad,
            expected_share=alarm.expected_share,
            all_answers=evidence.all_answers,
            new_answers=evidence.new_answers,
        )

    def _broadcast_stop(
        self, record: SoftwareState, received: _ReceivedEvidence, cause: StopCause, now_s: float
    ) -> None:
        received.stop_sent_at_s = now_s
        own_id = self._state.settings.node_id
        self._peers.broadcast(VersionStop(own_id, record.service, record.order_revision, cause))


def _is_due(entries: _Entries, sent: _Entries, since_s: float) -> bool:
    return since_s >= (RESEND_INTERVAL_S if entries == sent else SEND_INTERVAL_S)


def _counts(entry: EvidenceEntry) -> AnswerCounts:
    return AnswerCounts(entry.answers, entry.failed, entry.slow)


def _total_answers(entries: Iterable[EvidenceEntry]) -> int:
    return sum(entry.answers for entry in entries)


def _sum_entries(senders: Iterable[_Entries]) -> _Entries:
    totals: dict[tuple[int, int], AnswerCounts] = {}
    for sender_entries in senders:
        for entry in sender_entries:
            totals.setdefault((entry.route, entry.replica), AnswerCounts()).add(_counts(entry))
    return tuple(
        EvidenceEntry(route, replica, counts.answers, counts.failed, counts.slow)
        for (route, replica), counts in totals.items()
    )
