"""Membership under deaths, restarts, cuts and false suspicion, in virtual time."""

from __future__ import annotations

import random
import unittest

import msgspec

from winchfork.core.member import Member, MemberStatus, Probe, ProbeReply
from winchfork.core.membership import BACKLOG_PIGGYBACK_CHANGES, PIGGYBACK_CHANGES, Membership
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


class DoubtTest(unittest.TestCase):
    """What two daemons tell each other directly of the doubts that one has of the other."""

    def setUp(self) -> None:
        self.own = Member("a", "z", "10.0.0.1:1", "", 7)
        self.other = Member("b", "z", "10.0.0.2:1", "", 7)
        self.membership = Membership(self.own, [], random.Random(1))
        doubt = msgspec.structs.replace(self.other, status=MemberStatus.SUSPECT)
        self.membership.receive(Probe(Member("c", "z", "10.0.0.3:1", "", 7), 1, (), (doubt,)), 0.0)
        # What rides on every message is used up: only what is told on purpose is left.
        while self.membership._pop_changes():
            pass

    def test_a_member_that_is_doubted_is_told_when_it_probes(self) -> None:
        (reply,) = self.membership.receive(Probe(self.other, 2, ()), 1.0)
        told = {(item.member_id, item.status) for item in reply.message.changes}
        self.assertIn(("b", MemberStatus.SUSPECT), told)

    def test_a_member_that_is_doubted_is_told_when_it_is_probed(self) -> None:
        told = []
        for period in range(4):
            for outgoing in self.membership.tick(1.0 + 0.5 * period):
                if outgoing.address == self.other.peer_address:
                    told += [(item.member_id, item.status) for item in outgoing.message.changes]
        self.assertIn(("b", MemberStatus.SUSPECT), told)

    def test_many_changes_ride_on_larger_messages_while_doubts_are_among_them(self) -> None:
        doubt = msgspec.structs.replace(self.other, status=MemberStatus.DEAD)
        told = ProbeReply(Member("c", "z", "10.0.0.3:1", "", 7), 2, (), (doubt,))
        self.membership.receive(told, 1.0)
        for number in range(40):
            # Nobody is doubted any more, as when a whole fleet starts.
            if number == 20:
                self.assertEqual(len(self.membership._pop_changes()), BACKLOG_PIGGYBACK_CHANGES)
                while self.membership._pop_changes():
                    pass
            sender = Member(f"m{number}", "z", f"10.0.1.{number}:1", "", 1)
            self.membership.receive(ProbeReply(sender, 3 + number, ()), 2.0)
        self.assertEqual(len(self.membership._pop_changes()), PIGGYBACK_CHANGES)


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
