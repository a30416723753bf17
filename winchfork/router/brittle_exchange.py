"""Exchanges between daemons which services are brittle and what their replicas have rejected."""

from __future__ import annotations

from collections.abc import Callable

from winchfork.core.relay_replica import RelayReplica
from winchfork.router.peer_messages import BrittleEntry, BrittleReport
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Seconds between two broadcasts of a word that goes on, and the largest jitter added to it.
RESEND_INTERVAL_S = 2.0
RESEND_JITTER_S = 1.0
#: Keeps a message within one packet.
MAX_ENTRIES_PER_MESSAGE = 40


class BrittleExchange:
    """Broadcasts what one daemon hears of brittle services, and applies what its peers hear."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._state = state
        self._peers = peers
        self._call_later = call_later
        self._pending: dict[int, BrittleEntry] = {}
        #: When the word on a service is broadcast again unless a peer does so before.
        self._resend_at_s: dict[str, float] = {}
        state.brittle.on_news = self._queue

    def tick(self, now_s: float) -> None:
        """Broadcast words that go on, unless a peer has done so."""
        for service, at_s in list(self._resend_at_s.items()):
            if now_s < at_s:
                continue
            word = self._state.brittle.word_of(service)
            replicas = self._state.fleet.of_service(service)
            if word is None or not replicas:
                del self._resend_at_s[service]
            elif now_s - word.heard_at_s < RESEND_INTERVAL_S:
                self._queue(replicas[0], False)

    def handle_report(self, message: BrittleReport) -> None:
        """Apply what a peer has heard."""
        now_s = self._state.clock()
        by_incarnation = {item.incarnation_hash: item for item in self._state.fleet.replicas()}
        for entry in message.entries:
            replica = by_incarnation.get(entry.incarnation)
            if replica is None:
                continue
            heard_at_s = now_s - entry.age_ms / 1000.0
            self._state.brittle.handle_word(replica, entry.per_s, heard_at_s)
            if entry.rejected_room:
                self._state.brittle.handle_rejection(replica, entry.rejected_room)
            self._schedule_resend(replica.listing.service)

    def _queue(self, replica: RelayReplica, rejected: bool) -> None:
        word = self._state.brittle.word_of(replica.listing.service)
        age_s = self._state.clock() - word.heard_at_s if word is not None else 0.0
        known = self._pending.get(replica.incarnation_hash)
        room = self._state.brittle.learned_room(replica) if rejected else 0
        entry = BrittleEntry(
            replica.incarnation_hash,
            word.per_s if word is not None else None,
            int(age_s * 1000),
            room or (known.rejected_room if known is not None else 0),
        )
        if not self._pending:
            # In the same turn of the loop, since each moment may bring a further rejection.
            self._call_later(0.0, self._flush)
        self._pending[replica.incarnation_hash] = entry
        self._schedule_resend(replica.listing.service)

    def _schedule_resend(self, service: str) -> None:
        jitter_s = RESEND_JITTER_S * self._state.generator.random()
        self._resend_at_s[service] = self._state.clock() + RESEND_INTERVAL_S + jitter_s

    def _flush(self) -> None:
        entries, self._pending = list(self._pending.values()), {}
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            part = tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE])
            self._peers.broadcast(BrittleReport(self._state.settings.node_id, part))
