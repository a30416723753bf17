"""Identifies operators' rollout orders across restores of the store from a backup.

An order's number is the revision of its store entry in the store's current era, so it is the same
on all daemons, including newly started ones. After a restore an order may be read at an older
revision or be written again under a new one, which then becomes its number.
"""

from __future__ import annotations

import msgspec

from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition

#: Number of orders remembered for each service, to recognize them after a restore.
MAX_ORDERS = 16
#: Placeholder number, lower than that of any order.
NO_ORDER = 0


class OrderUpdate(msgspec.Struct, frozen=True):
    """A new order, or a known one whose number has changed from ``previous_number``.

    ``previous_number`` is None for a new order.
    """

    order: SoftwareOrder
    previous_number: int | None = None


class _Known(msgspec.Struct):
    """The newest order of a service, and the latest orders ``read`` from its store entry.

    ``era`` is the era of the order's number; ``position`` is the store position of the last read.
    """

    order: SoftwareOrder
    era: int
    position: StorePosition
    read: list[SoftwareOrder] = msgspec.field(default_factory=list)


class OrderRegistry:
    """The orders of all services. Not thread-safe."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        #: Current numbers by service and earlier number, for orders renumbered after a restore.
        self._numbers: dict[tuple[str, int], int] = {}

    def current_number(self, service: str, number: int) -> int:
        """Return the current number of the order that had ``number`` before."""
        return self._numbers.get((service, number), number)

    def invalidate(self, service: str, number: int) -> None:
        """Mark a number as belonging to no order of the service any more."""
        self._renumber(service, number, NO_ORDER)

    def _renumber(self, service: str, previous: int, number: int) -> None:
        self._numbers = {
            key: number if key[0] == service and current == previous else current
            for key, current in list(self._numbers.items())[-MAX_ORDERS:]
        }
        self._numbers[service, previous] = number
        # After a restore the store may assign the same revision again.
        self._numbers.pop((service, number), None)

    def record(self, order: SoftwareOrder, position: StorePosition) -> OrderUpdate | None:
        """Record an order read at a store position; return an update, or None if nothing is new."""
        known = self._known.get(order.service)
        if known is None:
            self._known[order.service] = _Known(order, position.era, position, [order])
            return OrderUpdate(order)
        if position <= known.position:
            return None
        known.position = position
        previous, is_other_era = known.order, position.era != known.era
        is_same = is_other_era and _is_same_order(order, previous)
        # A restored entry may hold an order that was read before and then replaced by a newer one.
        if is_other_era and not is_same and order in known.read:
            return None
        known.order, known.era = order, position.era
        known.read = [*known.read, order][-MAX_ORDERS:]
        if is_same and order.revision == previous.revision:
            return None
        if is_same:
            self._renumber(order.service, previous.revision, order.revision)
            return OrderUpdate(order, previous.revision)
        self._numbers.pop((order.service, order.revision), None)
        return OrderUpdate(order)


def _is_same_order(one: SoftwareOrder, other: SoftwareOrder) -> bool:
    return msgspec.structs.replace(one, revision=other.revision) == other
