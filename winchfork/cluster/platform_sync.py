"""Copies configuration, machine list and voter panels from the platform into the documents.

Only relays do so: they watch the configuration, and read the machine list and the panels once a
period. A voter that is not certified reads its panel itself, relay or not, since only its own read
of the store shows whether a change of the panel is intended.
"""

from __future__ import annotations

import json
import threading
from concurrent.futures import ThreadPoolExecutor

from winchfork.cluster.node import PeerNode
from winchfork.cluster.panel_store import panel_key, read_panels
from winchfork.cluster.state import panel_from_json
from winchfork.constants import CONFIGURATION_PULL_PERIOD_S, MACHINE_LIST_PERIOD_S
from winchfork.core.claims import VouchRequest
from winchfork.core.documents import RELAYS_PER_ZONE, Document, DocumentName
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.stores.key_value import Entry, KeyValueStore
from winchfork.stores.machine_list import MachineSource

CONFIGURATION_KEY = "/winchfork/configuration"
_PERIODS_PER_PANEL_READ = 10


class PlatformSync:
    """The threads that read the platform."""

    def __init__(self, node: PeerNode, store: KeyValueStore, machines: MachineSource) -> None:
        self._node = node
        self._store = store
        self._machines = machines
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(3, thread_name_prefix="platform")

    def start(self) -> None:
        """Start the threads."""
        for loop in (self._run_machines, self._run_configuration, self._run_panels):
            self._pool.submit(self._restart_on_error, loop)

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def read_configuration(self) -> Failure | None:
        """Read the configuration once and install it."""
        entry = self._store.get(CONFIGURATION_KEY)
        if isinstance(entry, Failure):
            return entry
        if entry is not None:
            self._install_configuration(entry)
        return None

    def _restart_on_error(self, loop: object) -> None:
        assert callable(loop)
        while not self._stopping.is_set():
            try:
                loop()
            except Exception as error:  # noqa: BLE001 - an error must not end a sync thread
                log_event("platform_sync_failed", "ERROR", error=repr(error))
                self._stopping.wait(1.0)

    def _is_relay(self) -> bool:
        return self._node.is_relay("platform", RELAYS_PER_ZONE)

    def _run_machines(self) -> None:
        while not self._stopping.is_set():
            if self._is_relay():
                self._read_machines()
            self._stopping.wait(MACHINE_LIST_PERIOD_S)

    def _read_machines(self) -> None:
        with self._node.state.lock:
            known = self._node.state.documents.get(DocumentName.MACHINES).revision
        listed = self._machines.read(known)
        if isinstance(listed, Failure):
            log_event("machine_list_unavailable", "DEBUG", failure=listed)
            return
        if listed is None:
            return
        text = json.dumps(
            [
                {
                    "id": machine.machine_id,
                    "pool": machine.pool,
                    "zone": machine.zone,
                    "address": machine.address,
                    "state": machine.state.value,
                }
                for machine in listed.machines
            ]
        ).encode()
        self._node.install_document(DocumentName.MACHINES, Document(listed.revision, text))

    def _run_configuration(self) -> None:
        """Read, then watch; read again after a broken watch, so that no change is missed."""
        while not self._stopping.is_set():
            if self._is_relay() and self.read_configuration() is None:
                with self._node.state.lock:
                    revision = self._node.state.documents.get(DocumentName.CONFIGURATION).revision
                self._store.watch(
                    CONFIGURATION_KEY,
                    revision + 1,
                    self._install_configuration,
                    self._stopping.is_set,
                )
            self._stopping.wait(CONFIGURATION_PULL_PERIOD_S)

    def _install_configuration(self, entry: Entry) -> None:
        if entry.key == CONFIGURATION_KEY:
            self._node.install_document(
                DocumentName.CONFIGURATION, Document(entry.revision, entry.value)
            )

    def _run_panels(self) -> None:
        period = 0
        while not self._stopping.is_set():
            if period % _PERIODS_PER_PANEL_READ == 0 and self._is_relay():
                self._read_panels()
            self._certify_voters()
            period += 1
            self._stopping.wait(CONFIGURATION_PULL_PERIOD_S)

    def _read_panels(self) -> None:
        region = self._node.state.settings.daemon.region
        document = read_panels(self._store, region)
        if isinstance(document, Document):
            self._node.install_document(DocumentName.PANELS, document)

    def _certify_voters(self) -> None:
        """Where this daemon is an uncertified voter, ask the others to vouch and read the store."""
        state = self._node.state
        with state.lock:
            uncertified = [voter for voter in state.voters.values() if not voter.may_vote]
        for voter in uncertified:
            panel = voter.panel
            request = VouchRequest(panel.panel_id, panel.epoch, voter.voter_id, voter.incarnation)
            for peer in panel.voters:
                if peer != voter.voter_id:
                    self._node.send_to(peer, request)
            entry = self._store.get(panel_key(state.settings.daemon.region, panel.panel_id))
            if isinstance(entry, Entry):
                stored = json.loads(entry.value)
                with state.lock:
                    voter.on_store_read(
                        panel_from_json(stored), change_intended=stored["intent"] is not None
                    )
                    may_vote = voter.may_vote
                if may_vote:
                    log_event(
                        "voter_certified", panel=panel.panel_id, epoch=panel.epoch, by="store"
                    )
