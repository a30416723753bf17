"""Services whose replicas fail if they have to reject too many requests for want of room.

Replicas say so in their answers, with the rejections a second that they bear. While they do, each
daemon sends to a replica at most as many requests at a time as places are dealt to it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

import msgspec

from winchfork.core.learned_room import LearnedRoom, dealt_places
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import member_hash
from winchfork.logs import log_event

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: Seconds for which the word of a replica of the service counts if none is heard after it.
WORD_TTL_S = 10.0
#: Room in requests of a replica that lists no slots.
DEFAULT_ROOM = 8
#: Seconds between two requests of one place that are assumed until runs have been measured.
DEFAULT_RUN_S = 0.05


class BrittleWord(msgspec.Struct, frozen=True):
    """What replicas of a service say: ``per_s`` rejections a second are borne, as of then."""

    per_s: float
    heard_at_s: float


class _OrderedReplicas(msgspec.Struct, frozen=True):
    """A service's replicas, as the fleet lists them, and the position of each incarnation."""

    replicas: Sequence[RelayReplica]
    positions: dict[int, int]


class BrittleRegistry:
    """The brittle services, and the learned room of their replicas. Not thread-safe."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._words: dict[str, BrittleWord] = {}
        self._ended_at_s: dict[str, float] = {}
        self._rooms: dict[int, LearnedRoom] = {}
        #: The room last learned at a replica of each service, as a fraction of its ceiling.
        self._fractions: dict[str, float] = {}
        self._ordered: dict[str, _OrderedReplicas] = {}
        self._daemon_count = 0
        #: This daemon's position in the order of all; None while it is not a member.
        self._own_position: int | None = None
        #: Called with a replica and whether it has rejected a request, when peers should know.
        self.on_news: Callable[[RelayReplica, bool], None] = lambda replica, rejected: None

    # Words

    def word_of(self, service: str) -> BrittleWord | None:
        """Return the word of a service's replicas; None if they are not brittle now."""
        word = self._words.get(service)
        if word is not None and self._state.clock() - word.heard_at_s > WORD_TTL_S:
            self._end(service)
            return None
        return word

    def record_word(self, replica: RelayReplica, per_s: float) -> None:
        """Record that an answer of a replica says that it is brittle."""
        service = replica.listing.service
        known = self.word_of(service)
        self._set_word(service, per_s, self._state.clock())
        if known is None or known.per_s != per_s:
            self.on_news(replica, False)

    def record_no_word(self, replica: RelayReplica, sent_s: float) -> None:
        """Record an answer without the word; it ends one that was heard before it was asked for."""
        service = replica.listing.service
        word = self._words.get(service)
        if word is not None and word.heard_at_s < sent_s:
            self._end(service)
            self.on_news(replica, False)

    def handle_word(self, replica: RelayReplica, per_s: float | None, heard_at_s: float) -> None:
        """Apply a peer's word on a service, heard at ``heard_at_s``; None: it has ended."""
        service = replica.listing.service
        word = self._words.get(service)
        if per_s is None:
            if word is not None and word.heard_at_s < heard_at_s:
                self._end(service)
        elif heard_at_s > self._ended_at_s.get(service, float("-inf")) and (
            word is None or word.heard_at_s < heard_at_s
        ):
            self._set_word(service, per_s, heard_at_s)

    def _set_word(self, service: str, per_s: float, heard_at_s: float) -> None:
        if service not in self._words:
            log_event("service_brittle", "WARNING", service=service, rejections_per_s=per_s)
        self._words[service] = BrittleWord(per_s, heard_at_s)

    def _end(self, service: str) -> None:
        log_event("service_not_brittle", service=service)
        del self._words[service]
        self._fractions.pop(service, None)
        self._ended_at_s[service] = self._state.clock()
        for replica in self._state.fleet.of_service(service):
            self._rooms.pop(replica.incarnation_hash, None)
        if not self._words:
            # Also those of incarnations that are not listed any more.
            self._rooms.clear()

    # Places

    def update_daemons(self, zones: Mapping[str, str]) -> None:
        """Deal places among these daemons from now on; ``zones`` has the zone of each, by id."""
        order = sorted(zones, key=lambda item: (zones[item], member_hash(item)))
        own_id = self._state.settings.node_id
        self._daemon_count = len(order)
        self._own_position = order.index(own_id) if own_id in order else None

    def has_place(self, replica: RelayReplica) -> bool:
        """Whether this daemon may send one more request to a replica now."""
        if not self._words or self.word_of(replica.listing.service) is None:
            return True
        now_s = self._state.clock()
        room = self._room(replica)
        room.update(replica.running, now_s)
        return room.pause_left_s(now_s) <= 0.0 and replica.in_flight < self._places(replica, room)

    def available_in_s(self, replica: RelayReplica) -> float:
        """Return in how many seconds a place is expected to be free; infinite if none is dealt."""
        if self.has_place(replica):
            return 0.0
        now_s = self._state.clock()
        room = self._room(replica)
        places = self._places(replica, room)
        if not places:
            return float("inf")
        until_end_s = replica.next_end_s - now_s if replica.in_flight >= places else 0.0
        return max(room.pause_left_s(now_s), until_end_s, self._run_s(replica) / places)

    def interval_s(self, replica: RelayReplica) -> float:
        """Return the time between two requests that this daemon may send to a replica."""
        return self._run_s(replica) / max(1, self._places(replica, self._room(replica)))

    def learned_room(self, replica: RelayReplica) -> int:
        """Return the room of a replica, in requests of all daemons."""
        return self._room(replica).room

    def record_rejection(self, replica: RelayReplica) -> None:
        """Record that a replica rejected a request of this daemon, and tell peers."""
        word = self.word_of(replica.listing.service)
        if word is None:
            return
        room = self._room(replica)
        room.record_rejection(self._state.clock(), word.per_s)
        self._share_fraction(replica, room)
        log_event("room_exceeded", replica=replica.replica_id, room=room.room)
        self.on_news(replica, True)

    def handle_rejection(self, replica: RelayReplica, room: int) -> None:
        """Apply a peer's report that a replica rejected its request."""
        word = self.word_of(replica.listing.service)
        if word is not None:
            known = self._room(replica)
            known.apply_report(room, self._state.clock(), word.per_s)
            self._share_fraction(replica, known)

    def _share_fraction(self, replica: RelayReplica, room: LearnedRoom) -> None:
        """Let the service's other replicas, and later incarnations, begin with this room."""
        service = replica.listing.service
        self._fractions[service] = room.fraction
        for other in self._state.fleet.of_service(service):
            if other is not replica:
                self._room(other).apply_hint(room.fraction, self._state.clock())

    def _room(self, replica: RelayReplica) -> LearnedRoom:
        room = self._rooms.get(replica.incarnation_hash)
        if room is None:
            ceiling = replica.listing.slots or DEFAULT_ROOM
            fraction = self._fractions.get(replica.listing.service, 1.0)
            room = LearnedRoom(ceiling, max(1, round(ceiling * fraction)))
            self._rooms[replica.incarnation_hash] = room
        return room

    def _places(self, replica: RelayReplica, room: LearnedRoom) -> int:
        if self._own_position is None:
            return room.room
        positions = self._positions(replica.listing.service)
        position = positions.get(replica.incarnation_hash, 0)
        return dealt_places(
            room.room, position, len(positions), self._own_position, self._daemon_count
        )

    def _positions(self, service: str) -> dict[int, int]:
        """Return the positions of a service's replicas in the order that all daemons share."""
        replicas = self._state.fleet.of_service(service)
        ordered = self._ordered.get(service)
        if ordered is None or ordered.replicas is not replicas:
            hashes = (item.incarnation_hash for item in replicas)
            ordered = _OrderedReplicas(replicas, {key: i for i, key in enumerate(hashes)})
            self._ordered[service] = ordered
        return ordered.positions

    def _run_s(self, replica: RelayReplica) -> float:
        return replica.latency_s or DEFAULT_RUN_S
