"""A fleet of daemons whose store is restored from a backup, for scenarios in virtual time."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.test_platform_documents import CONFIGURATION, REPLICA
from tests.virtual_loop import run_virtually
from winchfork.router.process import SWEEP_PERIOD_S

MODEL = "m"
ZONES = ("z1", "z2", "z3")
BACKUP_AGE_S = 4.0
OUTAGE_S = 1.0
#: Irrelevant changes after the backup, so that the restored store's revisions are lower.
LOST_CHANGES = 40
STABILIZATION_S = 12.0
#: Limit of the time until all daemons know a change.
MAX_PROPAGATION_S = 1.0


class StoreRestoreFleet:
    """Daemons that follow one store, whose answers name its era."""

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.store = MemoryStore()
        self.store.era = 1
        self.configure(3)
        self.list_replica("i-1")
        self.list_replica("i-2")
        self.name_weights(1)
        self._count = count
        self.daemons: list[Daemon] = []
        self.start_all()
        self._sweep_task = asyncio.create_task(self._sweep())

    def start_all(self) -> None:
        """Start daemons that know nothing of before."""
        self.daemons = [
            Daemon(self.network, number, ZONES[number % 3], self.store)
            for number in range(1, self._count + 1)
        ]
        for daemon in self.daemons:
            daemon.follow()

    def kill_all(self) -> None:
        """Kill all daemons at once."""
        for daemon in self.daemons:
            daemon.kill(self.network)
        self.daemons = []

    @property
    def contact_s(self) -> float:
        """How long a daemon has to run undisturbed to count as in touch."""
        return self.daemons[0].state.settings.bounds.contact_s

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for daemon in self.daemons:
                daemon.sync.expire_missing_replicas(daemon.state.clock())

    def configure(self, version: int) -> None:
        self._put("op/config", {**CONFIGURATION, "Version": version})

    def name_weights(self, version: int) -> None:
        self._put(f"op/version/{MODEL}", {"Model": MODEL, "Version": version})

    def list_replica(self, replica_id: str, **changes: object) -> None:
        self._put(f"servers/{replica_id}", {**REPLICA, **changes})

    def _put(self, key: str, document: object) -> None:
        self.store.put(key, json.dumps(document).encode())

    def order_software(self, service: str, target: str, duration_s: float) -> int:
        """Order a rollout; return the revision of the order."""
        order = {"Service": service, "TargetVersion": target, "DurationS": duration_s}
        self._put(f"op/rollout/{service}", order)
        return self.store.revision

    def now_ms(self) -> int:
        return int(time.time() * 1000)

    def change(self, times: int) -> None:
        """Write an entry that no daemon uses, ``times`` times."""
        for number in range(times):
            self.store.put("operators/note", str(number).encode())

    async def lose_recent_writes(
        self, meanwhile: Callable[[], None] = lambda: None, changes: int = LOST_CHANGES
    ) -> None:
        """Restore the store from a backup, which loses the writes of the last seconds.

        ``meanwhile`` is called halfway between the backup and the outage.
        """
        backup = self.store.backup()
        await asyncio.sleep(BACKUP_AGE_S / 2)
        self.change(changes)
        meanwhile()
        await asyncio.sleep(BACKUP_AGE_S / 2)
        await self.restore(backup)

    async def restore(self, backup: dict[str, Any], outage_s: float = OUTAGE_S) -> None:
        """Make the store unavailable for a while, then restore it from a backup."""
        self.store.down = True
        await asyncio.sleep(outage_s)
        self.store.restore(backup)
        self.store.down = False

    async def uninformed_after(self, knows: Callable[[Daemon], bool], within_s: float) -> list[str]:
        """Return the ids of the daemons for which ``knows`` is still false after ``within_s``."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        while loop.time() < until_s:
            if all(knows(daemon) for daemon in self.daemons):
                return []
            await asyncio.sleep(0.01)
        return [daemon.state.settings.node_id for daemon in self.daemons if not knows(daemon)]

    def leading(self) -> Iterator[Daemon]:
        """Return the daemons that may give orders as leader now."""
        return (daemon for daemon in self.daemons if daemon.leadership.may_act())


def run_in_store_restore_fleet(
    count: int, scenario: Callable[[StoreRestoreFleet], Awaitable[Any]]
) -> None:
    """Run a scenario with a fleet that has run for ``STABILIZATION_S``."""

    async def main() -> None:
        fleet = StoreRestoreFleet(count)
        await asyncio.sleep(STABILIZATION_S)
        await scenario(fleet)

    run_virtually(main())
