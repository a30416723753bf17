"""The store's entries passed on between daemons.

In a large fleet two hubs watch the store and tell the other hubs what changes, and each hub tells
its zone; in every fleet a daemon that sees that a peer knows more asks it, so that one that is cut
from the store alone still learns of configurations, revoked keys and leaving replicas. Positions
never go back; a daemon of an earlier era of the store is told everything anew. What is passed on
says nothing about how current it is: that is proven apart, by answers dated from their question.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from winchfork.core.document_table import DocumentTable, TableUpdate
from winchfork.core.member import Member
from winchfork.core.store_position import StorePosition
from winchfork.core.zone_hubs import HUBS_PER_REGION
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.document_parts import UpdateAssembler, split_update
from winchfork.router.peer_messages import (
    DocumentPart,
    DocumentPull,
    EraDocumentPart,
    EraDocumentPull,
)
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: A peer's answer that names a higher revision may have overtaken its own update: wait for that.
PULL_DELAY_S = 0.05
#: Seconds between two questions.
PULL_PERIOD_S = 0.3
#: Age of the own proof up to which a daemon relies on others for it, below the age at which unknown
#: keys are no longer refused for certain (1.9 s). Hubs lose patience first: when the watchers fail,
#: ten daemons ask the store and not all of them.
MAX_RELAYED_AGE_S = 1.6
MAX_RELAYED_HUB_AGE_S = 1.2


class RelayedDocuments(Protocol):
    """The daemon's own copy of the store, as the relay uses it."""

    table: DocumentTable

    def install_update(self, update: TableUpdate) -> bool:
        """Install what is newer; False when something before it is missing."""
        ...


class DocumentRelay:
    """Passes updates on, and asks for those that are missing."""

    def __init__(
        self,
        state: RouterState,
        peers: PeerMessenger,
        documents: RelayedDocuments,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._state = state
        self._peers = peers
        self._documents = documents
        self._call_later = call_later
        self._assembler = UpdateAssembler()
        self._last_pull_at_s = -math.inf

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon is one of those that watch the store for the others."""
        return self._peers.view.is_watcher

    @property
    def relays_to_others(self) -> bool:
        """Whether daemons of this zone rely on this one."""
        return not self._peers.view.is_full_mesh and self._peers.view.is_hub

    @property
    def is_relay_current(self) -> bool:
        """Whether hubs keep this daemon informed, so that it need not ask the store itself."""
        view = self._peers.view
        if view.is_watcher:
            return False
        bound_s = MAX_RELAYED_HUB_AGE_S if view.is_hub else MAX_RELAYED_AGE_S
        return self._state.freshness.age_s(self._state.clock()) <= bound_s

    @property
    def may_lead(self) -> bool:
        """Whether this daemon is near enough to the store to campaign: a hub, or on its own.

        A leader's renewals, orders and writes are calls to the store, or to replicas beside it.
        """
        view = self._peers.view
        return (
            view.is_full_mesh or (view.is_hub and view.is_near_store) or not self.is_relay_current
        )

    def broadcast(self, update: TableUpdate) -> None:
        """Tell other hubs and the daemons of this zone what the store has said; hubs alone do.

        Each watcher tells one of another region's two speakers: that is once for each watcher, and
        either of them is enough.
        """
        view = self._peers.view
        own_id = view.own.member_id
        watcher_ids = [watcher.member_id for watcher in view.watchers]
        turn = watcher_ids.index(own_id) if own_id in watcher_ids else 0
        told = view.other_region_hubs[turn % HUBS_PER_REGION :: HUBS_PER_REGION]
        self._send(update, (*view.same_region_hubs, *told, *view.zone_peers))

    def _forward(self, update: TableUpdate, sender_id: str) -> None:
        """Tell this zone what another hub has told, and this region what another region has."""
        view = self._peers.view
        region_hubs = view.same_region_hubs if view.is_in_other_region(sender_id) else ()
        self._send(update, (*region_hubs, *view.zone_peers))

    def _send(self, update: TableUpdate, receivers: Sequence[Member]) -> None:
        if not self.relays_to_others or not update.items:
            return
        for part in split_update(self._state.settings.node_id, update):
            self._peers.send_each(receivers, part)

    def handle_position(self, address: str, position: StorePosition) -> None:
        """A peer knows the store up to ``position``: ask it if that is news a moment later."""
        if position > self._state.store_position:
            self._call_later(PULL_DELAY_S, lambda: self._pull(address, position))

    def handle_pull(self, message: DocumentPull) -> None:
        """Answer a peer that lacks something, and names no era."""
        self._answer_pull(message, 0)

    def handle_era_pull(self, message: EraDocumentPull) -> None:
        """Answer a peer that lacks something."""
        self._answer_pull(message.pull, message.era)

    def _answer_pull(self, pull: DocumentPull, era: int) -> None:
        known, own = StorePosition(era, pull.after_revision), self._state.store_position
        if known >= own:
            return
        update = self._documents.table.update_after(known, own)
        for part in split_update(self._state.settings.node_id, update):
            self._peers.send(pull.sender_address, part)

    def handle_era_part(self, message: EraDocumentPart) -> None:
        """Collect an update of an era, and install it when it is whole."""
        self._handle_any_part(message.part, message.era)

    def handle_part(self, part: DocumentPart) -> None:
        """Collect an update that names no era, and install it when it is whole."""
        self._handle_any_part(part, 0)

    def _handle_any_part(self, part: DocumentPart, era: int) -> None:
        update = self._assembler.add(part, era)
        if isinstance(update, Failure):
            self._state.metrics.bad_datagrams.inc()
        elif update is None:
            return
        elif update.at <= self._state.store_position:
            self._state.metrics.updates_dropped.labels("peer_knows_less").inc()
        else:
            whole = self._documents.install_update(update)
            outcome = "whole" if whole else "with_a_gap"
            self._state.metrics.updates_relayed.labels(outcome).inc()
            self._forward(update, part.sender_id)

    def _pull(self, address: str, position: StorePosition) -> None:
        now_s = self._state.clock()
        known = self._state.store_position
        if position <= known or now_s - self._last_pull_at_s < PULL_PERIOD_S:
            return
        self._last_pull_at_s = now_s
        log_event(
            "update_asked_for",
            peer=address,
            known=known.revision,
            revision=position.revision,
            era=position.era or None,
        )
        own = self._peers.view.own
        pull = DocumentPull(own.member_id, own.peer_address, known.revision)
        self._peers.send(address, EraDocumentPull(known.era, pull) if known.era else pull)
