"""What the parts of a router process need of its peers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from winchfork.core.member import Member
from winchfork.core.zone_hubs import FleetView


class PeerMessenger(Protocol):
    """Datagrams to other router processes; nothing here waits, and nothing is certain to arrive."""

    @property
    def view(self) -> FleetView:
        """The daemons and the hubs, as this daemon sees them now."""
        ...

    def send(self, address: str, message: Any) -> None:
        """Send one message to a peer's address."""
        ...

    def send_each(self, receivers: Iterable[Member], message: Any) -> None:
        """Send one message to several peers."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send one message to every daemon, through the hubs where the fleet is large."""
        ...
