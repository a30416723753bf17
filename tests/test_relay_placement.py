"""Tests ejection of replicas, placement of prompts and tasks, and the index of cached parts."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Mapping

from winchfork.core.cached_parts_backlog import CachedPartsBacklog
from winchfork.core.part_index import PartIndex, part_key
from winchfork.core.placement_request import CacheStoreChoice, PromptPlacementRequest
from winchfork.core.prompt_cost import max_jitter_s
from winchfork.core.prompt_parts import CacheScope, Prompt, PromptPart
from winchfork.core.relay_fleet import RelayFleet
from winchfork.core.relay_placement import place_prompt
from winchfork.core.relay_replica import EJECTION_S, FAILURES_TO_EJECT, RelayReplica, ReplicaListing
from winchfork.core.rendezvous import member_hash
from winchfork.core.task_placement import TaskPlacementRequest, place_task

SCOPE = CacheScope.for_tenant("t", False, "m")
#: Tokens per second.
COPY_RATE = 800_000.0
PREFILL_RATE = 40_000.0


def fleet_of(
    count: int, zones: tuple[str, ...] = ("z1",), born_ms: Mapping[str, int] | None = None
) -> list[RelayReplica]:
    """Return idle replicas; ``born_ms`` has the start times of some, by id."""
    fleet = RelayFleet()
    for number in range(count):
        name = f"i-{number}"
        started_at_ms = (born_ms or {}).get(name, 0)
        zone = zones[number % len(zones)]
        fleet.install(
            ReplicaListing(
                name, "s", f"a:{number}", zone, 16, True, {"m": 1}, started_at_ms=started_at_ms
            )
        )
    return fleet.of_service("s")


def prompt(family: str, own_tokens: int = 400, output_tokens: int = 10) -> Prompt:
    parts = (PromptPart("house", 2500), PromptPart(family, 3800), PromptPart("own", own_tokens))
    return Prompt("m", parts, 6300 + own_tokens, output_tokens)


def placed(
    request: Prompt, replicas: list[RelayReplica], index: PartIndex, **changes: object
) -> RelayReplica:
    fields: dict[str, object] = {"zone": "z1", "copy_tokens_per_s": COPY_RATE}
    fields.update(changes)
    placement = PromptPlacementRequest(request, SCOPE, **fields)  # type: ignore[arg-type]
    decision = place_prompt(placement, replicas, replicas, index)
    assert decision is not None
    return decision.replica


def store_choices(
    store: RelayReplica, tokens_per_s: float = COPY_RATE
) -> dict[str, CacheStoreChoice]:
    """Return the stores by region, with ``store`` in the only region."""
    return {"": CacheStoreChoice(store, tokens_per_s)}


class EjectionTest(unittest.TestCase):
    def test_one_event_that_fails_many_requests_ejects_once(self) -> None:
        """Guards against a long ejection of a healthy replica after one connection reset."""
        replica = fleet_of(1)[0]
        for _ in range(20):
            replica.record_failure(100.0)
        self.assertEqual(replica.ejected_until_s, 100.0 + EJECTION_S)

    def test_consecutive_ejections_double_until_a_success(self) -> None:
        replica = fleet_of(1)[0]
        for _ in range(FAILURES_TO_EJECT):
            replica.record_failure(0.0)
        replica.record_failure(10.0)
        self.assertEqual(replica.ejected_until_s, 10.0 + 2 * EJECTION_S)
        replica.record_success(0.1, 20.0)
        self.assertFalse(replica.record_failure(21.0))

    def test_a_certain_failure_ejects_at_once(self) -> None:
        replica = fleet_of(1)[0]
        self.assertTrue(replica.record_failure(5.0, certain=True))

    def test_a_repeated_listing_keeps_measurements_and_never_lowers_a_version(self) -> None:
        fleet = RelayFleet()
        listing = ReplicaListing("i", "s", "a:1", "z", 4, True, {"m": 1})
        replica = fleet.install(listing)
        replica.versions["m"] = 3
        replica.in_flight = 2
        self.assertIs(fleet.install(listing), replica)
        self.assertEqual((replica.versions["m"], replica.in_flight), (3, 2))


class CachedPartsBacklogTest(unittest.TestCase):
    def test_parts_that_exceed_one_message_are_sent_in_the_next(self) -> None:
        """Guards against dropping the parts that do not fit."""
        backlog = CachedPartsBacklog()
        backlog.add(7, range(5))
        backlog.add(8, (9, 9))
        backlog.discard(7, (0,))
        self.assertEqual(backlog.pop(3), [(7, (1, 2, 3))])
        self.assertEqual(sorted(backlog.pop(3)), [(7, (4,)), (8, (9,))])
        self.assertEqual(backlog.pop(3), [])


class PromptPlacementTest(unittest.TestCase):
    def test_every_daemon_sends_an_unknown_family_to_the_same_replica(self) -> None:
        for family in ("f1", "f2", "f3"):
            homes = {placed(prompt(family), fleet_of(6), PartIndex()).replica_id for _ in range(3)}
            self.assertEqual(len(homes), 1)

    def test_families_are_spread_over_the_replicas(self) -> None:
        homes = {placed(prompt(f"f{n}"), fleet_of(6), PartIndex()).replica_id for n in range(60)}
        self.assertEqual(len(homes), 6)

    def test_a_replica_that_restarts_under_its_id_keeps_its_place(self) -> None:
        """Guards against a replica that is left idle after its restart, and families that move."""

        def placements(born_ms: int) -> list[str]:
            replicas = fleet_of(6, ("z1", "z2"), {"i-3": born_ms})
            families = [placed(prompt(f"f{n}"), replicas, PartIndex()) for n in range(40)]
            long_answer = Prompt("m", (PromptPart("a", 100),), 500, 50)
            answers = [
                placed(long_answer, replicas, PartIndex(), zone=zone, expected_run_s=0.4)
                for zone in ("z1", "z2")
            ]
            return [replica.replica_id for replica in (*families, *answers)]

        before = placements(1_000)
        for born_ms in range(2_000, 12_000, 1_000):
            with self.subTest(born_ms=born_ms):
                self.assertEqual(placements(born_ms), before)

    def test_a_queue_at_home_moves_a_family_with_a_copy(self) -> None:
        replicas, index = fleet_of(3), PartIndex()
        request = prompt("f")
        home = placed(request, replicas, index)
        keys = [part_key(SCOPE.namespace(1), part) for part in request.shared_parts]
        index.record_cached(keys, home.incarnation_hash, 1.0)
        self.assertIs(placed(request, replicas, index), home)
        home.pending_prefill_tokens = 20_000
        placement = PromptPlacementRequest(request, SCOPE, "z1", copy_tokens_per_s=COPY_RATE)
        decision = place_prompt(placement, replicas, replicas, index)
        assert decision is not None
        self.assertIsNot(decision.replica, home)
        self.assertIs(decision.copy_from, home)
        self.assertEqual(decision.prefill_tokens, 400)

    def test_long_answers_are_concentrated_only_while_slots_are_free(self) -> None:
        """Guards against slow decoding on replicas whose slots are all taken."""
        replicas, index = fleet_of(12, ("z1", "z2", "z3")), PartIndex()
        hint = Prompt(
            "m", (PromptPart("a", 100), PromptPart("b", 80), PromptPart("c", 600)), 780, 50
        )
        for _ in range(48):
            chosen = placed(hint, replicas, index, expected_run_s=0.4, mean_run_s=0.5)
            chosen.in_flight += 1
        self.assertLessEqual(max(replica.in_flight for replica in replicas), 8)

    def test_old_weights_are_used_only_if_replicas_with_newer_ones_are_busy(self) -> None:
        replicas, index = fleet_of(6), PartIndex()
        request = prompt("f")
        for replica in replicas[:2]:
            replica.versions["m"] = 2
        old = frozenset({1})
        chosen = [placed(prompt(f"f{n}"), replicas, index, old_versions=old) for n in range(20)]
        self.assertEqual({replica.versions["m"] for replica in chosen}, {2})
        for replica in replicas[:2]:
            replica.pending_prefill_tokens = 20_000
        self.assertEqual(placed(request, replicas, index, old_versions=old).versions["m"], 1)

    def test_jitter_spreads_long_answers_of_daemons_with_stale_load_data(self) -> None:
        """Guards against many daemons that send to the same replica at the same time."""
        replicas, index = fleet_of(12, ("z1", "z2", "z3")), PartIndex()
        hint = Prompt(
            "m", (PromptPart("a", 100), PromptPart("b", 80), PromptPart("c", 600)), 780, 50
        )
        chosen = Counter(
            placed(
                hint,
                replicas,
                index,
                expected_run_s=0.4,
                zone=("z1", "z2", "z3")[number % 3],
                max_jitter_s=max_jitter_s(hint, 79, PREFILL_RATE),
                jitter_key=member_hash(f"request {number}"),
            ).replica_id
            for number in range(36)
        )
        self.assertLessEqual(max(chosen.values()), 11)
        self.assertGreaterEqual(len(chosen), 6)
        self.assertEqual(max_jitter_s(hint, 10, PREFILL_RATE), 0.0)

    def test_jitter_spreads_large_prompts_over_idle_replicas(self) -> None:
        """Guards against a queue on one of several replicas that have just finished a load."""
        replicas, index = fleet_of(12, ("z1", "z2", "z3")), PartIndex()
        for replica in replicas[:8]:
            replica.peer_pending_prefill_tokens = 8_000
        chosen: Counter[str] = Counter()
        for number in range(48):
            request = prompt(f"f{number}", own_tokens=2900)
            key, jitter_s = (
                member_hash(f"request {number}"),
                max_jitter_s(request, 79, PREFILL_RATE),
            )
            replica = placed(request, replicas, index, jitter_key=key, max_jitter_s=jitter_s)
            chosen[replica.replica_id] += 1
        self.assertLessEqual(max(chosen.values()), 14)

    def test_a_prompt_avoids_a_replica_without_free_cache_memory(self) -> None:
        replicas, index = fleet_of(6), PartIndex()
        request = prompt("f", own_tokens=2900)
        home = placed(request, replicas, index)
        home.peer_memory_tokens = 84_000
        chosen = placed(request, replicas, index, cache_tokens=86_298, mean_run_s=4.0)
        self.assertIsNot(chosen, home)
        self.assertIs(placed(request, replicas, index, cache_tokens=110_556, mean_run_s=4.0), home)

    def test_cache_memory_does_not_overflow_on_one_replica_while_others_have_room(self) -> None:
        """Guards against preemption of large prompts.

        Prompts of 9,200 tokens fill nine tenths of the memory of nine replicas.
        """
        replicas, index = fleet_of(12, ("z1", "z2", "z3"))[:9], PartIndex()
        cache_tokens = 93_049
        prompts = int(0.9 * len(replicas) * cache_tokens / 9_200)
        for number in range(prompts):
            request = prompt(f"f{number % 20}", own_tokens=2_900)
            chosen = placed(request, replicas, index, cache_tokens=cache_tokens, mean_run_s=0.5)
            chosen.peer_memory_tokens += request.memory_tokens
            chosen.peer_in_flight += 1
        self.assertLessEqual(max(item.used_tokens for item in replicas), cache_tokens)

    def test_parts_cached_under_other_weights_are_ignored(self) -> None:
        replicas, index = fleet_of(3), PartIndex()
        request = prompt("f")
        keys = [part_key(SCOPE.namespace(1), part) for part in request.shared_parts]
        for replica in replicas:
            index.record_cached(keys, replica.incarnation_hash, 1.0)
            replica.versions["m"] = 2
        placement = PromptPlacementRequest(request, SCOPE, "z1", copy_tokens_per_s=COPY_RATE)
        decision = place_prompt(placement, replicas, replicas, index)
        assert decision is not None
        self.assertEqual((decision.cached_tokens, decision.copy_from), (0, None))

    def test_new_parts_are_saved_to_the_store_and_stored_ones_copied_from_it(self) -> None:
        replicas, index = fleet_of(3), PartIndex()
        store = fleet_of(9)[8]
        request = prompt("f")
        placement = PromptPlacementRequest(
            request, SCOPE, "z1", copy_tokens_per_s=COPY_RATE, stores=store_choices(store)
        )
        first = place_prompt(placement, replicas, [*replicas, store], index)
        assert first is not None
        self.assertIs(first.save_to, store)
        keys = [part_key(SCOPE.namespace(1), part) for part in request.shared_parts]
        index.record_cached(keys, store.incarnation_hash, 1.0)
        second = place_prompt(placement, replicas, [*replicas, store], index)
        assert second is not None
        self.assertIsNone(second.save_to)
        self.assertIs(second.copy_from, store)

    def test_long_answers_are_concentrated_apart_from_large_prompts(self) -> None:
        replicas, index = fleet_of(4), PartIndex()
        long_answer = Prompt("m", (PromptPart("a", 100), PromptPart("b", 100)), 200, 300)
        chosen = [placed(long_answer, replicas, index, expected_run_s=2.0) for _ in range(3)]
        self.assertEqual(len({replica.replica_id for replica in chosen}), 1)
        chosen[0].in_flight = 8
        for number in range(20):
            large = prompt(f"f{number}", own_tokens=20_000)
            self.assertIsNot(placed(large, replicas, index, expected_run_s=0.1), chosen[0])

    def test_prompts_avoid_replicas_where_they_exceed_the_token_gap(self) -> None:
        """Guards against consecutive prefills that delay running answers beyond their target."""
        replicas, index = fleet_of(2), PartIndex()
        busy, calm = replicas
        busy.pending_prefill_tokens = calm.pending_prefill_tokens = 12_000
        busy.in_flight = 4
        calm.pending_prefill_tokens += 3_000
        request = prompt("f", own_tokens=4_000)
        self.assertIs(placed(request, replicas, index), busy)
        self.assertIs(placed(request, replicas, index, gap_target_s=0.6), calm)

    def test_of_equal_replicas_the_connected_one_is_preferred(self) -> None:
        """Guards against opening a connection for nearly every request with many replicas."""
        replicas, index = fleet_of(12, ("z1", "z2", "z3")), PartIndex()
        short = Prompt("m", (PromptPart("a", 100), PromptPart("own", 300)), 400, 50)
        first = placed(short, replicas, index, expected_run_s=0.4)
        other = next(item for item in replicas if item.listing.zone == "z1" and item is not first)
        connected = frozenset({other.incarnation_hash})
        self.assertIs(
            placed(short, replicas, index, expected_run_s=0.4, connected=connected), other
        )
        other.in_flight = 12
        self.assertIsNot(
            placed(short, replicas, index, expected_run_s=0.4, connected=connected), other
        )
        task = TaskPlacementRequest("z1", 0.0, connected=frozenset({replicas[3].incarnation_hash}))
        chosen = place_task(task, replicas[:4])
        assert chosen is not None
        self.assertIs(chosen.replica, replicas[3])

    def test_a_family_stays_at_home_even_if_only_other_replicas_are_connected(self) -> None:
        replicas, index = fleet_of(6), PartIndex()
        request = prompt("f", own_tokens=2900)
        home = placed(request, replicas, index)
        others = frozenset(item.incarnation_hash for item in replicas if item is not home)
        self.assertIs(placed(request, replicas, index, connected=others), home)

    def test_nothing_is_placed_without_candidates(self) -> None:
        placement = PromptPlacementRequest(prompt("f"), SCOPE, "z1")
        self.assertIsNone(place_prompt(placement, [], [], PartIndex()))
        self.assertIsNone(place_task(TaskPlacementRequest("z1", 0.0), []))


class TaskPlacementTest(unittest.TestCase):
    def test_near_replicas_are_preferred_and_busy_or_slow_ones_avoided(self) -> None:
        replicas = fleet_of(3, ("z1", "z2", "z3"))
        near = place_task(TaskPlacementRequest("z1", 100.0), replicas)
        assert near is not None
        self.assertEqual(near.replica.listing.zone, "z1")
        near.replica.in_flight = 16
        busy = place_task(TaskPlacementRequest("z1", 100.0), replicas)
        assert busy is not None
        self.assertNotEqual(busy.replica.listing.zone, "z1")
        near.replica.in_flight = 0
        near.replica.record_success(0.8, 100.0)
        slow = place_task(TaskPlacementRequest("z1", 100.5), replicas)
        assert slow is not None
        self.assertNotEqual(slow.replica.listing.zone, "z1")
        again = place_task(TaskPlacementRequest("z1", 110.0), replicas)
        assert again is not None
        self.assertEqual(again.replica.listing.zone, "z1")


class PartIndexTest(unittest.TestCase):
    def test_the_least_recently_used_parts_are_evicted_first(self) -> None:
        index = PartIndex(capacity=3)
        for key in (1, 2, 3):
            index.record_cached([key], 7, 1.0)
        index.record_cached([1], 7, 2.0)
        index.record_cached([4], 7, 3.0)
        self.assertEqual([index.cached_part_count([key], 7) for key in (1, 2, 3, 4)], [1, 0, 1, 1])

    def test_dropping_a_replica_removes_all_its_parts(self) -> None:
        index = PartIndex()
        index.record_cached([1, 2], 7, 1.0)
        index.record_cached([2], 8, 1.0)
        index.drop_replica(7)
        self.assertEqual((index.cached_part_count([1], 7), index.cached_part_count([2], 8)), (0, 1))
        self.assertEqual(len(index), 1)
