"""Daemons follow a store whose revisions fell because it was restored from a backup.

Runs in virtual time.
"""

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

#: Fleet sizes: every daemon watches the store, or two daemons watch it for all.
FLEETS = (3, 36)


def is_accepting(daemon: Daemon, replica_id: str) -> bool:
    replica = daemon.state.fleet.get(replica_id)
    return replica is not None and replica.listing.accepting


def knows_configuration(daemon: Daemon) -> bool:
    return daemon.state.routing_table is not None and daemon.state.routing_table.version == 9


class UpdatesAfterRestoreTest(unittest.TestCase):
    """Guards against updates that are taken for old because their revision is a lower one."""

    def test_a_configuration_reaches_all_daemons_after_a_restore(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            fleet.configure(9)
            self.assertEqual(
                await fleet.uninformed_after(knows_configuration, MAX_PROPAGATION_S), []
            )

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_draining_and_removed_replicas_reach_all_daemons_after_a_restore(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            restored_s = asyncio.get_running_loop().time()
            fleet.list_replica("i-1", State="draining", Sequence=9)
            fleet.store.remove("servers/i-2")

            def knows_draining(daemon: Daemon) -> bool:
                return not is_accepting(daemon, "i-1")

            def knows_removed(daemon: Daemon) -> bool:
                return daemon.state.fleet.get("i-2") is None

            self.assertEqual(await fleet.uninformed_after(knows_draining, MAX_PROPAGATION_S), [])
            elapsed_s = asyncio.get_running_loop().time() - restored_s
            within_s = MAX_PROPAGATION_S + RELISTING_GRACE_S + SWEEP_PERIOD_S - elapsed_s
            self.assertEqual(await fleet.uninformed_after(knows_removed, within_s), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_named_weights_reach_all_daemons_after_a_restore(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes()
            fleet.name_weights(2)

            def knows(daemon: Daemon) -> bool:
                return daemon.state.weights_versions[MODEL].newest == 2

            self.assertEqual(await fleet.uninformed_after(knows, MAX_PROPAGATION_S), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_configuration_reaches_all_daemons_after_two_restores_in_a_row(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            backup = fleet.store.backup()
            await fleet.lose_recent_writes()
            fleet.change(5)
            fleet.store.restore(backup)
            fleet.configure(9)
            self.assertEqual(
                await fleet.uninformed_after(knows_configuration, MAX_PROPAGATION_S), []
            )

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)


if __name__ == "__main__":
    unittest.main()
