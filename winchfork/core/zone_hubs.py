"""Hubs: the few daemons of a zone through which the others are told things. Pure decisions.

In a small fleet every daemon tells every other. In a larger one that would cost each daemon
messages in proportion to the fleet, so two hubs a zone, the same on every daemon that sees the same
members, collect what their zone has to say, tell it to the hubs of other zones, and pass on what
those say. Two of the hubs watch the platform's store for all. A wrong view of who is a hub costs
messages or a moment's ignorance, never a promise.

Where zones lie in several regions, what a hub tells other zones stays in its region. The region's
two first hubs, its speakers, exchange with those of other regions what concerns all, and pass on
what they hear: so each piece of news crosses the link between two regions once or twice, however
many zones and daemons there are on either side.

A hub sends every message of its zone to each of its daemons, several hundred kilobytes a second
where there are some eighty daemons. So the daemons with the best links are hubs: through a link of
5 Mbit/s the news that decides placements comes late, and the hub's own callers wait with it.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Sequence

from winchfork.core.member import Member, MemberStatus
from winchfork.core.region_map import RegionMap
from winchfork.core.rendezvous import rendezvous_score

#: Two, so that the loss of one leaves the zone informed.
HUBS_PER_ZONE = 2
#: Hubs of different zones that watch the platform's store for the whole fleet: two, for the same
#: reason. Every watcher is woken by every change, and each call has a price, whatever the fleet.
WATCHERS_PER_FLEET = 2
#: Hubs of a region that speak with other regions: two, for the same reason.
HUBS_PER_REGION = 2
#: Delays to the store that differ by less than this, in milliseconds, count as equal: those of the
#: zones of one region, as against those of another region.
STORE_DELAY_STEP_MS = 8
#: Up to this many daemons, each tells every other.
MAX_FULL_MESH_MEMBERS = 13


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The daemons as one of them sees them, itself among them, and the hubs of each zone.

    A view never changes: what is derived from it is derived once.
    """

    own: Member
    members: tuple[Member, ...]
    hubs: dict[str, tuple[Member, ...]]
    regions: RegionMap = RegionMap()

    @classmethod
    def of(
        cls, own: Member, members: Sequence[Member], regions: RegionMap | None = None
    ) -> FleetView:
        """Choose each zone's hubs: those that answer, the best links first, then by rendezvous."""
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
        """Whether the fleet is small enough for every daemon to tell every other."""
        return len(self.members) <= MAX_FULL_MESH_MEMBERS

    @functools.cached_property
    def own_hubs(self) -> tuple[Member, ...]:
        """The hubs of this daemon's zone, this daemon perhaps among them."""
        return self.hubs.get(self.own.zone, ())

    @functools.cached_property
    def is_hub(self) -> bool:
        """Whether this daemon is a hub of its zone."""
        return any(hub.member_id == self.own.member_id for hub in self.own_hubs)

    @functools.cached_property
    def watchers(self) -> tuple[Member, ...]:
        """The daemons that watch the store: everybody in a small fleet, else a few hubs."""
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
        """Whether no region is clearly nearer to the store than this daemon's."""
        return self._is_near(self.own)

    def _is_near(self, member: Member) -> bool:
        return self._store_region in (None, self.regions.region_of(member.zone))

    @functools.cached_property
    def _store_region(self) -> str | None:
        """The region that is clearly the nearest to the store; None where none is known to be."""
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
        """The daemons whose proofs this one relies on: hubs ask watchers, others their hubs.

        Hubs of a region without a watcher ask its speakers, and only those ask across the link.
        """
        nearer = self.own_hubs
        if self.is_hub:
            watched = any(not self._is_cross_region(watcher) for watcher in self.watchers)
            nearer = self.watchers if watched or self.is_region_hub else self.region_hubs
        return tuple(member for member in nearer if member.member_id != self.own.member_id)

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
        """The hubs of every other zone, whatever its region."""
        zones = [zone for zone in self.hubs if zone != self.own.zone]
        return tuple(hub for zone in zones for hub in self.hubs[zone])

    @functools.cached_property
    def same_region_hubs(self) -> tuple[Member, ...]:
        """The hubs of the other zones of this daemon's region."""
        return tuple(hub for hub in self.other_zone_hubs if not self._is_cross_region(hub))

    @functools.cached_property
    def region_hubs(self) -> tuple[Member, ...]:
        """The hubs that speak for this daemon's region, the first before its successor."""
        return self._region_hubs_of(self.regions.region_of(self.own.zone))

    @functools.cached_property
    def is_region_hub(self) -> bool:
        """Whether this daemon is one of its region's speakers."""
        return any(speaker.member_id == self.own.member_id for speaker in self.region_hubs)

    @functools.cached_property
    def other_region_hubs(self) -> tuple[Member, ...]:
        """The speakers of every other region."""
        own_region = self.regions.region_of(self.own.zone)
        regions = self.regions.regions_among(zone for zone in self.hubs if zone)
        far = [region for region in regions if region != own_region]
        return tuple(speaker for region in far for speaker in self._region_hubs_of(region))

    def is_in_other_region(self, member_id: str) -> bool:
        """Whether a daemon is known to be of another region."""
        return any(member.member_id == member_id for member in self._other_region_members)

    @functools.cached_property
    def _other_region_members(self) -> tuple[Member, ...]:
        return tuple(member for member in self.members if self._is_cross_region(member))

    def _is_cross_region(self, member: Member) -> bool:
        return self.regions.is_cross_region(self.own.zone, member.zone)

    def _region_hubs_of(self, region: str) -> tuple[Member, ...]:
        """Return the first hubs of a region's zones: each speaks for its zone already."""
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
    doubted = member.status is not MemberStatus.ALIVE
    score = rendezvous_score(duty, member.member_id)
    return doubted, -member.link_mbps, -score, member.member_id
