"""Random events around daemons that begin streams and are asked to continue them.

Versions join and leave, daemons are killed one by one or all at once, or cut off, and the store is
restored from a backup. Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence

from tests.peer_support import Daemon
from tests.stream_origin_fleet import ROUTE, Findings, attempt
from tests.version_record_fleet import SERVICE, START_S, VersionRecordFleet
from tests.virtual_loop import run_virtually
from winchfork.core.stream_origin import StreamOrigin
from winchfork.core.version_register import VersionRecord
from winchfork.errors import Failure
from winchfork.router.version_records import VERSION_RECORD_KEY, encode_version_record

DAEMONS = 6
REPLICAS = 7
#: The first one is the version of most replicas.
VERSIONS = ("v1", "v1", "v1", "v1.1", "v1.2")
EVENTS_S = 100.0
STREAMS_PER_EVENT = 5
PAUSES_S = (0.02, 0.1, 0.3, 0.8)
CUTS_S = (0.4, 1.5, 2.5, 6.0)
OUTAGES_S = (0.2, 1.0, 5.0)
#: Time for which nobody runs after a kill of all daemons.
DEAD_S = (0.0, 0.3, 2.0)
#: How long a daemon's list may be old when it begins a stream.
MAX_LIST_AGE_S = 3.0


@dataclasses.dataclass(frozen=True)
class _Event:
    weight: int
    happen: Callable[[], Awaitable[None]]


class RandomEvents:
    """A fleet, the events that happen to it, and what became of its streams."""

    def __init__(self, seed: int) -> None:
        self.findings = Findings()
        self.kills = 0
        self._random = random.Random(seed)
        self._fleet = VersionRecordFleet(DAEMONS)
        record = VersionRecord(self._fleet.store.era, {SERVICE: (VERSIONS[0],)})
        self._fleet.store.put(VERSION_RECORD_KEY, encode_version_record(record))
        self._listed = {f"i-{number}": VERSIONS[0] for number in range(4)}
        self._cut: set[str] = set()
        self._fleet.network.drop = lambda sender, receiver: bool({sender, receiver} & self._cut)
        self._tasks: list[asyncio.Task[None]] = []
        self._begun = 0

    @classmethod
    def run_virtually(cls, seed: int) -> RandomEvents:
        """Return a fleet after its events."""

        async def main() -> RandomEvents:
            events = cls(seed)
            await events._run()
            return events

        return run_virtually(main())

    async def _run(self) -> None:
        """Let events happen while streams begin, and take each stream up."""
        await asyncio.sleep(START_S)
        events = (
            _Event(10, self._list_replica),
            _Event(15, self._remove_replica),
            _Event(4, self._kill_all),
            _Event(4, self._kill_one),
            _Event(5, self._cut_off),
            _Event(1, self._restore),
            _Event(61, self._nothing),
        )
        weights = [event.weight for event in events]
        until_s = self._now_s() + EVENTS_S
        while self._now_s() < until_s:
            for _ in range(STREAMS_PER_EVENT):
                self._begin_stream()
            await self._random.choices(events, weights)[0].happen()
            await asyncio.sleep(self._random.choice(PAUSES_S))
        await asyncio.gather(*self._tasks)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _later(self, task: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.create_task(task))

    # Streams

    def _begin_stream(self) -> None:
        """Begin a stream at a version that some daemon has in its list."""
        daemon = self._choose([item for item in self._fleet.daemons if self._serves(item)])
        if daemon is None:
            return
        replicas = daemon.state.fleet.replicas()
        versions = sorted({replica.listing.software for replica in replicas})
        if not versions:
            return
        self._begun += 1
        origin = StreamOrigin(SERVICE, self._random.choice(versions))
        daemon.state.stream_origins.record(attempt(f"stream-{self._begun}"), origin)
        self._later(self._take_up(f"stream-{self._begun}", origin))

    def _serves(self, daemon: Daemon) -> bool:
        return daemon.age_s() < MAX_LIST_AGE_S

    def _choose(self, daemons: Sequence[Daemon]) -> Daemon | None:
        return self._random.choice(daemons) if daemons else None

    async def _take_up(self, name: str, origin: StreamOrigin) -> None:
        await asyncio.sleep(self._random.random() * ROUTE.timeout_s)
        daemon = self._random.choice(self._fleet.daemons)
        found = await daemon.state.stream_origins.find(attempt(f"{name}-again", name))
        if isinstance(found, Failure):
            self.findings.unknown += 1
        elif found == origin:
            self.findings.found += 1
        else:
            self.findings.wrong += 1

    # Events

    async def _nothing(self) -> None:
        return

    async def _list_replica(self) -> None:
        replica_id = f"i-{self._random.randrange(REPLICAS)}"
        self._listed[replica_id] = self._random.choice(VERSIONS)
        self._fleet.list_replica(replica_id, self._listed[replica_id])

    async def _remove_replica(self) -> None:
        """Remove a replica, rather one of the versions that few have."""
        few = [item for item in sorted(self._listed) if self._listed[item] != VERSIONS[0]]
        candidates = few or sorted(self._listed)[2:]
        if candidates:
            replica_id = self._random.choice(candidates)
            del self._listed[replica_id]
            self._fleet.remove_replica(replica_id)

    async def _kill_all(self) -> None:
        """Kill all daemons once a valid record has what is listed, and a version may leave."""
        if not set(self._listed.values()) <= self._fleet.recorded():
            return
        self.kills += 1
        self._fleet.kill_all()
        if self._random.random() < 0.5:
            await self._remove_replica()
        await asyncio.sleep(self._random.choice(DEAD_S))
        self._cut.clear()
        await self._fleet.start_all()

    async def _kill_one(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        self._cut.discard(daemon.ip)
        await self._fleet.restart(daemon)

    async def _cut_off(self) -> None:
        """Cut a daemon off the store and its peers for a while."""
        daemon = self._random.choice(self._fleet.daemons)
        self._cut.add(daemon.ip)
        daemon.store.cut = True

        async def end() -> None:
            await asyncio.sleep(self._random.choice(CUTS_S))
            self._cut.discard(daemon.ip)
            daemon.store.cut = False

        self._later(end())

    async def _restore(self) -> None:
        """Restore the store from a backup; replicas write their entries again."""
        backup = self._fleet.store.backup()
        await asyncio.sleep(self._random.random() * 4.0)
        await self._fleet.restore(backup, self._random.choice(OUTAGES_S))

        async def write_again() -> None:
            await asyncio.sleep(self._random.random())
            for number in range(REPLICAS):
                replica_id = f"i-{number}"
                if replica_id in self._listed:
                    self._fleet.list_replica(replica_id, self._listed[replica_id])
                elif f"servers/{replica_id}" in self._fleet.store.items:
                    self._fleet.remove_replica(replica_id)

        self._later(write_again())
