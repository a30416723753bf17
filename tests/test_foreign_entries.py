"""Invalid store entries: they are not used as replicas, and do not affect valid entries."""

from __future__ import annotations

import json
import unittest

from tests.entry_fuzz import REQUIRED_FIELDS, UNREADABLE, fuzz
from tests.test_platform_documents import REPLICA
from tests.test_store_sync import Followed, follow
from winchfork.core.relay_replica import ReplicaListing
from winchfork.logs import configure_logs
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.router.documents import UnreadableReplica
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.stores.async_key_value import StoreItem

#: 1026 covers a replica's entry without a zone.
SEEDS = (*range(1, 25), 1026)


def read(entry: object) -> object:
    """Return the document that a replica's entry decodes to."""
    return PlatformDocumentCodec().read(StoreItem("servers/i-1", json.dumps(entry).encode(), 1))


class ReplicaEntryTest(unittest.TestCase):
    def test_a_complete_entry_is_a_replica(self) -> None:
        self.assertIsInstance(read(REPLICA), ReplicaListing)

    def test_an_entry_with_a_missing_or_mistyped_field_is_rejected(self) -> None:
        for name in REQUIRED_FIELDS:
            without = {field: value for field, value in REPLICA.items() if field != name}
            self.assertIsInstance(read(without), UnreadableReplica, name)
            self.assertIsInstance(read({**REPLICA, name: [1]}), UnreadableReplica, name)

    def test_an_entry_with_an_invalid_start_time_is_rejected(self) -> None:
        for born in ("1", 1.5, -1, None, True, 10**30):
            self.assertIsInstance(read({**REPLICA, "born": born}), UnreadableReplica, born)

    def test_an_entry_with_an_unknown_state_is_rejected(self) -> None:
        self.assertIsInstance(read({**REPLICA, "State": "zombie"}), UnreadableReplica)

    def test_an_address_must_be_an_ip_address_and_a_port(self) -> None:
        for address in ("", "x", "10.0.0.1", "10.0.0.1:0x50", "10.0.0.1:99999", "a.example:80"):
            self.assertIsInstance(read({**REPLICA, "Address": address}), UnreadableReplica)


class FollowedEntryTest(unittest.TestCase):
    def test_a_replica_whose_entry_becomes_unreadable_is_removed(self) -> None:
        async def scenario(followed: Followed) -> None:
            for value in UNREADABLE:
                followed.put_replica("i-1")
                await followed.wait_until_synced()
                self.assertEqual(followed.known(), ["i-1", "i-2"])
                followed.store.put("servers/i-1", value)
                await followed.wait_until_synced()
                self.assertEqual(followed.known(), ["i-2"])

        follow(scenario)

    def test_a_leaders_entry_that_is_not_utf8_does_not_stop_the_sync(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.put(LEADER_KEY, b"\xff\xfe")
            followed.put_replica("i-3")
            await followed.wait_until_synced()
            self.assertIn("i-3", followed.known())
            self.assertFalse(followed.task.done())

        follow(scenario)

    def test_refused_entries_are_counted_and_logged_with_a_rate_limit(self) -> None:
        async def scenario(followed: Followed) -> None:
            lines: list[str] = []
            configure_logs("info", lines.append)
            self.addCleanup(configure_logs, "error")
            for _ in range(500):
                followed.store.put("servers/i-1", b"\xff")
            await followed.wait_until_synced()
            refused = [line for line in lines if "event=document_refused" in line]
            self.assertEqual(followed.state.metrics.documents_refused.value, 500)
            self.assertIn("key=servers/i-1", refused[0])
            self.assertLessEqual(len(refused), 40)

        follow(scenario)


class FuzzTest(unittest.TestCase):
    def test_only_valid_entries_are_used(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fuzz(seed)
