"""Selects the requests that go to a new software version during a rollout.

Requests are selected by prompt family, the same families on every daemon, so that a family's shared
prefix stays cached on few replicas of either version. Because families differ in size, each daemon
also limits itself by credit: every request of the service earns the configured share, and every
request sent to the new version spends one. On average the new version gets no more than its share,
also when daemons restart often.
"""

from __future__ import annotations

from winchfork.core.rendezvous import member_hash, mixed_order

#: Credit, in requests, that a daemon may accumulate while it gets no request of an eligible family.
MAX_CREDIT = 2.0
#: Share of families that is eligible beyond the exposure share, so that a daemon with few requests
#: meets an eligible family while it has credit.
FAMILY_MARGIN = 0.1


def bucket_of(family: str, order_revision: int) -> float:
    """Return a family's bucket in [0, 1) under an order; the lowest buckets move first."""
    return mixed_order(member_hash(f"{order_revision}"), member_hash(family))


class ExposureCredit:
    """One daemon's exposure credit for one service.

    ``initial_credit`` is a uniform random number in [0, 1). It keeps the deployment's mean exposure
    at the share even where each daemon gets too few requests to earn a whole credit.
    """

    def __init__(self, initial_credit: float) -> None:
        self._credit = initial_credit

    def earn(self, share: float) -> None:
        """Add the share in force for one request of the service."""
        self._credit = min(MAX_CREDIT, self._credit + share)

    def spend(self, bucket: float, share: float) -> bool:
        """Whether a request in this bucket goes to the new version; if so, spend one credit."""
        if bucket >= share + FAMILY_MARGIN or self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
