"""Tests which of the incarnations listed at one address is taken as the current one."""

from __future__ import annotations

import unittest

from winchfork.core.relay_fleet import IncarnationChange, IncarnationChangeCause, RelayFleet
from winchfork.core.relay_replica import IncarnationState, RelayReplica, ReplicaListing


def listing(replica_id: str, address: str = "a:1", **changes: object) -> ReplicaListing:
    """Return the platform's entry for a replica."""
    fields: dict[str, object] = {"service": "s", "zone": "z", "slots": 8, "accepting": True}
    fields.update(changes)
    return ReplicaListing(replica_id, address=address, **fields)  # type: ignore[arg-type]


def fleet_of(*listings: ReplicaListing) -> RelayFleet:
    """Return a fleet with these listings, installed in this order."""
    fleet = RelayFleet()
    for item in listings:
        fleet.install(item)
    return fleet


def replica(fleet: RelayFleet, replica_id: str) -> RelayReplica:
    """Return a listed replica."""
    found = fleet.get(replica_id)
    assert found is not None
    return found


def accepting(fleet: RelayFleet) -> list[str]:
    """Return the ids of the accepting replicas."""
    return sorted(item.replica_id for item in fleet.replicas() if item.accepting)


class LateEntryTest(unittest.TestCase):
    def test_a_late_entry_does_not_exclude_the_running_replica_permanently(self) -> None:
        """An entry of an ended replica is written after its successor's and then expires.

        Guards against a running replica that gets no more requests or orders after that.
        """
        fleet = RelayFleet()
        fleet.install(listing("i-old"))
        fleet.remove("i-old")
        fleet.install(listing("i-new"))
        fleet.install(listing("i-old"))
        fleet.remove("i-old")
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_an_entry_that_is_listed_again_does_not_supersede_a_later_one(self) -> None:
        fleet = fleet_of(listing("i-old"))
        fleet.remove("i-old")
        fleet.install(listing("i-new"))
        fleet.install(listing("i-old"))
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_a_suspect_replica_is_current_again_when_the_late_entry_is_removed(self) -> None:
        """A newly started daemon does not know that the late entry is the older one."""
        fleet = fleet_of(listing("i-running"), listing("i-late"))
        self.assertEqual(accepting(fleet), ["i-late"])
        fleet.remove("i-late")
        self.assertEqual(accepting(fleet), ["i-running"])

    def test_a_late_entry_that_is_not_accepting_supersedes_nobody(self) -> None:
        fleet = fleet_of(listing("i-running"), listing("i-late", accepting=False))
        self.assertEqual(accepting(fleet), ["i-running"])
        fleet.install(listing("i-late"))
        self.assertEqual(accepting(fleet), ["i-late"])
        fleet.install(listing("i-late", accepting=False))
        self.assertEqual(accepting(fleet), ["i-running"])

    def test_replicas_at_other_addresses_are_not_affected(self) -> None:
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


class AnswerTest(unittest.TestCase):
    def test_the_one_that_answers_is_current_and_the_one_asked_has_ended(self) -> None:
        fleet = fleet_of(listing("i-1"), listing("i-2"), listing("i-3"))
        fleet.record_other_answered(replica(fleet, "i-3"), "i-1")
        states = [replica(fleet, f"i-{number}").incarnation_state for number in (1, 2, 3)]
        self.assertEqual(
            states, [IncarnationState.CURRENT, IncarnationState.SUSPECT, IncarnationState.ENDED]
        )

    def test_without_an_id_the_most_recent_suspect_becomes_current(self) -> None:
        fleet = fleet_of(listing("i-1"), listing("i-2"), listing("i-3"))
        fleet.record_other_answered(replica(fleet, "i-3"))
        self.assertEqual(accepting(fleet), ["i-2"])
        fleet.record_other_answered(replica(fleet, "i-2"))
        self.assertEqual(accepting(fleet), ["i-1"])

    def test_an_ended_replica_becomes_current_only_by_an_answer(self) -> None:
        """It does not when its successor ends or is removed, nor when it is listed again."""
        fleet = fleet_of(listing("i-1"), listing("i-2"))
        fleet.record_other_answered(replica(fleet, "i-1"), "i-2")
        fleet.record_other_answered(replica(fleet, "i-2"))
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-1", slots=4))
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-3"))
        fleet.remove("i-3")
        self.assertEqual(accepting(fleet), [])

    def test_the_next_answer_corrects_one_that_was_processed_late(self) -> None:
        fleet = fleet_of(listing("i-old"), listing("i-new"))
        fleet.record_other_answered(replica(fleet, "i-new"), "i-old")
        self.assertEqual(accepting(fleet), ["i-old"])
        fleet.record_other_answered(replica(fleet, "i-old"), "i-new")
        self.assertEqual(accepting(fleet), ["i-new"])
        self.assertEqual(replica(fleet, "i-old").incarnation_state, IncarnationState.ENDED)

    def test_a_suspect_replica_that_answers_becomes_current(self) -> None:
        fleet = fleet_of(listing("i-running"), listing("i-late"))
        fleet.record_answer(replica(fleet, "i-running"))
        self.assertEqual(accepting(fleet), ["i-running"])
        self.assertEqual(replica(fleet, "i-late").incarnation_state, IncarnationState.SUSPECT)

    def test_a_late_answer_of_the_predecessor_does_not_end_its_successor(self) -> None:
        fleet = fleet_of(listing("i-old"), listing("i-new"))
        fleet.record_answer(replica(fleet, "i-old"))
        fleet.record_other_answered(replica(fleet, "i-old"))
        self.assertEqual(accepting(fleet), ["i-new"])

    def test_an_answer_of_an_unlisted_replica_ends_the_one_that_was_asked(self) -> None:
        fleet = fleet_of(listing("i-1"))
        fleet.record_other_answered(replica(fleet, "i-1"), "i-2")
        self.assertEqual(accepting(fleet), [])
        fleet.install(listing("i-2"))
        self.assertEqual(accepting(fleet), ["i-2"])

    def test_a_removed_replica_may_still_reveal_which_one_answers(self) -> None:
        fleet = fleet_of(listing("i-removed"), listing("i-1"), listing("i-2"))
        removed = replica(fleet, "i-removed")
        fleet.remove("i-removed")
        fleet.record_other_answered(removed, "i-1")
        self.assertEqual(accepting(fleet), ["i-1"])

    def test_each_change_is_reported_once_with_its_cause(self) -> None:
        changes: list[tuple[str, IncarnationState, IncarnationChangeCause, str]] = []

        def record(change: IncarnationChange) -> None:
            item = change.replica
            changes.append(
                (item.replica_id, item.incarnation_state, change.cause, change.current_id)
            )

        fleet = RelayFleet()
        fleet.on_incarnation_change = record
        for replica_id in ("i-1", "i-2", "i-2"):
            fleet.install(listing(replica_id))
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        fleet.record_other_answered(replica(fleet, "i-2"), "i-1")
        fleet.record_answer(replica(fleet, "i-1"))
        other = IncarnationChangeCause.OTHER_ANSWERED
        self.assertEqual(
            changes,
            [
                ("i-1", IncarnationState.SUSPECT, IncarnationChangeCause.LISTED, "i-2"),
                ("i-2", IncarnationState.ENDED, other, "i-1"),
                ("i-1", IncarnationState.CURRENT, other, "i-1"),
            ],
        )


class RestartUnderTheSameIdTest(unittest.TestCase):
    def test_an_entry_of_an_earlier_incarnation_changes_nothing(self) -> None:
        fleet = fleet_of(listing("i", started_at_ms=2_000, versions={"m": 3}))
        fleet.install(listing("i", started_at_ms=1_000, versions={"m": 7}, address="a:9"))
        known = replica(fleet, "i")
        self.assertEqual((known.listing.address, known.versions), ("a:1", {"m": 3}))

    def test_an_entry_without_a_start_time_belongs_to_the_known_incarnation(self) -> None:
        fleet = fleet_of(listing("i", started_at_ms=2_000))
        known = replica(fleet, "i")
        fleet.install(listing("i", accepting=False))
        self.assertIs(replica(fleet, "i"), known)
        self.assertEqual((known.listing.started_at_ms, known.listing.accepting), (2_000, False))

    def test_a_restart_does_not_cost_a_replica_the_connections_that_it_had(self) -> None:
        """Guards against a replica that is left idle because another one is connected."""
        fleet = fleet_of(listing("i", started_at_ms=1_000), listing("j"))
        replica(fleet, "i").record_success(0.1, 100.0)
        fleet.remove("i")
        fleet.install(listing("i", started_at_ms=2_000))
        self.assertTrue(replica(fleet, "i").counts_as_connected)
        self.assertFalse(replica(fleet, "j").counts_as_connected)
        # Another restart before it has answered.
        fleet.remove("i")
        fleet.install(listing("i", started_at_ms=3_000))
        restarted = replica(fleet, "i")
        self.assertTrue(restarted.counts_as_connected)
        restarted.record_success(0.1, 101.0)
        self.assertFalse(restarted.counts_as_connected)

    def test_incarnations_of_one_id_have_different_hashes(self) -> None:
        hashes = {listing("i", started_at_ms=at_ms).incarnation for at_ms in (0, 1_000, 2_000)}
        self.assertEqual(len(hashes), 3)
