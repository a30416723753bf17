"""Peers' reports of when versions were published, which daemons need that cannot know it.

Virtual time. A late or lost report may only shorten the time for which a daemon uses old weights.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.peer_support import Daemon
from tests.test_weights_bounds import (
    ANSWER_DELAY_S,
    BOUND_S,
    BOUNDS,
    BoundsTestCase,
    FollowingFleet,
)
from tests.virtual_loop import run_virtually

#: Time from the publication of a version until another daemon starts.
START_DELAY_S = 2.0
#: Time in which a daemon gets its peers' reports, lost ones included.
SETTLED_S = 4.0


async def start_daemon(fleet: FollowingFleet) -> Daemon:
    """Publish version 2, and start another daemon a while later."""
    await asyncio.sleep(4.0)
    fleet.name(2)
    await asyncio.sleep(START_DELAY_S)
    daemon = Daemon(fleet.network, 9, store=fleet.store, bounds=BOUNDS)
    daemon.follow()
    return daemon


class VersionAgesTest(BoundsTestCase):
    def test_delayed_reports_do_not_extend_the_bound_of_a_daemon_that_starts(self) -> None:
        async def main(delay_s: float) -> float:
            fleet = FollowingFleet()
            fleet.network.delay_s = delay_s
            daemon = await start_daemon(fleet)
            await asyncio.sleep(SETTLED_S)
            return fleet.allowed_s(daemon)

        for delay_s in (0.1, 0.25, 0.4):
            with self.subTest(delay_s=delay_s):
                self.assertLess(run_virtually(main(delay_s)), BOUND_S + ANSWER_DELAY_S)

    def test_delayed_reports_do_not_extend_the_bound_after_a_partition(self) -> None:
        async def main(delay_s: float) -> float:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            isolated = fleet.daemons[0]
            fleet.cut_off(isolated)
            await asyncio.sleep(5.8)
            fleet.name(2)
            await asyncio.sleep(0.2)
            fleet.network.delay_s = delay_s
            fleet.reconnect(isolated)
            await asyncio.sleep(SETTLED_S)
            return fleet.allowed_s(isolated)

        for delay_s in (0.1, 0.25, 0.4):
            with self.subTest(delay_s=delay_s):
                self.assertLess(run_virtually(main(delay_s)), BOUND_S + ANSWER_DELAY_S)

    def test_a_daemon_that_starts_learns_the_age_although_reports_were_lost(self) -> None:
        """Otherwise it refuses what replicas with old weights could still serve."""

        async def main() -> float:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            fleet.name(2)
            await asyncio.sleep(0.5)
            daemon = Daemon(fleet.network, 9, store=fleet.store, bounds=BOUNDS)
            fleet.network.drop = lambda sender, receiver: receiver == daemon.ip
            daemon.follow()
            await asyncio.sleep(1.0)
            fleet.network.drop = lambda sender, receiver: False
            await asyncio.sleep(SETTLED_S)
            return fleet.allowed_s(daemon)

        self.assert_near_bound(run_virtually(main()))

    def test_a_daemon_learns_the_age_of_a_version_that_it_missed_in_a_stall(self) -> None:
        async def main() -> float:
            fleet = FollowingFleet()
            await asyncio.sleep(4.0)
            stalled = fleet.daemons[0]
            stall = asyncio.create_task(stalled.stall(3.5, fleet.network))
            await asyncio.sleep(3.0)
            fleet.name(2)
            await stall
            await asyncio.sleep(SETTLED_S)
            return fleet.allowed_s(stalled)

        self.assert_near_bound(run_virtually(main()))


if __name__ == "__main__":
    unittest.main()
