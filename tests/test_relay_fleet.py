"""Which of the incarnations that are listed at one address is taken for the one that answers."""

from __future__ import annotations

import unittest

from winchfork.core.relay_fleet import IncarnationChange, IncarnationChangeCause, RelayFleet
from winchfork.core.relay_replica import IncarnationState, RelayReplica, ReplicaListing


def listing(replica_id: str, address: str = "a:1", **changes: object) -> ReplicaListing:
    """Return what the platform's list says of a replica."""
    fields: dict[str, object] = {"service": "s", "zone": "z", "slots": 8, "accepting": True}
    fields.update(changes)
    return ReplicaListing(replica_id, address=address, **fields)  # type: ignore[arg-type]


def fleet_of(*listings: ReplicaListing) -> RelayFleet:
    """Return a fleet in which replicas were listed in this order."""
    fleet = RelayFleet()
    for item in listings:
        fleet.install(item)
    return fleet


def replica(fleet: RelayFleet, replica_id: str) -> RelayReplica:
    """Return a replica that is listed."""
    found = fleet.get(replica_id)
    assert found is not None
    return found


def accepting(fleet: RelayFleet) -> list[str]:
    """Return the ids of the replicas that may be given work."""
    return sorted(item.replica_id for item in fleet.replicas() if item.accepting)


class LateEntryTest(unittest.TestCase):
    def test_a_late_entry_of_an_ended_replica_does_not_take_the_living_out_for_good(self) -> None:
        """An entry written late put a replica that had ended in the place of the one that lives.

        Two replicas of six were cut off, crashed and started again at the same addresses. The old
        ones were gone from the list at 7.3 s and the new ones, i-fa04b60938 and i-a1045fed9a, were
        listed at 8.3 s and 8.4 s. At 11.15 s and 11.25 s every daemon logged "replica_listed
        replica=i-afa882bbf5 ... revision=23" and "replica_listed replica=i-fb2bd5ab5d ...
        revision=24": the old entries once more, which lapsed at 14.8 s. The one listed last at an
        address was taken for the successor. From 11.15 s until the end at 34 s the new ones got
        neither a request nor an order, no line said why, and they kept versions 2 and 3 where 5
        was in force.
        """
        fleet = RelayFleet()
        fleet.install(listing("i-old"))
        fleet.remove("i-old")
        fleet.install(listing("i-new"))
        fleet.install(listing("i-old"))
        fleet.remove("i-old")
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_an_entry_that_comes_back_doubts_nobody_listed_since(self) -> None:
        fleet = fleet_of(listing("i-old"))
        fleet.remove("i-old")
        fleet.install(listing("i-new"))
        fleet.install(listing("i-old"))
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_one_that_was_only_doubted_is_back_when_the_late_entry_goes(self) -> None:
        """A daemon that has started since does not know that the late entry is the older one."""
        fleet = fleet_of(listing("i-living"), listing("i-late"))
        self.assertEqual(accepting(fleet), ["i-late"])
        fleet.remove("i-late")
        self.assertEqual(accepting(fleet), ["i-living"])

    def test_a_late_entry_that_takes_no_work_puts_nobody_out_of_its_place(self) -> None:
        fleet = fleet_of(listing("i-living"), listing("i-late", accepting=False))
        self.assertEqual(accepting(fleet), ["i-living"])
        fleet.install(listing("i-late"))
        self.assertEqual(accepting(fleet), ["i-late"])
        fleet.install(listing("i-late", accepting=False))
        self.assertEqual(accepting(fleet), ["i-living"])

    def test_replicas_at_other_addresses_are_not_concerned(self) -> None:
        fleet = fleet_of(listing("i-1", "a:1"), listing("i-2", "a:2"))
        fleet.record_other_answered(replica(fleet, "i-1"))
        self.assertEqual(accepting(fleet), ["i-2"])
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        self.assertEqual(accepting(fleet), [])

    def test_an_address_may_pass_to_another_service(self) -> None:
        fleet = fleet_of(listing("i-1"), listing("i-2", service="t"))
        self.assertEqual(accepting(fleet), ["i-2"])
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        self.assertEqual(accepting(fleet), ["i-1"])


class EvidenceTest(unittest.TestCase):
    def test_the_one_that_answers_is_in_place_and_the_one_asked_has_ended(self) -> None:
        fleet = fleet_of(listing("i-1"), listing("i-2"), listing("i-3"))
        fleet.record_other_answered(replica(fleet, "i-3"), "i-1")
        standings = [replica(fleet, f"i-{number}").incarnation_state for number in (1, 2, 3)]
        self.assertEqual(
            standings, [IncarnationState.CURRENT, IncarnationState.SUSPECT, IncarnationState.ENDED]
        )

    def test_where_the_id_is_not_known_the_next_gets_its_turn(self) -> None:
        fleet = fleet_of(listing("i-1"), listing("i-2"), listing("i-3"))
        fleet.record_other_answered(replica(fleet, "i-3"))
        self.assertEqual(accepting(fleet), ["i-2"])
        fleet.record_other_answered(replica(fleet, "i-2"))
        self.assertEqual(accepting(fleet), ["i-1"])

    def test_one_that_has_ended_gets_no_turn_again(self) -> None:
        """Neither when the one after it ends, nor when that is gone, nor when it is listed anew."""
        fleet = fleet_of(listing("i-1"), listing("i-2"))
        fleet.record_other_answered(replica(fleet, "i-1"), "i-2")
        fleet.record_other_answered(replica(fleet, "i-2"))
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-1", slots=4))
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-3"))
        fleet.remove("i-3")
        self.assertEqual(accepting(fleet), [])

    def test_an_answer_that_is_read_late_is_put_right_by_the_next(self) -> None:
        fleet = fleet_of(listing("i-old"), listing("i-new"))
        fleet.record_other_answered(replica(fleet, "i-new"), "i-old")
        self.assertEqual(accepting(fleet), ["i-old"])
        fleet.record_other_answered(replica(fleet, "i-old"), "i-new")
        self.assertEqual(accepting(fleet), ["i-new"])
        self.assertEqual(replica(fleet, "i-old").incarnation_state, IncarnationState.ENDED)

    def test_one_that_answers_as_itself_lives(self) -> None:
        fleet = fleet_of(listing("i-living"), listing("i-late"))
        fleet.record_answer(replica(fleet, "i-living"))
        self.assertEqual(accepting(fleet), ["i-living"])
        self.assertEqual(replica(fleet, "i-late").incarnation_state, IncarnationState.SUSPECT)

    def test_a_success_that_is_read_late_ends_no_successor(self) -> None:
        fleet = fleet_of(listing("i-old"), listing("i-new"))
        fleet.record_answer(replica(fleet, "i-old"))
        fleet.record_other_answered(replica(fleet, "i-old"))
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_the_answer_of_one_that_is_not_listed_yet_ends_the_one_that_was_asked(self) -> None:
        fleet = fleet_of(listing("i-1"))
        fleet.record_other_answered(replica(fleet, "i-1"), "i-2")
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-2"))
        self.assertEqual(accepting(fleet), ["i-2"])

    def test_a_refusal_to_one_that_has_gone_still_says_who_answers(self) -> None:
        fleet = fleet_of(listing("i-gone"), listing("i-1"), listing("i-2"))
        gone = replica(fleet, "i-gone")
        fleet.remove("i-gone")
        fleet.record_other_answered(gone, "i-1")
        self.assertEqual(accepting(fleet), ["i-1"])

    def test_each_change_is_told_once_with_its_cause(self) -> None:
        told: list[tuple[str, IncarnationState, IncarnationChangeCause, str]] = []

        def tell(change: IncarnationChange) -> None:
            item = change.replica
            told.append((item.replica_id, item.incarnation_state, change.cause, change.current_id))

        fleet = RelayFleet()
        fleet.on_incarnation_change = tell
        for replica_id in ("i-1", "i-2", "i-2"):
            fleet.install(listing(replica_id))
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        fleet.record_answer(replica(fleet, "i-1"))
        other = IncarnationChangeCause.OTHER_ANSWERED
        self.assertEqual(
            told,
            [
                ("i-1", IncarnationState.SUSPECT, IncarnationChangeCause.LISTED, "i-2"),
                ("i-2", IncarnationState.ENDED, other, "i-1"),
                ("i-1", IncarnationState.CURRENT, other, "i-1"),
            ],
        )


class RestartUnderTheSameIdTest(unittest.TestCase):
    def test_an_entry_of_a_former_life_changes_nothing(self) -> None:
        fleet = fleet_of(listing("i", started_at_ms=2_000, versions={"m": 3}))
        fleet.install(listing("i", started_at_ms=1_000, versions={"m": 7}, address="a:9"))
        kept = replica(fleet, "i")
        self.assertEqual((kept.listing.address, kept.versions), ("a:1", {"m": 3}))

    def test_an_entry_without_a_start_is_of_the_life_that_is_known(self) -> None:
        fleet = fleet_of(listing("i", started_at_ms=2_000))
        known = replica(fleet, "i")
        fleet.install(listing("i", accepting=False))
        self.assertIs(replica(fleet, "i"), known)
        self.assertEqual((known.listing.started_at_ms, known.listing.accepting), (2_000, False))

    def test_lives_under_one_id_have_names_of_their_own_among_peers(self) -> None:
        lives = {listing("i", started_at_ms=born_ms).incarnation for born_ms in (0, 1_000, 2_000)}
        self.assertEqual(len(lives), 3)
