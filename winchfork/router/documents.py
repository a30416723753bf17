"""The port to the operators' documents: what an entry of the store means to the router."""

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
    """A replica is no longer listed."""

    replica_id: str


class UnreadableReplica(msgspec.Struct, frozen=True):
    """An entry in a replica's place that names no replica: another writer's, or a broken one."""

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
    """Turns store entries into documents."""

    def read(self, item: StoreItem) -> Document | Failure | None:
        """Return the document of an entry; None for an entry that is none of the router's."""
        ...


class StatusWriter(Protocol):
    """Writes what operators read."""

    def rollout_status(self, service: str, target: str, outcome: RolloutOutcome) -> PutItem:
        """Return the entry that tells how a rollout of a service's software stands."""
        ...
