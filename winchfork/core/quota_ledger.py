"""One daemon's ledger of all tenants' quotas, and the usage that daemons report. No I/O.

Usage is reported as totals since a daemon's start, so that the next message corrects for one that
was lost, late or duplicated. ``start_id`` identifies one start of a daemon. Times are seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from winchfork.core.peer_message import PeerMessage
from winchfork.core.rendezvous import member_hash
from winchfork.core.tenant_quota import (
    QuotaRefusal,
    QuotaTolerance,
    RefillShare,
    TenantLimit,
    TenantQuota,
)

#: Totals are resent for this long after their last change, in case a message was lost.
RESEND_WINDOW_S = 1.0
#: Interval between two sends of an unchanged total.
RESEND_INTERVAL_S = 0.3
#: Validity of a coverage check in seconds; hubs check each 0.05 s, other daemons each 0.2 s.
COVERAGE_TTL_S = 0.5
#: Starts of one daemon that are remembered; no message outlives more of them.
MAX_STARTS = 4
#: Reduces a 64-bit hash to a tenant key of 32 bits, which tell tenants apart in half of the bytes.
_KEY_SHIFT = 32


class QuotaTotals(PeerMessage, frozen=True):
    """Units of one tenant that the sender has used and returned since its start.

    ``recent`` are the units used within the last one to two ``RESEND_WINDOW_S``. A receiver that
    did not know the sender counts only these, since other daemons may have reported the rest.
    """

    key: int
    used: int
    returned: int
    recent: int


class QuotaReport(PeerMessage, frozen=True):
    """The recently changed totals of one sender."""

    start_id: int
    totals: tuple[QuotaTotals, ...]


class QuotaLevel(PeerMessage, frozen=True):
    """The units that are missing from a tenant's full bucket."""

    key: int
    used: int


class QuotaLevels(PeerMessage, frozen=True):
    """A daemon's estimated levels. If ``complete``, a tenant that is not listed has a full bucket.

    ``coverage_percent`` is the share of the limits that this part of the fleet may use.
    ``is_guess`` marks the levels of a daemon that has just started and has received no usage yet.
    """

    coverage_percent: int
    complete: bool
    is_guess: bool
    levels: tuple[QuotaLevel, ...]


def tenant_key(name: str) -> int:
    """Return the number that identifies a tenant in messages between daemons."""
    return member_hash(name) >> _KEY_SHIFT


class _Total(msgspec.Struct):
    used: float = 0.0
    returned: float = 0.0
    changed_s: float = 0.0
    sent_at_s: float = 0.0
    _mark_s: float = 0.0
    _used_at_mark: float = 0.0
    _used_before: float = 0.0

    def recent(self, now_s: float) -> float:
        """Return the units used since the mark before the last one."""
        if now_s - self._mark_s >= RESEND_WINDOW_S:
            is_mark_old = now_s - self._mark_s >= 2 * RESEND_WINDOW_S
            self._used_before = self.used if is_mark_old else self._used_at_mark
            self._used_at_mark = self.used
            self._mark_s = now_s
        return self.used - self._used_before

    def add(self, cost: float, now_s: float) -> None:
        """Add used units, or returned ones if ``cost`` is negative."""
        self.recent(now_s)
        self.used += max(0.0, cost)
        self.returned += max(0.0, -cost)
        self.changed_s = now_s


class UsageTotals:
    """Units used and returned since a daemon's start, by tenant key."""

    def __init__(self, start_id: int) -> None:
        self._start_id = start_id
        self._totals: dict[int, _Total] = {}

    def add(self, key: int, cost: float, now_s: float) -> None:
        """Add used units, or returned ones if ``cost`` is negative."""
        self._totals.setdefault(key, _Total()).add(cost, now_s)

    def report(self, now_s: float) -> QuotaReport | None:
        """Return the totals that are due to be sent; None if there are none."""
        changed = tuple(
            _mark_sent(key, total, now_s)
            for key, total in self._totals.items()
            if _is_due(total, now_s)
        )
        return QuotaReport(self._start_id, changed) if changed else None


def _is_due(total: _Total, now_s: float) -> bool:
    """Whether a total has changed since it was sent, or is due to be resent."""
    if now_s - total.changed_s > RESEND_WINDOW_S:
        return False
    return total.sent_at_s <= total.changed_s or now_s - total.sent_at_s >= RESEND_INTERVAL_S


def _mark_sent(key: int, total: _Total, now_s: float) -> QuotaTotals:
    total.sent_at_s = now_s
    recent = round(total.recent(now_s))
    return QuotaTotals(key, round(total.used), round(total.returned), recent)


class _ReceivedTotals(msgspec.Struct):
    """Totals received from one start of a daemon.

    ``from_start`` is set if another start of the daemon was known before. All usage of this start
    then counts when first reported, not only the recent part.
    """

    from_start: bool
    totals: dict[int, QuotaTotals]


class UsageReceiver:
    """Converts other daemons' totals into the units used since their last message."""

    def __init__(self) -> None:
        #: By sender and start. Starts are not ordered, since messages of an older one may be late.
        self._received: dict[str, OrderedDict[int, _ReceivedTotals]] = {}

    def receive(
        self, sender_id: str, report: QuotaReport, unknown_sender_share: float = 1.0
    ) -> dict[int, float]:
        """Return the newly used units by tenant key; each start of a sender is counted separately.

        ``unknown_sender_share`` is the share of an unknown sender's recent usage that is counted,
        since other daemons may have reported the rest.
        """
        starts = self._received.setdefault(sender_id, OrderedDict())
        received = starts.get(report.start_id)
        if received is None:
            received = starts[report.start_id] = _ReceivedTotals(bool(starts), {})
        starts.move_to_end(report.start_id)
        if len(starts) > MAX_STARTS:
            starts.popitem(last=False)
        usage = {
            totals.key: _new_usage(received, totals, unknown_sender_share)
            for totals in report.totals
        }
        return {key: cost for key, cost in usage.items() if cost}


def _new_usage(
    received: _ReceivedTotals, totals: QuotaTotals, unknown_sender_share: float
) -> float:
    known = received.totals.get(totals.key)
    if known is None:
        received.totals[totals.key] = totals
        if received.from_start:
            return totals.used - totals.returned
        return unknown_sender_share * totals.recent
    used = max(known.used, totals.used)
    returned = max(known.returned, totals.returned)
    received.totals[totals.key] = QuotaTotals(totals.key, used, returned, totals.recent)
    return (used - known.used) - (returned - known.returned)


class QuotaLedger:
    """The quotas of all tenants. Not thread-safe."""

    def __init__(self, tolerance: QuotaTolerance, start_id: int) -> None:
        self._tolerance = tolerance
        self._quotas: dict[int, TenantQuota] = {}
        self._names: dict[int, str] = {}
        #: Share of the refill that this daemon may use.
        self.refill_share = RefillShare()
        self._coverage_valid_until_s = math.inf
        #: Whether the last check was the first one after the coverage expired, as after a stall.
        self._was_check_late = False
        #: This daemon's own usage, to be reported to peers.
        self.own_usage = UsageTotals(start_id)

    def install(self, limits: Mapping[str, TenantLimit], now_s: float) -> None:
        """Apply the limits of a configuration."""
        keys = {tenant_key(name): name for name in limits}
        for key in self._quotas.keys() - keys.keys():
            del self._quotas[key]
        self._names = keys
        for key, name in keys.items():
            known = self._quotas.get(key)
            if known is None:
                self._quotas[key] = TenantQuota(limits[name], self._tolerance, now_s)
            elif known.limit != limits[name]:
                self._refill(known, now_s)
                known.set_limit(limits[name])

    def try_acquire(self, tenant: str, cost: float, now_s: float) -> QuotaRefusal | None:
        """Use ``cost`` units of a tenant's quota, or return a refusal with the time to wait."""
        key = tenant_key(tenant)
        quota = self._quotas.get(key)
        if quota is None:
            return None
        self._refill(quota, now_s)
        refusal = quota.try_acquire(cost, self.refill_share, now_s)
        if refusal is None:
            self.own_usage.add(key, cost, now_s)
        return refusal

    def charge(self, tenant: str, cost: float, now_s: float) -> None:
        """Charge a resent request; a negative cost refunds a request that has not run."""
        key = tenant_key(tenant)
        quota = self._quotas.get(key)
        if quota is not None:
            self._refill(quota, now_s)
            quota.use(cost, now_s)
            self.own_usage.add(key, cost, now_s)

    # Other daemons

    def add_remote_usage(
        self, usage: Mapping[int, float], now_s: float, silent_s: float = 0.0
    ) -> None:
        """Count what other daemons have used in the ``silent_s`` seconds before the report.

        If that is longer than a bucket takes to fill, only the part used within the fill time
        counts: the rest has been refilled since. Counting all of it would leave tenants without
        quota for seconds after a zone that was cut off returns.
        """
        for key, cost in usage.items():
            quota = self._quotas.get(key)
            if quota is not None:
                self._refill(quota, now_s)
                quota.add_remote_usage(cost * min(1.0, quota.full_refill_s / max(silent_s, 1e-3)))

    def replace(self, reported: QuotaLevels, now_s: float) -> None:
        """Replace the estimated levels by those that a hub has reported."""
        used_by_key = {level.key: level.used for level in reported.levels}
        for key, quota in self._quotas.items():
            if key in used_by_key or reported.complete:
                self._refill(quota, now_s)
                quota.replace(used_by_key.get(key, 0), now_s)

    def levels(self, now_s: float, *, complete: bool) -> tuple[QuotaLevel, ...]:
        """Return the levels of all buckets that are not full, or only of low ones."""
        for quota in self._quotas.values():
            self._refill(quota, now_s)
        return tuple(
            QuotaLevel(key, round(quota.used))
            for key, quota in self._quotas.items()
            if (quota.used >= 1.0 if complete else quota.is_low)
        )

    def remaining(self, now_s: float) -> dict[str, float]:
        """Return the units that each tenant may use now."""
        for quota in self._quotas.values():
            self._refill(quota, now_s)
        return {
            self._names[key]: quota.remaining(self.refill_share)
            for key, quota in self._quotas.items()
        }

    def set_refill_share(self, refill_share: RefillShare, now_s: float) -> None:
        """Set the share of the refill that this daemon may use from now on.

        After a stall, the refill of that time is released only at the next check, since messages
        that report the others' usage in the meantime may still be unread.
        """
        if refill_share != self.refill_share:
            for quota in self._quotas.values():
                self._refill(quota, now_s)
            self.refill_share = refill_share
        self._was_check_late = now_s > self._coverage_valid_until_s and not self._was_check_late
        if not self._was_check_late:
            self._coverage_valid_until_s = now_s + COVERAGE_TTL_S

    def _refill(self, quota: TenantQuota, now_s: float) -> None:
        """Refill a bucket, at most up to the end of the coverage's validity."""
        quota.refill(self.refill_share, min(now_s, self._coverage_valid_until_s))
