"""Keeps the origins of begun streams at several daemons, and asks for them.

Each stream's origin is sent to the daemons that rendezvous hashing names, before its first event is
sent to the caller. A daemon that is asked to continue a stream which it does not know asks these
daemons, and all in a small fleet. A daemon that stops hands over what it knows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

import msgspec

from winchfork.core.member import Member, MemberStatus
from winchfork.core.stream_origin import (
    MAX_STREAMS,
    RECORD_COPIES,
    RecordPlacement,
    StreamOrigin,
)
from winchfork.core.zone_hubs import FleetView
from winchfork.logs import log_event
from winchfork.router.peer_messages import (
    StreamOriginEntry,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState
from winchfork.router.stream_origins import OriginQuestion, PeersAnswer

#: Daemons that are asked, beyond those that hold the record, in case the members differ.
EXTRA_ASKED = 3
#: Times that daemons which have not replied are asked, and seconds between.
QUERY_ROUNDS = 3
QUERY_INTERVAL_S = 0.04
#: Seconds after a start from which on all members are assumed to be known.
VIEW_SETTLED_S = 2.0
#: Keeps a message within one packet.
MAX_ENTRIES_PER_MESSAGE = 16
#: Seconds between two observations of the listed versions.
OBSERVE_INTERVAL_S = 0.2
#: Seconds between two removals of expired records.
SWEEP_INTERVAL_S = 2.0
_NONCE_BITS = 48

#: The key and origin of a begun stream, and the seconds for which they are kept.
OriginRecord = tuple[bytes, StreamOrigin, float]


class _Query:
    """A query in progress.

    ``is_final``: the stream is unknown once all that were asked have replied.
    """

    def __init__(self, *, is_final: bool) -> None:
        self.answered: asyncio.Future[PeersAnswer] = asyncio.get_running_loop().create_future()
        self.is_final = is_final
        self._asked: set[str] = set()
        self._replied: set[str] = set()

    @property
    def unanswered(self) -> int:
        """How many of the daemons that were asked have not replied."""
        return len(self._asked - self._replied)

    def ask(self, members: Iterable[Member]) -> list[Member]:
        """Return those of ``members`` that have not replied, and expect their replies."""
        outstanding = [item for item in members if item.member_id not in self._replied]
        self._asked.update(member.member_id for member in outstanding)
        return outstanding

    def handle(self, message: StreamOriginReply) -> None:
        """Handle a reply; the first that has the record decides.

        What a peer has concluded from its list is no knowledge: the list may be old.
        """
        self._replied.add(message.sender_id)
        if self.answered.done():
            return
        if message.recorded and message.software is not None:
            origin = StreamOrigin(message.service, message.software)
            self.answered.set_result(PeersAnswer(origin))
        elif self.is_final and not self.unanswered:
            self.answered.set_result(PeersAnswer())


class _OwnStream(msgspec.Struct, frozen=True):
    """A stream begun here: the incarnations of the daemons that were sent its record."""

    holders: frozenset[tuple[str, int]]
    expires_at_s: float


class StreamOriginExchange:
    """Sends one daemon's records and queries, and handles those of its peers."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._queries: dict[int, _Query] = {}
        self._own_streams: dict[bytes, _OwnStream] = {}
        self._last_view: FleetView | None = None
        self._placed_view: FleetView | None = None
        self._placement = RecordPlacement(())
        self._next_sweep_s = 0.0
        self._next_observation_s = 0.0
        #: Called with each stream begun here, and the daemons that were sent its record.
        self.on_begun: Callable[[OriginRecord, list[Member]], None] = lambda record, holders: None
        #: Called with each stream that another daemon has begun.
        self.on_received: Callable[[OriginRecord], None] = lambda record: None
        state.stream_origins.on_recorded = self._handle_recorded
        state.stream_origins.ask_peers = self.ask

    # Records

    def _handle_recorded(self, key: bytes, origin: StreamOrigin, lifetime_s: float) -> None:
        holders = self._holders(key)
        expires_at_s = self._state.clock() + lifetime_s
        self._own_streams[key] = _OwnStream(incarnations(holders), expires_at_s)
        if len(self._own_streams) > MAX_STREAMS:
            del self._own_streams[next(iter(self._own_streams))]
        record = (key, origin, lifetime_s)
        self.send(holders, [record])
        self.on_begun(record, holders)

    def _holders(self, key: bytes) -> list[Member]:
        self._refresh_placement()
        return self._placement.owners(key, RECORD_COPIES)

    def _refresh_placement(self) -> None:
        """Place records on the members of the current view that do not leave."""
        view = self._peers.view
        if view is not self._placed_view:
            self._placed_view = view
            staying = (item for item in view.others if item.status < MemberStatus.LEAVING)
            self._placement = RecordPlacement(staying)

    def send(self, receivers: Iterable[Member], records: list[OriginRecord]) -> None:
        """Have other daemons remember streams."""
        entries = [_entry(*record) for record in records]
        for first in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
            part = tuple(entries[first : first + MAX_ENTRIES_PER_MESSAGE])
            self._peers.send_each(receivers, StreamOriginReport(part))

    def own_streams(self) -> Iterator[OriginRecord]:
        """Return the streams begun here that may still be continued."""
        now_s = self._state.clock()
        for key, own in self._own_streams.items():
            origin = self._state.stream_origins.table.find(key, now_s)
            if origin is not None:
                yield key, origin, own.expires_at_s - now_s

    def handle_report(self, message: StreamOriginReport) -> None:
        """Remember streams that other daemons have begun."""
        now_s = self._state.clock()
        for entry in message.entries:
            origin = StreamOrigin(entry.service, entry.software)
            remaining_s = entry.remaining_ms / 1000.0
            self._state.stream_origins.table.record(entry.key, origin, now_s + remaining_s)
            self.on_received((entry.key, origin, remaining_s))

    def hand_over(self) -> None:
        """Send all records to other daemons, before this one stops."""
        by_holder: dict[str, list[OriginRecord]] = {}
        members: dict[str, Member] = {}
        for key, origin, remaining_s in self._remaining():
            for holder in self._holders(key):
                members[holder.member_id] = holder
                by_holder.setdefault(holder.member_id, []).append((key, origin, remaining_s))
        for member_id, records in by_holder.items():
            self.send([members[member_id]], records)

    def _remaining(self) -> list[OriginRecord]:
        return self._state.stream_origins.table.remaining(self._state.clock())

    def tick(self, now_s: float) -> None:
        """Replace holders that have gone, and remove what has expired."""
        if now_s >= self._next_observation_s:
            self._next_observation_s = now_s + OBSERVE_INTERVAL_S
            self._state.software_tracker.observe()
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            self._remove_expired(now_s)
        if self._peers.view is not self._last_view:
            self._last_view = self._peers.view
            self._replace_holders(now_s)

    def _remove_expired(self, now_s: float) -> None:
        self._state.stream_origins.table.remove_expired(now_s)
        expired = [key for key, own in self._own_streams.items() if now_s >= own.expires_at_s]
        for key in expired:
            del self._own_streams[key]

    def _replace_holders(self, now_s: float) -> None:
        """Send the records of own streams to new holders, if one of the former is gone."""
        present = incarnations(self._peers.view.others)
        for key, own in list(self._own_streams.items()):
            origin = self._state.stream_origins.table.find(key, now_s)
            is_held = len(own.holders) >= RECORD_COPIES and own.holders <= present
            if is_held or origin is None:
                continue
            holders = self._holders(key)
            new = [item for item in holders if not incarnations([item]) <= own.holders]
            self._own_streams[key] = _OwnStream(incarnations(holders), own.expires_at_s)
            self.send(new, [(key, origin, own.expires_at_s - now_s)])

    # Queries

    async def ask(self, question: OriginQuestion) -> PeersAnswer:
        """Return what the peers know of a stream; the first that has its record decides."""
        asked_at_s = self._state.clock()
        is_settled = asked_at_s - self._state.started_at_s >= VIEW_SETTLED_S
        nonce = self._state.generator.getrandbits(_NONCE_BITS)
        query = self._queries[nonce] = _Query(is_final=is_settled)
        try:
            answer = await self._ask_repeatedly(query, nonce, question)
        finally:
            del self._queries[nonce]
        origin = answer.recorded
        log_event(
            "stream_origin_asked",
            service=origin.service if origin else None,
            software=origin.software if origin else None,
            unanswered=query.unanswered,
            took_s=self._state.clock() - asked_at_s,
        )
        return answer

    async def _ask_repeatedly(
        self, query: _Query, nonce: int, question: OriginQuestion
    ) -> PeersAnswer:
        message = StreamOriginQuery(
            self._peers.view.own.peer_address,
            nonce,
            question.key,
            question.service,
            round(question.max_age_s * 1000),
        )
        for _ in range(QUERY_ROUNDS):
            # The members may become known meanwhile, after a start.
            asked = query.ask(self._asked(question.key))
            if not asked and query.is_final:
                return PeersAnswer()
            self._peers.send_each(asked, message)
            await asyncio.wait([query.answered], timeout=QUERY_INTERVAL_S)
            if query.answered.done():
                return query.answered.result()
        return PeersAnswer(complete=False)

    def _asked(self, key: bytes) -> list[Member]:
        view = self._peers.view
        if view.is_full_mesh:
            return list(view.others)
        self._refresh_placement()
        return self._placement.owners(key, RECORD_COPIES + EXTRA_ASKED)

    def handle_query(self, message: StreamOriginQuery) -> None:
        """Reply whether this daemon has a stream's record."""
        origin = self._state.stream_origins.recorded(message.key)
        reply = StreamOriginReply(
            self._state.settings.node_id,
            message.nonce,
            origin.service if origin is not None else "",
            origin.software if origin is not None else None,
            origin is not None,
        )
        self._peers.send(message.sender_address, reply)

    def handle_reply(self, message: StreamOriginReply) -> None:
        """Hand a reply to the query that it answers, unless that is over."""
        query = self._queries.get(message.nonce)
        if query is not None:
            query.handle(message)


def _entry(key: bytes, origin: StreamOrigin, remaining_s: float) -> StreamOriginEntry:
    return StreamOriginEntry(key, origin.service, origin.software, round(remaining_s * 1000))


def incarnations(members: Iterable[Member]) -> frozenset[tuple[str, int]]:
    """Return the ids and incarnations of daemons."""
    return frozenset((member.member_id, member.incarnation) for member in members)
