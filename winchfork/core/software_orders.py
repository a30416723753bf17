"""Tells operators' orders apart by where the store holds them, over its returns from copies.

After a return the same order may be read as of a copy, or written again under another revision, and
a new one may have a lower revision than the last. Each order keeps one number, and numbers rise.
"""

from __future__ import annotations

import msgspec

from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition

#: Orders of a service that are remembered, to tell one of a copy from a new one.
MOST_ORDERS = 16


class _Known(msgspec.Struct):
    """The newest order of a service, and those that were read before in its place."""

    order: SoftwareOrder
    position: StorePosition
    earlier: list[SoftwareOrder] = msgspec.field(default_factory=list)


class OrderBook:
    """The orders of all services. Not thread-safe."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def take(self, read: SoftwareOrder, position: StorePosition) -> SoftwareOrder | None:
        """Return an order that is new, under its number; None for one that is known already."""
        known = self._known.get(read.service)
        if known is None:
            self._known[read.service] = _Known(read, position, [read])
            return read
        if position <= known.position:
            return None
        is_other_era = position.era != known.position.era
        known.position = position
        if is_other_era and (read in known.earlier or _same(read, known.order)):
            return None
        number = max(read.revision, known.order.revision + 1)
        known.order = msgspec.structs.replace(read, revision=number)
        known.earlier = [*known.earlier, read][-MOST_ORDERS:]
        return known.order


def _same(one: SoftwareOrder, other: SoftwareOrder) -> bool:
    return msgspec.structs.replace(one, revision=other.revision) == other
