"""The stores of kept cache that the configuration names; they are never sent a request."""

from __future__ import annotations

from winchfork.core.prompt_parts import Prompt
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.rendezvous import member_hash, mixed_order
from winchfork.core.routing import RoutingTable


class CacheStores:
    """The stores by address, as sources of copies, with what their links carry."""

    def __init__(self) -> None:
        self._stores: dict[str, RelayReplica] = {}
        self._link_mbps: dict[str, float] = {}

    def install(self, table: RoutingTable) -> None:
        """Take the stores of a new configuration; those that stay keep their identity."""
        known, self._stores = self._stores, {}
        self._link_mbps = {store.address: store.link_mbps for store in table.cache_stores()}
        for store in table.cache_stores():
            listing = ReplicaListing(store.address, "", store.address, store.zone, 0, False)
            kept = known.get(store.address)
            if kept is None:
                kept = RelayReplica(listing, {}, member_hash(store.address))
            # Its address is all that a store keeps: its zone may be configured anew.
            kept.listing = listing
            self._stores[store.address] = kept

    def stores_by_region(self, prompt: Prompt, regions: RegionMap) -> dict[str, RelayReplica]:
        """Return for each region the store that keeps a prompt's family, the same on every daemon.

        Families are dealt out, so that the memory and the links of a region's stores add up.
        """
        family_hash = member_hash(prompt.family)
        homes: dict[str, RelayReplica] = {}
        by_order = sorted(
            self._stores.values(), key=lambda store: mixed_order(family_hash, store.order_hash)
        )
        for store in by_order:
            homes.setdefault(regions.region_of(store.listing.zone), store)
        return homes

    def link_mbps(self, store: RelayReplica, default_mbps: float) -> float:
        """Return what a copy from a store may use of a replica's link of ``default_mbps``."""
        return min(default_mbps, self._link_mbps.get(store.listing.address, 0.0) or default_mbps)
