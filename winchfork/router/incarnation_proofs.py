"""Proof of which incarnation of a replica a connection leads to.

A replica may return under its id with another version of its software, while its entry is late or
cannot be written. A report tells its start time: if that is the listed one, the incarnation has
listened at its address since before the call began, and so every connection opened before then
leads to it. The calls for one incarnation follow each other and are shared, so that a new
connection costs one call at most.

A report of a later incarnation replaces the listed one by an entry made of the report, until its
own entry arrives. Its software is named after the incarnation (:mod:`..core.unlisted_software`).
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import msgspec

from winchfork.backends.replica_control import ReplicaControl, ReplicaReport
from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.unlisted_software import UnlistedIncarnation, unlisted_incarnation
from winchfork.errors import Failure
from winchfork.logs import log_event

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: Seconds for which a request waits for a proof.
MAX_WAIT_S = 0.25
#: Seconds after a call that proved nothing in which no other is made for the same incarnation.
RETRY_DELAY_S = 0.5


class Proof(enum.Enum):
    """What is known of a connection."""

    #: It leads to the listed incarnation, or to none.
    PROVEN = "proven"
    #: The listed incarnation has ended, or another entry has replaced its own.
    REPLACED = "replaced"
    #: No report came in time, or it named no usable start time.
    UNKNOWN = "unknown"


class IncarnationProofs:
    """Proves incarnations by the reports of their replicas."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        #: Reads the reports; nothing can be proven while it is None.
        self.control: ReplicaControl | None = None
        #: The call in progress for each incarnation, by its hash.
        self._calls: dict[int, asyncio.Task[None]] = {}

    def needs_proof(self, replica: RelayReplica, opened_at_s: float) -> bool:
        """Whether a connection opened at that time may lead to another incarnation."""
        return self.control is not None and not replica.is_proven_for(opened_at_s)

    async def prove(self, replica: RelayReplica, opened_at_s: float) -> Proof:
        """Return what is known of a connection opened at that time, after a call if necessary."""
        ends_at_s = self._state.clock() + MAX_WAIT_S
        while self.needs_proof(replica, opened_at_s):
            if not self._state.fleet.is_listed(replica) or replica.superseded:
                return Proof.REPLACED
            call = self._calls.get(replica.incarnation_hash)
            if call is None:
                if self._state.clock() < replica.proof_failed_at_s + RETRY_DELAY_S:
                    return Proof.UNKNOWN
                call = self._begin_call(replica)
            # The call goes on for others, and for the first event of a stream sent without proof.
            await asyncio.wait({call}, timeout=max(0.0, ends_at_s - self._state.clock()))
            if not call.done():
                return Proof.UNKNOWN
        return Proof.PROVEN if self._state.fleet.is_listed(replica) else Proof.REPLACED

    async def leads_to(
        self, replica: RelayReplica, opened_at_s: float, started_at_ms: int
    ) -> RelayReplica | None:
        """Return the incarnation with that start time if a connection to ``replica`` leads to it.

        It is another object than ``replica`` if a report has replaced the listed incarnation.
        """
        await self.prove(replica, opened_at_s)
        listed = self._state.fleet.get(replica.replica_id)
        if listed is None or listed.listing.started_at_ms != started_at_ms:
            return None
        proven = await self.prove(listed, opened_at_s)
        return listed if proven is Proof.PROVEN else None

    async def find(self, software: str) -> None:
        """Look for an incarnation that another daemon has found, if this is its software's name."""
        unlisted = unlisted_incarnation(software)
        listed = self._state.fleet.get(unlisted.replica_id) if unlisted is not None else None
        if unlisted is None or listed is None:
            return
        if 0 < listed.listing.started_at_ms < unlisted.started_at_ms:
            await self.prove(listed, self._state.clock())

    def record(self, replica: RelayReplica, report: ReplicaReport, asked_at_s: float) -> None:
        """Record a report from a replica's address, for which the call began at ``asked_at_s``."""
        listed_ms, reported_ms = replica.listing.started_at_ms, report.started_at_ms
        if not listed_ms or not self._state.fleet.is_listed(replica):
            return
        if reported_ms == listed_ms:
            replica.proven_at_s = max(replica.proven_at_s, asked_at_s)
            return
        other = self._listed_beside(replica, reported_ms)
        if other is not None:
            self._state.mark_superseded(replica, other.replica_id)
            other.proven_at_s = max(other.proven_at_s, asked_at_s)
        elif reported_ms > listed_ms:
            self._replace(replica, report, asked_at_s)
        else:
            replica.proof_failed_at_s = self._state.clock()

    # Internals

    def _begin_call(self, replica: RelayReplica) -> asyncio.Task[None]:
        reading = self._read_report(replica, self._state.clock())
        call = self._calls[replica.incarnation_hash] = asyncio.get_running_loop().create_task(
            reading
        )
        call.add_done_callback(lambda done: self._calls.pop(replica.incarnation_hash, None))
        return call

    async def _read_report(self, replica: RelayReplica, asked_at_s: float) -> None:
        assert self.control is not None
        notices: list[AnswerNotice] = []
        report = await self.control.report(replica.listing.address, notices.append)
        if isinstance(report, Failure) or not report.started_at_ms:
            replica.proof_failed_at_s = self._state.clock()
            return
        self.record(replica, report, asked_at_s)
        answering = self._state.fleet.get(replica.replica_id)
        if answering is None or answering.listing.started_at_ms != report.started_at_ms:
            return
        for notice in notices:
            self._state.notices.record(answering, notice)

    def _listed_beside(self, replica: RelayReplica, started_at_ms: int) -> RelayReplica | None:
        """Return the replica with that start time that is listed at the same address."""
        for other in self._state.fleet.replicas():
            same_address = other.listing.address == replica.listing.address
            if same_address and other.listing.started_at_ms == started_at_ms:
                return other
        return None

    def _replace(self, replica: RelayReplica, report: ReplicaReport, asked_at_s: float) -> None:
        """List the incarnation that has answered in place of the one that has ended."""
        former = replica.listing
        self._state.fleet.remove(replica.replica_id)
        self._state.crashes.record_crash(replica, CrashEvidence.REPLACED)
        self._state.parts.drop_replica(replica.incarnation_hash)
        incarnation = UnlistedIncarnation(replica.replica_id, report.started_at_ms)
        listing = msgspec.structs.replace(
            former,
            started_at_ms=report.started_at_ms,
            versions=dict(report.versions) or former.versions,
            software=incarnation.software,
        )
        self._state.install_listing(listing)
        listed = self._state.fleet.get(replica.replica_id)
        if listed is not None:
            listed.proven_at_s = asked_at_s
        log_event(
            "replica_returned",
            "WARNING",
            replica=replica.replica_id,
            born_ms=report.started_at_ms,
            listed_born_ms=former.started_at_ms,
            listed_software=former.software or None,
        )
