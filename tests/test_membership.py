"""Membership under deaths, restarts, cuts and false suspicion, in virtual time."""

from __future__ import annotations

import random
import unittest

import msgspec

from winchfork.core.member import Member, MemberStatus, Probe
from winchfork.core.membership import Membership
from winchfork.emulator.hollow import HollowRegion


class RegionTest(unittest.TestCase):
    def _region(self, daemons: int = 24) -> HollowRegion:
        region = HollowRegion(daemons, 0, seed=11)
        region.run(20.0)
        for daemon in region.daemons:
            self.assertEqual(len(daemon.membership.members()), daemons)
        return region

    def test_death_is_known_everywhere_and_a_restart_returns(self) -> None:
        region = self._region()
        region.daemons[5].alive = False
        region.run(15.0)
        self.assertEqual(set(region.statuses_of("daemon-5")), {MemberStatus.DEAD})
        region.restart(5, incarnation=2)
        region.run(10.0)
        self.assertEqual(set(region.statuses_of("daemon-5")), {MemberStatus.ALIVE})

    def test_zone_cut_for_a_minute_heals(self) -> None:
        region = self._region()
        zone = [item for item in region.daemons if item.membership.own.zone == "zone-0"]
        region.cut_between({daemon.address for daemon in zone})
        region.run(60.0)
        outside = next(item for item in region.daemons if item not in zone)
        self.assertEqual(len(outside.membership.members()), 24 - len(zone))
        self.assertEqual(len(zone[0].membership.members()), len(zone))
        region.cut_between(set())
        region.run(30.0)
        for daemon in region.daemons:
            self.assertEqual(len(daemon.membership.members()), 24)

    def test_configuration_reaches_all_and_survives_a_cut(self) -> None:
        region = self._region()
        cut = region.daemons[7]
        region.cut_between({cut.address})
        region.publish(0, revision=5, size=40_000)
        region.run(20.0)
        self.assertNotIn(5, cut.installed_at_s)
        self.assertTrue(all(5 in item.installed_at_s for item in region.daemons if item is not cut))
        region.cut_between(set())
        region.run(20.0)
        self.assertIn(5, cut.installed_at_s)


class RefutationTest(unittest.TestCase):
    def test_living_member_refutes_its_death(self) -> None:
        own = Member("a", "z", "10.0.0.1:1", "10.0.0.1:2", 7)
        other = Member("b", "z", "10.0.0.2:1", "10.0.0.2:2", 3)
        membership = Membership(own, (), random.Random(1))
        doubted = msgspec.structs.replace(own, status=MemberStatus.DEAD)
        replies = membership.receive(Probe(other, 1, (), (doubted,)), now_s=1.0)
        self.assertEqual(membership.own.incarnation, 8)
        self.assertEqual(replies[0].message.sender.status, MemberStatus.ALIVE)

    def test_old_gossip_does_not_bring_the_dead_back(self) -> None:
        own = Member("a", "z", "10.0.0.1:1", "10.0.0.1:2", 7)
        other = Member("b", "z", "10.0.0.2:1", "10.0.0.2:2", 3)
        gone = Member("c", "z", "10.0.0.3:1", "10.0.0.3:2", 5, MemberStatus.DEAD)
        membership = Membership(own, (), random.Random(1))
        membership.receive(Probe(other, 1, (), (gone,)), now_s=1.0)
        stale = msgspec.structs.replace(gone, status=MemberStatus.ALIVE)
        membership.receive(Probe(other, 2, (), (stale,)), now_s=2.0)
        found = membership.get("c")
        assert found is not None
        self.assertEqual(found.status, MemberStatus.DEAD)


if __name__ == "__main__":
    unittest.main()
