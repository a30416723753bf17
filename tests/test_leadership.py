"""At most one leader acts, fences rise, and successive leaders act a lease bound apart.

Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Sequence

from tests.memory_store import MemoryStore
from tests.virtual_loop import run_virtually
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import VALIDITY_S, Leadership
from winchfork.stores.async_key_value import ExpectedRevision, PutItem, WatchBatch

LEASE_BOUND_S = 3.0
LATE_ANSWER_S = 4.0


class Candidate:
    """A Leadership that is fed from a watch of the store, as StoreSync does."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.store = store
        self.cut = False
        self.leadership = Leadership(
            self if name == "cut off" else store,  # type: ignore[arg-type]
            name,
            LEASE_BOUND_S,
            asyncio.get_running_loop().time,
            random.Random(name),
            1.0,
        )
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self._watch()),
        ]

    async def _watch(self) -> None:
        revision = 0
        self.leadership.record_no_entry(StorePosition())
        while True:
            batch = await self.store.watch(LEADER_KEY, revision, 1.0)
            if not isinstance(batch, WatchBatch) or self.cut:
                await asyncio.sleep(0.1)
                continue
            revision = batch.position.revision
            for item in batch.items:
                if item.value is None:
                    self.leadership.record_no_entry(StorePosition(0, item.revision))
                else:
                    self.leadership.record_entry(StorePosition(0, item.revision))

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.leadership.fence = 0


def answer_the_first_write_late(store: MemoryStore) -> None:
    """Make the first write take effect at once, but answer after its lease of 2 s has expired."""
    real = store.transact

    async def answered_late(
        expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        store.transact = real  # type: ignore[method-assign]
        answer = await real(expected, puts)
        await asyncio.sleep(LATE_ANSWER_S)
        return answer

    store.transact = answered_late  # type: ignore[method-assign]


async def _run_for(seconds: float) -> None:
    await asyncio.sleep(seconds)


def _acting(candidates: list[Candidate]) -> list[Candidate]:
    return [candidate for candidate in candidates if candidate.leadership.may_act()]


class LeadershipTest(unittest.TestCase):
    def test_one_leader_acts_and_its_successor_waits_for_the_lease_bound(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(5)]
            await _run_for(6.0)
            first = _acting(candidates)
            self.assertEqual(len(first), 1)
            fence = first[0].leadership.fence
            loop = asyncio.get_running_loop()
            killed_s = loop.time()
            first[0].kill()
            rest = [candidate for candidate in candidates if candidate is not first[0]]
            while not _acting(rest):
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(loop.time() - killed_s, LEASE_BOUND_S)
            self.assertLessEqual(loop.time() - killed_s, 5.5)
            self.assertEqual(len(_acting(rest)), 1)
            self.assertGreater(_acting(rest)[0].leadership.fence, fence)

        run_virtually(scenario())

    def test_a_leader_without_the_store_stops_before_its_lease_can_expire(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidate = Candidate(store, "n1")
            await _run_for(6.0)
            self.assertTrue(candidate.leadership.may_act())
            store.down = True
            await _run_for(VALIDITY_S + 0.01)
            self.assertFalse(candidate.leadership.may_act())
            store.down = False
            await _run_for(6.0)
            self.assertTrue(candidate.leadership.may_act())

        run_virtually(scenario())

    def test_a_stalled_leader_does_not_act_when_it_resumes(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _run_for(6.0)
            stalled = _acting(candidates)[0]
            fence = stalled.leadership.fence
            for task in stalled.tasks:
                task.cancel()
            await _run_for(VALIDITY_S)
            self.assertEqual(stalled.leadership.fence, fence)
            self.assertFalse(stalled.leadership.may_act())

        run_virtually(scenario())

    def test_a_lost_answer_to_the_first_write_does_not_prevent_a_leader(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            store.write_answers_to_lose = 1
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _run_for(0.8)
            self.assertEqual([item.leadership.fence for item in candidates], [0, 0, 0])
            await _run_for(8.0)
            self.assertEqual(len(_acting(candidates)), 1)

        run_virtually(scenario())

    def test_an_entry_that_expired_before_its_answer_counts_as_removed(self) -> None:
        """Guards against a late answer that overrides the removal, so that nobody campaigns."""

        async def scenario() -> None:
            store = MemoryStore()
            answer_the_first_write_late(store)
            candidate = Candidate(store, "n1")
            await _run_for(30.0)
            self.assertGreater(candidate.leadership.fence, 1)
            self.assertTrue(candidate.leadership.may_act())

        run_virtually(scenario())

    def test_a_late_answer_does_not_hide_a_leader_that_came_meanwhile(self) -> None:
        """Guards against a daemon that takes itself for the leader after a late answer.

        It would ignore the actual leader's resignation, and wait too long before it acts.
        """

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            store = MemoryStore()
            answer_the_first_write_late(store)
            late = Candidate(store, "n1")
            while LEADER_KEY not in store.items:
                await _run_for(0.01)
            leader = Candidate(store, "n2")
            await _run_for(8.0)
            self.assertTrue(leader.leadership.may_act())
            self.assertEqual(late.leadership.fence, 0)
            leader.leadership.withdraw()
            resignation = await leader.leadership.resign()
            assert resignation is not None
            late.leadership.handle_resignation(resignation)
            resigned_s = loop.time()
            while not late.leadership.may_act():
                await _run_for(0.01)
            self.assertLess(loop.time() - resigned_s, 1.0)

        run_virtually(scenario())

    def test_a_resignation_carries_the_age_of_the_last_order(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _run_for(10.0)
            leader = _acting(candidates)[0]
            rest = [candidate for candidate in candidates if candidate is not leader]
            leader.leadership.record_order()
            await _run_for(2.0)
            resignation = await leader.leadership.resign()
            assert resignation is not None
            self.assertGreaterEqual(resignation.last_order_ms, 2000)
            for candidate in rest:
                candidate.leadership.handle_resignation(resignation)
            loop = asyncio.get_running_loop()
            resigned_s = loop.time()
            while not _acting(rest):
                await asyncio.sleep(0.02)
            waited_s = loop.time() - resigned_s
            self.assertGreaterEqual(waited_s + 2.0, LEASE_BOUND_S)
            self.assertLess(waited_s, 2.0)

        run_virtually(scenario())

    def test_a_resignation_before_any_order_reports_the_predecessors_last_order(self) -> None:
        """Guards against a third leader that acts too early after the first one's order.

        The second leader resigns before it may act, without an order of its own.
        """

        async def scenario() -> None:
            store = MemoryStore()
            loop = asyncio.get_running_loop()
            first = Candidate(store, "n1")
            await _run_for(6.0)
            self.assertTrue(first.leadership.may_act())
            second, third = Candidate(store, "n2"), Candidate(store, "n3")
            first.leadership.record_order()
            ordered_s = loop.time()
            resignation = await first.leadership.resign()
            first.kill()
            assert resignation is not None
            second.leadership.handle_resignation(resignation)
            third.leadership.handle_resignation(resignation)
            while not (second.leadership.fence or third.leadership.fence):
                await _run_for(0.01)
            leader, last = (second, third) if second.leadership.fence else (third, second)
            resignation = await leader.leadership.resign()
            leader.kill()
            assert resignation is not None
            last.leadership.handle_resignation(resignation)
            while not last.leadership.may_act():
                await _run_for(0.01)
            self.assertGreaterEqual(loop.time() - ordered_s, LEASE_BOUND_S)

        run_virtually(scenario())

    def test_a_daemon_that_stops_does_not_campaign(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(2)]
            await _run_for(6.0)
            leader = _acting(candidates)[0]
            other = next(candidate for candidate in candidates if candidate is not leader)
            other.leadership.withdraw()
            await leader.leadership.resign()
            leader.leadership.withdraw()
            await _run_for(8.0)
            self.assertEqual(other.leadership.fence, 0)
            self.assertNotIn(LEADER_KEY, store.items)

        run_virtually(scenario())
