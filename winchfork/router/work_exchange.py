"""Daemons tell each other of the work they have given replicas and of the parts kept there.

Everything said here is advice with an age: a lost message costs efficiency, never a promise. In a
small fleet every daemon tells every other; in a larger one the hubs add up their zone's work, tell
it to the hubs of other zones, and tell their zone the sum over all, so that a daemon's cost does
not grow with the number of daemons.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from winchfork.core.kept_backlog import KeptBacklog
from winchfork.core.membership import Member
from winchfork.core.zone_hubs import FleetView
from winchfork.router.peer_messages import (
    Activity,
    FleetWork,
    KeptNote,
    ReplicaLoadNote,
    ZoneWork,
)
from winchfork.router.peer_port import PeerPort
from winchfork.router.quota_exchange import QuotaExchange
from winchfork.router.state import RouterState

#: Seconds for which a message about work counts.
ACTIVITY_MEMORY_S = 1.5
#: In a large fleet the hubs hear of new work within this time.
TELL_SOON_S = 0.01
#: Work that goes on unchanged is told again after this long: expected ends move on.
RETELL_S = 0.5
#: A hub tells its zone the work on every replica this often, and what has changed in between.
COMPLETE_PERIOD_S = 0.5
#: What was heard is added up when it is read; without readers this often, so that it expires.
ADD_UP_PERIOD_S = 0.2
#: A hub that is not the first of its zone speaks when the first has been silent for this long.
HUB_SILENCE_S = 0.7
#: Parts told in one message by a daemon, and by a hub for its zone.
MOST_KEPT = 200
MOST_KEPT_OF_ZONE = 1_000
#: Expected ends are rounded to this many milliseconds, so that they fit in a byte or two.
BUSY_STEP_MS = 50


class _HeardLoads(msgspec.Struct, frozen=True):
    """The newest loads told by one sender, and when."""

    at_s: float
    loads: tuple[ReplicaLoadNote, ...]


class _Work(msgspec.Struct):
    """Work on one replica, added up."""

    in_flight: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0
    busy_until_s: float = 0.0

    def add(self, note: ReplicaLoadNote, heard_s: float) -> None:
        """Add what was heard at a moment."""
        self.in_flight += note.in_flight
        self.unread_tokens += note.unread_tokens
        self.memory_tokens += note.memory_tokens
        busy_s = heard_s + note.busy_steps * BUSY_STEP_MS / 1000.0
        self.busy_until_s = max(self.busy_until_s, busy_s)


_NO_WORK = _Work()


class WorkExchange:
    """This daemon's part in the exchange."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerPort,
        call_later: Callable[[float, Callable[[], None]], object],
        quotas: QuotaExchange,
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._peers = peers
        self._call_later = call_later
        self._told_soon = False
        self._own_id = state.settings.node_id
        self._told: tuple[ReplicaLoadNote, ...] = ()
        self._told_at_s = 0.0
        #: What this hub has told its zone, by replica, and when it last told everything.
        self._spoken: dict[int, ReplicaLoadNote] = {}
        self._spoken_all_s = 0.0
        self._activities: dict[str, _HeardLoads] = {}
        self._zones: dict[str, _HeardLoads] = {}
        #: What the hubs have told of each replica.
        self._fleet: dict[int, _HeardLoads] = {}
        self._hub_heard_s = 0.0
        #: Whether something was heard since the work on each replica was added up, and when it was.
        self._is_news = False
        self._added_up_s = 0.0
        state.fleet.refresh = self.refresh
        #: Parts to pass on, by replica: those of this zone, and those heard from other zones.
        self._zone_kept = KeptBacklog()
        self._far_kept = KeptBacklog()

    def tick(self, now_s: float) -> None:
        """Tell what is news, and add up what was heard."""
        view = self._peers.view
        loads = self._own_loads(now_s)
        kept = _take(self._state.kept_news, MOST_KEPT)
        self._told_soon = False
        self._quotas.tick(now_s)
        quota = self._quotas.own_report(now_s)
        correction = self._quotas.correction(now_s)
        is_old = bool(loads) and now_s - self._told_at_s > RETELL_S
        is_silent = view.direct and now_s - self._told_at_s > RETELL_S
        is_asked = bool(quota or correction or is_silent)
        if kept or is_old or is_asked or _work_of(loads) != _work_of(self._told):
            self._told = loads
            self._told_at_s = now_s
            self._is_news = True
            receivers = view.others if view.direct else view.other_own_hubs
            self._send(receivers, Activity(self._own_id, loads, kept, quota, correction))
        if not view.direct and view.is_hub:
            _add(self._zone_kept, kept)
            if self._speaks(view, now_s):
                self._speak(view, now_s)
        if now_s - self._added_up_s >= ADD_UP_PERIOD_S:
            self._add_up(now_s)

    # Telling

    def tell_soon(self) -> None:
        """Work has changed: tell the hubs before the next tick, other changes with it."""
        if not self._told_soon and not self._peers.view.direct:
            self._told_soon = True
            self._call_later(TELL_SOON_S, lambda: self.tick(self._state.clock()))

    def _own_loads(self, now_s: float) -> tuple[ReplicaLoadNote, ...]:
        return tuple(
            ReplicaLoadNote(
                replica.order_hash,
                replica.in_flight,
                replica.unread_tokens,
                replica.memory_tokens,
                int(max(0.0, replica.own_busy_until_s - now_s) * 1000) // BUSY_STEP_MS,
            )
            for replica in self._state.fleet.replicas()
            if replica.in_flight
        )

    def _speaks(self, view: FleetView, now_s: float) -> bool:
        """Whether this hub speaks for its zone: the first does, unless it has fallen silent."""
        first = view.own_hubs[0].member_id == self._own_id
        return first or now_s - self._hub_heard_s > HUB_SILENCE_S

    def _speak(self, view: FleetView, now_s: float) -> None:
        """Tell other zones of this one, and this zone of all."""
        zone = _sum([_HeardLoads(now_s, self._told), *self._fresh(self._activities, now_s)])
        fleet = _sum([_HeardLoads(now_s, _notes(zone, now_s)), *self._fresh(self._zones, now_s)])
        zone_kept = _take(self._zone_kept, MOST_KEPT_OF_ZONE)
        far_kept = _take(self._far_kept, MOST_KEPT_OF_ZONE)
        complete = now_s - self._spoken_all_s > COMPLETE_PERIOD_S
        loads = self._news(_notes(fleet, now_s), complete)
        quota = self._quotas.zone_report(now_s)
        levels = self._quotas.levels(now_s, complete=complete)
        message = FleetWork(self._own_id, complete, loads, (*zone_kept, *far_kept), levels)
        if complete:
            self._spoken_all_s = now_s
        elif not loads and not message.kept and quota is None:
            return
        own_zone = self._state.settings.zone
        told = _notes(zone, now_s)
        far_levels = levels if complete else None
        self._send(
            view.far_hubs, ZoneWork(self._own_id, own_zone, told, zone_kept, quota, far_levels)
        )
        self._send(view.zone_others, message)

    def _news(
        self, loads: tuple[ReplicaLoadNote, ...], complete: bool
    ) -> tuple[ReplicaLoadNote, ...]:
        """Return what is to be told, and remember it as told."""
        told = self._spoken
        self._spoken = {note.replica_hash: note for note in loads}
        if complete:
            return loads
        changed = [
            note
            for note in loads
            if note.replica_hash not in told
            or _work_of((note,)) != _work_of((told[note.replica_hash],))
        ]
        ended = [
            ReplicaLoadNote(replica_hash, 0, 0, 0, 0) for replica_hash in told.keys() - self._spoken
        ]
        return (*changed, *ended)

    def _send(self, receivers: Iterable[Member], message: Activity | ZoneWork | FleetWork) -> None:
        self._peers.send_each(receivers, message)

    # Hearing

    def take_activity(self, message: Activity) -> None:
        """Take in what one daemon does."""
        now_s = self._state.clock()
        self._activities[message.sender_id] = _HeardLoads(now_s, message.loads)
        self._note_kept(message.kept)
        self._quotas.take_activity(message.sender_id, message.quota, message.correction)
        if self._peers.view.is_hub:
            _add(self._zone_kept, message.kept)
        self._is_news = True

    def take_zone(self, message: ZoneWork) -> None:
        """Take in what another zone does."""
        self._zones[message.zone] = _HeardLoads(self._state.clock(), message.loads)
        self._note_kept(message.kept)
        self._quotas.take_zone(message.sender_id, message.zone, message.quota, message.levels)
        _add(self._far_kept, message.kept)
        self._is_news = True

    def take_fleet(self, message: FleetWork) -> None:
        """Take in what all daemons do; what the speaking hub has told, another need not."""
        now_s = self._state.clock()
        self._hub_heard_s = now_s
        if message.complete:
            self._fleet.clear()
        for note in message.loads:
            self._fleet[note.replica_hash] = _HeardLoads(now_s, (note,))
        self._note_kept(message.kept)
        if message.levels is not None:
            self._quotas.take_fleet(message.levels)
        if self._peers.view.is_hub:
            for told in message.kept:
                self._zone_kept.discard(told.replica_hash, told.parts)
                self._far_kept.discard(told.replica_hash, told.parts)
        self._is_news = True

    def _note_kept(self, notes: Iterable[KeptNote]) -> None:
        for note in notes:
            self._state.note_peer_kept(note.replica_hash, note.parts)

    def _fresh(self, heard: dict[str, _HeardLoads], now_s: float) -> list[_HeardLoads]:
        for sender in [key for key, item in heard.items() if _is_old(item, now_s)]:
            del heard[sender]
        return list(heard.values())

    def refresh(self) -> None:
        """Add up what was heard since the last time: a reader is about to look at the replicas."""
        if self._is_news:
            self._add_up(self._state.clock())

    def _add_up(self, now_s: float) -> None:
        """Set what peers have given each replica: everything heard, less this daemon's own."""
        self._is_news = False
        self._added_up_s = now_s
        view = self._peers.view
        own: dict[int, ReplicaLoadNote] = {}
        if view.direct or view.is_hub:
            heard = self._fresh(self._activities, now_s)
            if not view.direct:
                heard += self._fresh(self._zones, now_s)
        else:
            heard = [item for item in self._fleet.values() if not _is_old(item, now_s)]
            own = {note.replica_hash: note for note in self._told} if heard else {}
        totals = _sum(heard)
        for replica in self._state.fleet.replicas():
            work = totals.get(replica.order_hash, _NO_WORK)
            told = own.get(replica.order_hash)
            in_flight = work.in_flight - (told.in_flight if told else 0)
            unread = work.unread_tokens - (told.unread_tokens if told else 0)
            memory = work.memory_tokens - (told.memory_tokens if told else 0)
            replica.peer_in_flight = max(0, in_flight)
            replica.peer_unread_tokens = max(0, unread)
            replica.peer_memory_tokens = max(0, memory)
            replica.peer_busy_until_s = work.busy_until_s


def _work_of(loads: tuple[ReplicaLoadNote, ...]) -> list[tuple[int, int, int]]:
    """Return what makes loads news: not the expected ends, which move on by themselves."""
    return [(note.replica_hash, note.in_flight, note.unread_tokens) for note in loads]


def _is_old(heard: _HeardLoads, now_s: float) -> bool:
    return now_s - heard.at_s > ACTIVITY_MEMORY_S


def _sum(heard: Iterable[_HeardLoads]) -> dict[int, _Work]:
    totals: dict[int, _Work] = {}
    for item in heard:
        for note in item.loads:
            totals.setdefault(note.replica_hash, _Work()).add(note, item.at_s)
    return totals


def _notes(totals: dict[int, _Work], now_s: float) -> tuple[ReplicaLoadNote, ...]:
    return tuple(
        ReplicaLoadNote(
            replica_hash,
            work.in_flight,
            work.unread_tokens,
            work.memory_tokens,
            int(max(0.0, work.busy_until_s - now_s) * 1000) // BUSY_STEP_MS,
        )
        for replica_hash, work in totals.items()
    )


def _add(backlog: KeptBacklog, notes: Iterable[KeptNote]) -> None:
    for note in notes:
        backlog.add(note.replica_hash, note.parts)


def _take(backlog: KeptBacklog, most: int) -> tuple[KeptNote, ...]:
    return tuple(KeptNote(replica_hash, keys) for replica_hash, keys in backlog.take(most))
