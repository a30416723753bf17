"""Daemons tell each other how much of the tenants' quotas they have used.

The news rides on the messages about work. In a small fleet every daemon counts what every other
tells. In a larger one the hubs count their zone's use and that of other zones, and tell their zone
how much is missing from each bucket. A daemon that hears no hub, and a hub that does not hear every
zone, counts on a part of the limits only: see ``coverage``.
"""

from __future__ import annotations

from winchfork.core.member import MemberStatus
from winchfork.core.quota_ledger import (
    RESEND_WINDOW_S,
    QuotaLedger,
    QuotaLevels,
    QuotaReport,
    UsageReceiver,
    UsageTotals,
)
from winchfork.core.tenant_quota import RefillShare
from winchfork.core.zone_hubs import FleetView
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.settings import RouterBounds
from winchfork.router.state import ASSUMED_DAEMON_COUNT, RouterState

#: Seconds without a word after which a hub, or another zone, is taken to be out of reach: two of
#: the complete messages that a hub sends each half second.
SILENCE_S = 1.0
#: Seconds of silence after which another hub is listened to as the speaker of its zone: a little
#: more than that hub waits before it speaks.
ACTIVE_HUB_SILENCE_S = 0.75
#: Seconds for which a hub's word holds: where a tenant is at its limit there is one in each tick of
#: a hub, and elsewhere the buckets are full.
HUB_REPORT_TTL_S = 0.25
#: The same for what small fleets and hubs hear of each other: between two ticks, and two complete
#: messages of hubs.
MAX_REPORT_GAP_S = 0.55
#: Seconds after its start for which a daemon that no hub has spoken to counts on its own part only.
STABILIZATION_S = 4.0
#: The same for one that takes itself for a hub: until it knows the fleet, many do.
HUB_STABILIZATION_S = 0.6
#: The same in a small fleet, whose daemons all know each other after a few probes.
SMALL_FLEET_STABILIZATION_S = 1.5
#: Part of its equal share on which a daemon counts while it is out of reach: others count on the
#: whole until they notice. At a half, a third of 79 daemons cut off went 0.5 % over a bound.
ISOLATED_SHARE = 0.25
#: Seconds for which a daemon that has vanished may go on using quotas unheard, where its keys do
#: not expire.
VANISHED_DAEMON_USE_S = 60.0


def daemon_memory_s(bounds: RouterBounds) -> float:
    """Return for how long a daemon that has vanished still counts as part of the fleet."""
    return bounds.revoke_s if bounds.fail_closed else VANISHED_DAEMON_USE_S


class QuotaExchange:
    """This daemon's part in the exchange."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._started_s = state.clock()
        own_ip = state.settings.machine_ip
        self._has_other_seeds = any(
            seed.rpartition(":")[0] != own_ip for seed in state.settings.seeds
        )
        self._use_reader = UsageReceiver()
        self._zone_use = UsageTotals(state.start_id)
        #: This daemon's last report that its zone's totals lack.
        self._pending_own_report: QuotaReport | None = None
        #: When each daemon was last seen to work, by id, and its zone.
        self._seen: dict[str, tuple[float, str]] = {}
        self._zone_reader = UsageReceiver()
        #: The hub that speaks for each other zone, and when it was last heard.
        self._active_hubs: dict[str, tuple[str, float]] = {}
        self._daemon_received_at_s: dict[str, float] = {}
        self._hub_received_at_s: float | None = None
        #: Whether the levels are a guess: true from the start until somebody tells, or for as long
        #: as a bucket takes to fill.
        self._is_guessing = True
        #: Whether a hub of this zone guesses while this daemon knows.
        self._hub_needs_correction = False

    @property
    def _ledger(self) -> QuotaLedger:
        return self._state.quotas

    # Telling

    def own_report(self, now_s: float) -> QuotaReport | None:
        """Return what this daemon has used lately."""
        report = self._ledger.own_usage.report(now_s)
        self._pending_own_report = report or self._pending_own_report
        return report

    def zone_report(self, now_s: float) -> QuotaReport | None:
        """Return what this hub's zone has used lately, this hub's own use included."""
        if self._pending_own_report is not None:
            self._count_for_zone(self._state.settings.node_id, self._pending_own_report, now_s)
            self._pending_own_report = None
        return self._zone_use.report(now_s)

    def levels(self, now_s: float, *, complete: bool) -> QuotaLevels:
        """Return this daemon's estimates."""
        coverage_percent = round(self._ledger.refill_share.coverage * 100)
        levels = self._ledger.levels(now_s, complete=complete)
        return QuotaLevels(coverage_percent, complete, self._is_guessing, levels)

    def correction(self, now_s: float) -> QuotaLevels | None:
        """Return what a hub that guesses is to be told; None where there is nothing to correct."""
        if not self._hub_needs_correction:
            return None
        self._hub_needs_correction = False
        return self.levels(now_s, complete=True)

    # Hearing

    def handle_activity(
        self, sender_id: str, report: QuotaReport | None, correction: QuotaLevels | None
    ) -> None:
        """Count what one daemon has used."""
        now_s = self._state.clock()
        if correction is not None:
            self._adopt_levels(correction, now_s)
        self._daemon_received_at_s[sender_id] = now_s
        if report is not None:
            self._ledger.add_remote_usage(self._count_for_zone(sender_id, report, now_s), now_s)

    def handle_zone(
        self, sender_id: str, zone: str, report: QuotaReport | None, levels: QuotaLevels | None
    ) -> None:
        """Count what another zone has used.

        Both hubs of a zone have counted all of it. While the fleet changes both may speak, and only
        one must be counted: the one that spoke before, until it falls silent.
        """
        now_s = self._state.clock()
        speaker_id, heard_s = self._active_hubs.get(zone, (sender_id, self._started_s))
        silent_s = now_s - heard_s
        if sender_id == speaker_id or silent_s > ACTIVE_HUB_SILENCE_S:
            self._active_hubs[zone] = (sender_id, now_s)
            speaker_id = sender_id
        if report is not None:
            untold = min(1.0, silent_s / RESEND_WINDOW_S)
            news = self._zone_reader.receive(sender_id, report, untold)
            self._ledger.add_remote_usage(news if sender_id == speaker_id else {}, now_s, silent_s)
        if levels is not None:
            self._adopt_levels(levels, now_s)

    def handle_fleet(self, levels: QuotaLevels) -> None:
        """Take the word of this zone's speaking hub; another hub only corrects its own by it."""
        now_s = self._state.clock()
        self._hub_received_at_s = now_s
        if self._peers.view.is_hub:
            self._adopt_levels(levels, now_s)
            return
        self._ledger.set_refill_share(RefillShare(levels.coverage_percent / 100.0), now_s)
        self._hub_needs_correction = levels.is_guess and not self._is_guessing
        if not self._hub_needs_correction:
            self._ledger.replace(levels, now_s)
            self._is_guessing = self._is_guessing and levels.is_guess

    def _adopt_levels(self, levels: QuotaLevels, now_s: float) -> None:
        """Take another's word in place of a guess.

        One who knows counts on by itself: another's word has use in it that is yet to be heard of
        here, and would be counted twice.
        """
        if self._is_guessing and levels.complete and not levels.is_guess:
            self._ledger.replace(levels, now_s)
            self._is_guessing = False

    def _count_for_zone(
        self, sender_id: str, report: QuotaReport, now_s: float
    ) -> dict[int, float]:
        news = self._use_reader.receive(sender_id, report)
        for key, cost in news.items():
            self._zone_use.add(key, cost, now_s)
        return news

    # Coverage

    def tick(self, now_s: float) -> None:
        """Find out how much of the limits this daemon may count on."""
        view = self._peers.view
        self._update_seen(view, now_s)
        if now_s - self._started_s > STABILIZATION_S:
            self._is_guessing = False
        self._ledger.set_refill_share(self._supply(view, now_s), now_s)

    def _supply(self, view: FleetView, now_s: float) -> RefillShare:
        known = len(self._seen)
        if known <= 1 and self._has_other_seeds:
            return RefillShare(0.0, ISOLATED_SHARE / ASSUMED_DAEMON_COUNT, is_isolated=True)
        own_share = 1.0 / max(1, known)
        own_zone = self._state.settings.zone
        alone = RefillShare(0.0, ISOLATED_SHARE * own_share, is_isolated=True)
        waiting = RefillShare(0.0, ISOLATED_SHARE * own_share)
        if self._is_stabilizing(view, now_s):
            return RefillShare(own_share)
        if view.is_full_mesh or view.is_hub:
            missing = sum(1 for key in self._seen if not self._has_recent_report(key, now_s))
            if not view.is_full_mesh and self._lacks_recent_reports(view, now_s):
                missing = sum(1 for _, zone in self._seen.values() if zone != own_zone)
            if missing >= known - 1 > 0:
                return alone
            if view.is_full_mesh and self._lacks_recent_reports(view, now_s):
                return waiting
            return RefillShare(1.0 - missing / known)
        word_age_s = now_s - (self._hub_received_at_s or self._started_s)
        if word_age_s > SILENCE_S:
            return alone
        return self._ledger.refill_share if word_age_s <= HUB_REPORT_TTL_S else waiting

    def _is_stabilizing(self, view: FleetView, now_s: float) -> bool:
        """Whether this daemon is too young to know the fleet, and knows no level from a hub."""
        age_s = now_s - self._started_s
        if view.is_full_mesh and len(view.members) > 1:
            return age_s <= SMALL_FLEET_STABILIZATION_S
        if self._hub_received_at_s is not None or age_s > STABILIZATION_S:
            return False
        return view.is_full_mesh or not view.is_hub or age_s <= HUB_STABILIZATION_S

    def _update_seen(self, view: FleetView, now_s: float) -> None:
        for member in view.members:
            if member.status is MemberStatus.ALIVE:
                self._seen[member.member_id] = (now_s, member.zone)
        forgotten_s = now_s - daemon_memory_s(self._state.settings.bounds)
        for member_id in [key for key, (at_s, _) in self._seen.items() if at_s < forgotten_s]:
            del self._seen[member_id]

    def _lacks_recent_reports(self, view: FleetView, now_s: float) -> bool:
        """Whether no daemon of a small fleet, or no other zone's hub, was heard for some ticks.

        A zone whose hubs hear no other then counts on its own part of the limits: others count on
        the whole for half a second longer, which the tolerance of the limits bears.
        """
        if view.is_full_mesh:
            heard = list(self._daemon_received_at_s.values())
        else:
            heard = [heard_s for _, heard_s in self._active_hubs.values()]
        return bool(heard) and now_s - max(heard) > MAX_REPORT_GAP_S

    def _has_recent_report(self, member_id: str, now_s: float) -> bool:
        """Whether the use of a daemon is known here."""
        at_s, zone = self._seen[member_id]
        if at_s < now_s:
            return False
        if member_id == self._state.settings.node_id:
            return True
        if self._peers.view.is_full_mesh:
            return now_s - self._daemon_received_at_s.get(member_id, self._started_s) <= SILENCE_S
        if zone == self._state.settings.zone:
            return True
        heard_s = self._active_hubs[zone][1] if zone in self._active_hubs else self._started_s
        return now_s - heard_s <= SILENCE_S
