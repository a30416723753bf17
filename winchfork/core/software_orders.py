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
MOST_ORDERS = 16
#: Below the number of every order.
NO_ORDER = 0


class OrderNews(msgspec.Struct, frozen=True):
    """An order under its number now; ``former_number`` is that of before, None for a new order."""

    order: SoftwareOrder
    former_number: int | None = None


class _Known(msgspec.Struct):
    """The newest order of a service, and those that were read in its place, as they were read.

    ``era`` is that of the order's number; ``position`` is where its entry was last read.
    """

    order: SoftwareOrder
    era: int
    position: StorePosition
    read: list[SoftwareOrder] = msgspec.field(default_factory=list)


class OrderBook:
    """The orders of all services. Not thread-safe."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        #: What orders are called now that had other numbers before the store's last returns.
        self._numbers: dict[tuple[str, int], int] = {}

    def number_of(self, service: str, number: int) -> int:
        """Return what the order is called now that had a number before."""
        return self._numbers.get((service, number), number)

    def void(self, service: str, number: int) -> None:
        """No order of a service has this number any more."""
        self._rename(service, number, NO_ORDER)

    def _rename(self, service: str, former: int, number: int) -> None:
        self._numbers = {
            key: number if key[0] == service and called == former else called
            for key, called in list(self._numbers.items())[-MOST_ORDERS:]
        }
        self._numbers[service, former] = number
        # A revision that is given out again is a number of its own.
        self._numbers.pop((service, number), None)

    def take(self, read: SoftwareOrder, position: StorePosition) -> OrderNews | None:
        """Return what an entry says that is not known: a new order, or another number of one."""
        known = self._known.get(read.service)
        if known is None:
            self._known[read.service] = _Known(read, position.era, position, [read])
            return OrderNews(read)
        if position <= known.position:
            return None
        known.position = position
        former, is_other_era = known.order, position.era != known.era
        is_same = is_other_era and _same(read, former)
        if is_other_era and not is_same and read in known.read:
            return None
        known.order, known.era = read, position.era
        known.read = [*known.read, read][-MOST_ORDERS:]
        if is_same and read.revision == former.revision:
            return None
        if is_same:
            self._rename(read.service, former.revision, read.revision)
            return OrderNews(read, former.revision)
        self._numbers.pop((read.service, read.revision), None)
        return OrderNews(read)


def _same(one: SoftwareOrder, other: SoftwareOrder) -> bool:
    return msgspec.structs.replace(one, revision=other.revision) == other
