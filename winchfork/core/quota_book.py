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
    Supply,
    TenantLimit,
    TenantQuota,
)

#: Totals are told again for this long after they have changed, in case a message was lost.
TOLD_AGAIN_S = 1.0
#: Totals that have not changed since they were told are told again after this long.
RETELL_S = 0.3
#: Seconds for which a daemon's look at its coverage holds; it looks each 0.05 or 0.2 s.
COVERAGE_HOLDS_S = 0.5
#: Starts of a daemon that are remembered; a message outlives no more of them.
MOST_STARTS = 4
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
    lately: int


class QuotaReport(PeerMessage, frozen=True):
    """The totals of one sender that have changed lately."""

    life: int
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
    told_s: float = 0.0
    _mark_s: float = 0.0
    _used_at_mark: float = 0.0
    _used_before: float = 0.0

    def lately(self, now_s: float) -> float:
        """Return what was used since the mark before the last."""
        if now_s - self._mark_s >= TOLD_AGAIN_S:
            long_ago = now_s - self._mark_s >= 2 * TOLD_AGAIN_S
            self._used_before = self.used if long_ago else self._used_at_mark
            self._used_at_mark = self.used
            self._mark_s = now_s
        return self.used - self._used_before

    def add(self, cost: float, now_s: float) -> None:
        """Count use, or below 0 what was given back."""
        self.lately(now_s)
        self.used += max(0.0, cost)
        self.returned += max(0.0, -cost)
        self.changed_s = now_s


class UseTotals:
    """What was used and given back since a start, by tenant key."""

    def __init__(self, life: int) -> None:
        self._life = life
        self._totals: dict[int, _Total] = {}

    def add(self, key: int, cost: float, now_s: float) -> None:
        """Count use, or below 0 what was given back."""
        self._totals.setdefault(key, _Total()).add(cost, now_s)

    def report(self, now_s: float) -> QuotaReport | None:
        """Return the totals that are to be told now; None without any."""
        changed = tuple(
            _told(key, total, now_s) for key, total in self._totals.items() if _is_due(total, now_s)
        )
        return QuotaReport(self._life, changed) if changed else None


def _is_due(total: _Total, now_s: float) -> bool:
    """Whether a total is news, or was and may have been lost on its way."""
    if now_s - total.changed_s > TOLD_AGAIN_S:
        return False
    return total.told_s <= total.changed_s or now_s - total.told_s >= RETELL_S


def _told(key: int, total: _Total, now_s: float) -> QuotaTotals:
    total.told_s = now_s
    lately = round(total.lately(now_s))
    return QuotaTotals(key, round(total.used), round(total.returned), lately)


class _Heard(msgspec.Struct):
    """What was heard of one start of a daemon; ``from_start`` if all that it has used was."""

    from_start: bool
    totals: dict[int, QuotaTotals]


class UseReader:
    """Turns other daemons' totals into what is news since their last message."""

    def __init__(self) -> None:
        #: By sender and its start. Which start is the newest is not known: a message may be late.
        self._heard: dict[str, OrderedDict[int, _Heard]] = {}

    def read(
        self, sender_id: str, report: QuotaReport, stranger_share: float = 1.0
    ) -> dict[int, float]:
        """Return the units that are news, by tenant key; each start of a sender counts by itself.

        ``stranger_share`` is how much counts of what a sender that was not known has used lately:
        others may have told of the rest.
        """
        starts = self._heard.setdefault(sender_id, OrderedDict())
        heard = starts.get(report.life)
        if heard is None:
            heard = starts[report.life] = _Heard(bool(starts), {})
        starts.move_to_end(report.life)
        if len(starts) > MOST_STARTS:
            starts.popitem(last=False)
        news = {told.key: _news(heard, told, stranger_share) for told in report.totals}
        return {key: cost for key, cost in news.items() if cost}


def _news(heard: _Heard, told: QuotaTotals, stranger_share: float) -> float:
    known = heard.totals.get(told.key)
    if known is None:
        heard.totals[told.key] = told
        if heard.from_start:
            return told.used - told.returned
        return stranger_share * told.lately
    used = max(known.used, told.used)
    returned = max(known.returned, told.returned)
    heard.totals[told.key] = QuotaTotals(told.key, used, returned, told.lately)
    return (used - known.used) - (returned - known.returned)


class QuotaBook:
    """The quotas of all tenants. Not thread-safe."""

    def __init__(self, tolerance: QuotaTolerance, life: int) -> None:
        self._tolerance = tolerance
        self._quotas: dict[int, TenantQuota] = {}
        self._names: dict[int, str] = {}
        #: What this daemon counts on.
        self.supply = Supply()
        #: Until when that holds, and whether the last look came later: after an own standstill.
        self._holds_until_s = math.inf
        self._looked_late = False
        #: This daemon's own use, to be told to peers.
        self.own = UseTotals(life)

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
                self._settle(known, now_s)
                known.change(limits[name])

    def take(self, tenant: str, cost: float, now_s: float) -> QuotaRefusal | None:
        """Use a tenant's quota, or say when to come back."""
        key = tenant_key(tenant)
        quota = self._quotas.get(key)
        if quota is None:
            return None
        self._settle(quota, now_s)
        refusal = quota.take(cost, self.supply, now_s)
        if refusal is None:
            self.own.add(key, cost, now_s)
        return refusal

    def charge(self, tenant: str, cost: float, now_s: float) -> None:
        """Count a request that is sent again; below 0, give back one that has not run."""
        key = tenant_key(tenant)
        quota = self._quotas.get(key)
        if quota is not None:
            self._settle(quota, now_s)
            quota.use(cost, now_s)
            self.own.add(key, cost, now_s)

    # Other daemons

    def add_others(self, news: Mapping[int, float], now_s: float, unheard_s: float = 0.0) -> None:
        """Count what other daemons have used in ``unheard_s``, after what has flowed in before.

        Of what was used over a longer time than a bucket takes to fill, the older part has flowed
        in again: counted at once, the news of a zone that was cut off left tenants nothing for
        seconds after its return.
        """
        for key, cost in news.items():
            quota = self._quotas.get(key)
            if quota is not None:
                self._settle(quota, now_s)
                quota.add_others(cost * min(1.0, quota.fill_s / max(unheard_s, 1e-3)))

    def replace(self, told: QuotaLevels, now_s: float) -> None:
        """Take a hub's word on the levels."""
        named = {level.key: level.used for level in told.levels}
        for key, quota in self._quotas.items():
            if key in named or told.complete:
                self._settle(quota, now_s)
                quota.replace(named.get(key, 0), now_s)

    def levels(self, now_s: float, *, complete: bool) -> tuple[QuotaLevel, ...]:
        """Return the tenants whose buckets are not full, or only the low ones."""
        for quota in self._quotas.values():
            self._settle(quota, now_s)
        return tuple(
            QuotaLevel(key, round(quota.used))
            for key, quota in self._quotas.items()
            if (quota.used >= 1.0 if complete else quota.is_low)
        )

    def left(self, now_s: float) -> dict[str, float]:
        """Return the units that each tenant may use now."""
        for quota in self._quotas.values():
            self._settle(quota, now_s)
        return {self._names[key]: quota.left(self.supply) for key, quota in self._quotas.items()}

    def count_on(self, supply: Supply, now_s: float) -> None:
        """Count on a supply from now on.

        After an own standstill the news of that time is yet to be read, so what flowed in
        meanwhile may be used from the next look on.
        """
        if supply != self.supply:
            for quota in self._quotas.values():
                self._settle(quota, now_s)
            self.supply = supply
        self._looked_late = now_s > self._holds_until_s and not self._looked_late
        if not self._looked_late:
            self._holds_until_s = now_s + COVERAGE_HOLDS_S

    def _settle(self, quota: TenantQuota, now_s: float) -> None:
        """Let flow in what is certain; beyond the time for which the coverage holds, it waits."""
        quota.settle(self.supply, min(now_s, self._holds_until_s))
