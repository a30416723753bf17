"""Hollow daemons: the real membership, documents and load gossip of many daemons in one process.

Messages are encoded by the real codec and delivered in virtual time. Measured processor time covers
the calls that a real daemon makes, codec included, but not the socket, whose cost is measured by
``capacity.measure_datagram_cost``.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import time
from typing import Any

import msgspec

from winchfork.cluster.messages import (
    MESSAGE_TYPES,
    DocumentAnnouncement,
    DocumentPart,
    DocumentPull,
)
from winchfork.cluster.node import ANNOUNCE_FANOUT
from winchfork.cluster.wire import PeerCodec
from winchfork.constants import HEARTBEAT_PERIOD_S
from winchfork.core.documents import Document, DocumentName, DocumentSet
from winchfork.core.fleet import ReplicaLoad
from winchfork.core.load_gossip import LoadGossip
from winchfork.core.member import IndirectProbe, Member, MemberStatus, Outgoing
from winchfork.core.membership import Membership
from winchfork.errors import Failure

_DELAY_S = 0.0015


@dataclasses.dataclass
class Traffic:
    """Messages and bytes of one daemon, and its processor time in seconds."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    processor_s: float = 0.0


class HollowDaemon:
    """One daemon's membership, documents and load gossip, without sockets, gateway or engines."""

    def __init__(self, number: int, zone: str, seeds: list[str], generator: random.Random) -> None:
        self.address = f"10.0.{number // 250}.{number % 250}:7000"
        self.documents = DocumentSet()
        self.loads = LoadGossip()
        self.traffic = Traffic()
        self.generator = generator
        self.alive = True
        self.installed_at_s: dict[int, float] = {}
        own = Member(f"daemon-{number}", zone, self.address, self.address, 1)
        self.membership = Membership(
            own, seeds, generator, self.loads.pack, self.documents.revisions
        )


class HollowRegion:
    """The daemons of one region, connected by a network in virtual time."""

    def __init__(self, daemons: int, replicas: int, seed: int, zones: int = 4) -> None:
        self._random = random.Random(f"hollow:{seed}")
        self._codec = PeerCodec(b"hollow measurement key", MESSAGE_TYPES)
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._order = itertools.count()
        self.now_s = 0.0
        seeds = [f"10.0.0.{number}:7000" for number in range(3)]
        self.daemons = [
            HollowDaemon(number, f"zone-{number % zones}", seeds, random.Random(f"{seed}:{number}"))
            for number in range(daemons)
        ]
        self._by_address = {daemon.address: daemon for daemon in self.daemons}
        self._replicas = [f"replica-{number}" for number in range(replicas)]
        self._ticks = [
            (self._random.random() * HEARTBEAT_PERIOD_S, number) for number in range(daemons)
        ]
        heapq.heapify(self._ticks)
        self._cut: set[str] = set()

    def run(self, seconds: float, *, load_changes_per_s: float = 1.0) -> None:
        """Run for ``seconds`` of virtual time; each replica's load changes at the given rate."""
        end_s = self.now_s + seconds
        while True:
            tick_s, number = self._ticks[0]
            arrival_s = self._queue[0][0] if self._queue else float("inf")
            if min(tick_s, arrival_s) >= end_s:
                self.now_s = end_s
                return
            if arrival_s <= tick_s:
                self._deliver()
                continue
            self.now_s = tick_s
            heapq.heapreplace(self._ticks, (tick_s + HEARTBEAT_PERIOD_S, number))
            daemon = self.daemons[number]
            if daemon.alive:
                self._tick(daemon, number, load_changes_per_s)

    def reset_traffic(self) -> None:
        """Reset the traffic counters of every daemon."""
        for daemon in self.daemons:
            daemon.traffic = Traffic()

    def restart(self, number: int, incarnation: int) -> None:
        """Replace a daemon by a new one that has lost its state."""
        old = self.daemons[number]
        seeds = [daemon.address for daemon in self.daemons[:3]]
        fresh = HollowDaemon(number, old.membership.own.zone, seeds, old.generator)
        fresh.membership.own = msgspec.structs.replace(
            fresh.membership.own, incarnation=incarnation
        )
        fresh.traffic = old.traffic
        self.daemons[number] = fresh
        self._by_address[fresh.address] = fresh

    def publish(self, number: int, revision: int, size: int) -> None:
        """Install a configuration of ``size`` bytes at one daemon and announce it."""
        daemon = self.daemons[number]
        daemon.documents.install(DocumentName.CONFIGURATION, Document(revision, b"x" * size))
        daemon.installed_at_s[revision] = self.now_s
        self._announce(daemon)

    def cut_between(self, addresses: set[str]) -> None:
        """Cut these daemons off from the others; they still reach each other."""
        self._cut = addresses

    def statuses_of(self, member_id: str) -> list[MemberStatus | None]:
        """Return a member's status at each other running daemon; None where it is unknown."""
        found: list[MemberStatus | None] = []
        for daemon in self.daemons:
            if daemon.alive and daemon.membership.own.member_id != member_id:
                record = daemon.membership.get(member_id)
                found.append(record.status if record else None)
        return found

    def _tick(self, daemon: HollowDaemon, number: int, load_changes_per_s: float) -> None:
        started = time.perf_counter()
        own_replicas = self._replicas[number :: len(self.daemons)]
        for replica in own_replicas:
            if daemon.generator.random() < load_changes_per_s * HEARTBEAT_PERIOD_S:
                tokens = int(daemon.generator.expovariate(1 / 4000))
                load = ReplicaLoad(tokens, tokens // 3, daemon.generator.randrange(40))
                daemon.loads.publish(replica, load, self.now_s)
        outgoing = daemon.membership.tick(self.now_s)
        encoded = self._encode(daemon, outgoing)
        daemon.traffic.processor_s += time.perf_counter() - started
        self._send(daemon, encoded)

    def _encode(self, daemon: HollowDaemon, outgoing: list[Outgoing]) -> list[tuple[str, bytes]]:
        encoded: list[tuple[str, bytes]] = []
        for item in outgoing:
            datagram = self._codec.encode(item.message)
            assert not isinstance(datagram, Failure)
            encoded.append((item.address, datagram))
        return encoded

    def _send(self, daemon: HollowDaemon, encoded: list[tuple[str, bytes]]) -> None:
        for address, datagram in encoded:
            daemon.traffic.sent += 1
            daemon.traffic.sent_bytes += len(datagram)
            if (daemon.address in self._cut) != (address in self._cut):
                continue
            entry = (self.now_s + _DELAY_S, next(self._order), daemon.address, address, datagram)
            heapq.heappush(self._queue, entry)

    def _deliver(self) -> None:
        self.now_s, _, sender, address, datagram = heapq.heappop(self._queue)
        daemon = self._by_address.get(address)
        if daemon is None or not daemon.alive:
            return
        started = time.perf_counter()
        message = self._codec.decode(datagram)
        outgoing = self._handle(daemon, message, sender)
        encoded = self._encode(daemon, outgoing)
        traffic = daemon.traffic
        traffic.processor_s += time.perf_counter() - started
        traffic.received += 1
        traffic.received_bytes += len(datagram)
        self._send(daemon, encoded)

    def _handle(self, daemon: HollowDaemon, message: Any, sender: str) -> list[Outgoing]:
        if isinstance(message, DocumentAnnouncement):
            return self._pull(daemon, message.revisions, sender)
        if isinstance(message, DocumentPull):
            document, data = daemon.documents.part(DocumentName(message.name), message.offset)
            part = DocumentPart(
                message.name, document.revision, message.offset, len(document.text), data
            )
            return [_outgoing(sender, part)]
        if isinstance(message, DocumentPart):
            return self._handle_part(daemon, message, sender)
        outgoing = daemon.membership.receive(message, self.now_s)
        if not isinstance(message, IndirectProbe):
            daemon.loads.unpack(message.loads)
            outgoing += self._pull(daemon, message.revisions, sender)
        return outgoing

    def _pull(
        self, daemon: HollowDaemon, revisions: tuple[int, ...], sender: str
    ) -> list[Outgoing]:
        return [
            _outgoing(sender, DocumentPull(name.value, revision, 0))
            for name, revision in daemon.documents.outdated(revisions)
        ]

    def _handle_part(
        self, daemon: HollowDaemon, message: DocumentPart, sender: str
    ) -> list[Outgoing]:
        name = DocumentName(message.name)
        result = daemon.documents.add_part(
            name, message.revision, message.offset, message.total, message.data
        )
        if isinstance(result, Document):
            if daemon.documents.install(name, result):
                daemon.installed_at_s[result.revision] = self.now_s
                self._announce(daemon)
            return []
        if result is None:
            return []
        return [_outgoing(sender, DocumentPull(message.name, message.revision, result))]

    def _announce(self, daemon: HollowDaemon) -> None:
        members = [
            member
            for member in daemon.membership.members(include_leaving=False)
            if member.peer_address != daemon.address
        ]
        chosen = daemon.generator.sample(members, min(ANNOUNCE_FANOUT, len(members)))
        announcement = DocumentAnnouncement(daemon.documents.revisions())
        outgoing = [_outgoing(member.peer_address, announcement) for member in chosen]
        self._send(daemon, self._encode(daemon, outgoing))


def _outgoing(address: str, message: Any) -> Outgoing:
    return Outgoing(address, message)
