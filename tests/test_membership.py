"""Membership under crashes, restarts, partitions and false suspicion, in virtual time."""

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

    def test_crash_and_restart_become_known_everywhere(self) -> None:
        region = self._region()
        region.daemons[5].alive = False
        region.run(15.0)
        self.assertEqual(set(region.statuses_of("daemon-5")), {MemberStatus.DEAD})
        region.restart(5, incarnation=2)
        region.run(10.0)
        self.assertEqual(set(region.statuses_of("daemon-5")), {MemberStatus.ALIVE})

    def test_membership_recovers_after_a_partition_of_a_minute(self) -> None:
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

    def test_configuration_reaches_all_daemons_after_a_partition(self) -> None:
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


class SuspicionTest(unittest.TestCase):
    """A suspicion is sent to the suspected member directly, besides by gossip."""

    def setUp(self) -> None:
        self.own = Member("a", "z", "10.0.0.1:1", "", 7)
        self.other = Member("b", "z", "10.0.0.2:1", "", 7)
        self.membership = Membership(self.own, [], random.Random(1))
        suspicion = msgspec.structs.replace(self.other, status=MemberStatus.SUSPECT)
        self.membership.receive(
            Probe(Member("c", "z", "10.0.0.3:1", "", 7), 1, (), (suspicion,)), 0.0
        )
        # Drain the gossip queue, so that only direct suspicions remain in messages.
        while self.membership._pop_changes():
            pass

    def test_reply_to_a_suspected_member_carries_the_suspicion(self) -> None:
        (reply,) = self.membership.receive(Probe(self.other, 2, ()), 1.0)
        sent = {(item.member_id, item.status) for item in reply.message.changes}
        self.assertIn(("b", MemberStatus.SUSPECT), sent)

    def test_probe_of_a_suspected_member_carries_the_suspicion(self) -> None:
        sent = []
        for period in range(4):
            for outgoing in self.membership.tick(1.0 + 0.5 * period):
                if outgoing.address == self.other.peer_address:
                    sent += [(item.member_id, item.status) for item in outgoing.message.changes]
        self.assertIn(("b", MemberStatus.SUSPECT), sent)

    def test_messages_carry_more_changes_while_the_backlog_holds_suspicions(self) -> None:
        suspicion = msgspec.structs.replace(self.other, status=MemberStatus.DEAD)
        reply = ProbeReply(Member("c", "z", "10.0.0.3:1", "", 7), 2, (), (suspicion,))
        self.membership.receive(reply, 1.0)
        for number in range(40):
            # From here on no change is a suspicion, as when a whole fleet starts.
            if number == 20:
                self.assertEqual(len(self.membership._pop_changes()), BACKLOG_PIGGYBACK_CHANGES)
                while self.membership._pop_changes():
                    pass
            sender = Member(f"m{number}", "z", f"10.0.1.{number}:1", "", 1)
            self.membership.receive(ProbeReply(sender, 3 + number, ()), 2.0)
        self.assertEqual(len(self.membership._pop_changes()), PIGGYBACK_CHANGES)


class RefutationTest(unittest.TestCase):
    def test_live_member_refutes_its_reported_death(self) -> None:
        own = Member("a", "z", "10.0.0.1:1", "10.0.0.1:2", 7)
        other = Member("b", "z", "10.0.0.2:1", "10.0.0.2:2", 3)
        membership = Membership(own, (), random.Random(1))
        reported_dead = msgspec.structs.replace(own, status=MemberStatus.DEAD)
        replies = membership.receive(Probe(other, 1, (), (reported_dead,)), now_s=1.0)
        self.assertEqual(membership.own.incarnation, 8)
        self.assertEqual(replies[0].message.sender.status, MemberStatus.ALIVE)

    def test_old_gossip_does_not_restore_a_dead_member(self) -> None:
        own = Member("a", "z", "10.0.0.1:1", "10.0.0.1:2", 7)
        other = Member("b", "z", "10.0.0.2:1", "10.0.0.2:2", 3)
        dead = Member("c", "z", "10.0.0.3:1", "10.0.0.3:2", 5, MemberStatus.DEAD)
        membership = Membership(own, (), random.Random(1))
        membership.receive(Probe(other, 1, (), (dead,)), now_s=1.0)
        stale = msgspec.structs.replace(dead, status=MemberStatus.ALIVE)
        membership.receive(Probe(other, 2, (), (stale,)), now_s=2.0)
        found = membership.get("c")
        assert found is not None
        self.assertEqual(found.status, MemberStatus.DEAD)


if __name__ == "__main__":
    unittest.main()
