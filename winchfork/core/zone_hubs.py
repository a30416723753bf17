"""Selection of hubs, region hubs and store watchers from the members of the fleet. Pure functions.

In a small fleet every daemon sends to every other (full mesh). In a larger one two hubs per zone
collect the messages of their zone, exchange them with the hubs of other zones and forward what they
receive. Two of all hubs watch the platform's store for the fleet. Daemons that see the same members
choose the same hubs; differing views cost extra messages or a delay, never correctness.

With several regions, hubs exchange messages only with the hubs of their own region. The first two
hubs of each region, its region hubs, exchange the aggregated messages with those of other regions,
so that the traffic between two regions does not depend on the number of zones and daemons.

A hub forwards every message of its zone to each daemon of the zone, so the daemons with the fastest
links are chosen. With some 80 daemons that is several hundred kilobytes a second: through a slow
link load data would arrive late, and the hub's own callers would wait.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Sequence

from winchfork.core.member import Member, MemberStatus
from winchfork.core.region_map import RegionMap
from winchfork.core.rendezvous import rendezvous_score

#: Tolerates the loss of one hub.
HUBS_PER_ZONE = 2
#: Hubs that watch the platform's store for the whole fleet; tolerates the loss of one. No more,
#: since every change wakes every watcher and each call has a cost.
WATCHERS_PER_FLEET = 2
#: Hubs of a region that exchange messages with other regions; tolerates the loss of one.
HUBS_PER_REGION = 2
#: Regions whose delays to the store differ by less than this count as equally near to it. The
#: delays of one region's zones do.
STORE_DELAY_STEP_MS = 8
#: Up to this many daemons, each sends to every other.
MAX_FULL_MESH_MEMBERS = 13


@dataclasses.dataclass(frozen=True)
class FleetView:
    """One daemon's view of all daemons, itself included, and the hubs of each zone.

    A view is immutable, so derived values are cached.
    """

    own: Member
    members: tuple[Member, ...]
    hubs: dict[str, tuple[Member, ...]]
    regions: RegionMap = RegionMap()

    @classmethod
    def of(
        cls, own: Member, members: Sequence[Member], regions: RegionMap | None = None
    ) -> FleetView:
        """Choose each zone's hubs: live members first, then the fastest links, then by hash."""
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member)
        hubs = {
            zone: tuple(sorted(zone_members, key=_hub_order)[:HUBS_PER_ZONE])
            for zone, zone_members in by_zone.items()
        }
        return cls(own, tuple(members), hubs, regions or RegionMap())

    @functools.cached_property
    def is_full_mesh(self) -> bool:
        """Whether the fleet is small enough for every daemon to send to every other."""
        return len(self.members) <= MAX_FULL_MESH_MEMBERS

    @functools.cached_property
    def own_hubs(self) -> tuple[Member, ...]:
        """The hubs of this daemon's zone, which may include this daemon."""
        return self.hubs.get(self.own.zone, ())

    @functools.cached_property
    def is_hub(self) -> bool:
        """Whether this daemon is a hub of its zone."""
        return any(hub.member_id == self.own.member_id for hub in self.own_hubs)

    @functools.cached_property
    def watchers(self) -> tuple[Member, ...]:
        """The daemons that watch the store: all in a small fleet, otherwise a few hubs.

        Live hubs come first, then hubs near the store, then the first hub of each zone.
        """
        if self.is_full_mesh:
            return self.members
        first_hubs = sorted((hubs[0] for hubs in self.hubs.values()), key=_watcher_order)
        second_hubs = sorted(
            (hub for hubs in self.hubs.values() for hub in hubs[1:]), key=_watcher_order
        )
        nearest_first = sorted(
            [*first_hubs, *second_hubs],
            key=lambda hub: (hub.status is not MemberStatus.ALIVE, not self._is_near(hub)),
        )
        return tuple(nearest_first[:WATCHERS_PER_FLEET])

    @functools.cached_property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the store."""
        return any(watcher.member_id == self.own.member_id for watcher in self.watchers)

    @functools.cached_property
    def is_near_store(self) -> bool:
        """Whether no other region is known to be nearer to the store than this daemon's."""
        return self._is_near(self.own)

    def _is_near(self, member: Member) -> bool:
        return self._store_region in (None, self.regions.region_of(member.zone))

    @functools.cached_property
    def _store_region(self) -> str | None:
        """The region at least ``STORE_DELAY_STEP_MS`` nearer to the store than others, or None."""
        nearest: dict[str, int] = {}
        for hub in (hub for hubs in self.hubs.values() for hub in hubs):
            if hub.status is MemberStatus.ALIVE and hub.store_delay_ms:
                region = self.regions.region_of(hub.zone)
                nearest[region] = min(hub.store_delay_ms, nearest.get(region, hub.store_delay_ms))
        order = sorted(nearest, key=lambda region: nearest[region])
        if len(order) < 2 or nearest[order[1]] - nearest[order[0]] < STORE_DELAY_STEP_MS:
            return None
        return order[0]

    @functools.cached_property
    def proof_sources(self) -> tuple[Member, ...]:
        """The daemons whose freshness proofs this one uses: watchers for hubs, hubs for others.

        In a region without a watcher only the region hubs ask the watchers, across the link, and
        the other hubs ask the region hubs.
        """
        sources = self.own_hubs
        if self.is_hub:
            has_watcher = any(not self._is_cross_region(watcher) for watcher in self.watchers)
            sources = self.watchers if has_watcher or self.is_region_hub else self.region_hubs
        return tuple(member for member in sources if member.member_id != self.own.member_id)

    @functools.cached_property
    def others(self) -> tuple[Member, ...]:
        """Every other daemon."""
        own_id = self.own.member_id
        return tuple(member for member in self.members if member.member_id != own_id)

    @functools.cached_property
    def zone_peers(self) -> tuple[Member, ...]:
        """The other daemons of this daemon's zone."""
        return tuple(member for member in self.others if member.zone == self.own.zone)

    @functools.cached_property
    def own_hub_peers(self) -> tuple[Member, ...]:
        """The hubs of this daemon's zone without this daemon."""
        return tuple(hub for hub in self.own_hubs if hub.member_id != self.own.member_id)

    @functools.cached_property
    def other_zone_hubs(self) -> tuple[Member, ...]:
        """The hubs of every other zone in any region."""
        zones = [zone for zone in self.hubs if zone != self.own.zone]
        return tuple(hub for zone in zones for hub in self.hubs[zone])

    @functools.cached_property
    def same_region_hubs(self) -> tuple[Member, ...]:
        """The hubs of the other zones of this daemon's region."""
        return tuple(hub for hub in self.other_zone_hubs if not self._is_cross_region(hub))

    @functools.cached_property
    def region_hubs(self) -> tuple[Member, ...]:
        """The region hubs of this daemon's region, the first before its successor."""
        return self._region_hubs_of(self.regions.region_of(self.own.zone))

    @functools.cached_property
    def is_region_hub(self) -> bool:
        """Whether this daemon is one of its region's region hubs."""
        return any(hub.member_id == self.own.member_id for hub in self.region_hubs)

    @functools.cached_property
    def other_region_hubs(self) -> tuple[Member, ...]:
        """The region hubs of every other region."""
        own_region = self.regions.region_of(self.own.zone)
        regions = self.regions.regions_among(zone for zone in self.hubs if zone)
        others = [region for region in regions if region != own_region]
        return tuple(hub for region in others for hub in self._region_hubs_of(region))

    def is_in_other_region(self, member_id: str) -> bool:
        """Whether a daemon is known to be in another region."""
        return any(member.member_id == member_id for member in self._other_region_members)

    @functools.cached_property
    def _other_region_members(self) -> tuple[Member, ...]:
        return tuple(member for member in self.members if self._is_cross_region(member))

    def _is_cross_region(self, member: Member) -> bool:
        return self.regions.is_cross_region(self.own.zone, member.zone)

    def _region_hubs_of(self, region: str) -> tuple[Member, ...]:
        """Return a region's first hubs, taking the first hub of every zone before second ones."""
        zones = [zone for zone in self.hubs if self.regions.region_of(zone) == region]
        first = sorted((self.hubs[zone][0] for zone in zones), key=_region_hub_order)
        second = [hub for zone in zones for hub in self.hubs[zone][1:]]
        return tuple([*first, *second][:HUBS_PER_REGION])


_Order = tuple[bool, int, int, str]


def _watcher_order(member: Member) -> _Order:
    return _order(member, "watcher")


def _hub_order(member: Member) -> _Order:
    return _order(member, member.zone)


def _region_hub_order(member: Member) -> _Order:
    return _order(member, "speaker")


def _order(member: Member, duty: str) -> _Order:
    # ``duty`` is hashed: changing it changes which members are chosen.
    not_alive = member.status is not MemberStatus.ALIVE
    score = rendezvous_score(duty, member.member_id)
    return not_alive, -member.link_mbps, -score, member.member_id
