"""At most one leader acts, its fence rises, and turns are a lease bound apart. Virtual time."""

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
    """A leadership with a watch of its own, as StoreSync feeds it."""

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
    """Carry the first write out at once, and say so when the lease of 2 s has run out."""
    real = store.transact

    async def answered_late(
        expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        store.transact = real  # type: ignore[method-assign]
        answer = await real(expected, puts)
        await asyncio.sleep(LATE_ANSWER_S)
        return answer

    store.transact = answered_late  # type: ignore[method-assign]


async def _settle(seconds: float) -> None:
    await asyncio.sleep(seconds)


def _acting(candidates: list[Candidate]) -> list[Candidate]:
    return [candidate for candidate in candidates if candidate.leadership.may_act()]


class LeadershipTest(unittest.TestCase):
    def test_one_acts_and_its_successor_waits_out_the_bound(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(5)]
            await _settle(6.0)
            first = _acting(candidates)
            self.assertEqual(len(first), 1)
            fence = first[0].leadership.fence
            loop = asyncio.get_running_loop()
            last_act_s = loop.time()
            first[0].kill()
            rest = [candidate for candidate in candidates if candidate is not first[0]]
            while not _acting(rest):
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(loop.time() - last_act_s, LEASE_BOUND_S)
            self.assertLessEqual(loop.time() - last_act_s, 5.5)
            self.assertEqual(len(_acting(rest)), 1)
            self.assertGreater(_acting(rest)[0].leadership.fence, fence)

        run_virtually(scenario())

    def test_a_leader_without_the_store_stops_before_its_lease_can_end(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidate = Candidate(store, "n1")
            await _settle(6.0)
            self.assertTrue(candidate.leadership.may_act())
            store.down = True
            await _settle(VALIDITY_S + 0.01)
            self.assertFalse(candidate.leadership.may_act())
            store.down = False
            await _settle(6.0)
            self.assertTrue(candidate.leadership.may_act())

        run_virtually(scenario())

    def test_a_frozen_leader_does_not_act_when_it_wakes(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _settle(6.0)
            frozen = _acting(candidates)[0]
            fence = frozen.leadership.fence
            for task in frozen.tasks:
                task.cancel()
            await _settle(VALIDITY_S)
            self.assertEqual(frozen.leadership.fence, fence)
            self.assertFalse(frozen.leadership.may_act())

        run_virtually(scenario())

    def test_a_lost_answer_leaves_no_unknown_holder(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            store.write_answers_to_lose = 1
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _settle(0.8)
            self.assertEqual([item.leadership.fence for item in candidates], [0, 0, 0])
            await _settle(8.0)
            self.assertEqual(len(_acting(candidates)), 1)

        run_virtually(scenario())

    def test_an_entry_that_lapsed_before_its_answer_came_leaves_the_place_vacant(self) -> None:
        """The store took a lone daemon for the leader, and its answer came 4 s late.

        By then the lease of 2 s had run out, and the watch had told that the entry was gone. The
        answer, which is older, was taken to say that the place is filled: the daemon found that its
        lease had ended, and never campaigned again. 26 s later there was no leader.
        """

        async def scenario() -> None:
            store = MemoryStore()
            answer_the_first_write_late(store)
            candidate = Candidate(store, "n1")
            await _settle(30.0)
            self.assertGreater(candidate.leadership.fence, 1)
            self.assertTrue(candidate.leadership.may_act())

        run_virtually(scenario())

    def test_a_late_answer_does_not_hide_the_holder_that_came_meanwhile(self) -> None:
        """The same where another daemon had become the leader before the late answer came.

        The late one took itself for the newest holder, so it did not hear the resignation of the
        real one: it acted only 2.55 s later, for the sake of orders that were 6.87 s old already.
        """

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            store = MemoryStore()
            answer_the_first_write_late(store)
            late = Candidate(store, "n1")
            while LEADER_KEY not in store.items:
                await _settle(0.01)
            holder = Candidate(store, "n2")
            await _settle(8.0)
            self.assertTrue(holder.leadership.may_act())
            self.assertEqual(late.leadership.fence, 0)
            holder.leadership.withdraw()
            told = await holder.leadership.resign()
            assert told is not None
            late.leadership.handle_resignation(told)
            resigned_s = loop.time()
            while not late.leadership.may_act():
                await _settle(0.01)
            self.assertLess(loop.time() - resigned_s, 1.0)

        run_virtually(scenario())

    def test_a_resignation_carries_the_age_of_the_last_order(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(3)]
            await _settle(10.0)
            leader = _acting(candidates)[0]
            rest = [candidate for candidate in candidates if candidate is not leader]
            leader.leadership.record_order()
            await _settle(2.0)
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

    def test_a_resignation_before_any_order_still_speaks_for_the_holder_before(self) -> None:
        """inc-fec5 (amse-vigie): the third holder could act 3.09 s after the first one's order.

        The second had resigned before its own turn came, saying that it had given no order.
        """

        async def scenario() -> None:
            store = MemoryStore()
            loop = asyncio.get_running_loop()
            first = Candidate(store, "n1")
            await _settle(6.0)
            self.assertTrue(first.leadership.may_act())
            second, third = Candidate(store, "n2"), Candidate(store, "n3")
            first.leadership.record_order()
            ordered_s = loop.time()
            told = await first.leadership.resign()
            first.kill()
            assert told is not None
            second.leadership.handle_resignation(told)
            third.leadership.handle_resignation(told)
            while not (second.leadership.fence or third.leadership.fence):
                await _settle(0.01)
            holder, last = (second, third) if second.leadership.fence else (third, second)
            told = await holder.leadership.resign()
            holder.kill()
            assert told is not None
            last.leadership.handle_resignation(told)
            while not last.leadership.may_act():
                await _settle(0.01)
            self.assertGreaterEqual(loop.time() - ordered_s, LEASE_BOUND_S)

        run_virtually(scenario())

    def test_a_daemon_that_stops_does_not_campaign(self) -> None:
        async def scenario() -> None:
            store = MemoryStore()
            candidates = [Candidate(store, f"n{number}") for number in range(2)]
            await _settle(6.0)
            leader = _acting(candidates)[0]
            other = next(candidate for candidate in candidates if candidate is not leader)
            other.leadership.withdraw()
            await leader.leadership.resign()
            leader.leadership.withdraw()
            await _settle(8.0)
            self.assertEqual(other.leadership.fence, 0)
            self.assertNotIn(LEADER_KEY, store.items)

        run_virtually(scenario())
