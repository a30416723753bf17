"""Datagrams between router processes: the socket, membership, and what goes to whom.

Everything said here is advice with an age: a lost datagram costs efficiency, never a promise. What
concerns everybody goes to every member of a small fleet, and through the hubs of a large one, so
that a daemon's cost does not grow with the fleet.
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

#: Seconds between two looks at what is to be told, and between those of a hub.
TICK_PERIOD_S = 0.2
HUB_TICK_PERIOD_S = 0.05
#: Seconds between two questions to a hub, a little less than two ticks; a hub asks a watcher more
#: often, since its whole zone is no more current than the answer.
HUB_PROBE_PERIOD_S = 0.35
WATCHER_PROBE_PERIOD_S = 0.2
#: Daemons that budgets are shared among beyond those seen, for machines that are coming back.
_SPARE_DAEMONS = 3
#: Keeps other systems' datagrams out; it is no secret, the network is the platform's.
_CLUSTER_KEY = b"winchfork-router-peers"
#: Age told by a daemon that has no proof.
_NO_PROOF_AGE_S = 3600.0

#: Peer addresses kept in parsed form: more than the target size of 420 daemons.
_ADDRESS_CACHE_SIZE = 1024

#: Seconds in which a datagram that comes again is the copy that another hub has passed on. What is
#: told anew in the same words, such as an accusation, comes a second or more later.
_FORWARD_DEDUP_S = 0.5

_Message = TypeVar("_Message")


@functools.lru_cache(maxsize=_ADDRESS_CACHE_SIZE)
def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class PeerGroup(asyncio.DatagramProtocol):
    """This process among its peers; implements :class:`.peer_messenger.PeerMessenger`."""

    def __init__(self, state: RouterState, generator: random.Random) -> None:
        settings = state.settings
        self._state = state
        self._generator = generator
        self._loop = asyncio.get_running_loop()
        self._port = settings.peer_ports[0]
        self._codec = PeerCodec(_CLUSTER_KEY, PEER_MESSAGE_TYPES)
        own_address = f"{settings.machine_ip}:{self._port}"
        # Only orders this daemon's own lives; a clock that stepped back is corrected by refuting.
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
        #: Told of each tick: the monotonic time.
        self.on_tick: list[Callable[[float], None]] = []
        #: Told of the address and the position in the store of each peer that answers.
        self.on_position: Callable[[str, StorePosition], None] = lambda address, position: None
        #: Digests of what was lately passed on, and when.
        self._forwarded: dict[int, float] = {}
        #: Seconds for a connection to the store to come up; None until one has.
        self.store_delay_s: Callable[[], float | None] = lambda: None
        self.sent_bytes = 0
        self.sent_messages = 0
        #: Of these bytes, those of work, notes and updates to daemons of other regions.
        self.cross_region_bytes = 0
        self.register_handler(Probe, self._handle_membership)
        self.register_handler(ProbeReply, self._handle_membership)
        self.register_handler(IndirectProbe, self._handle_membership)
        self.register_handler(Forward, self._handle_forward)

    async def open(self) -> None:
        """Bind the socket and greet the seeds; without ports there are no peers."""
        if not self._port:
            return
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._state.settings.machine_ip, self._port)
        )
        self._send_all(self._membership.join(self._loop.time()))

    async def run(self) -> None:
        """Tick until cancelled."""
        next_probe_s = next_hub_probe_s = self._loop.time()
        while True:
            await asyncio.sleep(self._tick_period_s)
            now_s = self._loop.time()
            if now_s >= next_probe_s:
                next_probe_s = now_s + HEARTBEAT_PERIOD_S
                self._send_all(self._membership.tick(now_s))
            if now_s >= next_hub_probe_s:
                next_hub_probe_s = now_s + self._informant_period_s
                self._probe_informant(now_s)
            self._announce_store_delay()
            self._refresh_view()
            for listener in self.on_tick:
                listener(now_s)

    def register_handler(
        self, message_type: type[_Message], handler: Callable[[_Message], None]
    ) -> None:
        """Give messages of one type to ``handler``."""
        self._handlers[message_type] = handler

    def leave(self) -> None:
        """Tell some members of a planned stop."""
        self._membership.leave()
        self._send_all(self._membership.tick(self._loop.time()))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def member_count(self) -> int:
        """Return how many daemons are believed to work, this one included."""
        return len(self._membership.members())

    # PeerPort

    @property
    def view(self) -> FleetView:
        """The daemons and the hubs, as of the last tick."""
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
        """Take the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        """Take a datagram in; what was not made by a peer is counted and dropped."""
        message = self._codec.decode(data)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        else:
            self._state.metrics.bad_datagrams.inc()

    def error_received(self, error: Exception) -> None:
        """A peer's machine refused a datagram; membership finds out by itself."""
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
    def _informant_period_s(self) -> float:
        return WATCHER_PROBE_PERIOD_S if self._view.is_hub else HUB_PROBE_PERIOD_S

    def _refresh_view(self) -> None:
        """Renew the view of the fleet when a member has changed."""
        if self._view_version == self._membership.change_count:
            return
        self._view_version = self._membership.change_count
        members = self._membership.members()
        self._view = FleetView.of(self._membership.own, members, self._state.settings.regions)
        self._state.daemon_count = len(members) + _SPARE_DAEMONS
        # In a large fleet only the few are asked that keep a daemon informed.
        most = len(self._view.others) // 2 + 1
        self._state.store_outage.peers_needed = most if self._view.is_full_mesh else 1

    def _announce_store_delay(self) -> None:
        """Announce once how far the store is, so that the daemons near it watch it and lead."""
        delay_s = self.store_delay_s()
        if delay_s is not None and not self._membership.own.store_delay_ms:
            self._membership.announce_store_delay(max(1, round(delay_s * 1000)))

    def _probe_informant(self, now_s: float) -> None:
        """Ask how current one of those is that keep this daemon informed.

        In a small fleet nobody does; all are asked when the store does not answer here, to learn
        whether it answers others.
        """
        view = self._view
        if view.is_full_mesh:
            if self._state.store_outage.is_suspected:
                self._send_all([self._membership.probe(peer, now_s) for peer in view.others])
        elif view.proof_sources:
            informant = self._generator.choice(view.proof_sources)
            self._send_all([self._membership.probe(informant, now_s)])

    def _handle_membership(self, message: MembershipMessage) -> None:
        self._send_all(self._membership.receive(message, self._loop.time()))

    def _handle_forward(self, message: Forward) -> None:
        """Take in what another daemon has to say to everybody, and pass it on in this zone.

        What another region has to say comes to both speakers of this one; once is enough.
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

    # Proofs that the operators' documents are current

    def _own_proof(self) -> tuple[int, ...]:
        """Return the store's revision held here, the age of its proof in milliseconds, its era.

        Earlier builds, which know no eras, take no proof that names one.
        """
        age_s = self._state.freshness.age_s(self._loop.time())
        position = self._state.store_position
        era = (position.era,) if position.era else ()
        return (position.revision, int(min(age_s, _NO_PROOF_AGE_S) * 1000) + 1, *era)

    def _handle_proof(
        self, sender: Member, revisions: tuple[int, ...], requested_at_s: float
    ) -> None:
        """Adopt a peer's proof, dated from the question: however late the answer is read.

        It counts only here if everything up to the peer's position is known here as well, and if
        the peer is not left in an era that is over.
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
