"""Silent isolation of single routers of one process from the store and from their peers.

Bytes to and from the store are held, and sent when the router is healed, as TCP does by
retransmission. Datagrams are lost. Callers and replicas still reach the router.
"""

from __future__ import annotations

import enum
from typing import Any

from standins.deployment import LoopbackDeployment
from standins.replica_links import LinkFault, ReplicaLinks


class LostDatagrams(enum.Flag):
    """Which datagrams of an isolated router are lost."""

    NONE = 0
    SENT = enum.auto()
    RECEIVED = enum.auto()
    ALL = SENT | RECEIVED


class RouterIsolation:
    """Isolates routers of a deployment that simulates links; create it before that starts.

    It stays installed in the event loop, which has to end with the deployment.
    """

    def __init__(self, deployment: LoopbackDeployment) -> None:
        self._deployment = deployment
        self._store_links = ReplicaLinks(lambda: {deployment.store.address})

    def isolate(self, index: int, lost: LostDatagrams = LostDatagrams.ALL) -> None:
        """Isolate a router until it is healed."""
        self._store_links.set_fault(index, LinkFault.SILENT)
        peers: Any = self._deployment.routers[index]._peers
        if lost & LostDatagrams.SENT:
            peers._send_datagram = _lose
        if lost & LostDatagrams.RECEIVED:
            peers.datagram_received = _lose

    def heal(self, index: int) -> None:
        """End the isolation of a router."""
        self._store_links.set_fault(index, LinkFault.NONE)
        peers: Any = self._deployment.routers[index]._peers
        for name in ("_send_datagram", "datagram_received"):
            vars(peers).pop(name, None)


def _lose(*datagram: object) -> None:
    """Lose a datagram."""
