"""Interfaces that decode the store's documents and encode the status that operators read."""

from __future__ import annotations

from typing import Protocol

import msgspec

from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.routing import RoutingTable
from winchfork.core.software_state import RolloutOutcome, SoftwareOrder
from winchfork.errors import Failure
from winchfork.stores.async_key_value import PutItem, StoreItem


class WeightsTarget(msgspec.Struct, frozen=True):
    """The newest version of a model's weights that operators have named."""

    model: str
    version: int


class ReplicaRemoved(msgspec.Struct, frozen=True):
    """The removal of a replica's entry."""

    replica_id: str


class UnreadableReplica(msgspec.Struct, frozen=True):
    """An entry under a replica's key that cannot be decoded as a replica."""

    replica_id: str
    failure: Failure


Document = (
    RoutingTable
    | WeightsTarget
    | ReplicaListing
    | ReplicaRemoved
    | UnreadableReplica
    | SoftwareOrder
)


class DocumentReader(Protocol):
    """Decodes store entries."""

    def read(self, item: StoreItem) -> Document | Failure | None:
        """Return the document of an entry; None if the entry is not meant for the router."""
        ...


class StatusWriter(Protocol):
    """Encodes the status entries that operators read."""

    def rollout_status(self, service: str, target: str, outcome: RolloutOutcome) -> PutItem:
        """Return the status entry for a rollout of a service's software."""
        ...
