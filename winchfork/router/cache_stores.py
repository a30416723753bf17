"""The prefix-cache stores in the configuration: sources of cache copies, never sent requests."""

from __future__ import annotations

from winchfork.core.prompt_parts import Prompt
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.rendezvous import member_hash, mixed_order
from winchfork.core.routing import RoutingTable


class CacheStores:
    """The stores by address, with the bandwidth of their links in Mbit/s."""

    def __init__(self) -> None:
        self._stores: dict[str, RelayReplica] = {}
        self._link_mbps: dict[str, float] = {}

    def install(self, table: RoutingTable) -> None:
        """Replace the stores by those of ``table``; stores in both keep their replica object."""
        known, self._stores = self._stores, {}
        self._link_mbps = {store.address: store.link_mbps for store in table.cache_stores()}
        for store in table.cache_stores():
            listing = ReplicaListing(store.address, "", store.address, store.zone, 0, False)
            replica = known.get(store.address)
            if replica is None:
                replica = RelayReplica(listing, {}, member_hash(store.address))
            # The zone of a known store may have changed.
            replica.listing = listing
            self._stores[store.address] = replica

    def stores_by_region(self, prompt: Prompt, regions: RegionMap) -> dict[str, RelayReplica]:
        """Return the store for a prompt's family in each region, the same on every daemon.

        Rendezvous hashing spreads the families over the stores of a region.
        """
        family_hash = member_hash(prompt.family)
        by_region: dict[str, RelayReplica] = {}
        by_order = sorted(
            self._stores.values(), key=lambda store: mixed_order(family_hash, store.placement_hash)
        )
        for store in by_order:
            by_region.setdefault(regions.region_of(store.listing.zone), store)
        return by_region

    def link_mbps(self, store: RelayReplica, default_mbps: float) -> float:
        """Return the Mbit/s of a copy from a store to a replica whose link has ``default_mbps``."""
        return min(default_mbps, self._link_mbps.get(store.listing.address, 0.0) or default_mbps)
