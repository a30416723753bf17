"""Which requests go to a new version: the same families on every daemon, and never too many.

Requests are dealt out by family, so that what a family shares is read on either side by few
replicas. Families differ in size and a few may become hot at any time, so each daemon keeps a
credit besides: it earns the share in force with every request of the service and spends one for
each that it sends to the new version. However the families turn out, and however often daemons
restart, no more than the share goes there.
"""

from __future__ import annotations

from winchfork.core.rendezvous import member_hash, mixed_order

#: Credit that a daemon may save up while no family that takes part comes by.
MAX_CREDIT = 2.0
#: Families that take part beyond the share itself: were there just as many, a daemon of a large
#: fleet would hardly ever see one of them while it has credit, and a trial would show nothing.
FAMILY_MARGIN = 0.1


def bucket_of(family: str, order_revision: int) -> float:
    """Return a family's place in [0, 1) among those that move with an order, lowest first."""
    return mixed_order(member_hash(f"{order_revision}"), member_hash(family))


class ExposureCredit:
    """One daemon's credit with one service.

    ``drawn`` is a random number in [0, 1) to begin with. A daemon that gets few requests would
    otherwise never earn a whole one, and hundreds of daemons together none at all; drawn evenly,
    the fleet spends what it earns in the mean, over any number of starts.
    """

    def __init__(self, initial_credit: float) -> None:
        self._credit = initial_credit

    def earn(self, share: float) -> None:
        """Count a request of the service under the share in force."""
        self._credit = min(MAX_CREDIT, self._credit + share)

    def spend(self, bucket: float, share: float) -> bool:
        """Whether a request in this lane goes to the new version; if so, pay for it."""
        if bucket >= share + FAMILY_MARGIN or self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
