"""Assigns replicas whose weights expire soon to few daemons each.

In a large fleet a daemon hears late of what the others send. Before weights expire there is no time
left to work off a queue that many daemons have built at once, so each replica then gets requests
from its reserved senders only. All daemons that see the same members and replicas compute the same
assignment, in which every daemon is a sender of some replica; differing views cost a few more
senders for a while.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import msgspec

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import member_hash
from winchfork.core.zone_hubs import MAX_FULL_MESH_MEMBERS

#: Seconds before the expiry of a replica's weights in which only its reserved senders may send.
RESERVED_S = 3.0
#: Fewest reserved senders of a replica.
MIN_SENDERS = 4


class _ReservedReplicas(msgspec.Struct, frozen=True):
    """The ids of those of a service's ``replicas`` that are reserved to this daemon."""

    replicas: Sequence[RelayReplica]
    reserved: frozenset[str]


class ReservedSenders:
    """The replicas that are reserved to one daemon. Not thread-safe."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._daemons: list[str] = []
        self._by_service: dict[str, _ReservedReplicas] = {}

    def update_daemons(self, zones: Mapping[str, str]) -> None:
        """Assign replicas to these daemons from now on; ``zones`` has the zone of each, by id."""
        self._daemons = sorted(zones, key=lambda item: (zones[item], member_hash(item)))
        self._by_service.clear()

    @property
    def has_restrictions(self) -> bool:
        """Whether replicas are reserved; false in a full mesh, where work is known at once."""
        return len(self._daemons) > MAX_FULL_MESH_MEMBERS

    @property
    def unknown_requests(self) -> int:
        """How many requests of other daemons may be under way to a replica, unknown here."""
        return MIN_SENDERS - 1 if self.has_restrictions else 0

    def may_send(self, replica: RelayReplica, replicas: Sequence[RelayReplica]) -> bool:
        """Whether this daemon is a reserved sender of ``replica``, one of its service's."""
        if not self.has_restrictions:
            return True
        service = replica.listing.service
        known = self._by_service.get(service)
        if known is None or known.replicas is not replicas:
            known = _ReservedReplicas(replicas, self._assign(replicas))
            self._by_service[service] = known
        return replica.replica_id in known.reserved

    def _assign(self, replicas: Sequence[RelayReplica]) -> frozenset[str]:
        """Return the replicas of this daemon.

        Daemons are spread evenly over the replicas, both in the order of their zones.
        """
        daemons = len(self._daemons)
        senders = self._senders(len(replicas))
        own = self._daemons.index(self._own_id) if self._own_id in self._daemons else 0
        order = sorted(replicas, key=lambda item: (item.listing.zone, item.placement_hash))
        return frozenset(
            replica.replica_id
            for number, replica in enumerate(order)
            if (own - number * daemons // len(order)) % daemons < senders
        )

    def _senders(self, replicas: int) -> int:
        return max(MIN_SENDERS, math.ceil(len(self._daemons) / max(1, replicas)))
