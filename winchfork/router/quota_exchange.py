"""Exchanges the use of the tenants' quotas between daemons, as part of their messages about work.

In a full mesh every daemon counts the use that every other reports. Otherwise the hubs count the
use of their zone and of other zones, and send their zone the levels of the token buckets. A daemon
without recent reports from a hub, and a hub without reports from every zone, uses only a share of
the limits: see :class:`winchfork.core.tenant_quota.RefillShare`.
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

#: Seconds without a report after which a hub, a daemon or another zone counts as unreachable: two
#: of the complete messages that a hub sends each half second.
SILENCE_S = 1.0
#: Seconds without a report after which another hub of a zone becomes its active one: a little more
#: than that hub waits before it sends.
ACTIVE_HUB_SILENCE_S = 0.75
#: Seconds for which a hub's levels are valid. A hub sends the levels of tenants at their limits
#: with each tick, and the buckets of others are full.
HUB_REPORT_TTL_S = 0.25
#: Seconds within which a daemon of a full mesh, or a hub, has to receive any report: covers the
#: interval between two ticks, and between two complete messages of hubs.
MAX_REPORT_GAP_S = 0.55
#: Seconds after its start for which a daemon without a hub's report uses its equal share only.
STABILIZATION_S = 4.0
#: The same for a daemon that sees itself as a hub, as new daemons may until they know all members.
HUB_STABILIZATION_S = 0.6
#: The same in a full mesh, whose daemons know each other after a few probes.
FULL_MESH_STABILIZATION_S = 1.5
#: Part of its equal share that an isolated daemon uses: others use the whole until they notice. At
#: a half, a third of a fleet that was cut off exceeded a limit by 0.5 %.
ISOLATED_SHARE = 0.25
#: Seconds for which a daemon that has vanished may go on using quotas, if API keys never expire.
VANISHED_DAEMON_USE_S = 60.0


def daemon_memory_s(bounds: RouterBounds) -> float:
    """Return for how many seconds a vanished daemon still counts as using quotas."""
    return bounds.revoke_s if bounds.fail_closed else VANISHED_DAEMON_USE_S


class QuotaExchange:
    """Builds and handles one daemon's quota reports, and sets its share of the limits."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._started_s = state.clock()
        own_ip = state.settings.machine_ip
        self._has_other_seeds = any(
            seed.rpartition(":")[0] != own_ip for seed in state.settings.seeds
        )
        self._daemon_receiver = UsageReceiver()
        self._zone_usage = UsageTotals(state.start_id)
        #: This daemon's last report, until it is counted in its zone's totals.
        self._pending_own_report: QuotaReport | None = None
        #: When each daemon was last alive, and its zone, by id.
        self._seen: dict[str, tuple[float, str]] = {}
        self._zone_receiver = UsageReceiver()
        #: The active hub of each other zone, and when its last message was received.
        self._active_hubs: dict[str, tuple[str, float]] = {}
        self._daemon_received_at_s: dict[str, float] = {}
        self._hub_received_at_s: float | None = None
        #: Whether the levels are a guess: from the start until reported levels are adopted, at most
        #: for ``STABILIZATION_S``.
        self._is_guessing = True
        #: Whether a hub of this zone sends guessed levels while those of this daemon are certain.
        self._hub_needs_correction = False

    @property
    def _ledger(self) -> QuotaLedger:
        return self._state.quotas

    # Sending

    def own_report(self, now_s: float) -> QuotaReport | None:
        """Return this daemon's totals that have changed recently, or None."""
        report = self._ledger.own_usage.report(now_s)
        self._pending_own_report = report or self._pending_own_report
        return report

    def zone_report(self, now_s: float) -> QuotaReport | None:
        """Return the recently changed totals of this hub's zone, its own use included, or None."""
        if self._pending_own_report is not None:
            self._count_for_zone(self._state.settings.node_id, self._pending_own_report, now_s)
            self._pending_own_report = None
        return self._zone_usage.report(now_s)

    def levels(self, now_s: float, *, complete: bool) -> QuotaLevels:
        """Return this daemon's estimated bucket levels, all or only the low ones."""
        coverage_percent = round(self._ledger.refill_share.coverage * 100)
        levels = self._ledger.levels(now_s, complete=complete)
        return QuotaLevels(coverage_percent, complete, self._is_guessing, levels)

    def correction(self, now_s: float) -> QuotaLevels | None:
        """Return the levels for a hub whose own are a guess, or None if none needs them."""
        if not self._hub_needs_correction:
            return None
        self._hub_needs_correction = False
        return self.levels(now_s, complete=True)

    # Receiving

    def handle_activity(
        self, sender_id: str, report: QuotaReport | None, correction: QuotaLevels | None
    ) -> None:
        """Count the use that one daemon reports."""
        now_s = self._state.clock()
        if correction is not None:
            self._adopt_levels(correction, now_s)
        self._daemon_received_at_s[sender_id] = now_s
        if report is not None:
            self._ledger.add_remote_usage(self._count_for_zone(sender_id, report, now_s), now_s)

    def handle_zone(
        self, sender_id: str, zone: str, report: QuotaReport | None, levels: QuotaLevels | None
    ) -> None:
        """Count the use that another zone reports.

        Each hub of a zone counts the zone's whole use. While membership changes both may send, so
        only the active hub's reports count: the one that sent before, until it falls silent.
        """
        now_s = self._state.clock()
        active_id, received_at_s = self._active_hubs.get(zone, (sender_id, self._started_s))
        silent_s = now_s - received_at_s
        if sender_id == active_id or silent_s > ACTIVE_HUB_SILENCE_S:
            self._active_hubs[zone] = (sender_id, now_s)
            active_id = sender_id
        if report is not None:
            unreported_share = min(1.0, silent_s / RESEND_WINDOW_S)
            usage = self._zone_receiver.receive(sender_id, report, unreported_share)
            self._ledger.add_remote_usage(usage if sender_id == active_id else {}, now_s, silent_s)
        if levels is not None:
            self._adopt_levels(levels, now_s)

    def handle_fleet(self, levels: QuotaLevels) -> None:
        """Adopt the levels of this zone's active hub; on another hub, only in place of a guess."""
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
        """Replace a guess by another daemon's levels.

        Certain levels are not replaced: the other's include use that will be reported here later,
        and would then be counted twice.
        """
        if self._is_guessing and levels.complete and not levels.is_guess:
            self._ledger.replace(levels, now_s)
            self._is_guessing = False

    def _count_for_zone(
        self, sender_id: str, report: QuotaReport, now_s: float
    ) -> dict[int, float]:
        usage = self._daemon_receiver.receive(sender_id, report)
        for key, cost in usage.items():
            self._zone_usage.add(key, cost, now_s)
        return usage

    # Coverage

    def tick(self, now_s: float) -> None:
        """Update the share of the limits that this daemon may use."""
        view = self._peers.view
        self._update_seen(view, now_s)
        if now_s - self._started_s > STABILIZATION_S:
            self._is_guessing = False
        self._ledger.set_refill_share(self._refill_share(view, now_s), now_s)

    def _refill_share(self, view: FleetView, now_s: float) -> RefillShare:
        known = len(self._seen)
        if known <= 1 and self._has_other_seeds:
            return RefillShare(0.0, ISOLATED_SHARE / ASSUMED_DAEMON_COUNT, is_isolated=True)
        own_share = 1.0 / max(1, known)
        own_zone = self._state.settings.zone
        isolated = RefillShare(0.0, ISOLATED_SHARE * own_share, is_isolated=True)
        uncertain = RefillShare(0.0, ISOLATED_SHARE * own_share)
        if self._is_stabilizing(view, now_s):
            return RefillShare(own_share)
        if view.is_full_mesh or view.is_hub:
            missing = sum(1 for key in self._seen if not self._has_recent_report(key, now_s))
            if not view.is_full_mesh and self._lacks_recent_reports(view, now_s):
                missing = sum(1 for _, zone in self._seen.values() if zone != own_zone)
            if missing >= known - 1 > 0:
                return isolated
            if view.is_full_mesh and self._lacks_recent_reports(view, now_s):
                return uncertain
            return RefillShare(1.0 - missing / known)
        report_age_s = now_s - (self._hub_received_at_s or self._started_s)
        if report_age_s > SILENCE_S:
            return isolated
        return self._ledger.refill_share if report_age_s <= HUB_REPORT_TTL_S else uncertain

    def _is_stabilizing(self, view: FleetView, now_s: float) -> bool:
        """Whether this daemon is too new to know all members, and has no levels from a hub."""
        age_s = now_s - self._started_s
        if view.is_full_mesh and len(view.members) > 1:
            return age_s <= FULL_MESH_STABILIZATION_S
        if self._hub_received_at_s is not None or age_s > STABILIZATION_S:
            return False
        return view.is_full_mesh or not view.is_hub or age_s <= HUB_STABILIZATION_S

    def _update_seen(self, view: FleetView, now_s: float) -> None:
        for member in view.members:
            if member.status is MemberStatus.ALIVE:
                self._seen[member.member_id] = (now_s, member.zone)
        expired_before_s = now_s - daemon_memory_s(self._state.settings.bounds)
        for member_id in [key for key, (at_s, _) in self._seen.items() if at_s < expired_before_s]:
            del self._seen[member_id]

    def _lacks_recent_reports(self, view: FleetView, now_s: float) -> bool:
        """Whether no daemon of a full mesh, or no hub of another zone, has reported recently.

        A zone whose hubs receive nothing then uses its own share of the limits; others use the
        whole for half a second longer, which the tolerance of the limits covers.
        """
        if view.is_full_mesh:
            times = list(self._daemon_received_at_s.values())
        else:
            times = [received_at_s for _, received_at_s in self._active_hubs.values()]
        return bool(times) and now_s - max(times) > MAX_REPORT_GAP_S

    def _has_recent_report(self, member_id: str, now_s: float) -> bool:
        """Whether recent reports cover a daemon's use; False for one that is no longer alive."""
        at_s, zone = self._seen[member_id]
        if at_s < now_s:
            return False
        if member_id == self._state.settings.node_id:
            return True
        if self._peers.view.is_full_mesh:
            return now_s - self._daemon_received_at_s.get(member_id, self._started_s) <= SILENCE_S
        if zone == self._state.settings.zone:
            return True
        received_at_s = self._active_hubs[zone][1] if zone in self._active_hubs else self._started_s
        return now_s - received_at_s <= SILENCE_S
