"""Relays store entries between daemons.

In a large fleet two hubs watch the store and send changes to the other hubs, and each hub forwards
them to the daemons of its zone. In any fleet, a daemon that learns of a peer with a newer position
pulls the missing entries from it, so that a daemon without a connection to the store still receives
configurations, revoked keys and removed replicas.

Store positions only advance; a daemon at an earlier era of the store gets a complete update.
A relayed update does not prove that the entries are current: freshness is proven separately, by
answers that are dated from the time of their request.
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

#: Delay of a pull, since a peer's message with a newer position may overtake the update itself.
PULL_DELAY_S = 0.05
#: Minimum time between two pulls.
PULL_PERIOD_S = 0.3
#: Maximum age of the freshness proof for which a daemon relies on relayed updates. It is less than
#: ``request_admission.MAX_CERTAIN_AGE_S``, up to which the rejection of an unknown key is final.
#: The limit of hubs is lower, so that only hubs query the store when the watchers fail.
MAX_RELAYED_AGE_S = 1.6
MAX_RELAYED_HUB_AGE_S = 1.2


class RelayedDocuments(Protocol):
    """The daemon's local copy of the store's entries, as the relay uses it."""

    table: DocumentTable

    def install_update(self, update: TableUpdate) -> bool:
        """Install the newer entries; False if changes before the update may be missing."""
        ...


class DocumentRelay:
    """Forwards updates to other daemons, and pulls missing ones from peers."""

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
        """Whether this daemon watches the store on behalf of the others."""
        return self._peers.view.is_watcher

    @property
    def relays_to_others(self) -> bool:
        """Whether the daemons of this zone get their updates from this one."""
        return not self._peers.view.is_full_mesh and self._peers.view.is_hub

    @property
    def is_relay_current(self) -> bool:
        """Whether relayed updates are recent enough that this daemon need not query the store."""
        view = self._peers.view
        if view.is_watcher:
            return False
        bound_s = MAX_RELAYED_HUB_AGE_S if view.is_hub else MAX_RELAYED_AGE_S
        return self._state.freshness.age_s(self._state.clock()) <= bound_s

    @property
    def may_lead(self) -> bool:
        """Whether this daemon may campaign for the leadership.

        In a large fleet only hubs near the store may, because a leader often calls the store and
        replicas near it. Daemons whose relayed updates are not current may as well.
        """
        view = self._peers.view
        return (
            view.is_full_mesh or (view.is_hub and view.is_near_store) or not self.is_relay_current
        )

    def broadcast(self, update: TableUpdate) -> None:
        """Send an update from the store to other hubs and this zone's daemons, if this is a hub.

        Each watcher sends to one of the hubs of every other region, chosen by the watcher's index.
        That hub forwards the update to its region.
        """
        view = self._peers.view
        own_id = view.own.member_id
        watcher_ids = [watcher.member_id for watcher in view.watchers]
        index = watcher_ids.index(own_id) if own_id in watcher_ids else 0
        remote_hubs = view.other_region_hubs[index % HUBS_PER_REGION :: HUBS_PER_REGION]
        self._send(update, (*view.same_region_hubs, *remote_hubs, *view.zone_peers))

    def _forward(self, update: TableUpdate, sender_id: str) -> None:
        """Forward a hub's update to this zone, and to this region's hubs if it is from another."""
        view = self._peers.view
        region_hubs = view.same_region_hubs if view.is_in_other_region(sender_id) else ()
        self._send(update, (*region_hubs, *view.zone_peers))

    def _send(self, update: TableUpdate, receivers: Sequence[Member]) -> None:
        if not self.relays_to_others or not update.items:
            return
        for part in split_update(self._state.settings.node_id, update):
            self._peers.send_each(receivers, part)

    def handle_position(self, address: str, position: StorePosition) -> None:
        """Schedule a pull from a peer that has reached ``position``, if it is newer than ours."""
        if position > self._state.store_position:
            self._call_later(PULL_DELAY_S, lambda: self._pull(address, position))

    def handle_pull(self, message: DocumentPull) -> None:
        """Send the missing entries to a peer whose request names no era."""
        self._answer_pull(message, 0)

    def handle_era_pull(self, message: EraDocumentPull) -> None:
        """Send the missing entries to a peer whose request names an era."""
        self._answer_pull(message.pull, message.era)

    def _answer_pull(self, pull: DocumentPull, era: int) -> None:
        known, own = StorePosition(era, pull.after_revision), self._state.store_position
        if known >= own:
            return
        update = self._documents.table.update_after(known, own)
        for part in split_update(self._state.settings.node_id, update):
            self._peers.send(pull.sender_address, part)

    def handle_era_part(self, message: EraDocumentPart) -> None:
        """Collect a part that names an era; install the update when it is complete."""
        self._handle_any_part(message.part, message.era)

    def handle_part(self, part: DocumentPart) -> None:
        """Collect a part that names no era; install the update when it is complete."""
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
            complete = self._documents.install_update(update)
            outcome = "whole" if complete else "with_a_gap"
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
