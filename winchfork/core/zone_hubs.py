"""Hubs: the few daemons of a zone through which the others are told things. Pure decisions.

In a small fleet every daemon tells every other. In a larger one that would cost each daemon
messages in proportion to the fleet, so two hubs a zone, the same on every daemon that sees the same
members, collect what their zone has to say, tell it to the hubs of other zones, and pass on what
those say. Two of the hubs watch the platform's store for all. A wrong view of who is a hub costs
messages or a moment's ignorance, never a promise.

A hub sends every message of its zone to each of its daemons, several hundred kilobytes a second
where there are some eighty daemons. So the daemons with the best links are hubs: through a link of
5 Mbit/s the news that decides placements comes late, and the hub's own callers wait with it.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Sequence

from winchfork.core.membership import Member, MemberStatus
from winchfork.core.rendezvous import rendezvous_score

#: Two, so that the loss of one leaves the zone informed.
HUBS_PER_ZONE = 2
#: Hubs of different zones that watch the platform's store for the whole fleet: two, for the same
#: reason. Every watcher is woken by every change, and each call has a price, whatever the fleet.
WATCHERS = 2
#: Up to this many daemons, each tells every other.
MOST_DIRECT_MEMBERS = 13


@dataclasses.dataclass(frozen=True)
class FleetView:
    """The daemons as one of them sees them, itself among them, and the hubs of each zone.

    A view never changes: what is derived from it is derived once.
    """

    own: Member
    members: tuple[Member, ...]
    hubs: dict[str, tuple[Member, ...]]

    @classmethod
    def of(cls, own: Member, members: Sequence[Member]) -> FleetView:
        """Choose each zone's hubs: those that answer, the best links first, then by rendezvous."""
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member)
        hubs = {
            zone: tuple(sorted(zone_members, key=_hub_order)[:HUBS_PER_ZONE])
            for zone, zone_members in by_zone.items()
        }
        return cls(own, tuple(members), hubs)

    @functools.cached_property
    def direct(self) -> bool:
        """Whether the fleet is small enough for every daemon to tell every other."""
        return len(self.members) <= MOST_DIRECT_MEMBERS

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
        if self.direct:
            return self.members
        first_hubs = sorted((hubs[0] for hubs in self.hubs.values()), key=_watcher_order)
        second_hubs = [hub for hubs in self.hubs.values() for hub in hubs[1:]]
        return tuple([*first_hubs, *second_hubs][:WATCHERS])

    @functools.cached_property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the store."""
        return any(watcher.member_id == self.own.member_id for watcher in self.watchers)

    @functools.cached_property
    def informants(self) -> tuple[Member, ...]:
        """The daemons whose proofs this one relies on: hubs ask watchers, others their hubs."""
        nearer = self.watchers if self.is_hub else self.own_hubs
        return tuple(member for member in nearer if member.member_id != self.own.member_id)

    @functools.cached_property
    def others(self) -> tuple[Member, ...]:
        """Every other daemon."""
        own_id = self.own.member_id
        return tuple(member for member in self.members if member.member_id != own_id)

    @functools.cached_property
    def zone_others(self) -> tuple[Member, ...]:
        """The other daemons of this daemon's zone."""
        return tuple(member for member in self.others if member.zone == self.own.zone)

    @functools.cached_property
    def other_own_hubs(self) -> tuple[Member, ...]:
        """The hubs of this daemon's zone without this daemon."""
        return tuple(hub for hub in self.own_hubs if hub.member_id != self.own.member_id)

    @functools.cached_property
    def far_hubs(self) -> tuple[Member, ...]:
        """The hubs of every other zone."""
        zones = [zone for zone in self.hubs if zone != self.own.zone]
        return tuple(hub for zone in zones for hub in self.hubs[zone])


_Order = tuple[bool, int, int, str]


def _watcher_order(member: Member) -> _Order:
    return _order(member, "watcher")


def _hub_order(member: Member) -> _Order:
    return _order(member, member.zone)


def _order(member: Member, duty: str) -> _Order:
    doubted = member.status is not MemberStatus.ALIVE
    score = rendezvous_score(duty, member.member_id)
    return doubted, -member.link_mbps, -score, member.member_id
