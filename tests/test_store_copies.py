"""The store comes back from a copy some seconds old: its revisions go back. Virtual time."""

from __future__ import annotations

import asyncio
import unittest

from tests.peer_support import Daemon
from tests.store_restore_fleet import (
    MAX_PROPAGATION_S,
    MODEL,
    StoreRestoreFleet,
    run_in_store_restore_fleet,
)
from winchfork.router.document_installer import RELISTING_GRACE_S
from winchfork.router.process import SWEEP_PERIOD_S

#: Every daemon watches the store; two of them do for all.
FLEETS = (3, 36)


def takes_work(daemon: Daemon, replica_id: str) -> bool:
    replica = daemon.state.fleet.get(replica_id)
    return replica is not None and replica.listing.accepting


def knows_configuration(daemon: Daemon) -> bool:
    return daemon.state.routing_table is not None and daemon.state.routing_table.version == 9


class DeafRouterTest(unittest.TestCase):
    """Whoever had heard of revision 64 took what was written under 56 to 64 for old."""

    def test_a_configuration_is_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            fleet.configure(9)
            self.assertEqual(
                await fleet.uninformed_after(knows_configuration, MAX_PROPAGATION_S), []
            )

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_leaving_replica_is_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            returned_s = asyncio.get_running_loop().time()
            fleet.list_replica("i-1", State="draining", Sequence=9)
            fleet.store.remove("servers/i-2")

            def knows(daemon: Daemon) -> bool:
                return not takes_work(daemon, "i-1")

            def knows_gone(daemon: Daemon) -> bool:
                return daemon.state.fleet.get("i-2") is None

            self.assertEqual(await fleet.uninformed_after(knows, MAX_PROPAGATION_S), [])
            elapsed_s = asyncio.get_running_loop().time() - returned_s
            within_s = MAX_PROPAGATION_S + RELISTING_GRACE_S + SWEEP_PERIOD_S - elapsed_s
            self.assertEqual(await fleet.uninformed_after(knows_gone, within_s), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_named_weights_are_known_to_all_after_the_stores_return(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            fleet.name_weights(2)

            def knows(daemon: Daemon) -> bool:
                return daemon.state.weights_versions[MODEL].newest == 2

            self.assertEqual(await fleet.uninformed_after(knows, MAX_PROPAGATION_S), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_second_return_before_the_first_is_digested_is_no_different(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            copy = fleet.store.backup()
            await fleet.lose_recent_writes()
            fleet.change(5)
            fleet.store.restore(copy)
            fleet.configure(9)
            self.assertEqual(
                await fleet.uninformed_after(knows_configuration, MAX_PROPAGATION_S), []
            )

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)


if __name__ == "__main__":
    unittest.main()
