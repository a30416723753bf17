"""What a tenant may use, and what one daemon believes the whole fleet has used of it.

A limit is a token bucket: ``rate_per_s`` flows in, ``burst`` is its depth. Every daemon admits by
an estimate of its own: its own use at once, that of others as peers tell of it. Estimates lag, so
the operators tolerate some excess in each window. A part of that tolerance is left to callers, the
rest to what is on its way between daemons.

A daemon that does not hear of all others may only use a share of what flows in (``coverage``), and
one that hears of nobody only a part of its own besides, so that parts of a fleet that are cut from
each other do not use the whole limit each. No clocks, no I/O.
"""

from __future__ import annotations

import enum
from collections import deque

import msgspec

#: Share of the tolerated excess that a tenant may use as a deeper bucket. The rest is for news on
#: its way, which takes 0.06 to 0.12 s, and for daemons that are cut off or have just started.
BURST_EXCESS_SHARE = 0.1
#: Share of a bucket below which what is left is no longer taken for granted once a hub's word has
#: grown old: at a limit every daemon would use it up for itself.
LOW_LEVEL_SHARE = 0.5
#: Seconds after which a daemon's own use is part of what a hub has told it: two ticks of a hub and
#: the ways there and back.
HUB_REPORT_LAG_S = 0.2


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class TenantLimit(msgspec.Struct, frozen=True):
    """One tenant's limit in units a second and a burst of units.

    ``undeclared_cost`` is what a request counts as that does not say how many tokens it uses.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    undeclared_cost: float = 1.0

    def cost(self, declared_tokens: int | None) -> float:
        """Return what a request counts as."""
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
    """How much of what flows in a daemon counts on.

    ``coverage`` is the share of the fleet whose use is heard of. ``own_share`` is this daemon's own
    part: one that ``is_alone`` uses no more than that. One that waits for its hub's next word has
    no coverage for the moment.
    """

    coverage: float = 1.0
    own_share: float = 0.0
    is_isolated: bool = False


class QuotaRefusal(msgspec.Struct, frozen=True):
    """A request beyond the limit: ``retry_after_s`` is when the bucket will hold its cost."""

    cost: float
    remaining: float
    retry_after_s: float


class TenantQuota:
    """One tenant's bucket as one daemon believes it to be. Not thread-safe.

    ``used`` is what is missing from a full bucket, in units, as of the last :meth:`settle`. A new
    daemon has forgotten what was used before its start, so it begins with nothing left.
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
        """The limit in force."""
        return self._limit

    @property
    def full_refill_s(self) -> float:
        """Seconds in which an empty bucket is full."""
        return self._depth / self._limit.rate_per_s

    def set_limit(self, limit: TenantLimit) -> None:
        """Put another limit in force; what was used stays used."""
        self._limit = limit
        self._depth = limit.burst + BURST_EXCESS_SHARE * self._tolerance.excess(limit)

    def refill(self, refill_share: RefillShare, now_s: float) -> None:
        """Let what has flowed in until now be used, as far as this daemon may count on it."""
        inflow = self._limit.rate_per_s * max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        self.used = max(0.0, self.used - refill_share.coverage * inflow)
        share = refill_share.own_share
        self._own_allowance = min(share * self._depth, self._own_allowance + share * inflow)

    def remaining(self, refill_share: RefillShare) -> float:
        """Return the units that may be used; below 0 after others have used them as well."""
        left = self._depth - self.used
        if refill_share.is_isolated or (self.is_low and not refill_share.coverage):
            return min(left, self._own_allowance)
        return left

    @property
    def is_low(self) -> bool:
        """Whether so little is left that every daemon had better know soon."""
        return self._depth - self.used < LOW_LEVEL_SHARE * self._depth

    def try_acquire(
        self, cost: float, refill_share: RefillShare, now_s: float
    ) -> QuotaRefusal | None:
        """Use ``cost`` units, or say when to come back.

        One request may cost more than the burst: it is admitted when the burst is there, and the
        rest is owed.
        """
        needed = min(cost, self._limit.burst)
        left = self.remaining(refill_share)
        if left >= needed:
            self.use(cost, now_s)
            return None
        flow = self._limit.rate_per_s * (refill_share.coverage or refill_share.own_share)
        wait_s = (needed - left) / flow if flow > 0.0 else self._tolerance.window_s
        return QuotaRefusal(cost, left, wait_s)

    def use(self, cost: float, now_s: float) -> None:
        """Count this daemon's own use, whatever is left; below 0 gives back what was not used."""
        self.used += cost
        self._own_allowance -= cost
        self._drop_reported_usage(now_s)
        self._own_usage.append((now_s, cost))

    def add_remote_usage(self, cost: float) -> None:
        """Count what other daemons have used or given back."""
        self.used += cost

    def replace(self, used: float, now_s: float) -> None:
        """Take a hub's word in place of the own estimate, and add what it cannot know yet."""
        self._drop_reported_usage(now_s)
        # The word is of now: what has not been settled until then is in it.
        self._at_s = max(self._at_s, now_s)
        self.used = used + sum(cost for _, cost in self._own_usage)

    def _drop_reported_usage(self, now_s: float) -> None:
        while self._own_usage and self._own_usage[0][0] < now_s - HUB_REPORT_LAG_S:
            self._own_usage.popleft()
