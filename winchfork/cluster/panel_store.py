"""Voter panels in the key-value store: keys, stored form, and reading a region's panels."""

from __future__ import annotations

import json
from typing import Any

from winchfork.core.claims import VoterPanel
from winchfork.core.documents import Document
from winchfork.errors import Failure
from winchfork.stores.key_value import KeyValueStore

_PREFIX = "/winchfork/panels"


def panel_prefix(region: str) -> str:
    """Return the key prefix of a region's panels."""
    return f"{_PREFIX}/{region}/"


def panel_key(region: str, panel_id: str) -> str:
    """Return the key of one panel."""
    return panel_prefix(region) + panel_id


def panel_to_json(panel: VoterPanel, intent: list[str] | None) -> dict[str, Any]:
    """Return the stored form; ``intent`` names the next voters during a change."""
    return {
        "panel_id": panel.panel_id,
        "epoch": panel.epoch,
        "voters": list(panel.voters),
        "activated_at_s": panel.activated_at_s,
        "intent": intent,
    }


def read_panels(store: KeyValueStore, region: str) -> Document | None | Failure:
    """Read a region's panels as one document; None when there are none yet."""
    entries = store.list(panel_prefix(region))
    if isinstance(entries, Failure):
        return entries
    if not entries:
        return None
    panels = [json.loads(entry.value) for entry in entries]
    revision = max(entry.revision for entry in entries)
    return Document(revision, json.dumps(panels).encode())
