"""StoreSync: watches, lost history, outages and freshness proofs. Virtual time."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from collections.abc import Awaitable, Callable

from tests.memory_store import MemoryStore
from tests.test_platform_documents import CONFIGURATION, REPLICA
from tests.virtual_loop import run_virtually, stall_loop
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.software_state import SoftwareState
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.logs import configure_logs
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.router.document_installer import RELISTING_GRACE_S
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.settings import RouterBounds, RouterSettings
from winchfork.router.software_records import encode_record, software_record_key
from winchfork.router.state import RouterState
from winchfork.router.store_sync import WATCH_WAIT_S, StoreSync
from winchfork.stores.async_key_value import StoreSnapshot

#: An outage after which entries have lapsed. A watch that waits when it begins is still answered.
LAPSE_OUTAGE_S = WATCH_WAIT_S + 3.0 * RouterBounds().heartbeat_s


class Followed:
    """A RouterState that follows a store."""

    def __init__(self, store: MemoryStore) -> None:
        loop = asyncio.get_running_loop()
        generator = random.Random(3)
        settings = RouterSettings("n1", "z1", "g", "", "", "", "")
        self.store = store
        self.state = RouterState(settings, loop.time, generator)
        self.leadership = Leadership(store, "n1", 3.0, loop.time, generator, 1.0)
        self.sync = StoreSync(
            self.state, store, PlatformDocumentCodec(), self.leadership, generator
        )
        self.task = asyncio.create_task(self.sync.run())

    def age_s(self) -> float:
        return self.state.freshness.age_s(self.state.clock())

    def put_configuration(self, version: int) -> None:
        document = {**CONFIGURATION, "Version": version}
        self.store.put("op/config", json.dumps(document).encode())

    def put_replica(self, replica_id: str, **changes: object) -> None:
        self.store.put(f"servers/{replica_id}", json.dumps({**REPLICA, **changes}).encode())

    async def lose_in_an_outage(self, replica_id: str, *, history_lost: bool = True) -> None:
        """Remove an entry during a store outage, and wait until that is known."""
        self.store.down = True
        await asyncio.sleep(3.0 if history_lost else LAPSE_OUTAGE_S)
        self.store.remove(f"servers/{replica_id}")
        if history_lost:
            self.store.compact_history()
        self.store.down = False
        up_s = self.state.clock()
        while self.state.clock() - up_s < 60.0 and not self.state.missing_until_s:
            await asyncio.sleep(0.01)

    async def wait_until_synced(self) -> None:
        """Wait until all writes are known."""
        while self.state.store_position < self.store.at:
            await asyncio.sleep(0.01)

    def known(self) -> list[str]:
        return sorted(replica.replica_id for replica in self.state.fleet.replicas())


def follow(scenario: Callable[[Followed], Awaitable[None]]) -> None:
    async def main() -> None:
        followed = Followed(MemoryStore())
        followed.put_configuration(3)
        followed.put_replica("i-1")
        followed.put_replica("i-2")
        await asyncio.sleep(0.5)
        await scenario(followed)

    run_virtually(main())


class StoreSyncTest(unittest.TestCase):
    def test_the_daemon_is_ready_after_the_first_list(self) -> None:
        async def scenario(followed: Followed) -> None:
            self.assertTrue(followed.state.ready)
            self.assertEqual(followed.known(), ["i-1", "i-2"])

        follow(scenario)

    def test_a_newer_configuration_is_installed_at_once_and_an_older_one_never(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_configuration(9)
            await asyncio.sleep(0.2)
            assert followed.state.routing_table is not None
            self.assertEqual(followed.state.routing_table.version, 9)
            followed.put_configuration(4)
            await asyncio.sleep(0.2)
            self.assertEqual(followed.state.routing_table.version, 9)

        follow(scenario)

    def test_empty_watches_keep_the_freshness_proof_recent(self) -> None:
        async def scenario(followed: Followed) -> None:
            oldest_s = 0.0
            for _ in range(200):
                await asyncio.sleep(0.1)
                oldest_s = max(oldest_s, followed.age_s())
            self.assertLess(oldest_s, WATCH_WAIT_S + 0.2)
            self.assertLess(followed.store.calls.count("watch"), 20 / WATCH_WAIT_S + 3)

        follow(scenario)

    def test_keys_fail_closed_during_a_store_outage(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.down = True
            await asyncio.sleep(5.0)
            self.assertFalse(followed.state.api_keys_fresh)
            self.assertFalse(followed.state.ready)
            followed.store.down = False
            await asyncio.sleep(1.5)
            self.assertTrue(followed.state.ready)

        follow(scenario)

    def test_keys_are_fresh_again_soon_after_a_stall(self) -> None:
        """Guards against a watch with the full wait after a stall, which delays the next proof."""

        async def scenario(followed: Followed) -> None:
            await asyncio.sleep(5.0)
            stall_loop(4.0)
            self.assertFalse(followed.state.api_keys_fresh)
            await asyncio.sleep(0.5)
            self.assertTrue(followed.state.api_keys_fresh)

        follow(scenario)

    def test_a_late_answer_proves_only_the_start_of_its_call(self) -> None:
        async def scenario(followed: Followed) -> None:
            released = asyncio.Semaphore(0)
            real = followed.store.watch

            async def slow(prefix: str, after: int, wait_s: float) -> object:
                answer = await real(prefix, after, 0.0)
                await released.acquire()
                return answer

            followed.store.watch = slow  # type: ignore[assignment, method-assign]
            await asyncio.sleep(2.0)
            asked_s = followed.state.clock() - 2.0
            await asyncio.sleep(10.0)
            released.release()
            await asyncio.sleep(0.01)
            proven_s = followed.state.clock() - followed.age_s()
            self.assertLessEqual(proven_s, asked_s + WATCH_WAIT_S)

        follow(scenario)

    def test_a_list_follows_when_the_history_is_lost(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.down = True
            await asyncio.sleep(2.0)
            followed.store.remove("servers/i-1")
            followed.put_replica("i-2", State="draining")
            followed.put_replica("i-3")
            followed.store.compact_history()
            followed.store.down = False
            await asyncio.sleep(6.0)
            followed.sync.expire_missing_replicas(followed.state.clock())
            self.assertEqual(followed.known(), ["i-2", "i-3"])
            self.assertFalse(followed.state.fleet.get("i-2").listing.accepting)  # type: ignore[union-attr]

        follow(scenario)

    def test_a_replica_whose_entry_is_missing_after_an_outage_is_kept_for_a_while(self) -> None:
        async def scenario(followed: Followed) -> None:
            await followed.lose_in_an_outage("i-1")
            self.assertIn("i-1", followed.known())
            followed.put_replica("i-1")
            await asyncio.sleep(4.0)
            followed.sync.expire_missing_replicas(followed.state.clock())
            self.assertEqual(followed.known(), ["i-1", "i-2"])

        follow(scenario)

    def test_a_replica_whose_entry_lapsed_in_an_outage_keeps_its_cached_parts(self) -> None:
        """The store has kept its history, so that the removals are heard by a watch."""

        async def scenario(followed: Followed) -> None:
            replica = followed.state.fleet.get("i-1")
            assert replica is not None
            followed.state.parts.record_cached([7], replica.incarnation_hash, 0.0)
            await followed.lose_in_an_outage("i-1", history_lost=False)
            self.assertEqual(followed.known(), ["i-1", "i-2"])
            followed.put_replica("i-1")
            await asyncio.sleep(4.0)
            followed.sync.expire_missing_replicas(followed.state.clock())
            self.assertIs(followed.state.fleet.get("i-1"), replica)
            self.assertIn(replica.incarnation_hash, followed.state.parts.holders(7))

        follow(scenario)

    def test_a_replica_is_removed_when_its_entry_is_still_missing_after_the_grace(self) -> None:
        for history_lost in (True, False):
            with self.subTest(history_lost=history_lost):
                self.check_end_of_grace(history_lost)

    def check_end_of_grace(self, history_lost: bool) -> None:
        async def scenario(followed: Followed) -> None:
            await followed.lose_in_an_outage("i-1", history_lost=history_lost)
            await asyncio.sleep(RELISTING_GRACE_S - 0.1)
            followed.sync.expire_missing_replicas(followed.state.clock())
            self.assertIn("i-1", followed.known())
            await asyncio.sleep(0.2)
            followed.sync.expire_missing_replicas(followed.state.clock())
            self.assertEqual(followed.known(), ["i-2"])

        follow(scenario)

    def test_a_draining_replica_stays_so_when_its_entry_returns_after_an_outage(self) -> None:
        """Its own notice counts more than an entry that is written again as ready."""
        for history_lost in (True, False):
            with self.subTest(history_lost=history_lost):
                self.check_draining_replica(history_lost)

    def check_draining_replica(self, history_lost: bool) -> None:
        async def scenario(followed: Followed) -> None:
            leaving = followed.state.fleet.get("i-1")
            assert leaving is not None
            followed.state.notices.record(leaving, AnswerNotice(draining=True))
            await followed.lose_in_an_outage("i-1", history_lost=history_lost)
            self.assertEqual(followed.known(), ["i-2"])
            followed.put_replica("i-1")
            await asyncio.sleep(4.0)
            listed = followed.state.fleet.get("i-1")
            assert listed is not None
            self.assertTrue(listed.listing.accepting)
            self.assertFalse(listed.accepting)

        follow(scenario)

    def test_a_replica_listed_as_draining_is_removed_when_its_entry_lapses_in_an_outage(
        self,
    ) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", State="draining")
            await followed.wait_until_synced()
            await followed.lose_in_an_outage("i-1", history_lost=False)
            self.assertEqual(followed.known(), ["i-2"])

        follow(scenario)

    def test_a_removal_that_follows_the_first_answer_after_an_outage_has_no_grace(self) -> None:
        async def scenario(followed: Followed) -> None:
            await followed.lose_in_an_outage("i-1", history_lost=False)
            followed.store.remove("servers/i-2")
            await asyncio.sleep(0.1)
            self.assertNotIn("i-2", followed.known())

        follow(scenario)

    def test_a_removal_has_no_grace_after_a_failure_in_which_no_entry_lapses(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.down = True
            await asyncio.sleep(WATCH_WAIT_S + 0.5)
            followed.store.remove("servers/i-1")
            followed.store.down = False
            await asyncio.sleep(1.5)
            self.assertEqual(followed.known(), ["i-2"])

        follow(scenario)

    def test_a_removal_has_no_grace_after_a_single_lost_answer(self) -> None:
        async def scenario(followed: Followed) -> None:
            real = followed.store.watch

            async def lose_an_answer(*_: object) -> Failure:
                followed.store.watch = real  # type: ignore[method-assign]
                await asyncio.sleep(3.0)
                followed.store.remove("servers/i-1")
                return FailureKind.STORE_UNAVAILABLE.because("the answer was lost")

            followed.store.watch = lose_an_answer  # type: ignore[assignment, method-assign]
            await asyncio.sleep(WATCH_WAIT_S + 3.5)
            self.assertEqual(followed.known(), ["i-2"])

        follow(scenario)

    def test_a_record_that_is_removed_in_an_outage_does_not_count_as_lost(self) -> None:
        async def scenario(followed: Followed) -> None:
            key = software_record_key("s")
            followed.store.put(key, encode_record(SoftwareState("s", "1.0")))
            await followed.wait_until_synced()
            followed.store.down = True
            await asyncio.sleep(LAPSE_OUTAGE_S)
            followed.store.remove(key)
            followed.store.down = False
            await asyncio.sleep(2.0)
            self.assertFalse(followed.state.software.is_record_lost("s"))

        follow(scenario)

    def test_incarnation_changes_caused_by_entries_are_logged(self) -> None:
        """Guards against replicas that get no requests without a logged reason."""

        async def scenario(followed: Followed) -> None:
            lines: list[str] = []
            configure_logs("info", lines.append)
            self.addCleanup(configure_logs, "error")
            followed.put_replica("i-late", Address=REPLICA["Address"])
            await asyncio.sleep(0.2)
            followed.store.remove("servers/i-late")
            await asyncio.sleep(WATCH_WAIT_S)
            logged = [line.split("event=")[1].strip() for line in lines if "_superseded" in line]
            self.assertIn(
                "replica_superseded replica=i-2 address=10.128.0.9:8080 reason=listed"
                " standing=doubted by=i-late",
                logged,
            )
            logged = [line.split("event=")[1].strip() for line in lines if "_reinstated" in line]
            self.assertEqual(
                logged,
                [
                    "replica_reinstated replica=i-2 address=10.128.0.9:8080 reason=gone"
                    " standing=in_place"
                ],
            )

        follow(scenario)

    def test_a_list_older_than_a_peers_update_does_not_remove_the_leader(self) -> None:
        """Guards against a daemon that campaigns in vain because a stale list shows no leader.

        A peer reports a leader while the daemon waits for the answer to its list.
        """

        async def main() -> None:
            store = MemoryStore()
            store.put("op/config", json.dumps(CONFIGURATION).encode())
            followed = Followed(store)
            real = store.list

            async def updated_meanwhile(prefix: str) -> StoreSnapshot | Failure:
                snapshot = await real(prefix)
                assert not isinstance(snapshot, Failure)
                revision = store.put(LEADER_KEY, b"n2")
                entry = TableItem(LEADER_KEY, revision, b"n2")
                update = TableUpdate(
                    snapshot.position, StorePosition(0, revision), False, False, (entry,)
                )
                followed.sync.install_update(update)
                return snapshot

            store.list = updated_meanwhile  # type: ignore[method-assign]
            campaigning = asyncio.create_task(followed.leadership.run())
            await asyncio.sleep(20.0)
            campaigning.cancel()
            self.assertEqual(followed.state.leader_id, "n2")
            self.assertEqual(store.calls.count("grant_lease"), 0)
            self.assertEqual(store.calls.count("transact"), 0)

        run_virtually(main())

    def test_a_malformed_configuration_does_not_replace_the_active_one(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.store.put("op/config", b"{broken")
            await asyncio.sleep(0.2)
            assert followed.state.routing_table is not None
            self.assertEqual(followed.state.routing_table.version, 3)
            self.assertFalse(followed.task.done())

        follow(scenario)

    def test_versions_in_the_first_list_are_assumed_to_be_old(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            named = json.dumps({"Model": "daka510000", "Version": 2}).encode()
            store.put("op/version/daka510000", named)
            followed = Followed(store)
            await asyncio.sleep(0.5)
            history = followed.state.weights_versions["daka510000"]
            self.assertLessEqual(history.expires_at_s(1, 8.0) - followed.state.clock(), 3.0)
            later = json.dumps({"Model": "daka510000", "Version": 3}).encode()
            store.put("op/version/daka510000", later)
            await asyncio.sleep(0.2)
            self.assertGreater(history.expires_at_s(2, 8.0) - followed.state.clock(), 7.0)

        run_virtually(main())

    def test_the_bound_of_versions_first_listed_after_an_outage_begins_then(self) -> None:
        async def main() -> None:
            store = MemoryStore()
            named = json.dumps({"Model": "daka510000", "Version": 2}).encode()
            store.put("op/version/daka510000", named)
            store.down = True
            followed = Followed(store)
            await asyncio.sleep(3.0)
            store.down = False
            await asyncio.sleep(1.0)
            history = followed.state.weights_versions["daka510000"]
            self.assertGreater(history.expires_at_s(1, 8.0) - followed.state.clock(), 6.9)

        run_virtually(main())
