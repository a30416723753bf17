"""Tells operators' orders apart by where the store holds them, over its returns from copies.

An order's number is the revision of its entry, in the era that the store is in: so all daemons,
also those that have just started, call it alike. After a return the same order may be read as of a
copy, or be written again under another revision, which is then its number.
"""

from __future__ import annotations

import msgspec

from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition

#: Orders of a service that are remembered, to tell one of a copy from a new one.
MAX_ORDERS = 16
#: Below the number of every order.
NO_ORDER = 0


class OrderUpdate(msgspec.Struct, frozen=True):
    """An order under its number now; ``former_number`` is that of before, None for a new order."""

    order: SoftwareOrder
    previous_number: int | None = None


class _Known(msgspec.Struct):
    """The newest order of a service, and those that were read in its place, as they were read.

    ``era`` is that of the order's number; ``position`` is where its entry was last read.
    """

    order: SoftwareOrder
    era: int
    position: StorePosition
    read: list[SoftwareOrder] = msgspec.field(default_factory=list)


class OrderRegistry:
    """The orders of all services. Not thread-safe."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        #: What orders are called now that had other numbers before the store's last returns.
        self._numbers: dict[tuple[str, int], int] = {}

    def current_number(self, service: str, number: int) -> int:
        """Return what the order is called now that had a number before."""
        return self._numbers.get((service, number), number)

    def invalidate(self, service: str, number: int) -> None:
        """No order of a service has this number any more."""
        self._renumber(service, number, NO_ORDER)

    def _renumber(self, service: str, former: int, number: int) -> None:
        self._numbers = {
            key: number if key[0] == service and called == former else called
            for key, called in list(self._numbers.items())[-MAX_ORDERS:]
        }
        self._numbers[service, former] = number
        # A revision that is given out again is a number of its own.
        self._numbers.pop((service, number), None)

    def record(self, order: SoftwareOrder, position: StorePosition) -> OrderUpdate | None:
        """Return what an entry says that is not known: a new order, or another number of one."""
        known = self._known.get(order.service)
        if known is None:
            self._known[order.service] = _Known(order, position.era, position, [order])
            return OrderUpdate(order)
        if position <= known.position:
            return None
        known.position = position
        former, is_other_era = known.order, position.era != known.era
        is_same = is_other_era and _is_same_order(order, former)
        if is_other_era and not is_same and order in known.read:
            return None
        known.order, known.era = order, position.era
        known.read = [*known.read, order][-MAX_ORDERS:]
        if is_same and order.revision == former.revision:
            return None
        if is_same:
            self._renumber(order.service, former.revision, order.revision)
            return OrderUpdate(order, former.revision)
        self._numbers.pop((order.service, order.revision), None)
        return OrderUpdate(order)


def _is_same_order(one: SoftwareOrder, other: SoftwareOrder) -> bool:
    return msgspec.structs.replace(one, revision=other.revision) == other
