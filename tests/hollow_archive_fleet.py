"""A large fleet of which only the records of streams are simulated, with a fixed view."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from tests.archive_fleet import SERVICE, VERSIONS, ZONES, CountingStore, attempt
from tests.peer_support import StoreAccess
from winchfork.cluster.wire import PeerCodec
from winchfork.core.member import Member
from winchfork.core.stream_origin import StreamOrigin
from winchfork.core.zone_hubs import FleetView
from winchfork.errors import Failure
from winchfork.router.peer_messages import PEER_MESSAGE_TYPES, StreamOriginReport
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.stream_archive import StreamArchive
from winchfork.router.stream_archive_exchange import StreamArchiveExchange
from winchfork.router.stream_origin_exchange import StreamOriginExchange

TICK_S = 0.2
DELAY_S = 0.002
CODEC = PeerCodec(b"stream archive", PEER_MESSAGE_TYPES)


class HollowDaemon:
    """One daemon's exchanges and archive."""

    def __init__(self, fleet: HollowArchiveFleet, own: Member, view: FleetView) -> None:
        self.view = view
        self._fleet = fleet
        settings = RouterSettings(own.member_id, own.zone, "g", "", "", "", "")
        generator = random.Random(own.member_id)
        self.state = RouterState(settings, asyncio.get_running_loop().time, generator)
        self.state.daemon_count = len(view.members)
        self.exchange = StreamOriginExchange(self.state, self)
        self.archive_exchange = StreamArchiveExchange(self.state, self, self.exchange)
        self.archive = StreamArchive(self.state, StoreAccess(fleet.store), generator)
        self.archive.connect(self.archive_exchange)
        self._writing = asyncio.create_task(self.archive.run())

    def list_versions(self) -> None:
        """Record that replicas of several versions are listed."""
        now_s = self.state.clock()
        for software in VERSIONS:
            self.state.software_tracker.history.record_listed(SERVICE, software, now_s)

    def send(self, address: str, message: Any) -> None:
        raise NotImplementedError

    def send_each(self, receivers: Iterable[Member], message: Any) -> None:
        data = CODEC.encode(message)
        assert isinstance(data, bytes)
        for receiver in receivers:
            self._fleet.deliver(receiver, data)

    def broadcast(self, message: Any) -> None:
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        message = CODEC.decode(data)
        assert not isinstance(message, Failure)
        assert isinstance(message, StreamOriginReport)
        self.exchange.handle_report(message)


class HollowArchiveFleet:
    """Daemons that know each other, and what they send and write."""

    def __init__(self, daemons: int, seed: int = 1) -> None:
        self.store = CountingStore()
        self.generator = random.Random(seed)
        members = [
            Member(f"n{number}", ZONES[number % len(ZONES)], f"10.0.0.1:{number}", "", 1)
            for number in range(daemons)
        ]
        full = FleetView.of(members[0], members)
        self.daemons = {
            own.member_id: HollowDaemon(self, own, FleetView(own, full.members, full.hubs))
            for own in members
        }
        self.datagrams = 0
        self.received_bytes: Counter[str] = Counter()
        self._ticking = asyncio.create_task(self._tick())
        self._begun = 0

    def deliver(self, receiver: Member, data: bytes) -> None:
        self.datagrams += 1
        self.received_bytes[receiver.member_id] += len(data)
        daemon = self.daemons[receiver.member_id]
        asyncio.get_running_loop().call_later(DELAY_S, daemon.receive, data)

    async def _tick(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for daemon in self.daemons.values():
                daemon.exchange.tick(now_s)
                daemon.archive_exchange.tick(now_s)
            await asyncio.sleep(TICK_S)

    def list_versions(self) -> None:
        """Have all daemons know that several versions serve."""
        for daemon in self.daemons.values():
            daemon.list_versions()

    async def begin_for(self, seconds: float, per_s: int) -> None:
        """Begin streams of random versions at random daemons for a while."""
        daemons = list(self.daemons.values())
        for _ in range(int(seconds * per_s)):
            origin = StreamOrigin(SERVICE, self.generator.choice(VERSIONS))
            daemon = self.generator.choice(daemons)
            daemon.state.stream_origins.record(attempt(f"stream-{self._begun}"), origin)
            self._begun += 1
            await asyncio.sleep(1.0 / per_s)
