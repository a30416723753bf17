"""The shared state of one daemon, behind one lock.

The objects of ``winchfork.core`` are not thread-safe: their methods run under ``DaemonState.lock``,
which is never held across network I/O. Attributes that are replaced whole, such as
``configuration.current``, are also read without it.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Mapping
from typing import Any

from winchfork.core.admission import AdmissionLimits, AdmissionQueue
from winchfork.core.cache_index import CacheIndex
from winchfork.core.claims import ClaimMargins, ClaimVoter, VoterPanel
from winchfork.core.configuration import ConfigurationHolder, parse_configuration
from winchfork.core.decisions import DecisionEvent, DecisionLog
from winchfork.core.documents import Document, DocumentName, DocumentSet
from winchfork.core.fleet import Fleet, Replica, ReplicaState
from winchfork.core.load_gossip import LoadGossip
from winchfork.core.member import Member
from winchfork.core.membership import Membership
from winchfork.core.placement import PlacementPolicy
from winchfork.core.policies.registry import make_policy
from winchfork.core.retry_budget import RetryBudget
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.settings import Settings


class DaemonState:
    """The state of one daemon; ``started_at_s`` is wall-clock time."""

    def __init__(self, settings: Settings, own: Member, generator: random.Random) -> None:
        self.lock = threading.RLock()
        self.settings = settings
        self.started_at_s = time.time()
        self.documents = DocumentSet()
        self.loads = LoadGossip()
        self.membership = Membership(
            own,
            settings.daemon.seeds,
            generator,
            pack_loads=self.loads.pack,
            revisions=self.documents.revisions,
        )
        self.configuration = ConfigurationHolder()
        self.fleet = Fleet()
        self.index = CacheIndex()
        self.policy: PlacementPolicy = _policy(settings.daemon.policy, generator)
        limits = settings.limits
        self.admission = AdmissionQueue(
            AdmissionLimits(limits.max_open_requests, limits.max_waiting_requests)
        )
        self.retry_budget = RetryBudget()
        self.decisions = DecisionLog()
        self.panels: dict[str, VoterPanel] = {}
        self.voters: dict[str, ClaimVoter] = {}
        self.changing_panel_ids: set[str] = set()
        self.stopping = False
        self._leaving: frozenset[str] = frozenset()

    @property
    def own_id(self) -> str:
        """This daemon's id."""
        return self.membership.own.member_id

    def claim_margins(self) -> ClaimMargins:
        """Return the time margins of claims, from the settings."""
        claims = self.settings.claims
        return ClaimMargins(claims.future_margin_s, claims.restart_margin_s, claims.retention_s)

    def record_decision(self, request_id: str, step: str, reason: str, **details: Any) -> None:
        """Add a step to the decision log and log it as an event."""
        event = DecisionEvent(time.time(), step, reason, details)
        with self.lock:
            self.decisions.record(request_id, event)
        log_event(step, "DEBUG", request=request_id, reason=reason, **_scalars(details))

    def install_document(self, name: DocumentName, document: Document) -> bool:
        """Store a newer document and apply its contents; False when it is not newer."""
        with self.lock:
            if not self.documents.install(name, document):
                return False
            if name is DocumentName.CONFIGURATION:
                self._install_configuration(document)
            elif name is DocumentName.MACHINES:
                self._install_machines(json.loads(document.text))
            else:
                self._install_panels(json.loads(document.text))
        log_event("document_installed", name=name.value, revision=document.revision)
        return True

    def refresh_replica_states(self) -> None:
        """Recompute which replicas are leaving; the caller holds the lock."""
        draining = set(self.configuration.current.configuration.draining)
        for replica in self.fleet.replicas():
            leaving = replica.replica_id in draining or replica.replica_id in self._leaving
            if leaving:
                replica.state = ReplicaState.LEAVING
            elif replica.state is ReplicaState.LEAVING:
                replica.state = ReplicaState.ACCEPTING

    def _install_configuration(self, document: Document) -> None:
        stored = json.loads(document.text)
        configuration = parse_configuration(json.dumps(stored["configuration"]))
        if isinstance(configuration, Failure):
            log_event("configuration_unreadable", "ERROR", failure=configuration)
            return
        self.configuration.install(document.revision, configuration)
        self.refresh_replica_states()

    def _install_machines(self, machines: list[dict[str, str]]) -> None:
        listed = {item["id"]: item for item in machines if item["pool"]}
        self._leaving = frozenset(
            machine_id for machine_id, item in listed.items() if item["state"] == "leaving"
        )
        for machine_id, item in listed.items():
            known = self.fleet.get(machine_id)
            if known is None or known.address != item["address"]:
                self.fleet.put(Replica(machine_id, item["pool"], item["zone"], item["address"]))
        for replica in self.fleet.replicas():
            if replica.replica_id not in listed:
                self.fleet.remove(replica.replica_id)
                self.index.forget(replica.replica_id)
        self.refresh_replica_states()

    def _install_panels(self, panels: list[dict[str, Any]]) -> None:
        self.changing_panel_ids = {item["panel_id"] for item in panels if item["intent"]}
        for item in panels:
            panel = panel_from_json(item)
            known = self.panels.get(panel.panel_id)
            if known is None or panel.epoch > known.epoch:
                self.panels[panel.panel_id] = panel
            if self.own_id not in panel.voters:
                continue
            voter = self.voters.get(panel.panel_id)
            if voter is None:
                self.voters[panel.panel_id] = ClaimVoter(
                    self.own_id,
                    self.membership.own.incarnation,
                    self.started_at_s,
                    panel,
                    self.claim_margins(),
                )
            else:
                voter.install_panel(panel)


def panel_from_json(item: Mapping[str, Any]) -> VoterPanel:
    """Build a panel from its stored form."""
    return VoterPanel(
        item["panel_id"], item["epoch"], tuple(item["voters"]), item["activated_at_s"]
    )


def _policy(name: str, generator: random.Random) -> PlacementPolicy:
    policy = make_policy(name, generator)
    assert not isinstance(policy, Failure), "the settings accept only known policies"
    return policy


def _scalars(details: Mapping[str, Any]) -> dict[str, Any]:
    return {
        key: value
        for key, value in details.items()
        if isinstance(value, (str, int, float, bool)) or value is None
    }
