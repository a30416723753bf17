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
    Evidence,
    Assessment,
    VersionTest,
)
from winchfork.logs import log_event
from winchfork.router.peer_messages import EvidenceNote, VersionEvidence, VersionStop
from winchfork.router.peer_port import PeerPort
from winchfork.router.service_answers import OLD_VERSION
from winchfork.router.state import RouterState

#: Seconds between two messages about one rollout, and between two that tell nothing new.
TELL_PERIOD_S = 0.04
RETELL_PERIOD_S = 1.0
#: A bad answer is told within this time.
TELL_SOON_S = 0.05
#: Seconds between two looks of a judge: often, since a bad version may be in full use.
LEAST_JUDGED_S = 0.05
#: A share from which on the old version gets too few answers to compare times with.
MOST_COMPARED_SHARE = 0.6

_Notes = tuple[EvidenceNote, ...]


class _Heard(msgspec.Struct):
    """What was heard of one order: by start of a daemon, and by zone."""

    order_revision: int
    daemons: dict[tuple[str, int], _Notes] = {}
    zones: dict[str, _Notes] = {}
    test: VersionTest = msgspec.field(default_factory=VersionTest)
    told: _Notes = ()
    told_s: float = 0.0
    zone_told: _Notes = ()
    zone_told_s: float = 0.0
    stop_told_s: float = 0.0
    judged_s: float = 0.0


class EvidenceExchange:
    """This daemon's part in the exchange."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerPort,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._call_later = call_later
        self._told_soon = False
        state.software.on_bad_answer = self.tell_soon
        self._state = state
        self._versions = state.software
        self._peers = peers
        self._heard: dict[str, _Heard] = {}

    def tell_soon(self) -> None:
        """A replica has answered badly: tell it before the next tick, others with it.

        In full use each tenth of a second costs a tenth of a second's requests.
        """
        if not self._told_soon:
            self._told_soon = True
            self._call_later(TELL_SOON_S, self._tell_now)

    def _tell_now(self) -> None:
        self._told_soon = False
        self.tick(self._state.clock())

    def tick(self, now_s: float) -> None:
        """Tell what is news of each running rollout, and judge it."""
        for service in self._versions.services():
            record = self._versions.state(service)
            if not record.running:
                self._heard.pop(service, None)
                continue
            heard = self._about(service, record.order_revision)
            self._tell_own(service, heard, now_s)
            if self._judges:
                self._tell_zone(service, heard, now_s)
            if self._judges or self._state.leader_id == self._state.settings.node_id:
                self._judge(record, heard, now_s)

    def evidence(self, service: str) -> Evidence:
        """Return what is known here of a service's running rollout."""
        heard = self._heard.get(service)
        if heard is None:
            return Evidence({}, {})
        notes = [note for zone in self._all_zones(heard) for note in zone]
        old: dict[int, AnswerCounts] = {}
        new: dict[int, dict[int, AnswerCounts]] = {}
        for note in notes:
            routes = old if note.replica == OLD_VERSION else new.setdefault(note.replica, {})
            routes.setdefault(note.route, AnswerCounts()).add(_counts(note))
        return Evidence(old, new)

    def opinion(self, service: str) -> Assessment:
        """Return what the evidence says of the target, on a daemon that judges or leads."""
        heard = self._heard.get(service)
        return heard.test.assessment if heard is not None else Assessment.INCONCLUSIVE

    # Hearing

    def take(self, message: VersionEvidence) -> None:
        """Take in what a daemon or a zone has seen of the order that is known here."""
        record = self._versions.state(message.service)
        number = self._versions.number_of(message.service, message.order_revision)
        if not record.running or record.order_revision != number:
            return
        heard = self._about(message.service, number)
        if not message.zone:
            heard.daemons[message.sender_id, message.life] = message.notes
        else:
            self._take_zone(message, heard)
        now_s = self._state.clock()
        if self._judges and now_s - heard.judged_s >= LEAST_JUDGED_S:
            self._judge(record, heard, now_s)

    def _take_zone(self, message: VersionEvidence, heard: _Heard) -> None:
        known = heard.zones.get(message.zone, ())
        if _answers(message.notes) >= _answers(known):
            heard.zones[message.zone] = message.notes
        view = self._peers.view
        if view.is_region_hub and view.is_in_other_region(message.sender_id):
            own_id = view.own.member_id
            relayed = msgspec.structs.replace(message, sender_id=own_id)
            self._peers.send_each((*view.same_region_hubs, *view.own_hub_peers), relayed)

    def take_stop(self, message: VersionStop) -> None:
        """Send a version nothing more that another daemon has found bad."""
        self._versions.stop(
            message.service, message.order_revision, message.cause, told_by=message.sender_id
        )

    # Telling

    @property
    def _judges(self) -> bool:
        return self._peers.view.is_full_mesh or self._peers.view.is_hub

    def _about(self, service: str, order_revision: int) -> _Heard:
        heard = self._heard.get(service)
        if heard is not None:
            heard.order_revision = self._versions.number_of(service, heard.order_revision)
        if heard is None or heard.order_revision != order_revision:
            heard = self._heard[service] = _Heard(order_revision)
        return heard

    def _own_notes(self, service: str) -> _Notes:
        answers = self._versions.answers.get(service)
        if answers is None:
            return ()
        return tuple(
            EvidenceNote(route, replica, counts.answers, counts.failed, counts.slow)
            for (replica, route), counts in answers.counts.items()
        )

    def _tell_own(self, service: str, heard: _Heard, now_s: float) -> None:
        notes = self._own_notes(service)
        own_id = self._state.settings.node_id
        heard.daemons[own_id, self._state.life] = notes
        if not notes or not _is_due(notes, heard.told, now_s - heard.told_s):
            return
        heard.told, heard.told_s = notes, now_s
        view = self._peers.view
        receivers = view.others if view.is_full_mesh else view.own_hub_peers
        message = VersionEvidence(
            own_id, self._state.life, "", service, heard.order_revision, notes
        )
        self._peers.send_each(receivers, message)

    def _tell_zone(self, service: str, heard: _Heard, now_s: float) -> None:
        view = self._peers.view
        if view.is_full_mesh:
            return
        notes = _add_up(heard.daemons.values())
        if not notes or not _is_due(notes, heard.zone_told, now_s - heard.zone_told_s):
            return
        heard.zone_told, heard.zone_told_s = notes, now_s
        settings = self._state.settings
        message = VersionEvidence(
            settings.node_id, 0, settings.zone, service, heard.order_revision, notes
        )
        receivers = (*view.same_region_hubs, *view.other_region_hubs)
        self._peers.send_each((*receivers, *self._leader_beside(receivers)), message)

    def _leader_beside(self, receivers: Iterable[Member]) -> list[Member]:
        """Return the leader where it is none of the receivers: it decides by the sums as well."""
        leader_id = self._state.leader_id
        told = {member.member_id for member in receivers} | {self._state.settings.node_id}
        return [
            member
            for member in self._peers.view.members
            if member.member_id == leader_id and leader_id not in told
        ]

    def _all_zones(self, heard: _Heard) -> list[_Notes]:
        if not self._judges:
            return list(heard.zones.values())
        own_zone = self._state.settings.zone
        others = [notes for zone, notes in heard.zones.items() if zone != own_zone]
        return [_add_up(heard.daemons.values()), *others]

    # Judging

    def _judge(self, record: SoftwareState, heard: _Heard, now_s: float) -> None:
        cause = self._versions.stop_cause(record)
        if cause is not None:
            if now_s - heard.stop_told_s >= RETELL_PERIOD_S:
                self._tell_stop(record, heard, cause, now_s)
            return
        compares_times = record.share <= MOST_COMPARED_SHARE
        evidence = self.evidence(record.service)
        heard.judged_s = now_s
        alarm = heard.test.evaluate(evidence, compare_latency=compares_times)
        if record.returning or record.phase is SoftwarePhase.STABLE:
            return
        if alarm is not None:
            self._log_alarm(record, alarm, evidence)
            self._stop(record, heard, StopCause.BAD, now_s)
        elif self._has_overspent(record, heard.test.assessment, evidence):
            self._stop(record, heard, StopCause.BUDGET_EXHAUSTED, now_s)

    def _has_overspent(self, record: SoftwareState, opinion: Assessment, evidence: Evidence) -> bool:
        """Whether the leader would roll back a version that moved without approval.

        Every judge looks, since there may be no leader just then.
        """
        limits = self._state.settings.bounds.exposure
        return has_exhausted_budget(record, opinion, evidence.new_answers, evidence.all_answers, limits)

    def _stop(self, record: SoftwareState, heard: _Heard, cause: StopCause, now_s: float) -> None:
        own_id = self._state.settings.node_id
        self._versions.stop(record.service, record.order_revision, cause, told_by=own_id)
        self._tell_stop(record, heard, cause, now_s)

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

    def _tell_stop(
        self, record: SoftwareState, heard: _Heard, cause: StopCause, now_s: float
    ) -> None:
        heard.stop_told_s = now_s
        own_id = self._state.settings.node_id
        self._peers.tell_everyone(VersionStop(own_id, record.service, record.order_revision, cause))


def _is_due(notes: _Notes, told: _Notes, since_s: float) -> bool:
    return since_s >= (RETELL_PERIOD_S if notes == told else TELL_PERIOD_S)


def _counts(note: EvidenceNote) -> AnswerCounts:
    return AnswerCounts(note.answers, note.failed, note.slow)


def _answers(notes: Iterable[EvidenceNote]) -> int:
    return sum(note.answers for note in notes)


def _add_up(senders: Iterable[_Notes]) -> _Notes:
    totals: dict[tuple[int, int], AnswerCounts] = {}
    for notes in senders:
        for note in notes:
            totals.setdefault((note.route, note.replica), AnswerCounts()).add(_counts(note))
    return tuple(
        EvidenceNote(route, replica, counts.answers, counts.failed, counts.slow)
        for (route, replica), counts in totals.items()
    )
