"""Daemons without callers, on a simulated network and with an in-memory store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from tests.memory_store import MemoryStore
from tests.virtual_loop import run_virtually
from winchfork.core.region_map import RegionMap
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.router.leadership import Leadership
from winchfork.router.peer_wiring import connect_peers
from winchfork.router.peers import PeerGroup
from winchfork.router.refusal_writer import RefusalWriter
from winchfork.router.settings import RouterBounds, RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.store_sync import StoreSync
from winchfork.router.stream_archive import StreamArchive
from winchfork.router.stream_store import StreamStore
from winchfork.router.version_register_writer import VersionRegisterWriter
from winchfork.stores.async_key_value import (
    ExpectedRevision,
    OnStoreAnswer,
    PutItem,
    StoreAnswer,
    StoreLease,
    StoreSnapshot,
    WatchBatch,
    ignore_answer,
)


class StoreAccess:
    """One daemon's access to the store.

    ``cut`` makes its calls fail. While ``reading`` is cleared, the store's answers arrive but are
    not handled, as during a stall of the process.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.cut = False
        self.reads = 0
        self.reading = asyncio.Event()
        self.reading.set()
        self.on_answer: OnStoreAnswer = ignore_answer

    def _report_era(self) -> None:
        if not self.cut and not self.store.down:
            self.on_answer(StoreAnswer(200, self.store.era))

    def _failure(self) -> Failure | None:
        return FailureKind.STORE_UNAVAILABLE.because("cut") if self.cut else None

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        self.reads += 1
        answer = self._failure() or await self.store.list(prefix)
        self._report_era()
        return answer

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        self.reads += 1
        failure = self._failure()
        batch = failure or await self.store.watch(prefix, after_revision, wait_s)
        self._report_era()
        await self.reading.wait()
        return FailureKind.STORE_UNAVAILABLE.because("cut") if self.cut else batch

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        answer = self._failure() or await self.store.transact(expected, puts)
        self._report_era()
        return answer

    async def grant_lease(self, ttl_s: float) -> StoreLease | Failure:
        answer = self._failure() or await self.store.grant_lease(ttl_s)
        self._report_era()
        return answer

    async def renew_lease(self, lease: StoreLease) -> bool | Failure:
        answer = self._failure() or await self.store.renew_lease(lease)
        self._report_era()
        return answer

    async def end_lease(self, lease: StoreLease) -> Failure | None:
        return self._failure() or await self.store.end_lease(lease)


class Network:
    """Delivers datagrams between groups after a delay, unless ``drop`` returns True."""

    def __init__(self) -> None:
        self.groups: dict[str, PeerGroup] = {}
        self.delay_s = 0.002
        self.drop: Callable[[str, str], bool] = lambda sender, receiver: False
        #: Called with the sender's IP, the receiver's IP and the bytes of each datagram.
        self.on_sent: Callable[[str, str, bytes], None] = lambda sender, receiver, data: None

    def transport(self, sender: str) -> Any:
        network = self

        class Transport:
            def sendto(self, data: bytes, address: tuple[str, int]) -> None:
                network.on_sent(sender, address[0], data)
                if network.drop(sender, address[0]) or address[0] not in network.groups:
                    return
                group = network.groups[address[0]]
                loop = asyncio.get_running_loop()
                loop.call_later(network.delay_s, group.datagram_received, data, (sender, 7000))

        return Transport()


class Daemon:
    """One member of the network."""

    def __init__(
        self,
        network: Network,
        number: int,
        zone: str = "z1",
        store: MemoryStore | None = None,
        bounds: RouterBounds | None = None,
        regions: RegionMap | None = None,
        software_rollouts: bool = False,
    ) -> None:
        self.ip = f"10.0.{number // 256}.{number % 256}"
        settings = RouterSettings(
            f"n{number}",
            zone,
            "g",
            self.ip,
            "",
            "",
            "",
            peer_ports=(7000, 7010),
            seeds=("10.0.0.1:99",),
            bounds=bounds or RouterBounds(),
            regions=regions or RegionMap(),
            software_rollouts=software_rollouts,
        )
        loop = asyncio.get_running_loop()
        self.state = RouterState(settings, loop.time, random.Random(number))
        self.peers = PeerGroup(self.state, random.Random(number))
        self.peers.connection_made(network.transport(self.ip))
        self.store = StoreAccess(store or MemoryStore())
        self.store.on_answer = self.state.eras.handle_answer
        self.leadership = Leadership(
            self.store, settings.node_id, 3.0, loop.time, random.Random(number), 1.0
        )
        self.sync = StoreSync(
            self.state, self.store, PlatformDocumentCodec(), self.leadership, random.Random(number)
        )
        self.exchanges = connect_peers(self.state, self.peers, self.sync, self.leadership)
        self.weights = self.exchanges.weights
        stream_store = StreamStore(self.state, self.store)
        self.state.stream_origins.confirm_list = stream_store.confirm_list
        stream_store.on_behind = self.sync.request_catch_up
        self.archive = StreamArchive(self.state, self.store, random.Random(number))
        self.archive.connect(self.exchanges.stream_archive)
        self.sync.on_stream_batch = self.archive.handle_batch
        network.groups[self.ip] = self.peers
        for replica in ("i-1", "i-2"):
            listing = ReplicaListing(replica, "s", "a:1", "z1", 8, True, {"m": 1})
            self.state.fleet.install(listing)
        self.tasks: list[asyncio.Task[None]] = []
        self._begin_gossip()

    def follow(self) -> None:
        """Follow the store, and take part in the election."""
        self.tasks.append(asyncio.create_task(self.sync.run()))
        self.tasks.append(asyncio.create_task(self.leadership.run()))
        self.tasks.append(asyncio.create_task(self.archive.run()))

    def write_refusals(self) -> asyncio.Task[None]:
        """Write refused requests into the store, until the task is cancelled."""
        writer = RefusalWriter(self.state, self.store, random.Random(self.ip))
        return asyncio.create_task(writer.run())

    def record_versions(self) -> None:
        """Keep the store's record of the versions that may have begun streams."""
        writer = VersionRegisterWriter(
            self.state, self.leadership, self.store, random.Random(self.ip)
        )
        self.tasks.append(asyncio.create_task(writer.run()))

    async def stall(self, seconds: float, network: Network) -> None:
        """Simulate a stall: answers of the store wait to be read, datagrams are lost."""
        self.tasks.remove(self._gossip)
        self._gossip.cancel()
        self.store.reading.clear()
        network.drop = lambda sender, receiver: self.ip in (sender, receiver)
        await asyncio.sleep(seconds)
        network.drop = lambda sender, receiver: False
        # On resumption, expired timers run before the answers are read.
        self.state.stall_detector.tick(self.state.clock())
        await asyncio.sleep(0.005)
        self.store.reading.set()
        self._begin_gossip()

    def _begin_gossip(self) -> None:
        self._gossip = asyncio.create_task(self.peers.run())
        self.tasks.append(self._gossip)

    def kill(self, network: Network) -> None:
        """Stop without announcing it."""
        del network.groups[self.ip]
        for task in self.tasks:
            task.cancel()

    def age_s(self) -> float:
        return self.state.freshness.age_s(self.state.clock())


def run_with_daemons(count: int, scenario: Callable[[Network, list[Daemon]], Any]) -> None:
    async def main() -> None:
        network = Network()
        daemons = [Daemon(network, number) for number in range(1, count + 1)]
        await asyncio.sleep(4.0)
        await scenario(network, daemons)

    run_virtually(main())
