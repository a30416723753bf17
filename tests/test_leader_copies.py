"""The leadership when the store comes back from a copy. Virtual time."""

from __future__ import annotations

import asyncio
import functools
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from tests.peer_support import Daemon
from tests.store_restore_fleet import StoreRestoreFleet, run_in_store_restore_fleet
from winchfork.router.leader_entry import LEADER_KEY

DAEMONS = 5
LEASE_BOUND_S = 3.0
#: After the store's return a leader acts within this time.
ACTS_WITHIN_S = 3.0
STEP_S = 0.01
SEEDS = 60


class Turns:
    """Watches who acts, and keeps what breaks the rule of one leader at a time."""

    def __init__(self, fleet: StoreRestoreFleet) -> None:
        self._fleet = fleet
        self._acted_s: dict[str, float] = {}
        self._fence = 0
        self.acted: list[tuple[float, str]] = []
        self.broken: list[str] = []
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for daemon in self._fleet.leading():
                self._note(daemon, loop.time())
            await asyncio.sleep(STEP_S)

    def _note(self, daemon: Daemon, now_s: float) -> None:
        name = daemon.state.settings.node_id
        others = [at_s for other, at_s in self._acted_s.items() if other != name]
        if others and now_s - max(others) < LEASE_BOUND_S:
            self.broken.append(f"{name} acts {now_s - max(others):.2f} s after another")
        if daemon.leadership.fence < self._fence:
            self.broken.append(f"{name} acts under {daemon.leadership.fence} after {self._fence}")
        self._fence = max(self._fence, daemon.leadership.fence)
        self._acted_s[name] = now_s
        self.acted.append((now_s, name))

    def first_after(self, at_s: float) -> float:
        """Return how long after a moment somebody acted first."""
        return min((now_s for now_s, _ in self.acted if now_s >= at_s), default=1e9) - at_s


def leader_of(fleet: StoreRestoreFleet) -> Daemon:
    (leader,) = fleet.leading()
    return leader


def copy_without_leader(fleet: StoreRestoreFleet) -> dict[str, Any]:
    """Return what the store held before anybody led."""
    copy = fleet.store.backup()
    copy["items"].pop(LEADER_KEY)
    copy["lease_of"].pop(LEADER_KEY)
    copy["leases"].clear()
    return copy


async def change_leader(fleet: StoreRestoreFleet) -> Daemon:
    """Cut the leader from the store until another acts; return the one that was cut."""
    before = leader_of(fleet)
    before.store.cut = True
    while leader_of_or_none(fleet) in (None, before):
        await asyncio.sleep(0.05)
    return before


def leader_of_or_none(fleet: StoreRestoreFleet) -> Daemon | None:
    return next(fleet.leading(), None)


class LeaderAfterACopyTest(unittest.TestCase):
    def _play(
        self,
        scenario: Callable[[StoreRestoreFleet], Awaitable[None]],
        acts_within_s: float = ACTS_WITHIN_S,
    ) -> None:
        async def watched(fleet: StoreRestoreFleet) -> None:
            turns = Turns(fleet)
            await scenario(fleet)
            returned_s = asyncio.get_running_loop().time()
            await asyncio.sleep(12.0)
            self.assertEqual(turns.broken[:3], [])
            self.assertLessEqual(turns.first_after(returned_s), acts_within_s)
            # It goes on: whoever leads in the end has led for seconds.
            last_s, last = turns.acted[-1]
            self.assertGreater(last_s, returned_s + 11.5)

        run_in_store_restore_fleet(DAEMONS, watched)

    def test_a_leader_whose_entry_came_back_goes_on(self) -> None:
        self._play(lambda fleet: fleet.lose_recent_writes())

    def test_a_leader_goes_on_whether_its_renewal_or_its_list_tells_of_the_return(self) -> None:
        """A list that came first deposed it for the entry that the copy had brought back."""
        for step in range(12):
            with self.subTest(step=step):

                async def scenario(fleet: StoreRestoreFleet, step: int = step) -> None:
                    await asyncio.sleep(step * 0.07)
                    await fleet.lose_recent_writes()

                self._play(scenario)

    def test_a_leader_whose_entry_was_lost_goes_on(self) -> None:
        """Its successors took the entry of the leader before for one that is renewed."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = fleet.store.backup()
            before = await change_leader(fleet)
            fleet.change(20)
            await fleet.restore(copy)
            before.store.cut = False

        self._play(scenario)

    def test_a_leader_before_that_was_killed_keeps_nobody_from_leading(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = fleet.store.backup()
            before = leader_of(fleet)
            before.kill(fleet.network)
            fleet.daemons.remove(before)
            while leader_of_or_none(fleet) is None:
                await asyncio.sleep(0.05)
            await fleet.restore(copy)

        self._play(scenario)

    def test_the_first_leader_ever_may_be_in_what_was_lost(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = copy_without_leader(fleet)
            fleet.change(20)
            await fleet.restore(copy)

        self._play(scenario)

    def test_a_leader_lost_together_with_its_entry_is_succeeded_after_a_whole_bound(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = copy_without_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.restore(copy)
            fleet.store.down = False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 2.0)

    def test_a_successor_whose_entry_is_heard_before_its_answer_waits_a_whole_bound(self) -> None:
        """Its own entry, seen first, ended the doubt about the last holder's orders."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = copy_without_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.write_answer_delay_s = 0.5
            fleet.store.restore(copy)
            fleet.store.down = False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 2.5)

    def test_a_holder_that_was_cut_off_for_long_does_not_take_it_anew(self) -> None:
        """The copy holds its entry; who led since is gone, but has just given orders."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = fleet.store.backup()
            alone = leader_of(fleet).ip
            fleet.network.drop = lambda sender, receiver: alone in (sender, receiver)
            before = await change_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.restore(copy)
            fleet.store.down = False
            before.store.cut = False
            fleet.network.drop = lambda sender, receiver: False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 5.0)

    def test_two_returns_in_a_row_leave_one_leader(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = fleet.store.backup()
            await fleet.lose_recent_writes()
            await asyncio.sleep(0.3)
            fleet.store.restore(copy)

        self._play(scenario)

    def test_a_lease_that_is_given_out_again_is_not_renewed_for_another(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = copy_without_leader(fleet)
            copy["leases_granted"] = 0
            leader = leader_of(fleet)
            await fleet.restore(copy)
            leader.store.cut = True
            await asyncio.sleep(5.5)
            leader.store.cut = False

        self._play(scenario)


class RandomDrillsTest(unittest.TestCase):
    """Copies of any age, outages of any length, leaders that are cut off or killed meanwhile."""

    def test_nobody_acts_beside_another_nor_under_a_lower_fence(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_in_store_restore_fleet(DAEMONS, functools.partial(self._play, seed))

    async def _play(self, seed: int, fleet: StoreRestoreFleet) -> None:
        draw = random.Random(seed)
        turns = Turns(fleet)
        for _ in range(draw.choice((1, 1, 2, 3))):
            await self._drill(fleet, draw)
            await asyncio.sleep(draw.choice((0.1, 0.6, 3.0, 6.0)))
        await asyncio.sleep(12.0)
        self.assertEqual(turns.broken[:3], [])
        self.assertIsNotNone(leader_of_or_none(fleet))

    async def _drill(self, fleet: StoreRestoreFleet, draw: random.Random) -> None:
        copy = fleet.store.backup()
        struck = leader_of_or_none(fleet) if draw.random() < 0.6 else None
        if struck is not None and len(fleet.daemons) > 3 and draw.random() < 0.3:
            struck.kill(fleet.network)
            fleet.daemons.remove(struck)
        elif struck is not None:
            struck.store.cut = True
            alone = struck.ip if draw.random() < 0.5 else ""
            fleet.network.drop = lambda sender, receiver: alone in (sender, receiver)
        fleet.change(draw.choice((0, 3, 40)))
        await asyncio.sleep(draw.uniform(0.0, 9.0))
        await fleet.restore(copy, draw.choice((0.0, 0.3, 1.0, 2.5, 5.0)))
        await asyncio.sleep(draw.choice((0.0, 0.0, 1.0)))
        fleet.change(draw.choice((0, 0, 60)))
        for daemon in fleet.daemons:
            daemon.store.cut = False
        fleet.network.drop = lambda sender, receiver: False


if __name__ == "__main__":
    unittest.main()
