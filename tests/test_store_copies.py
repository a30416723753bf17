"""The store comes back from a copy some seconds old: its revisions go back. Virtual time."""

from __future__ import annotations

import asyncio
import unittest

from tests.peer_support import Daemon
from tests.store_drill import KNOWN_WITHIN_S, MODEL, DrilledFleet, after_a_drill
from winchfork.router.document_installer import RETURN_S
from winchfork.router.process import SWEEP_PERIOD_S

#: Every daemon watches the store; two of them do for all.
FLEETS = (3, 36)


def takes_work(daemon: Daemon, replica_id: str) -> bool:
    replica = daemon.state.fleet.get(replica_id)
    return replica is not None and replica.listing.accepting


def knows_configuration(daemon: Daemon) -> bool:
    return daemon.state.table is not None and daemon.state.table.version == 9


class DeafRouterTest(unittest.TestCase):
    """Whoever had heard of revision 64 took what was written under 56 to 64 for old."""

    def test_a_configuration_is_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: DrilledFleet) -> None:
            await fleet.lose()
            fleet.configure(9)
            self.assertEqual(await fleet.unaware(knows_configuration, KNOWN_WITHIN_S), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                after_a_drill(count, scenario)

    def test_a_leaving_replica_is_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: DrilledFleet) -> None:
            await fleet.lose()
            returned_s = asyncio.get_running_loop().time()
            fleet.list_replica("i-1", State="draining", Sequence=9)
            fleet.store.remove("servers/i-2")

            def knows(daemon: Daemon) -> bool:
                return not takes_work(daemon, "i-1")

            def knows_gone(daemon: Daemon) -> bool:
                return daemon.state.fleet.get("i-2") is None

            self.assertEqual(await fleet.unaware(knows, KNOWN_WITHIN_S), [])
            elapsed_s = asyncio.get_running_loop().time() - returned_s
            within_s = KNOWN_WITHIN_S + RETURN_S + SWEEP_PERIOD_S - elapsed_s
            self.assertEqual(await fleet.unaware(knows_gone, within_s), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                after_a_drill(count, scenario)

    def test_named_weights_are_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: DrilledFleet) -> None:
            await fleet.lose()
            fleet.name_weights(2)

            def knows(daemon: Daemon) -> bool:
                return daemon.state.versions[MODEL].newest == 2

            self.assertEqual(await fleet.unaware(knows, KNOWN_WITHIN_S), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                after_a_drill(count, scenario)

    def test_a_second_return_before_the_first_is_digested_is_no_different(self) -> None:
        async def scenario(fleet: DrilledFleet) -> None:
            copy = fleet.store.copy()
            await fleet.lose()
            fleet.change(5)
            fleet.store.come_back_from(copy)
            fleet.configure(9)
            self.assertEqual(await fleet.unaware(knows_configuration, KNOWN_WITHIN_S), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                after_a_drill(count, scenario)


if __name__ == "__main__":
    unittest.main()
