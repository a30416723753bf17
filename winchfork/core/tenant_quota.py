"""A tenant's limit, and one daemon's estimate of what the whole fleet has used of it.

A limit is a token bucket that refills at ``rate_per_s`` and holds ``burst`` units. Every daemon
admits requests by its own estimate, which includes its own usage at once and that of its peers when
they report it. Estimates lag, so operators tolerate some excess in each window: a part deepens the
bucket, the rest covers usage that is not reported yet.

A daemon that does not receive the reports of all others may use only a share of the refill
(``coverage``), and an isolated one only its own part, so that the sides of a network partition do
not each use the whole limit. No clocks, no I/O.
"""

from __future__ import annotations

import enum
from collections import deque

import msgspec

#: Share of the tolerated excess that deepens the bucket. The rest covers usage that is not reported
#: yet, for 0.06 to 0.12 s, and daemons that are cut off or have just started.
BURST_EXCESS_SHARE = 0.1
#: A bucket filled below this share is low: without coverage, a daemon then uses only its own part.
#: Otherwise every daemon would use up the rest for itself.
LOW_LEVEL_SHARE = 0.5
#: A hub's report includes the usage that this daemon counted at least this long before: two ticks
#: of a hub, and the transfer in both directions.
HUB_REPORT_LAG_S = 0.2


class QuotaUnit(enum.Enum):
    """Unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class TenantLimit(msgspec.Struct, frozen=True):
    """One tenant's limit: units per second and a burst in units.

    ``undeclared_cost`` is the cost of a request that does not declare its tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    undeclared_cost: float = 1.0

    def cost(self, declared_tokens: int | None) -> float:
        """Return the cost of a request in units."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.undeclared_cost if declared_tokens is None else float(declared_tokens)


class QuotaTolerance(msgspec.Struct, frozen=True):
    """The excess that operators tolerate in each window of ``window_s`` seconds.

    A tenant's use may reach ``(rate x window + burst) x (1 + overage) + slack``.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0

    def excess(self, limit: TenantLimit) -> float:
        """Return the units beyond the limit that are tolerated in a window."""
        return self.overage * (limit.rate_per_s * self.window_s + limit.burst) + self.slack


class RefillShare(msgspec.Struct, frozen=True):
    """The share of the refill that a daemon may use.

    ``coverage`` is the share of the fleet whose usage is received, or 0 while reports are overdue.
    ``own_share`` is this daemon's own part; with ``is_isolated`` set it may use no more than that.
    """

    coverage: float = 1.0
    own_share: float = 0.0
    is_isolated: bool = False


class QuotaRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request beyond the limit; its cost is available after ``retry_after_s``."""

    cost: float
    remaining: float
    retry_after_s: float


class TenantQuota:
    """One daemon's estimate of one tenant's bucket. Not thread-safe.

    ``used`` is the number of units missing from a full bucket as of the last :meth:`refill`. The
    usage before the daemon's start is unknown, so the bucket starts empty.
    """

    def __init__(self, limit: TenantLimit, tolerance: QuotaTolerance, now_s: float) -> None:
        self._tolerance = tolerance
        self._own_usage: deque[tuple[float, float]] = deque()
        self._own_allowance = 0.0
        self._at_s = now_s
        self.set_limit(limit)
        self.used = self._depth

    @property
    def limit(self) -> TenantLimit:
        """The current limit."""
        return self._limit

    @property
    def full_refill_s(self) -> float:
        """Seconds that an empty bucket takes to fill."""
        return self._depth / self._limit.rate_per_s

    def set_limit(self, limit: TenantLimit) -> None:
        """Change the limit; used units stay used."""
        self._limit = limit
        self._depth = limit.burst + BURST_EXCESS_SHARE * self._tolerance.excess(limit)

    def refill(self, refill_share: RefillShare, now_s: float) -> None:
        """Refill the bucket up to ``now_s`` by the share that this daemon may use."""
        inflow = self._limit.rate_per_s * max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        self.used = max(0.0, self.used - refill_share.coverage * inflow)
        share = refill_share.own_share
        self._own_allowance = min(share * self._depth, self._own_allowance + share * inflow)

    def remaining(self, refill_share: RefillShare) -> float:
        """Return the units that this daemon may use; negative if the bucket is overdrawn."""
        available = self._depth - self.used
        if refill_share.is_isolated or (self.is_low and not refill_share.coverage):
            return min(available, self._own_allowance)
        return available

    @property
    def is_low(self) -> bool:
        """Whether less than ``LOW_LEVEL_SHARE`` of the bucket remains."""
        return self._depth - self.used < LOW_LEVEL_SHARE * self._depth

    def try_acquire(
        self, cost: float, refill_share: RefillShare, now_s: float
    ) -> QuotaRefusal | None:
        """Use ``cost`` units, or return a refusal with the time to wait.

        A request that costs more than the burst is admitted once ``burst`` units are available, and
        overdraws the bucket by the rest.
        """
        needed = min(cost, self._limit.burst)
        available = self.remaining(refill_share)
        if available >= needed:
            self.use(cost, now_s)
            return None
        inflow_per_s = self._limit.rate_per_s * (refill_share.coverage or refill_share.own_share)
        wait_s = (
            (needed - available) / inflow_per_s if inflow_per_s > 0.0 else self._tolerance.window_s
        )
        return QuotaRefusal(cost, available, wait_s)

    def use(self, cost: float, now_s: float) -> None:
        """Count own usage regardless of the limit; a negative cost returns unused units."""
        self.used += cost
        self._own_allowance -= cost
        self._drop_reported_usage(now_s)
        self._own_usage.append((now_s, cost))

    def add_remote_usage(self, cost: float) -> None:
        """Count units that other daemons have used, or returned if negative."""
        self.used += cost

    def replace(self, used: float, now_s: float) -> None:
        """Replace the estimate by a hub's, and add own usage that the hub cannot know yet."""
        self._drop_reported_usage(now_s)
        # The hub's estimate already includes the refill up to now.
        self._at_s = max(self._at_s, now_s)
        self.used = used + sum(cost for _, cost in self._own_usage)

    def _drop_reported_usage(self, now_s: float) -> None:
        while self._own_usage and self._own_usage[0][0] < now_s - HUB_REPORT_LAG_S:
            self._own_usage.popleft()
