"""Daemons that follow a store and begin streams of two versions, and all die, in virtual time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from tests.stream_origin_fleet import Findings
from tests.test_platform_documents import CONFIGURATION, REPLICA
from winchfork.core.archive_placement import ArchivePlacement
from winchfork.core.routing import Route, RouteKind, ServiceShare
from winchfork.core.store_position import StorePosition
from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure
from winchfork.router.header_codec import RequestFields
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.state import START_ID_BITS
from winchfork.router.stream_records import STREAMS_PREFIX
from winchfork.stores.async_key_value import ExpectedRevision, PutItem

SERVICE = "models"
TIMEOUT_S = 6.0
ROUTE = Route(
    name="review",
    host="a.example",
    path_prefix="/review/",
    kind=RouteKind.STREAMING,
    timeout_s=TIMEOUT_S,
    target_latency_s=0.8,
    priority=1,
    shares=(ServiceShare(SERVICE, 1.0),),
    max_attempts=2,
    resumable=True,
)
ZONES = ("z1", "z2", "z3")
VERSIONS = ("v1", "v1.1")
#: Seconds in which the daemons of a new fleet come to know each other and the store.
STABILIZATION_S = 4.0


def attempt(request_id: str, origin_id: str | None = None) -> AdmittedRequest:
    """Return an attempt, which continues the stream that ``origin_id`` began if that is given."""
    resume_after = 2 if origin_id else None
    fields = RequestFields(request_id, TIMEOUT_S, "key", None, resume_after, origin_id=origin_id)
    return AdmittedRequest(ROUTE, None, fields, b"", "school")


class CountingStore(MemoryStore):
    """A store that counts what is written under the prefix of streams."""

    def __init__(self) -> None:
        super().__init__()
        self.batches = 0
        self.batch_bytes = 0

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        for put in puts:
            if put.key.startswith(STREAMS_PREFIX):
                self.batches += 1
                self.batch_bytes += len(put.value)
        return await super().transact(expected, puts)

    def batch_keys(self) -> list[str]:
        """Return the keys of the batches that are stored."""
        self.expire_leases()
        return [key for key in self.items if key.startswith(STREAMS_PREFIX)]


class ArchiveFleet:
    """Daemons that follow a store with replicas of two versions, and the streams begun."""

    def __init__(self, daemons: int, versions: Sequence[str] = VERSIONS, seed: int = 1) -> None:
        self.network = Network()
        self.generator = random.Random(seed)
        self.store = CountingStore()
        self.put_configuration(1)
        for number, software in enumerate(versions):
            self.put_replica(number, software)
        self.versions = list(versions)
        self.daemons = [self._start(number) for number in range(1, daemons + 1)]
        self._begun: dict[str, StreamOrigin] = {}
        self._names = 0
        self._asked = 0

    def put_configuration(self, version: int) -> None:
        route = {
            "Name": ROUTE.name,
            "Host": ROUTE.host,
            "PathPrefix": ROUTE.path_prefix,
            "Kind": "streaming",
            "TimeoutMs": TIMEOUT_S * 1000,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Resumable": True,
        }
        services = [{"Name": SERVICE, "MaxConnections": 100}]
        document = {**CONFIGURATION, "Version": version, "Routes": [route], "Services": services}
        self.store.put("op/config", json.dumps(document).encode())

    def put_replica(self, number: int, software: str) -> None:
        entry = {
            **REPLICA,
            "Service": SERVICE,
            "Version": software,
            "Address": f"10.1.0.{number}:80",
        }
        self.store.put(f"servers/i-model-{number}", json.dumps(entry).encode())

    def _start(self, number: int) -> Daemon:
        daemon = Daemon(self.network, number, ZONES[number % len(ZONES)], self.store)
        # Unlike the other draws, it differs between two starts of a daemon.
        daemon.state.start_id = self.generator.getrandbits(START_ID_BITS)
        daemon.follow()
        return daemon

    def begin(self, count: int = 1, daemons: Sequence[Daemon] = ()) -> None:
        """Begin streams of random versions at random daemons."""
        for _ in range(count):
            name = f"stream-{self._names}"
            self._names += 1
            origin = StreamOrigin(SERVICE, self.generator.choice(self.versions))
            self._begun[name] = origin
            daemon = self.generator.choice(daemons or self.daemons)
            daemon.state.stream_origins.record(attempt(name), origin)

    async def begin_for(self, seconds: float, per_s: int = 40) -> None:
        """Begin streams evenly for a while."""
        for _ in range(int(seconds * per_s)):
            self.begin()
            await asyncio.sleep(1.0 / per_s)

    def forget_begun(self) -> None:
        """Ask no more for the streams that were begun so far."""
        self._begun.clear()

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def archiver(self) -> Daemon:
        """Return the first daemon that archives records."""
        placement = ArchivePlacement(self.daemons[0].peers.view.members)
        (archiver_id, _), *_ = sorted(placement.archivers)
        return next(item for item in self.daemons if item.state.settings.node_id == archiver_id)

    async def replace_all(self, down_s: float = 1.0) -> None:
        """Kill all daemons at once, and start others without state after ``down_s``."""
        self.kill(*self.daemons)
        count = len(self.daemons)
        await asyncio.sleep(down_s)
        self.daemons = [self._start(number) for number in range(1, count + 1)]
        await asyncio.sleep(0.5)

    def kill(self, *daemons: Daemon) -> None:
        for daemon in daemons:
            daemon.kill(self.network)

    async def continue_all(self) -> Findings:
        """Ask a random daemon for each begun stream, all at once."""
        findings = Findings()
        await asyncio.gather(*(self._continue(*begun, findings) for begun in self._begun.items()))
        return findings

    async def _continue(self, name: str, origin: StreamOrigin, findings: Findings) -> None:
        self._asked += 1
        loop = asyncio.get_running_loop()
        asked_at_s = loop.time()
        asked = attempt(f"again-{self._asked}", name)
        found = await self.generator.choice(self.daemons).state.stream_origins.find(asked)
        findings.longest_s = max(findings.longest_s, loop.time() - asked_at_s)
        if isinstance(found, Failure):
            findings.unknown += 1
        elif found == origin:
            findings.found += 1
        else:
            findings.wrong += 1
