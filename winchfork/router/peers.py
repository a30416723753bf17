"""Datagrams between router processes: the socket, membership, and the routing of messages.

Delivery is best effort: a lost datagram may cost efficiency but breaks no guarantee. Broadcasts go
to every member directly in a full mesh, and otherwise through the hubs, so that a daemon's cost
does not grow with the number of members.
"""

from __future__ import annotations

import asyncio
import functools
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import xxhash

from winchfork.cluster.wire import PeerCodec
from winchfork.constants import HEARTBEAT_PERIOD_S
from winchfork.core.member import (
    IndirectProbe,
    Member,
    MembershipMessage,
    Outgoing,
    Probe,
    ProbeReply,
)
from winchfork.core.membership import Membership
from winchfork.core.store_position import StorePosition
from winchfork.core.zone_hubs import FleetView
from winchfork.errors import Failure
from winchfork.router.peer_messages import (
    PEER_MESSAGE_TYPES,
    Forward,
)
from winchfork.router.state import RouterState

#: Seconds between two ticks of a daemon, and of a hub.
TICK_PERIOD_S = 0.2
HUB_TICK_PERIOD_S = 0.05
#: Seconds between two probes for a proof of freshness: of a hub by other daemons, a little less
#: than two ticks, and of a watcher by a hub, on whose proof its whole zone depends.
HUB_PROBE_PERIOD_S = 0.35
WATCHER_PROBE_PERIOD_S = 0.2
#: Number added to the known members when budgets are divided, for machines that return.
_SPARE_DAEMONS = 3
#: Rejects datagrams of other systems; not a secret, since the network is trusted.
_CLUSTER_KEY = b"winchfork-router-peers"
#: Age sent by a daemon without a proof of freshness.
_NO_PROOF_AGE_S = 3600.0

#: Parsed peer addresses; more than the target size of 420 daemons.
_ADDRESS_CACHE_SIZE = 1024

#: Seconds in which a repeated datagram is a copy that another hub has forwarded. Messages that are
#: sent again on purpose, such as failure reports, follow at longer intervals.
_FORWARD_DEDUP_S = 0.5

_Message = TypeVar("_Message")


@functools.lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class PeerGroup(asyncio.DatagramProtocol):
    """This process's membership and socket; implements :class:`.peer_messenger.PeerMessenger`."""

    def __init__(self, state: RouterState, generator: random.Random) -> None:
        settings = state.settings
        self._state = state
        self._generator = generator
        self._loop = asyncio.get_running_loop()
        self._port = settings.peer_ports[0]
        self._codec = PeerCodec(_CLUSTER_KEY, PEER_MESSAGE_TYPES)
        own_address = f"{settings.machine_ip}:{self._port}"
        # Orders the starts of this daemon; after a clock step backwards, refutation corrects it.
        incarnation = int(time.time() * 1000)
        own = Member(
            settings.node_id,
            settings.zone,
            own_address,
            "",
            incarnation,
            link_mbps=settings.link_mbps,
        )
        seeds = [f"{seed.rpartition(':')[0]}:{self._port}" for seed in settings.seeds]
        self._membership = Membership(
            own,
            seeds,
            generator,
            revisions=self._own_proof,
            on_reply=self._handle_proof,
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._view = FleetView.of(own, [own], settings.regions)
        self._view_version = -1
        #: Called on each tick with the monotonic time.
        self.on_tick: list[Callable[[float], None]] = []
        #: Called with the address and store position of each peer that knows a later position.
        self.on_position: Callable[[str, StorePosition], None] = lambda address, position: None
        #: When recent datagrams were forwarded, by digest.
        self._forwarded: dict[int, float] = {}
        #: Seconds that a connection to the store takes to establish; None until one is.
        self.store_delay_s: Callable[[], float | None] = lambda: None
        self.sent_bytes = 0
        self.sent_messages = 0
        #: Bytes sent to daemons of other regions by ``send_each``; membership is not counted.
        self.cross_region_bytes = 0
        self.register_handler(Probe, self._handle_membership)
        self.register_handler(ProbeReply, self._handle_membership)
        self.register_handler(IndirectProbe, self._handle_membership)
        self.register_handler(Forward, self._handle_forward)

    async def open(self) -> None:
        """Bind the socket and contact the seeds; without a peer port, do nothing."""
        if not self._port:
            return
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._state.settings.machine_ip, self._port)
        )
        self._send_all(self._membership.join(self._loop.time()))

    async def run(self) -> None:
        """Tick until cancelled."""
        next_probe_s = next_proof_probe_s = self._loop.time()
        while True:
            await asyncio.sleep(self._tick_period_s)
            now_s = self._loop.time()
            if now_s >= next_probe_s:
                next_probe_s = now_s + HEARTBEAT_PERIOD_S
                self._send_all(self._membership.tick(now_s))
            if now_s >= next_proof_probe_s:
                next_proof_probe_s = now_s + self._proof_probe_period_s
                self._probe_proof_source(now_s)
            self._announce_store_delay()
            self._refresh_view()
            for listener in self.on_tick:
                listener(now_s)

    def register_handler(
        self, message_type: type[_Message], handler: Callable[[_Message], None]
    ) -> None:
        """Call ``handler`` with each received message of one type."""
        self._handlers[message_type] = handler

    def leave(self) -> None:
        """Announce a planned shutdown to some members."""
        self._membership.leave()
        self._send_all(self._membership.tick(self._loop.time()))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def member_count(self) -> int:
        """Return how many daemons are members, this one included."""
        return len(self._membership.members())

    # PeerMessenger

    @property
    def view(self) -> FleetView:
        """The members and hubs, as of the last tick."""
        return self._view

    def send(self, address: str, message: Any) -> None:
        """Send one message; one that cannot be encoded is dropped."""
        data = self._codec.encode(message)
        if not isinstance(data, Failure):
            self._send_datagram(address, data)

    def send_each(self, receivers: Iterable[Member], message: Any) -> None:
        """Send one message to several peers, encoded once."""
        data = self._codec.encode(message)
        if isinstance(data, Failure):
            return
        for receiver in receivers:
            self._send_datagram(receiver.peer_address, data)
            if self._view.regions.is_cross_region(self._view.own.zone, receiver.zone):
                self.cross_region_bytes += len(data)

    def broadcast(self, message: Any) -> None:
        """Send one message to every other daemon."""
        view = self._view
        if view.is_full_mesh:
            self.send_each(view.others, message)
            return
        data = self._codec.encode(message)
        if isinstance(data, Failure):
            return
        if view.is_hub:
            self.send_each(view.zone_peers, message)
        else:
            self.send_each(view.own_hubs, Forward(data))
        self.send_each(view.same_region_hubs, Forward(data))
        self.send_each(view.other_region_hubs, Forward(data, whole_region=True))

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        """Handle a datagram; one that is not a valid peer message is counted and dropped."""
        message = self._codec.decode(data)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        else:
            self._state.metrics.bad_datagrams.inc()

    def error_received(self, error: Exception) -> None:
        """Count a datagram that a peer's machine refused; membership detects the failure."""
        self._state.metrics.datagrams_refused.inc()

    # Internals

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self.send(item.address, item.message)

    def _send_datagram(self, address: str, data: bytes) -> None:
        if self._transport is None:
            return
        self.sent_bytes += len(data)
        self.sent_messages += 1
        self._transport.sendto(data, _socket_address(address))

    @property
    def _tick_period_s(self) -> float:
        return (
            HUB_TICK_PERIOD_S
            if self._view.is_hub and not self._view.is_full_mesh
            else TICK_PERIOD_S
        )

    @property
    def _proof_probe_period_s(self) -> float:
        return WATCHER_PROBE_PERIOD_S if self._view.is_hub else HUB_PROBE_PERIOD_S

    def _refresh_view(self) -> None:
        """Rebuild the view if membership has changed."""
        if self._view_version == self._membership.change_count:
            return
        self._view_version = self._membership.change_count
        members = self._membership.members()
        self._view = FleetView.of(self._membership.own, members, self._state.settings.regions)
        self._state.daemon_count = len(members) + _SPARE_DAEMONS
        # Outside a full mesh only the few proof sources are probed.
        majority = len(self._view.others) // 2 + 1
        self._state.store_outage.peers_needed = majority if self._view.is_full_mesh else 1

    def _announce_store_delay(self) -> None:
        """Announce the delay to the store once, so that daemons near it watch it and lead."""
        delay_s = self.store_delay_s()
        if delay_s is not None and not self._membership.own.store_delay_ms:
            self._membership.announce_store_delay(max(1, round(delay_s * 1000)))

    def _probe_proof_source(self, now_s: float) -> None:
        """Probe a random proof source for its store position and freshness.

        In a full mesh there is none; all members are probed while a store outage is suspected, to
        learn whether they can reach the store.
        """
        view = self._view
        if view.is_full_mesh:
            if self._state.store_outage.is_suspected:
                self._send_all([self._membership.probe(peer, now_s) for peer in view.others])
        elif view.proof_sources:
            source = self._generator.choice(view.proof_sources)
            self._send_all([self._membership.probe(source, now_s)])

    def _handle_membership(self, message: MembershipMessage) -> None:
        self._send_all(self._membership.receive(message, self._loop.time()))

    def _handle_forward(self, message: Forward) -> None:
        """Handle a broadcast of another daemon, and forward it within this zone.

        Both hubs may forward the same datagram; only its first copy is handled.
        """
        if self._is_duplicate(message.datagram):
            return
        inner = self._codec.decode(message.datagram)
        if isinstance(inner, (Failure, Forward)):
            self._state.metrics.bad_datagrams.inc()
            return
        if message.whole_region:
            self.send_each(
                (*self._view.same_region_hubs, *self._view.own_hub_peers), Forward(message.datagram)
            )
        for member in self._view.zone_peers:
            self._send_datagram(member.peer_address, message.datagram)
        handler = self._handlers.get(type(inner))
        if handler is not None:
            handler(inner)

    def _is_duplicate(self, datagram: bytes) -> bool:
        now_s = self._loop.time()
        for digest in [
            key for key, at_s in self._forwarded.items() if _is_forward_expired(at_s, now_s)
        ]:
            del self._forwarded[digest]
        digest = xxhash.xxh3_64_intdigest(datagram)
        if digest in self._forwarded:
            return True
        self._forwarded[digest] = now_s
        return False

    # Proofs of freshness of the operators' documents

    def _own_proof(self) -> tuple[int, ...]:
        """Return this daemon's document revision, its proof's age in milliseconds, and its era.

        What has changed in the store since that revision concerns no peer.
        The era is left out if there is none; earlier builds ignore a proof that has one.
        """
        age_s = self._state.freshness.age_s(self._loop.time())
        position = self._state.document_position
        era = (position.era,) if position.era else ()
        return (position.revision, int(min(age_s, _NO_PROOF_AGE_S) * 1000) + 1, *era)

    def _handle_proof(
        self, sender: Member, revisions: tuple[int, ...], requested_at_s: float
    ) -> None:
        """Adopt a peer's proof of freshness, dated from the probe and not from the reply's arrival.

        It counts only if this daemon has reached the peer's position, within the same era.
        """
        settings = self._state.settings
        if settings.regions.is_cross_region(settings.zone, sender.zone):
            self._state.region_delay.record_reply(self._loop.time() - requested_at_s)
        if len(revisions) not in (2, 3):
            return
        position = StorePosition(revisions[2] if len(revisions) == 3 else 0, revisions[0])
        proven_s = requested_at_s - revisions[1] / 1000.0
        now_s = self._loop.time()
        self._state.store_outage.record_peer_reply(
            sender.member_id, proven_s, requested_at_s, now_s
        )
        self._state.eras.advance_to(position.era, reported_by=sender.member_id)
        if position > self._state.store_position:
            self.on_position(sender.peer_address, position)
        elif position.era == self._state.store_position.era:
            self._state.freshness.prove(proven_s)


def _is_forward_expired(at_s: float, now_s: float) -> bool:
    return now_s - at_s > _FORWARD_DEDUP_S
