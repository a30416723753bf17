"""A version that a hub relays late must not extend the use of the weights that it replaces.

Virtual time. A late or lost message may only shorten the time for which a daemon uses old weights.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable

from tests.large_fleet import LargeFleet, run_in_large_fleet
from tests.peer_support import Daemon

MODEL = "daka510000"
#: Time for which a daemon allows old weights after a newer version was named.
BOUND_S = 8.0
#: Delay of a store's answer, by which a daemon may date an entry too late.
ANSWER_DELAY_S = 0.05
#: Time after the end of losses within which every daemon has every version.
SETTLED_S = 4.0

Drop = Callable[[str, str], bool]


def nothing_lost(sender: str, receiver: str) -> bool:
    return False


def name(fleet: LargeFleet, version: int) -> float:
    """Name a version; return when."""
    document = json.dumps({"Model": MODEL, "Version": version}).encode()
    fleet.store.put(f"op/version/{MODEL}", document)
    return asyncio.get_running_loop().time()


def allowed_s(daemon: Daemon, version: int, named_s: float) -> float:
    """Return how long after ``named_s`` a daemon still allows ``version``."""
    return daemon.state.weights_versions[MODEL].expires_at_s(version, BOUND_S) - named_s


class RelayedVersionDateTest(unittest.TestCase):
    def assert_bound_holds(
        self, fleet: LargeFleet, version: int, named_s: float, case: str = ""
    ) -> None:
        late = {
            daemon.ip: round(allowed_s(daemon, version, named_s) - BOUND_S, 3)
            for daemon in fleet.daemons
            if allowed_s(daemon, version, named_s) > BOUND_S + ANSWER_DELAY_S
        }
        self.assertEqual(late, {}, f"seconds beyond the bound, by daemon {case}")

    async def lose(self, fleet: LargeFleet, drop: Drop, durations_s: tuple[float, ...]) -> None:
        """Name a version for each duration, while messages are lost for so long."""
        name(fleet, 1)
        await asyncio.sleep(SETTLED_S)
        for version, lost_s in enumerate(durations_s, start=2):
            fleet.network.drop = drop
            named_s = name(fleet, version)
            await asyncio.sleep(lost_s)
            fleet.network.drop = nothing_lost
            await asyncio.sleep(SETTLED_S)
            self.assert_bound_holds(fleet, version - 1, named_s, f"after {lost_s} s of losses")

    def test_messages_lost_to_three_followers_do_not_extend_the_bound(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            receivers = {daemon.ip for daemon in fleet.followers()[:3]}
            await self.lose(
                fleet, lambda sender, receiver: receiver in receivers, (0.3, 0.6, 1.2, 1.8)
            )

        run_in_large_fleet(scenario)

    def test_messages_lost_from_all_hubs_do_not_extend_the_bound(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            hubs = {daemon.ip for daemon in fleet.hubs()}
            await self.lose(fleet, lambda sender, receiver: sender in hubs, (0.3, 0.6, 0.9, 1.2))

        run_in_large_fleet(scenario)

    def test_delayed_datagrams_do_not_extend_the_bound(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            name(fleet, 1)
            await asyncio.sleep(SETTLED_S)
            fleet.network.delay_s = 0.4
            named_s = name(fleet, 2)
            await asyncio.sleep(1.0)
            fleet.network.delay_s = 0.002
            await asyncio.sleep(SETTLED_S)
            self.assert_bound_holds(fleet, 1, named_s)

        run_in_large_fleet(scenario)

    def test_a_missed_version_does_not_extend_the_bound_of_the_one_before_it(self) -> None:
        """A daemon that only hears of the next version must not date the missed one by it."""

        async def scenario(fleet: LargeFleet) -> None:
            name(fleet, 1)
            await asyncio.sleep(SETTLED_S)
            receivers = {daemon.ip for daemon in fleet.followers()[:3]}
            fleet.network.drop = lambda sender, receiver: receiver in receivers
            named_s = name(fleet, 2)
            await asyncio.sleep(0.4)
            name(fleet, 3)
            await asyncio.sleep(0.2)
            fleet.network.drop = nothing_lost
            await asyncio.sleep(SETTLED_S)
            self.assert_bound_holds(fleet, 1, named_s)

        run_in_large_fleet(scenario)

    def test_versions_keep_most_of_their_time_in_a_calm_fleet(self) -> None:
        """The bound must not be met by giving up old weights much earlier than required."""

        async def scenario(fleet: LargeFleet) -> None:
            name(fleet, 1)
            await asyncio.sleep(SETTLED_S)
            for version in range(2, 6):
                named_s = name(fleet, version)
                await asyncio.sleep(1.7)
                self.assert_bound_holds(fleet, version - 1, named_s)
                for daemon in fleet.daemons:
                    self.assertGreater(allowed_s(daemon, version - 1, named_s), BOUND_S - 1.2)

        run_in_large_fleet(scenario)
