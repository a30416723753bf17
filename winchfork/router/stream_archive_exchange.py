"""Decides which records of begun streams are archived, and sends them to the daemons that do it.

Records live in daemons' memories and are lost when all daemons die at once. If a service has had
one version of its software only, that does no harm; while it has several, each stream's record is
also sent to the archiver of its key, which writes it to the store.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator

from winchfork.core.archive_placement import ArchivePlacement
from winchfork.core.member import Member, MemberStatus
from winchfork.core.stream_origin import StreamOrigin
from winchfork.core.zone_hubs import FleetView
from winchfork.logs import log_event
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState
from winchfork.router.stream_origin_exchange import (
    SWEEP_INTERVAL_S,
    VIEW_SETTLED_S,
    OriginRecord,
    StreamOriginExchange,
    incarnations,
)

#: Seconds between two looks at the versions that serve.
CHECK_INTERVAL_S = 0.2
#: Records that are sent to archivers at a time, after a change of the archivers or versions.
MAX_SENT_PER_CHECK = 64


class StreamArchiveExchange:
    """Sends one daemon's records to archivers, and selects those that this daemon archives."""

    def __init__(
        self, state: RouterState, peers: PeerMessenger, origins: StreamOriginExchange
    ) -> None:
        self._state = state
        self._peers = peers
        self._origins = origins
        self._mixed_services: frozenset[str] = frozenset()
        self._placed_view: FleetView | None = None
        self._placement = ArchivePlacement(())
        self._era = 0
        self._next_check_s = 0.0
        self._next_sweep_s = 0.0
        #: The archivers to which each own stream was sent.
        self._archivers: dict[bytes, frozenset[tuple[str, int]]] = {}
        self._must_resend = False
        #: Called with each record that this daemon is to write, and when it expires.
        self.on_archivable: Callable[[bytes, StreamOrigin, float], None] = lambda *record: None
        #: Called when the store may have lost what was written.
        self.on_store_restored: Callable[[], None] = lambda: None
        origins.on_begun = self._handle_begun
        origins.on_received = self._select

    def tick(self, now_s: float) -> None:
        """Follow changes of the versions, the archivers and the store's era."""
        if now_s < max(self._next_check_s, self._state.started_at_s + VIEW_SETTLED_S):
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        mixed_services = self._state.stream_origins.mixed_services()
        is_changed = self._refresh_archivers() or mixed_services != self._mixed_services
        if mixed_services != self._mixed_services:
            self._mixed_services = mixed_services
            log_event("stream_archive_services", services=",".join(sorted(mixed_services)) or None)
        if self._state.eras.newest != self._era:
            self._era = self._state.eras.newest
            is_changed = True
            self.on_store_restored()
        if not mixed_services:
            self._archivers.clear()
            return
        if is_changed:
            self._select_known()
        if is_changed or self._must_resend:
            self._send_unsent()
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            self._forget_expired()

    def _refresh_archivers(self) -> bool:
        """Choose the archivers among the live members; True if they are others than before.

        A member that does not reply may have been suspended with records that it has not written.
        """
        view = self._peers.view
        if view is self._placed_view:
            return False
        self._placed_view = view
        before = self._placement.archivers
        alive = (item for item in view.members if item.status is MemberStatus.ALIVE)
        self._placement = ArchivePlacement(alive)
        return self._placement.archivers != before

    def _select_known(self) -> None:
        """Have all known records written that this daemon archives."""
        for record in self._state.stream_origins.table.remaining(self._state.clock()):
            self._select(record)

    def _select(self, record: OriginRecord) -> None:
        key, origin, remaining_s = record
        if origin.service not in self._mixed_services:
            return
        if any(self._is_own(archiver) for archiver in self._placement.archivers_of(key)):
            self.on_archivable(key, origin, self._state.clock() + remaining_s)

    def _is_own(self, archiver: Member) -> bool:
        return archiver.member_id == self._state.settings.node_id

    def _handle_begun(self, record: OriginRecord, holders: list[Member]) -> None:
        key, origin, _ = record
        if origin.service not in self._mixed_services:
            return
        self._select(record)
        archivers = self._placement.archivers_of(key)
        self._archivers[key] = incarnations(archivers)
        held = {self._state.settings.node_id, *(holder.member_id for holder in holders)}
        self._origins.send([item for item in archivers if item.member_id not in held], [record])

    def _send_unsent(self) -> None:
        """Send records of own streams to their archivers, up to ``MAX_SENT_PER_CHECK``."""
        unsent = list(itertools.islice(self._unsent(), MAX_SENT_PER_CHECK))
        self._must_resend = len(unsent) == MAX_SENT_PER_CHECK
        by_archiver: dict[str, tuple[Member, list[OriginRecord]]] = {}
        for archiver, record in unsent:
            sent = self._archivers.get(record[0], frozenset())
            self._archivers[record[0]] = sent | incarnations([archiver])
            by_archiver.setdefault(archiver.member_id, (archiver, []))[1].append(record)
        for archiver, records in by_archiver.values():
            self._origins.send([archiver], records)

    def _unsent(self) -> Iterator[tuple[Member, OriginRecord]]:
        """Return the own streams of which a present archiver has not been sent the record."""
        for record in self._origins.own_streams():
            key, origin, _ = record
            if origin.service not in self._mixed_services:
                continue
            sent = self._archivers.get(key, frozenset())
            for archiver in self._placement.archivers_of(key):
                if not self._is_own(archiver) and not incarnations([archiver]) <= sent:
                    yield archiver, record

    def _forget_expired(self) -> None:
        keys = {key for key, *_ in self._origins.own_streams()}
        self._archivers = {key: item for key, item in self._archivers.items() if key in keys}
