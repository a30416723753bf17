"""Datagrams between router processes: membership, load, kept parts, rollout progress.

Everything said here is advice with an age: a lost datagram costs efficiency, never a promise. Work
is told to a bounded number of peers each period, so that a daemon's cost does not grow with the
fleet; the leader's rollout notes go to every member, since they are rare.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

from winchfork.cluster.wire import PeerCodec
from winchfork.constants import HEARTBEAT_PERIOD_S
from winchfork.core.membership import (
    IndirectProbe,
    Member,
    Membership,
    Outgoing,
    Probe,
    ProbeReply,
)
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.peer_messages import (
    PEER_MESSAGE_TYPES,
    Activity,
    KeptNote,
    NamedNote,
    NamedVersions,
    ReplicaLoadNote,
    Resignation,
    RolloutProgress,
    WeightsNote,
)
from winchfork.router.state import RouterState

#: Seconds between messages about work, and for how long such a message counts.
ACTIVITY_PERIOD_S = 0.2
ACTIVITY_MEMORY_S = 1.5
#: Peers told of work in one period.
FAN_OUT = 12
#: Parts told in one message.
_MOST_KEPT = 200
#: Daemons that budgets are shared among beyond those seen, for machines that are coming back.
_SPARE_DAEMONS = 3
#: Keeps other systems' datagrams out; it is no secret, the network is the platform's.
_CLUSTER_KEY = b"winchfork-router-peers"

#: Milliseconds to which expected ends are rounded, so that they fit in a byte or two.
_BUSY_STEP_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardLoads:
    """The newest loads told by one peer, and when."""

    at_s: float
    loads: tuple[ReplicaLoadNote, ...]


@dataclasses.dataclass(slots=True)
class _PeerWork:
    """All peers' work on one replica."""

    in_flight: int = 0
    unread_tokens: int = 0
    busy_until_s: float = 0.0


_NO_WORK = _PeerWork()
#: Age told by a daemon that has no proof.
_NO_PROOF_S = 3600.0


class PeerGroup(asyncio.DatagramProtocol):
    """This process among its peers."""

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
        own = Member(settings.node_id, settings.zone, own_address, "", incarnation)
        seeds = [f"{seed.rpartition(':')[0]}:{self._port}" for seed in settings.seeds]
        self._membership = Membership(
            own,
            seeds,
            generator,
            revisions=self._own_proof,
            on_reply=self._take_proof,
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._last_loads: tuple[ReplicaLoadNote, ...] = ()
        self._heard: dict[str, _HeardLoads] = {}
        self._known_members: set[tuple[str, int]] = set()
        self.on_resignation: Callable[[Resignation], None] = lambda message: None
        self.sent_bytes = 0

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
        next_probe_s = self._loop.time()
        while True:
            await asyncio.sleep(ACTIVITY_PERIOD_S)
            now_s = self._loop.time()
            if now_s >= next_probe_s:
                next_probe_s = now_s + HEARTBEAT_PERIOD_S
                self._send_all(self._membership.tick(now_s))
                self._state.daemons = self.members() + _SPARE_DAEMONS
            self._greet_newcomers(now_s)
            self._tell_work(now_s)
            self._sum_loads(now_s)

    def leave(self) -> None:
        """Tell some members of a planned stop."""
        self._membership.leave()
        self._send_all(self._membership.tick(self._loop.time()))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def members(self) -> int:
        """Return how many daemons are believed to work, this one included."""
        return len(self._membership.members())

    def tell_rollout(self, fence: int, notes: tuple[WeightsNote, ...]) -> None:
        """Tell every member of the replicas under order; apply it here as well."""
        message = RolloutProgress(self._state.settings.node_id, fence, notes)
        self._take_rollout(message)
        self._tell_everyone(message)

    def tell_resignation(self, message: Resignation) -> None:
        """Tell every member that this leader gives no more orders."""
        self._tell_everyone(message)

    # asyncio.DatagramProtocol

    def connection_made(self, transport: Any) -> None:
        """Take the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: Any) -> None:
        """Take a datagram in; what was not made by a peer is counted and dropped."""
        message = self._codec.decode(data)
        if isinstance(message, Failure):
            self._state.metrics.count("bad_datagrams")
        elif isinstance(message, (Probe, ProbeReply, IndirectProbe)):
            self._send_all(self._membership.receive(message, self._loop.time()))
        elif isinstance(message, Activity):
            self._take_activity(message)
        elif isinstance(message, RolloutProgress):
            self._take_rollout(message)
        elif isinstance(message, NamedVersions):
            self._take_named(message)
        elif isinstance(message, Resignation):
            self.on_resignation(message)

    def error_received(self, error: Exception) -> None:
        """A peer's machine refused a datagram; membership finds out by itself."""
        self._state.metrics.count("datagrams_refused")

    # Sending

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self._send(item.address, item.message)

    def _send(self, address: str, message: Any) -> None:
        data = self._codec.encode(message)
        if isinstance(data, Failure) or self._transport is None:
            return
        host, _, port = address.rpartition(":")
        self.sent_bytes += len(data)
        self._transport.sendto(data, (host, int(port)))

    def _tell_everyone(self, message: Any) -> None:
        for member in self._others():
            self._send(member.peer_address, message)

    def _others(self) -> list[Member]:
        own_id = self._state.settings.node_id
        return [member for member in self._membership.members() if member.member_id != own_id]

    def _greet_newcomers(self, now_s: float) -> None:
        """Tell members seen for the first time how long ago each version was named."""
        members = {(member.member_id, member.incarnation): member for member in self._others()}
        newcomers = [members[key] for key in members.keys() - self._known_members]
        self._known_members = set(members)
        notes = tuple(
            NamedNote(model, named.version, int((now_s - named.heard_s) * 1000))
            for model, history in self._state.versions.items()
            for named in history.named
            if not named.assumed
        )
        if not notes:
            return
        for member in newcomers:
            self._send(member.peer_address, NamedVersions(notes))

    def _take_named(self, message: NamedVersions) -> None:
        now_s = self._loop.time()
        for note in message.notes:
            history = self._state.versions.get(note.model)
            if history is not None:
                history.note_age(note.version, now_s - note.age_ms / 1000.0)

    def _tell_work(self, now_s: float) -> None:
        loads = tuple(
            ReplicaLoadNote(
                replica.order_hash,
                replica.in_flight,
                replica.unread_tokens,
                int(max(0.0, replica.own_busy_until_s - now_s) * 1000) // _BUSY_STEP_MS,
            )
            for replica in self._state.fleet.replicas()
            if replica.in_flight
        )
        kept = tuple(
            KeptNote(replica_hash, parts)
            for replica_hash, parts in self._state.take_kept_news(_MOST_KEPT)
        )
        if loads == self._last_loads and not kept:
            return
        self._last_loads = loads
        message = Activity(self._state.settings.node_id, loads, kept)
        for address in self._listeners():
            self._send(address, message)

    def _listeners(self) -> list[str]:
        others = [member.peer_address for member in self._others()]
        return others if len(others) <= FAN_OUT else self._generator.sample(others, FAN_OUT)

    # Proofs that the operators' documents are current

    def _own_proof(self) -> tuple[int, ...]:
        """Return the store's revision held here and the age of its proof in milliseconds."""
        age_s = self._state.freshness.age_s(self._loop.time())
        return (self._state.store_revision, int(min(age_s, _NO_PROOF_S) * 1000) + 1)

    def _take_proof(self, revisions: tuple[int, ...], asked_s: float) -> None:
        """Adopt a peer's proof, dated from the question: however late the answer is read.

        It counts only here if everything up to the peer's revision is known here as well.
        """
        if len(revisions) != 2 or revisions[0] > self._state.store_revision:
            return
        self._state.freshness.prove(asked_s - revisions[1] / 1000.0)

    # Receiving

    def _take_activity(self, message: Activity) -> None:
        now_s = self._loop.time()
        self._heard[message.sender_id] = _HeardLoads(now_s, message.loads)
        for note in message.kept:
            self._state.note_peer_kept(note.replica_hash, note.parts)
        self._sum_loads(now_s)

    def _sum_loads(self, now_s: float) -> None:
        totals: dict[int, _PeerWork] = {}
        for peer, heard in list(self._heard.items()):
            if now_s - heard.at_s > ACTIVITY_MEMORY_S:
                del self._heard[peer]
                continue
            for note in heard.loads:
                work = totals.setdefault(note.replica_hash, _PeerWork())
                work.in_flight += note.in_flight
                work.unread_tokens += note.unread_tokens
                busy_s = heard.at_s + note.busy_steps * _BUSY_STEP_MS / 1000.0
                work.busy_until_s = max(work.busy_until_s, busy_s)
        for replica in self._state.fleet.replicas():
            work = totals.get(replica.order_hash, _NO_WORK)
            replica.peer_in_flight = work.in_flight
            replica.peer_unread_tokens = work.unread_tokens
            replica.peer_busy_until_s = work.busy_until_s

    def _take_rollout(self, message: RolloutProgress) -> None:
        if message.fence < self._state.rollout_fence:
            return
        self._state.rollout_fence = message.fence
        now_s = self._loop.time()
        for note in message.notes:
            replica = self._state.fleet.get(note.replica_id)
            if replica is None:
                continue
            replica.loading_until_s = now_s + note.held_ms / 1000.0
            replica.next_until_s = now_s + note.next_ms / 1000.0
            self._state.note_version(replica, note.model, note.version)
            log_event(
                "replica_weights",
                replica=note.replica_id,
                model=note.model,
                version=note.version,
                held_ms=note.held_ms,
                next_ms=note.next_ms,
                fence=message.fence,
                told_by=message.sender_id,
            )
