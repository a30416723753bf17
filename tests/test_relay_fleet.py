"""Which of the incarnations that are listed at one address is taken for the one that answers."""

from __future__ import annotations

import unittest

from winchfork.core.relay_fleet import RelayFleet, ReplicaListing


def listing(replica_id: str, address: str = "a:1", **changes: object) -> ReplicaListing:
    """Return what the platform's list says of a replica."""
    fields: dict[str, object] = {"service": "s", "zone": "z", "slots": 8, "accepting": True}
    fields.update(changes)
    return ReplicaListing(replica_id, address=address, **fields)  # type: ignore[arg-type]


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
