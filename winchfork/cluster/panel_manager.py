"""Forms voter panels and replaces their dead voters.

Every relay runs this duty without a leader; the store's compare-and-swap orders their writes. A
change takes three steps, each of which any relay may repeat: write the intent, collect seals until
the epoch is sealed, write the next epoch. An intent is never withdrawn.
"""

from __future__ import annotations

import json
import threading
import time

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.node import PeerNode
from winchfork.cluster.panel_store import panel_key, panel_prefix, panel_to_json, read_panels
from winchfork.core.claims import SealReply, SealRequest, VoterPanel, epoch_is_sealed
from winchfork.core.documents import RELAYS_PER_ZONE, Document, DocumentName
from winchfork.core.member import Member
from winchfork.core.rendezvous import rendezvous_rank
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.stores.key_value import Entry, KeyValueStore

_RECONCILE_PERIOD_S = 1.0
#: A voter is replaced once it has been absent this long, which is longer than a restart.
REPLACE_AFTER_S = 60.0
#: Delay after the start before panels are formed, so that membership is complete.
_FORM_AFTER_S = 3.0


class PanelManager:
    """Keeps the region's panels in agreement with its members."""

    def __init__(
        self, node: PeerNode, store: KeyValueStore, replace_after_s: float = REPLACE_AFTER_S
    ) -> None:
        self._node = node
        self._store = store
        self._replace_after_s = replace_after_s
        self._region = node.state.settings.daemon.region
        self._stopping = threading.Event()
        self._started_s = boot_seconds()
        self._last_seen_s: dict[str, float] = {}
        self._seals: dict[str, dict[str, SealReply]] = {}

    def run(self) -> None:
        """Reconcile until stopped; the body of one thread."""
        while not self._stopping.wait(_RECONCILE_PERIOD_S):
            try:
                if self._node.is_relay("panels", RELAYS_PER_ZONE):
                    self._reconcile()
            except Exception as error:  # noqa: BLE001 - an error must not end the thread
                log_event("panel_pass_failed", "ERROR", error=repr(error))

    def stop(self) -> None:
        """Stop reconciling."""
        self._stopping.set()

    def _reconcile(self) -> None:
        now_s = boot_seconds()
        members = {member.member_id: member for member in self._node.live_members()}
        for member_id in members:
            self._last_seen_s[member_id] = now_s
        with self._node.state.lock:
            panels = list(self._node.state.panels.values())
        if not panels:
            if now_s - self._started_s > _FORM_AFTER_S:
                self._form(members)
            return
        for panel in panels:
            self._reconcile_panel(panel, members, now_s)

    # --- formation ---

    def _form(self, members: dict[str, Member]) -> None:
        stored = self._store.list(panel_prefix(self._region))
        if isinstance(stored, Failure) or stored:
            return
        for panel in plan_panels(members, self._node.state.settings.claims.voters):
            text = json.dumps(panel_to_json(panel, None)).encode()
            self._store.compare_and_swap(panel_key(self._region, panel.panel_id), text, 0)
        self._reload_panels()

    # --- change of a panel ---

    def _reconcile_panel(self, panel: VoterPanel, members: dict[str, Member], now_s: float) -> None:
        dead_voters = [
            voter
            for voter in panel.voters
            if now_s - self._last_seen_s.get(voter, self._started_s) > self._replace_after_s
        ]
        with self._node.state.lock:
            changing = panel.panel_id in self._node.state.changing_panel_ids
        if not dead_voters and not changing:
            return
        entry = self._store.get(panel_key(self._region, panel.panel_id))
        if not isinstance(entry, Entry):
            return
        stored = json.loads(entry.value)
        if stored["epoch"] != panel.epoch:
            self._seals.pop(panel.panel_id, None)
            self._reload_panels()
            return
        if stored["intent"] is None:
            self._write_intent(panel, entry, dead_voters, members)
            return
        self._collect_seals(panel)
        if epoch_is_sealed(panel, self._seals[panel.panel_id]):
            self._activate(panel, entry, stored["intent"])

    def _write_intent(
        self, panel: VoterPanel, entry: Entry, dead_voters: list[str], members: dict[str, Member]
    ) -> None:
        next_voters = replace_voters(panel, dead_voters, members)
        if next_voters is None:
            return
        text = json.dumps(panel_to_json(panel, list(next_voters))).encode()
        result = self._store.compare_and_swap(entry.key, text, entry.revision)
        if not isinstance(result, Failure):
            log_event("panel_change_intended", panel=panel.panel_id, epoch=panel.epoch)
            self._reload_panels()

    def _collect_seals(self, panel: VoterPanel) -> None:
        replies = self._seals.setdefault(panel.panel_id, {})

        def on_reply(reply: SealReply) -> None:
            known = replies.get(reply.voter)
            newer = known is None or reply.incarnation >= known.incarnation
            if reply.epoch == panel.epoch and newer:
                replies[reply.voter] = reply

        self._node.set_seal_listener(panel.panel_id, on_reply)
        for voter in panel.voters:
            self._node.send_to(voter, SealRequest(panel.panel_id, panel.epoch))
        self._stopping.wait(0.2)

    def _activate(self, panel: VoterPanel, entry: Entry, voters: list[str]) -> None:
        # The new voters may vote only on keys stamped later than this time plus the margin, and
        # every seal of the old epoch was given before it.
        successor = VoterPanel(panel.panel_id, panel.epoch + 1, tuple(voters), time.time())
        text = json.dumps(panel_to_json(successor, None)).encode()
        result = self._store.compare_and_swap(entry.key, text, entry.revision)
        if not isinstance(result, Failure):
            log_event("panel_changed", panel=panel.panel_id, epoch=successor.epoch)
        self._seals.pop(panel.panel_id, None)
        self._reload_panels()

    def _reload_panels(self) -> None:
        document = read_panels(self._store, self._region)
        if isinstance(document, Document):
            self._node.install_document(DocumentName.PANELS, document)


def plan_panels(members: dict[str, Member], voters: int) -> list[VoterPanel]:
    """Group the members into panels with one voter a zone; empty while there are too few zones."""
    by_zone: dict[str, list[str]] = {}
    for member in members.values():
        by_zone.setdefault(member.zone, []).append(member.member_id)
    if len(by_zone) < voters:
        return []
    zones = [sorted(by_zone[zone]) for zone in sorted(by_zone)]
    panels: list[VoterPanel] = []
    while sum(1 for zone in zones if zone) >= voters:
        # Taking voters from the largest zones first gives the most panels.
        zones.sort(key=lambda zone: (-len(zone), zone))
        chosen = tuple(zone.pop(0) for zone in zones[:voters])
        panels.append(VoterPanel(f"p{len(panels)}", 1, chosen))
    return panels


def replace_voters(
    panel: VoterPanel, dead_voters: list[str], members: dict[str, Member]
) -> tuple[str, ...] | None:
    """Return the next voters, each from a different zone; None when a replacement is missing."""
    staying = [voter for voter in panel.voters if voter not in dead_voters]
    taken_zones = {members[voter].zone for voter in staying if voter in members}
    result = list(staying)
    for departed in dead_voters:
        ranked = rendezvous_rank(f"{panel.panel_id}:{departed}", members)
        successor = next(
            (
                member_id
                for member_id in ranked
                if member_id not in result and members[member_id].zone not in taken_zones
            ),
            None,
        )
        if successor is None:
            return None
        taken_zones.add(members[successor].zone)
        result.append(successor)
    return tuple(result)
