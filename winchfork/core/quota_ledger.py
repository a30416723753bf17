"""Every tenant's quota as one daemon keeps it, and what daemons tell each other of them. No I/O.

Use is told as totals since a daemon's start, so that a message that is lost, late or comes twice
does no harm: the next one makes up for it. ``life`` tells one start of a daemon from another.
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

#: Totals are told again for this long after they have changed, in case a message was lost.
RESEND_WINDOW_S = 1.0
#: Totals that have not changed since they were told are told again after this long.
RESEND_INTERVAL_S = 0.3
#: Seconds for which a daemon's look at its coverage holds; it looks each 0.05 or 0.2 s.
COVERAGE_TTL_S = 0.5
#: Starts of a daemon that are remembered; a message outlives no more of them.
MAX_STARTS = 4
#: Bits dropped of a name's hash: 32 tell tenants apart in half of the bytes.
_KEY_SHIFT = 32


class QuotaTotals(PeerMessage, frozen=True):
    """Units of one tenant that the sender has used and given back since its start.

    ``lately`` are those used in the last second or two: all that a receiver may count that has
    heard nothing of the sender's earlier use, and does not know what others have counted of it.
    """

    key: int
    used: int
    returned: int
    recent: int


class QuotaReport(PeerMessage, frozen=True):
    """The totals of one sender that have changed lately."""

    start_id: int
    totals: tuple[QuotaTotals, ...]


class QuotaLevel(PeerMessage, frozen=True):
    """Units that are missing from a tenant's full bucket."""

    key: int
    used: int


class QuotaLevels(PeerMessage, frozen=True):
    """A daemon's estimates; a tenant that is not named has a full bucket if they are ``complete``.

    ``coverage_percent`` is how much of the limits this part of the fleet may use. A guess is made
    by one that has just started and has heard of no use before.
    """

    coverage_percent: int
    complete: bool
    is_guess: bool
    levels: tuple[QuotaLevel, ...]


def tenant_key(name: str) -> int:
    """Return the number by which daemons name a tenant to each other."""
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
        """Return what was used since the mark before the last."""
        if now_s - self._mark_s >= RESEND_WINDOW_S:
            long_ago = now_s - self._mark_s >= 2 * RESEND_WINDOW_S
            self._used_before = self.used if long_ago else self._used_at_mark
            self._used_at_mark = self.used
            self._mark_s = now_s
        return self.used - self._used_before

    def add(self, cost: float, now_s: float) -> None:
        """Count use, or below 0 what was given back."""
        self.recent(now_s)
        self.used += max(0.0, cost)
        self.returned += max(0.0, -cost)
        self.changed_s = now_s


class UsageTotals:
    """What was used and given back since a start, by tenant key."""

    def __init__(self, start_id: int) -> None:
        self._start_id = start_id
        self._totals: dict[int, _Total] = {}

    def add(self, key: int, cost: float, now_s: float) -> None:
        """Count use, or below 0 what was given back."""
        self._totals.setdefault(key, _Total()).add(cost, now_s)

    def report(self, now_s: float) -> QuotaReport | None:
        """Return the totals that are to be told now; None without any."""
        changed = tuple(
            _mark_sent(key, total, now_s)
            for key, total in self._totals.items()
            if _is_due(total, now_s)
        )
        return QuotaReport(self._start_id, changed) if changed else None


def _is_due(total: _Total, now_s: float) -> bool:
    """Whether a total is news, or was and may have been lost on its way."""
    if now_s - total.changed_s > RESEND_WINDOW_S:
        return False
    return total.sent_at_s <= total.changed_s or now_s - total.sent_at_s >= RESEND_INTERVAL_S


def _mark_sent(key: int, total: _Total, now_s: float) -> QuotaTotals:
    total.sent_at_s = now_s
    lately = round(total.recent(now_s))
    return QuotaTotals(key, round(total.used), round(total.returned), lately)


class _ReceivedTotals(msgspec.Struct):
    """What was heard of one start of a daemon; ``from_start`` if all that it has used was."""

    from_start: bool
    totals: dict[int, QuotaTotals]


class UsageReceiver:
    """Turns other daemons' totals into what is news since their last message."""

    def __init__(self) -> None:
        #: By sender and its start. Which start is the newest is not known: a message may be late.
        self._received: dict[str, OrderedDict[int, _ReceivedTotals]] = {}

    def receive(
        self, sender_id: str, report: QuotaReport, unknown_sender_share: float = 1.0
    ) -> dict[int, float]:
        """Return the units that are news, by tenant key; each start of a sender counts by itself.

        ``stranger_share`` is how much counts of what a sender that was not known has used lately:
        others may have told of the rest.
        """
        starts = self._received.setdefault(sender_id, OrderedDict())
        heard = starts.get(report.start_id)
        if heard is None:
            heard = starts[report.start_id] = _ReceivedTotals(bool(starts), {})
        starts.move_to_end(report.start_id)
        if len(starts) > MAX_STARTS:
            starts.popitem(last=False)
        news = {told.key: _new_usage(heard, told, unknown_sender_share) for told in report.totals}
        return {key: cost for key, cost in news.items() if cost}


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
        #: What this daemon counts on.
        self.refill_share = RefillShare()
        #: Until when that holds, and whether the last look came later: after an own standstill.
        self._coverage_valid_until_s = math.inf
        self._was_check_late = False
        #: This daemon's own use, to be told to peers.
        self.own_usage = UsageTotals(start_id)

    def install(self, limits: Mapping[str, TenantLimit], now_s: float) -> None:
        """Put the limits of a configuration in force."""
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
        """Use a tenant's quota, or say when to come back."""
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
        """Count a request that is sent again; below 0, give back one that has not run."""
        key = tenant_key(tenant)
        quota = self._quotas.get(key)
        if quota is not None:
            self._refill(quota, now_s)
            quota.use(cost, now_s)
            self.own_usage.add(key, cost, now_s)

    # Other daemons

    def add_remote_usage(
        self, news: Mapping[int, float], now_s: float, silent_s: float = 0.0
    ) -> None:
        """Count what other daemons have used in ``unheard_s``, after what has flowed in before.

        Of what was used over a longer time than a bucket takes to fill, the older part has flowed
        in again: counted at once, the news of a zone that was cut off left tenants nothing for
        seconds after its return.
        """
        for key, cost in news.items():
            quota = self._quotas.get(key)
            if quota is not None:
                self._refill(quota, now_s)
                quota.add_remote_usage(cost * min(1.0, quota.full_refill_s / max(silent_s, 1e-3)))

    def replace(self, reported: QuotaLevels, now_s: float) -> None:
        """Take a hub's word on the levels."""
        named = {level.key: level.used for level in reported.levels}
        for key, quota in self._quotas.items():
            if key in named or reported.complete:
                self._refill(quota, now_s)
                quota.replace(named.get(key, 0), now_s)

    def levels(self, now_s: float, *, complete: bool) -> tuple[QuotaLevel, ...]:
        """Return the tenants whose buckets are not full, or only the low ones."""
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
        """Count on a supply from now on.

        After an own standstill the news of that time is yet to be read, so what flowed in
        meanwhile may be used from the next look on.
        """
        if refill_share != self.refill_share:
            for quota in self._quotas.values():
                self._refill(quota, now_s)
            self.refill_share = refill_share
        self._was_check_late = now_s > self._coverage_valid_until_s and not self._was_check_late
        if not self._was_check_late:
            self._coverage_valid_until_s = now_s + COVERAGE_TTL_S

    def _refill(self, quota: TenantQuota, now_s: float) -> None:
        """Let flow in what is certain; beyond the time for which the coverage holds, it waits."""
        quota.refill(self.refill_share, min(now_s, self._coverage_valid_until_s))
