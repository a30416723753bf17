"""Applies store entries to this daemon's state.

A replica whose removal is found out by the first answer after a store outage is kept for
``RELISTING_GRACE_S``, because its entry may have expired while the replica could not renew it.
"""

from __future__ import annotations

import enum
import math

import msgspec

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.document_table import TableItem
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.routing import RoutingTable
from winchfork.core.software_state import SoftwareOrder
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event
from winchfork.router.documents import (
    DocumentReader,
    ReplicaRemoved,
    UnreadableReplica,
    WeightsTarget,
)
from winchfork.router.leader_entry import FENCE_KEY, LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.refusal_ledger import RefusalLedger
from winchfork.router.refusal_records import is_part_refusal_key, is_refusal_key
from winchfork.router.restored_entries import RestoredEntries
from winchfork.router.software_records import (
    decode_record,
    is_software_record_key,
    service_of_record,
)
from winchfork.router.state import RouterState
from winchfork.router.version_records import VERSION_RECORD_KEY, decode_version_record
from winchfork.stores.async_key_value import StoreItem

#: Time for a replica whose entry expired during a store outage to write it again, as the operators
#: state it. One that is still missing then has gone.
RELISTING_GRACE_S = 2.0


class EntrySource(enum.Enum):
    """How an entry reached this daemon."""

    LIST = "list"
    WATCH = "watch"
    RELAY = "relay"


class EntryDate(msgspec.Struct, frozen=True):
    """The earliest time at which an entry may have been written.

    If ``assumed``, it may be far too early, and a peer's report replaces it. ``proven_at_s`` is the
    time of the last freshness proof before the entry was received.
    """

    written_at_s: float
    assumed: bool
    source: EntrySource = EntrySource.LIST
    proven_at_s: float = -math.inf


class DocumentInstaller:
    """Applies entries to the router's state, in the order in which they are passed in."""

    def __init__(self, state: RouterState, reader: DocumentReader, leadership: Leadership) -> None:
        self._state = state
        self._reader = reader
        self._leadership = leadership
        #: Whether a complete list was installed. Earlier entries may predate this process.
        self.has_listed = False
        #: Whether the entries may come from a backup: true during the first list of a new era.
        self.is_restoring = False
        self._restored = RestoredEntries(state.fleet)

    def install(self, item: TableItem, era: int, date: EntryDate) -> None:
        """Apply an entry of the store's ``era``; a value of None means that it was removed.

        One that cannot be applied, for whatever reason, is refused. It must not keep this daemon
        from the entries after it.
        """
        try:
            self._apply(item, era, date)
        except Exception as error:  # noqa: BLE001 - anybody may write an entry
            self.refuse(item, error)

    def refuse(self, item: TableItem, error: Exception) -> None:
        """Record an entry that cannot be applied; if it is a replica's, it names none to use."""
        failure = FailureKind.BAD_DOCUMENT.because(f"the entry cannot be applied: {error!r}")
        self._state.record_refused_document(item.key, failure)
        removed = self._reader.read(StoreItem(item.key, None, item.revision))
        if isinstance(removed, ReplicaRemoved):
            self._remove_replica(removed.replica_id, item.revision, None)

    def _apply(self, item: TableItem, era: int, date: EntryDate) -> None:
        if item.key == LEADER_KEY:
            self._install_leader(item, StorePosition(era, item.revision))
            return
        if item.key == FENCE_KEY:
            self._leadership.record_fence(StorePosition(era, item.revision), item.value or b"")
            return
        if is_refusal_key(item.key):
            self._install_refusal(self._state.crashes, item)
            return
        if is_part_refusal_key(item.key):
            self._install_refusal(self._state.crashes.parts, item)
            return
        if is_software_record_key(item.key):
            self._install_software_record(item)
            return
        if item.key == VERSION_RECORD_KEY:
            self._install_version_record(item)
            return
        document = self._reader.read(StoreItem(item.key, item.value, item.revision))
        if isinstance(document, Failure):
            self._state.record_refused_document(item.key, document)
        elif isinstance(document, UnreadableReplica):
            self._state.record_refused_document(item.key, document.failure)
            self._remove_replica(document.replica_id, item.revision, None)
        elif isinstance(document, RoutingTable):
            self._install_table(document, item.revision)
        elif isinstance(document, WeightsTarget):
            self._install_weights_target(document, item.revision, date)
        elif isinstance(document, ReplicaListing):
            self._install_replica(document, item.revision)
        elif isinstance(document, SoftwareOrder):
            position = StorePosition(era, item.revision)
            self._state.software.install_order(
                document, position, found_at_start=not self.has_listed
            )
        elif isinstance(document, ReplicaRemoved):
            self._handle_removed_replica(document.replica_id, item)

    def is_replica_removal(self, item: TableItem) -> bool:
        """Whether an item is the removal of a replica's entry."""
        if item.value is not None:
            return False
        document = self._reader.read(StoreItem(item.key, None, item.revision))
        return isinstance(document, ReplicaRemoved)

    def _install_leader(self, item: TableItem, position: StorePosition) -> None:
        if item.value is None:
            self._leadership.record_no_entry(position)
        else:
            self._leadership.record_entry(position)
        self._state.leader_id = (item.value or b"").decode(errors="replace")

    def _install_refusal(self, ledger: RefusalLedger, item: TableItem) -> None:
        if item.value is None and item.missing_after_outage:
            ledger.handle_lost_record(item.key)
            return
        failure = ledger.apply_record(
            item.key, item.value, item.revision, is_restored=self.is_restoring
        )
        if failure is not None:
            self._state.record_refused_document(item.key, failure)

    def _install_software_record(self, item: TableItem) -> None:
        software = self._state.software
        if item.value is None:
            if item.missing_after_outage:
                software.handle_lost_record(service_of_record(item.key))
            return
        record = decode_record(item.value)
        if isinstance(record, Failure):
            self._state.record_refused_document(item.key, record)
        elif self.is_restoring:
            software.install_restored(record, item.revision)
        else:
            software.install(record, item.revision, found_at_start=not self.has_listed)

    def _install_version_record(self, item: TableItem) -> None:
        tracker = self._state.software_tracker
        if item.value is None:
            tracker.install_record(None, 0)
            return
        record = decode_version_record(item.value)
        if isinstance(record, Failure):
            self._state.record_refused_document(item.key, record)
            tracker.install_record(None, item.revision)
        else:
            tracker.install_record(record, item.revision)

    def _handle_removed_replica(self, replica_id: str, item: TableItem) -> None:
        """Remove a replica, after a grace period if its entry went missing during an outage."""
        self._restored.forget(replica_id)
        replica = self._state.fleet.get(replica_id)
        if item.missing_after_outage and replica is not None and replica.is_in_service:
            self._state.missing_until_s.setdefault(
                replica_id, self._state.clock() + RELISTING_GRACE_S
            )
        else:
            self._remove_replica(replica_id, item.revision)

    def _install_table(self, table: RoutingTable, revision: int) -> None:
        if self._state.install_table(table):
            log_event(
                "configuration_installed",
                version=table.version,
                revision=revision,
                routes=len(table.routes),
                services=len(table.services),
                tenants=len(table.tenants),
            )

    def _install_weights_target(
        self, target: WeightsTarget, revision: int, date: EntryDate
    ) -> None:
        history = self._state.weights_versions.setdefault(target.model, VersionHistory())
        if history.add(target.version, date.written_at_s, assumed=date.assumed):
            now_s = self._state.clock()
            log_event(
                "weights_named",
                model=target.model,
                version=target.version,
                revision=revision,
                via=date.source.value,
                dated_s_ago=now_s - date.written_at_s,
                assumed=date.assumed,
                known_s=now_s - date.proven_at_s,
            )

    def _install_replica(self, listing: ReplicaListing, revision: int) -> None:
        self._state.software_tracker.record_listed(listing, self._state.clock())
        if not self.is_restoring:
            self._restored.forget(listing.replica_id)
        elif self._restored.hold_back(listing, revision, self._state.clock()):
            return
        self._list_replica(listing, revision)

    def _list_replica(self, listing: ReplicaListing, revision: int) -> None:
        known = self._state.fleet.get(listing.replica_id)
        if known is not None and listing.is_older_incarnation_of(known.listing):
            log_event(
                "older_incarnation_listed",
                replica=listing.replica_id,
                born_ms=listing.started_at_ms,
                known_born_ms=known.listing.started_at_ms,
                revision=revision,
            )
            return
        if known is not None and listing.is_restart_of(known.listing):
            self._remove_replica(listing.replica_id, revision, CrashEvidence.REPLACED)
            known = None
        changed = known is None or known.listing != listing
        self._state.install_listing(listing)
        self._state.missing_until_s.pop(listing.replica_id, None)
        if changed:
            log_event(
                "replica_listed",
                replica=listing.replica_id,
                service=listing.service,
                zone=listing.zone,
                born_ms=listing.started_at_ms or None,
                accepting=listing.accepting,
                software=listing.software or None,
                versions=",".join(str(version) for version in listing.versions.values()) or None,
                revision=revision,
            )

    def _remove_replica(
        self,
        replica_id: str,
        revision: int,
        evidence: CrashEvidence | None = CrashEvidence.ENTRY_LAPSED,
    ) -> None:
        """Remove a replica; ``evidence`` of a crash is recorded, if there is any."""
        removed = self._state.fleet.remove(replica_id)
        if removed is not None:
            # The process may not have run between the last observation of the list and now.
            self._state.software_tracker.observe_replica(removed, self._state.clock())
            if evidence is not None:
                self._state.crashes.record_crash(removed, evidence)
            self._state.parts.drop_replica(removed.incarnation_hash)
            log_event("replica_gone", replica=replica_id, revision=revision)

    def expire_missing_replicas(self, now_s: float) -> None:
        """Remove replicas whose grace period is over, and list entries held back long enough."""
        for listing, revision in self._restored.pop_due(now_s):
            self._list_replica(listing, revision)
        for replica_id, until_s in list(self._state.missing_until_s.items()):
            if now_s >= until_s:
                del self._state.missing_until_s[replica_id]
                self._remove_replica(replica_id, self._state.store_position.revision)
