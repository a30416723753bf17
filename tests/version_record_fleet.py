"""Daemons that follow a store, keep its record of versions and are killed at once.

Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.stream_origin_fleet import ROUTE, attempt
from tests.test_platform_documents import REPLICA
from tests.virtual_loop import run_virtually
from winchfork.core.software_history import DEPARTED_S
from winchfork.core.stream_origin import StreamOrigin
from winchfork.core.version_register import REMOVAL_MARGIN_S
from winchfork.errors import Failure
from winchfork.router.stream_origins import DEADLINE_MARGIN_S, LIFETIME_ATTEMPTS
from winchfork.router.version_records import VERSION_RECORD_KEY

ZONES = ("z1", "z2", "z3")
SERVICE = "s"
#: Seconds in which a stream of the route may be continued, and a replica that has gone begin one.
SPAN_S = LIFETIME_ATTEMPTS * ROUTE.timeout_s + DEADLINE_MARGIN_S + DEPARTED_S
#: Seconds after which a version that has gone is no longer in the record.
FORGOTTEN_S = SPAN_S + REMOVAL_MARGIN_S + 2.0
#: Seconds in which a new fleet elects a leader.
START_S = 8.0
#: Seconds in which the leader has seen a version and written it.
WRITTEN_S = 1.0
#: Seconds in which a daemon that has just started has listed the store.
LISTED_S = 0.5
CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {
            "Name": ROUTE.name,
            "Host": ROUTE.host,
            "PathPrefix": ROUTE.path_prefix,
            "Kind": "streaming",
            "TimeoutMs": ROUTE.timeout_s * 1000.0,
            "Service": SERVICE,
            "Resumable": True,
        }
    ],
    "Services": [{"Name": SERVICE}],
}


class VersionRecordFleet:
    """A fleet with replicas of version v1, whose daemons can be replaced by new ones."""

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.store = MemoryStore()
        self.store.era = 1
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())
        for number in range(4):
            self.list_replica(f"i-{number}", "v1")
        self.daemons = [self._start(number) for number in range(1, count + 1)]
        self._asked = 0

    def _start(self, number: int) -> Daemon:
        daemon = Daemon(self.network, number, ZONES[number % len(ZONES)], self.store)
        for replica in list(daemon.state.fleet.replicas()):
            daemon.state.fleet.remove(replica.replica_id)
        daemon.follow()
        daemon.record_versions()
        return daemon

    def kill_all(self) -> None:
        for daemon in self.daemons:
            daemon.kill(self.network)

    async def start_all(self) -> None:
        """Start a daemon without state in the place of each; wait until they have listed."""
        self.daemons = [self._start(number) for number in range(1, len(self.daemons) + 1)]
        await asyncio.sleep(LISTED_S)

    async def restart_all(self) -> None:
        self.kill_all()
        await self.start_all()

    async def restart(self, daemon: Daemon) -> None:
        """Kill one daemon, and start one without state in its place."""
        index = self.daemons.index(daemon)
        daemon.kill(self.network)
        self.daemons[index] = self._start(index + 1)
        await asyncio.sleep(LISTED_S)

    # The store

    def list_replica(self, replica_id: str, software: str) -> None:
        address = f"10.128.0.{replica_id.removeprefix('i-')}:8080"
        entry = {**REPLICA, "Service": SERVICE, "Version": software, "Address": address}
        self.store.put(f"servers/{replica_id}", json.dumps(entry).encode())

    def remove_replica(self, replica_id: str) -> None:
        self.store.remove(f"servers/{replica_id}")

    def recorded(self) -> set[str]:
        """Return the versions in the store's record if it is valid."""
        item = self.store.items.get(VERSION_RECORD_KEY)
        if item is None:
            return set()
        record = json.loads(item.value or b"")
        return (
            set(record["services"].get(SERVICE, [])) if record["era"] == self.store.era else set()
        )

    async def restore(self, backup: dict[str, Any], outage_s: float = 1.0) -> None:
        """Make the store unavailable for a while, then restore it from a backup."""
        self.store.down = True
        await asyncio.sleep(outage_s)
        self.store.restore(backup)
        self.store.down = False

    def record_writes(self) -> int:
        """Return how often the record was written."""
        return sum(item.key == VERSION_RECORD_KEY for item in self.store.history)

    # Streams

    async def conclusions(self) -> set[str | None]:
        """Return what the daemons conclude for a stream without a record; None: refused."""
        self._asked += 1
        asked = attempt(f"again-{self._asked}", f"unknown-{self._asked}")
        found = await asyncio.gather(
            *(daemon.state.stream_origins.find(asked) for daemon in self.daemons)
        )
        return {None if isinstance(item, Failure) else _software(item) for item in found}

    def leader(self) -> Daemon:
        return next(daemon for daemon in self.daemons if daemon.leadership.leads())


def _software(origin: StreamOrigin | Failure) -> str | None:
    return None if isinstance(origin, Failure) else origin.software


def run_in_version_record_fleet(
    count: int, scenario: Callable[[VersionRecordFleet], Awaitable[Any]]
) -> None:
    """Run a scenario with a fleet that has run for longer than streams may be continued."""

    async def main() -> None:
        fleet = VersionRecordFleet(count)
        await asyncio.sleep(START_S + SPAN_S)
        await scenario(fleet)

    run_virtually(main())
