"""Leadership after the store was restored from a backup. Virtual time."""

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
#: Limit of the time until a leader acts after the store was restored.
ACTS_WITHIN_S = 3.0
STEP_S = 0.01
SEEDS = 60


class LeaderMonitor:
    """Records which daemon acts as leader, and violations of the rule of one leader at a time."""

    def __init__(self, fleet: StoreRestoreFleet) -> None:
        self._fleet = fleet
        self._acted_s: dict[str, float] = {}
        self._fence = 0
        self.acted: list[tuple[float, str]] = []
        self.violations: list[str] = []
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for daemon in self._fleet.leading():
                self._record(daemon, loop.time())
            await asyncio.sleep(STEP_S)

    def _record(self, daemon: Daemon, now_s: float) -> None:
        name = daemon.state.settings.node_id
        others = [at_s for other, at_s in self._acted_s.items() if other != name]
        if others and now_s - max(others) < LEASE_BOUND_S:
            self.violations.append(f"{name} acts {now_s - max(others):.2f} s after another daemon")
        if daemon.leadership.fence < self._fence:
            self.violations.append(
                f"{name} acts under fence {daemon.leadership.fence} after {self._fence}"
            )
        self._fence = max(self._fence, daemon.leadership.fence)
        self._acted_s[name] = now_s
        self.acted.append((now_s, name))

    def first_after(self, at_s: float) -> float:
        """Return the time from ``at_s`` until a daemon first acts."""
        return min((now_s for now_s, _ in self.acted if now_s >= at_s), default=1e9) - at_s


def leader_of(fleet: StoreRestoreFleet) -> Daemon:
    (leader,) = fleet.leading()
    return leader


def backup_without_leader(fleet: StoreRestoreFleet) -> dict[str, Any]:
    """Return a backup of the store without a leader's entry and without leases."""
    backup = fleet.store.backup()
    backup["items"].pop(LEADER_KEY)
    backup["lease_of"].pop(LEADER_KEY)
    backup["leases"].clear()
    return backup


async def change_leader(fleet: StoreRestoreFleet) -> Daemon:
    """Cut the leader off the store until another one acts; return the former leader."""
    former = leader_of(fleet)
    former.store.cut = True
    while leader_of_or_none(fleet) in (None, former):
        await asyncio.sleep(0.05)
    return former


def leader_of_or_none(fleet: StoreRestoreFleet) -> Daemon | None:
    return next(fleet.leading(), None)


class LeaderAfterRestoreTest(unittest.TestCase):
    def _play(
        self,
        scenario: Callable[[StoreRestoreFleet], Awaitable[None]],
        acts_within_s: float = ACTS_WITHIN_S,
    ) -> None:
        async def watched(fleet: StoreRestoreFleet) -> None:
            monitor = LeaderMonitor(fleet)
            await scenario(fleet)
            restored_s = asyncio.get_running_loop().time()
            await asyncio.sleep(12.0)
            self.assertEqual(monitor.violations[:3], [])
            self.assertLessEqual(monitor.first_after(restored_s), acts_within_s)
            # There is still a leader at the end.
            last_s, last = monitor.acted[-1]
            self.assertGreater(last_s, restored_s + 11.5)

        run_in_store_restore_fleet(DAEMONS, watched)

    def test_a_leader_whose_entry_is_in_the_backup_goes_on(self) -> None:
        self._play(lambda fleet: fleet.lose_recent_writes())

    def test_a_leader_goes_on_whether_a_renewal_or_a_list_first_shows_the_new_era(self) -> None:
        """Guards against a leader that steps down because a list has its older, restored entry."""
        for step in range(12):
            with self.subTest(step=step):

                async def scenario(fleet: StoreRestoreFleet, step: int = step) -> None:
                    await asyncio.sleep(step * 0.07)
                    await fleet.lose_recent_writes()

                self._play(scenario)

    def test_a_leader_whose_entry_was_lost_goes_on(self) -> None:
        """Guards against daemons that take a former leader's restored entry for a renewed one."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            former = await change_leader(fleet)
            fleet.change(20)
            await fleet.restore(backup)
            former.store.cut = False

        self._play(scenario)

    def test_the_restored_entry_of_a_killed_leader_does_not_block_its_successor(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            former = leader_of(fleet)
            former.kill(fleet.network)
            fleet.daemons.remove(former)
            while leader_of_or_none(fleet) is None:
                await asyncio.sleep(0.05)
            await fleet.restore(backup)

        self._play(scenario)

    def test_a_leader_goes_on_when_the_backup_contains_no_leader(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = backup_without_leader(fleet)
            fleet.change(20)
            await fleet.restore(backup)

        self._play(scenario)

    def test_the_successor_of_a_leader_lost_with_its_entry_waits_the_full_bound(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = backup_without_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.restore(backup)
            fleet.store.down = False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 2.0)

    def test_a_successor_that_has_just_started_waits_the_full_bound(self) -> None:
        """Guards against a lease that is taken to have run out, though a restore ended it."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = backup_without_leader(fleet)
            former = leader_of(fleet).state.settings.node_id
            # The leader has to be seen acting.
            await asyncio.sleep(2 * STEP_S)
            fleet.kill_all()
            fleet.store.restore(backup)
            fleet.start_all()
            (same,) = (item for item in fleet.daemons if item.state.settings.node_id == former)
            same.kill(fleet.network)
            fleet.daemons.remove(same)

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 2.0)

    def test_a_successor_that_sees_its_entry_before_the_answer_waits_the_full_bound(self) -> None:
        """Guards against a shorter wait because the own entry resets the restored flag."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = backup_without_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.write_answer_delay_s = 0.5
            fleet.store.restore(backup)
            fleet.store.down = False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 2.5)

    def test_a_former_leader_that_was_cut_off_for_long_does_not_reclaim(self) -> None:
        """The backup contains its entry, but a later leader, now dead, gave orders just before."""

        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            isolated_ip = leader_of(fleet).ip
            fleet.network.drop = lambda sender, receiver: isolated_ip in (sender, receiver)
            former = await change_leader(fleet)
            leader = leader_of(fleet)
            fleet.store.down = True
            await asyncio.sleep(0.8)
            leader.kill(fleet.network)
            fleet.daemons.remove(leader)
            fleet.store.restore(backup)
            fleet.store.down = False
            former.store.cut = False
            fleet.network.drop = lambda sender, receiver: False

        self._play(scenario, acts_within_s=LEASE_BOUND_S + 5.0)

    def test_two_restores_in_a_row_leave_one_leader(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            await fleet.lose_recent_writes()
            await asyncio.sleep(0.3)
            fleet.store.restore(backup)

        self._play(scenario)

    def test_a_former_leader_does_not_renew_a_lease_id_that_was_assigned_again(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = backup_without_leader(fleet)
            backup["leases_granted"] = 0
            leader = leader_of(fleet)
            await fleet.restore(backup)
            leader.store.cut = True
            await asyncio.sleep(5.5)
            leader.store.cut = False

        self._play(scenario)


class RandomRestoresTest(unittest.TestCase):
    """Random backup ages and outages, with leaders that are cut off or killed meanwhile."""

    def test_leaders_never_overlap_and_fences_never_fall(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_in_store_restore_fleet(DAEMONS, functools.partial(self._play, seed))

    async def _play(self, seed: int, fleet: StoreRestoreFleet) -> None:
        draw = random.Random(seed)
        monitor = LeaderMonitor(fleet)
        for _ in range(draw.choice((1, 1, 2, 3))):
            await self._restore_once(fleet, draw)
            await asyncio.sleep(draw.choice((0.1, 0.6, 3.0, 6.0)))
        await asyncio.sleep(12.0)
        self.assertEqual(monitor.violations[:3], [])
        self.assertIsNotNone(leader_of_or_none(fleet))

    async def _restore_once(self, fleet: StoreRestoreFleet, draw: random.Random) -> None:
        backup = fleet.store.backup()
        victim = leader_of_or_none(fleet) if draw.random() < 0.6 else None
        if victim is not None and len(fleet.daemons) > 3 and draw.random() < 0.3:
            victim.kill(fleet.network)
            fleet.daemons.remove(victim)
        elif victim is not None:
            victim.store.cut = True
            isolated_ip = victim.ip if draw.random() < 0.5 else ""
            fleet.network.drop = lambda sender, receiver: isolated_ip in (sender, receiver)
        fleet.change(draw.choice((0, 3, 40)))
        await asyncio.sleep(draw.uniform(0.0, 9.0))
        await fleet.restore(backup, draw.choice((0.0, 0.3, 1.0, 2.5, 5.0)))
        await asyncio.sleep(draw.choice((0.0, 0.0, 1.0)))
        fleet.change(draw.choice((0, 0, 60)))
        for daemon in fleet.daemons:
            daemon.store.cut = False
        fleet.network.drop = lambda sender, receiver: False


class KilledFleetTest(unittest.TestCase):
    """The store is restored while all daemons are killed, so that nobody knows of earlier eras."""

    def test_a_fleet_that_knows_nothing_of_before_neither_takes_turns_nor_lowers_the_fence(
        self,
    ) -> None:
        """Guards against a lease and a fence that are judged by the restored store alone."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_in_store_restore_fleet(DAEMONS, functools.partial(self._play, seed))

    async def _play(self, seed: int, fleet: StoreRestoreFleet) -> None:
        draw = random.Random(seed)
        monitor = LeaderMonitor(fleet)
        for _ in range(draw.choice((1, 1, 2))):
            backup = fleet.store.backup()
            fleet.change(draw.choice((0, 3, 40)))
            if draw.random() < 0.8:
                await self._lose_leader(fleet)
            await asyncio.sleep(draw.uniform(0.0, 1.0))
            fleet.store.down = True
            await asyncio.sleep(draw.uniform(0.0, 0.5))
            fleet.kill_all()
            await asyncio.sleep(draw.uniform(0.0, 0.5))
            fleet.store.restore(backup)
            fleet.store.down = False
            fleet.start_all()
            await asyncio.sleep(draw.choice((4.0, 8.0)))
        await asyncio.sleep(6.0)
        self.assertEqual(monitor.violations[:3], [])
        self.assertIsNotNone(leader_of_or_none(fleet))

    async def _lose_leader(self, fleet: StoreRestoreFleet) -> None:
        """Kill the leader, and wait until another daemon acts."""
        while leader_of_or_none(fleet) is None:
            await asyncio.sleep(0.05)
        leader = leader_of(fleet)
        leader.kill(fleet.network)
        fleet.daemons.remove(leader)
        while leader_of_or_none(fleet) is None:
            await asyncio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
