"""The interface through which parts of a router process send messages to its peers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from winchfork.core.member import Member
from winchfork.core.zone_hubs import FleetView


class PeerMessenger(Protocol):
    """Sends datagrams to other router processes, without blocking or guarantee of delivery."""

    @property
    def view(self) -> FleetView:
        """This daemon's current view of the members and hubs."""
        ...

    def send(self, address: str, message: Any) -> None:
        """Send one message to a peer's address."""
        ...

    def send_each(self, receivers: Iterable[Member], message: Any) -> None:
        """Send one message to several peers."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send one message to every other daemon, through the hubs unless in a full mesh."""
        ...
