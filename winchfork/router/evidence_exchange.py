"""Daemons tell their hubs what they have seen of a software rollout, and the hubs judge it.

Each daemon tells its own counts since the order, as totals, so that what is lost is told again by
the next message. Hubs add their zone's up and tell each other. Every hub judges: whichever sees the
alarm first tells everybody to send the version nothing more, which needs no leader and no store.
In a small fleet every daemon tells every other, and all judge.
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

#: Seconds between two messages about one rollout, and between two that tell nothing new.
SEND_INTERVAL_S = 0.04
RESEND_INTERVAL_S = 1.0
#: A bad answer is told within this time.
EARLY_SEND_DELAY_S = 0.05
#: Seconds between two looks of a judge: often, since a bad version may be in full use.
MIN_EVALUATION_INTERVAL_S = 0.05
#: A share from which on the old version gets too few answers to compare times with.
MAX_TIME_COMPARISON_SHARE = 0.6

_Entries = tuple[EvidenceEntry, ...]


class _ReceivedEvidence(msgspec.Struct):
    """What was heard of one order: by start of a daemon, and by zone."""

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
    """This daemon's part in the exchange."""

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
        """A replica has answered badly: tell it before the next tick, others with it.

        In full use each tenth of a second costs a tenth of a second's requests.
        """
        if not self._send_scheduled:
            self._send_scheduled = True
            self._call_later(EARLY_SEND_DELAY_S, self._send_now)

    def _send_now(self) -> None:
        self._send_scheduled = False
        self.tick(self._state.clock())

    def tick(self, now_s: float) -> None:
        """Tell what is news of each running rollout, and judge it."""
        for service in self._versions.services():
            record = self._versions.effective_state(service)
            if not record.running:
                self._received.pop(service, None)
                continue
            heard = self._received_for(service, record.order_revision)
            self._send_own(service, heard, now_s)
            if self._evaluates:
                self._send_zone(service, heard, now_s)
            if self._evaluates or self._state.leader_id == self._state.settings.node_id:
                self._evaluate(record, heard, now_s)

    def evidence(self, service: str) -> Evidence:
        """Return what is known here of a service's running rollout."""
        heard = self._received.get(service)
        if heard is None:
            return Evidence({}, {})
        notes = [note for zone in self._entries_by_zone(heard) for note in zone]
        old: dict[int, AnswerCounts] = {}
        new: dict[int, dict[int, AnswerCounts]] = {}
        for note in notes:
            routes = old if note.replica == OLD_VERSION else new.setdefault(note.replica, {})
            routes.setdefault(note.route, AnswerCounts()).add(_counts(note))
        return Evidence(old, new)

    def assessment(self, service: str) -> Assessment:
        """Return what the evidence says of the target, on a daemon that judges or leads."""
        heard = self._received.get(service)
        return heard.test.assessment if heard is not None else Assessment.INCONCLUSIVE

    # Hearing

    def handle_evidence(self, message: VersionEvidence) -> None:
        """Take in what a daemon or a zone has seen of the order that is known here."""
        record = self._versions.effective_state(message.service)
        number = self._versions.current_order_number(message.service, message.order_revision)
        if not record.running or record.order_revision != number:
            return
        heard = self._received_for(message.service, number)
        if not message.zone:
            heard.daemons[message.sender_id, message.start_id] = message.entries
        else:
            self._handle_zone(message, heard)
        now_s = self._state.clock()
        if self._evaluates and now_s - heard.evaluated_at_s >= MIN_EVALUATION_INTERVAL_S:
            self._evaluate(record, heard, now_s)

    def _handle_zone(self, message: VersionEvidence, heard: _ReceivedEvidence) -> None:
        known = heard.zones.get(message.zone, ())
        if _total_answers(message.entries) >= _total_answers(known):
            heard.zones[message.zone] = message.entries
        view = self._peers.view
        if view.is_region_hub and view.is_in_other_region(message.sender_id):
            own_id = view.own.member_id
            relayed = msgspec.structs.replace(message, sender_id=own_id)
            self._peers.send_each((*view.same_region_hubs, *view.own_hub_peers), relayed)

    def handle_stop(self, message: VersionStop) -> None:
        """Send a version nothing more that another daemon has found bad."""
        self._versions.stop(
            message.service, message.order_revision, message.cause, reported_by=message.sender_id
        )

    # Telling

    @property
    def _evaluates(self) -> bool:
        return self._peers.view.is_full_mesh or self._peers.view.is_hub

    def _received_for(self, service: str, order_revision: int) -> _ReceivedEvidence:
        heard = self._received.get(service)
        if heard is not None:
            heard.order_revision = self._versions.current_order_number(
                service, heard.order_revision
            )
        if heard is None or heard.order_revision != order_revision:
            heard = self._received[service] = _ReceivedEvidence(order_revision)
        return heard

    def _own_entries(self, service: str) -> _Entries:
        answers = self._versions.answers.get(service)
        if answers is None:
            return ()
        return tuple(
            EvidenceEntry(route, replica, counts.answers, counts.failed, counts.slow)
            for (replica, route), counts in answers.counts.items()
        )

    def _send_own(self, service: str, heard: _ReceivedEvidence, now_s: float) -> None:
        notes = self._own_entries(service)
        own_id = self._state.settings.node_id
        heard.daemons[own_id, self._state.start_id] = notes
        if not notes or not _is_due(notes, heard.sent, now_s - heard.sent_at_s):
            return
        heard.sent, heard.sent_at_s = notes, now_s
        view = self._peers.view
        receivers = view.others if view.is_full_mesh else view.own_hub_peers
        message = VersionEvidence(
            own_id, self._state.start_id, "", service, heard.order_revision, notes
        )
        self._peers.send_each(receivers, message)

    def _send_zone(self, service: str, heard: _ReceivedEvidence, now_s: float) -> None:
        view = self._peers.view
        if view.is_full_mesh:
            return
        notes = _sum_entries(heard.daemons.values())
        if not notes or not _is_due(notes, heard.zone_sent, now_s - heard.zone_sent_at_s):
            return
        heard.zone_sent, heard.zone_sent_at_s = notes, now_s
        settings = self._state.settings
        message = VersionEvidence(
            settings.node_id, 0, settings.zone, service, heard.order_revision, notes
        )
        receivers = (*view.same_region_hubs, *view.other_region_hubs)
        self._peers.send_each((*receivers, *self._leader_not_among(receivers)), message)

    def _leader_not_among(self, receivers: Iterable[Member]) -> list[Member]:
        """Return the leader where it is none of the receivers: it decides by the sums as well."""
        leader_id = self._state.leader_id
        told = {member.member_id for member in receivers} | {self._state.settings.node_id}
        return [
            member
            for member in self._peers.view.members
            if member.member_id == leader_id and leader_id not in told
        ]

    def _entries_by_zone(self, heard: _ReceivedEvidence) -> list[_Entries]:
        if not self._evaluates:
            return list(heard.zones.values())
        own_zone = self._state.settings.zone
        others = [notes for zone, notes in heard.zones.items() if zone != own_zone]
        return [_sum_entries(heard.daemons.values()), *others]

    # Judging

    def _evaluate(self, record: SoftwareState, heard: _ReceivedEvidence, now_s: float) -> None:
        cause = self._versions.stop_cause(record)
        if cause is not None:
            if now_s - heard.stop_sent_at_s >= RESEND_INTERVAL_S:
                self._broadcast_stop(record, heard, cause, now_s)
            return
        compares_times = record.share <= MAX_TIME_COMPARISON_SHARE
        evidence = self.evidence(record.service)
        heard.evaluated_at_s = now_s
        alarm = heard.test.evaluate(evidence, compare_latency=compares_times)
        if record.returning or record.phase is SoftwarePhase.STABLE:
            return
        if alarm is not None:
            self._log_alarm(record, alarm, evidence)
            self._stop(record, heard, StopCause.BAD, now_s)
        elif self._has_overspent(record, heard.test.assessment, evidence):
            self._stop(record, heard, StopCause.BUDGET_EXHAUSTED, now_s)

    def _has_overspent(
        self, record: SoftwareState, opinion: Assessment, evidence: Evidence
    ) -> bool:
        """Whether the leader would roll back a version that moved without approval.

        Every judge looks, since there may be no leader just then.
        """
        limits = self._state.settings.bounds.exposure
        return has_exhausted_budget(
            record, opinion, evidence.new_answers, evidence.all_answers, limits
        )

    def _stop(
        self, record: SoftwareState, heard: _ReceivedEvidence, cause: StopCause, now_s: float
    ) -> None:
        own_id = self._state.settings.node_id
        self._versions.stop(record.service, record.order_revision, cause, reported_by=own_id)
        self._broadcast_stop(record, heard, cause, now_s)

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
        self, record: SoftwareState, heard: _ReceivedEvidence, cause: StopCause, now_s: float
    ) -> None:
        heard.stop_sent_at_s = now_s
        own_id = self._state.settings.node_id
        self._peers.broadcast(VersionStop(own_id, record.service, record.order_revision, cause))


def _is_due(entries: _Entries, sent: _Entries, since_s: float) -> bool:
    return since_s >= (RESEND_INTERVAL_S if entries == sent else SEND_INTERVAL_S)


def _counts(entry: EvidenceEntry) -> AnswerCounts:
    return AnswerCounts(entry.answers, entry.failed, entry.slow)


def _total_answers(entries: Iterable[EvidenceEntry]) -> int:
    return sum(note.answers for note in entries)


def _sum_entries(senders: Iterable[_Entries]) -> _Entries:
    totals: dict[tuple[int, int], AnswerCounts] = {}
    for notes in senders:
        for note in notes:
            totals.setdefault((note.route, note.replica), AnswerCounts()).add(_counts(note))
    return tuple(
        EvidenceEntry(route, replica, counts.answers, counts.failed, counts.slow)
        for (route, replica), counts in totals.items()
    )
