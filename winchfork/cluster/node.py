"""Handles peer messages: applies each to the daemon's state and sends the replies."""

from __future__ import annotations

import dataclasses
import json
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from winchfork.cluster.messages import (
    CacheUpdate,
    DocumentAnnouncement,
    DocumentPart,
    DocumentPull,
    ExplainReply,
    ExplainRequest,
    LookupReply,
    LookupRequest,
    ReplicaUpdate,
)
from winchfork.cluster.state import DaemonState
from winchfork.cluster.transport import PeerTransport
from winchfork.constants import HEARTBEAT_PERIOD_S
from winchfork.core.claims import (
    OutcomeRecord,
    SealReply,
    SealRequest,
    VoteRelease,
    VoteReply,
    VoteRequest,
    VouchReply,
    VouchRequest,
)
from winchfork.core.documents import Document, DocumentName
from winchfork.core.fleet import ReplicaIdentity, ReplicaState
from winchfork.core.load_gossip import hash_replica
from winchfork.core.member import IndirectProbe, Member, MemberStatus, Outgoing, Probe, ProbeReply
from winchfork.core.rendezvous import rendezvous_owner, rendezvous_rank

#: Peers that receive an announcement at once when a document changes. Each does the same, so an
#: announcement reaches n daemons in about log(n) / log(ANNOUNCE_FANOUT) hops.
ANNOUNCE_FANOUT = 4


class PeerNode:
    """Runs membership and handles the peer messages of one daemon."""

    def __init__(
        self, state: DaemonState, transport: PeerTransport, generator: random.Random
    ) -> None:
        self.state = state
        self.transport = transport
        self._generator = generator
        self._stopping = threading.Event()
        self._vote_listeners: dict[str, Callable[[VoteReply], None]] = {}
        self._seal_listeners: dict[str, Callable[[SealReply], None]] = {}
        self._handlers: dict[type, Callable[[Any, str], None]] = {
            Probe: self._on_membership,
            ProbeReply: self._on_membership,
            IndirectProbe: self._on_membership,
            DocumentAnnouncement: self._on_document_announcement,
            DocumentPull: self._on_document_pull,
            DocumentPart: self._on_document_part,
            LookupRequest: self._on_lookup_request,
            LookupReply: lambda message, _: self.transport.resolve(message.nonce, message),
            ExplainRequest: self._on_explain_request,
            ExplainReply: lambda message, _: self.transport.resolve(message.nonce, message),
            CacheUpdate: self._on_cache_update,
            ReplicaUpdate: self._on_replica_update,
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            VoteRelease: self._on_vote_release,
            OutcomeRecord: self._on_outcome,
            SealRequest: self._on_seal_request,
            SealReply: self._on_seal_reply,
            VouchRequest: self._on_vouch_request,
            VouchReply: self._on_vouch_reply,
        }

    def run_receiver(self) -> None:
        """Receive until stopped; the body of one thread."""
        self.transport.run(self.on_message)

    def run_ticks(self) -> None:
        """Probe once a period until stopped; the body of one thread."""
        with self.state.lock:
            joining = self.state.membership.join(time.time())
        self._send_all(joining)
        while not self._stopping.wait(HEARTBEAT_PERIOD_S):
            with self.state.lock:
                outgoing = self.state.membership.tick(time.time())
            self._send_all(outgoing)

    def stop(self) -> None:
        """Announce to the peers that this daemon leaves, then stop."""
        with self.state.lock:
            self.state.membership.leave()
            members = self.live_members(include_own=False)
            outgoing = self.state.membership.tick(time.time())
        self._send_all(outgoing)
        for member in members[:ANNOUNCE_FANOUT]:
            with self.state.lock:
                probe = Probe(self.state.membership.own, 0, self.state.documents.revisions())
            self.transport.send(member.peer_address, probe)
        self._stopping.set()
        self.transport.close()

    def stop_at_once(self) -> None:
        """Stop without an announcement, as in a crash."""
        self._stopping.set()
        self.transport.close()

    def on_message(self, message: Any, sender: str) -> None:
        """Handle one message; ``sender`` is its source address."""
        self._handlers[type(message)](message, sender)

    # --- members and owners ---

    def live_members(self, *, include_own: bool = True) -> list[Member]:
        """Return the members that are alive and not leaving, ordered by id."""
        with self.state.lock:
            members = self.state.membership.members(include_leaving=False)
            own_id = self.state.own_id
        return [
            member
            for member in members
            if member.status is MemberStatus.ALIVE and (include_own or member.member_id != own_id)
        ]

    def owner_of(self, key: int | str) -> Member | None:
        """Return the live member that owns a prefix family, or that reads a replica."""
        members = {member.member_id: member for member in self.live_members()}
        owner = rendezvous_owner(key, members)
        return members.get(owner) if owner is not None else None

    def is_relay(self, duty: str, relays: int) -> bool:
        """Return whether this daemon is one of its zone's ``relays`` daemons for a duty."""
        own = self.state.membership.own
        zone_members = [
            member.member_id for member in self.live_members() if member.zone == own.zone
        ]
        return own.member_id in rendezvous_rank(duty, zone_members)[:relays]

    def send_to(self, member_id: str, message: Any) -> None:
        """Send to a member; a message to this daemon itself is handled at once."""
        if member_id == self.state.own_id:
            self.on_message(message, self.transport.address)
            return
        with self.state.lock:
            member = self.state.membership.get(member_id)
        if member is not None:
            self.transport.send(member.peer_address, message)

    def install_document(self, name: DocumentName, document: Document) -> bool:
        """Install a newer document and announce it to a few peers; False when it is not newer."""
        if not self.state.install_document(name, document):
            return False
        with self.state.lock:
            announcement = DocumentAnnouncement(self.state.documents.revisions())
        members = self.live_members(include_own=False)
        chosen = self._generator.sample(members, min(ANNOUNCE_FANOUT, len(members)))
        for member in chosen:
            self.transport.send(member.peer_address, announcement)
        return True

    # --- votes ---

    def add_vote_listener(self, attempt: str, listener: Callable[[VoteReply], None]) -> None:
        """Deliver the vote replies of an attempt to ``listener``."""
        self._vote_listeners[attempt] = listener

    def remove_vote_listener(self, attempt: str) -> None:
        """Ignore later replies of an attempt."""
        self._vote_listeners.pop(attempt, None)

    def set_seal_listener(self, panel_id: str, listener: Callable[[SealReply], None]) -> None:
        """Deliver the seal replies of a panel to ``listener``."""
        self._seal_listeners[panel_id] = listener

    # --- handlers ---

    def _on_membership(self, message: Probe | ProbeReply | IndirectProbe, sender: str) -> None:
        now_s = time.time()
        with self.state.lock:
            if not isinstance(message, IndirectProbe):
                self._handle_loads(message.loads, now_s)
            outgoing = self.state.membership.receive(message, now_s)
        self._send_all(outgoing)
        if not isinstance(message, IndirectProbe):
            self._pull_newer(message.revisions, sender)

    def _handle_loads(self, packed: bytes, now_s: float) -> None:
        if not packed:
            return
        by_hash = {
            hash_replica(replica.replica_id): replica for replica in self.state.fleet.replicas()
        }
        for entry in self.state.loads.unpack(packed):
            replica = by_hash.get(entry.replica_hash)
            if replica is None:
                continue
            if replica.state is not ReplicaState.LEAVING:
                replica.state = (
                    ReplicaState.ACCEPTING if entry.available else ReplicaState.UNAVAILABLE
                )
            if entry.available:
                # The version is the publisher's clock in tenths of a second.
                replica.update_load(entry.update(replica.load), entry.version / 10)

    def _pull_newer(self, revisions: tuple[int, ...], sender: str) -> None:
        with self.state.lock:
            wanted = self.state.documents.outdated(revisions)
        for name, revision in wanted:
            self.transport.send(sender, DocumentPull(name.value, revision, 0))

    def _on_document_announcement(self, message: DocumentAnnouncement, sender: str) -> None:
        self._pull_newer(message.revisions, sender)

    def _on_document_pull(self, message: DocumentPull, sender: str) -> None:
        with self.state.lock:
            document, data = self.state.documents.part(DocumentName(message.name), message.offset)
        if document.revision >= message.revision:
            part = DocumentPart(
                message.name, document.revision, message.offset, len(document.text), data
            )
            self.transport.send(sender, part)

    def _on_document_part(self, message: DocumentPart, sender: str) -> None:
        name = DocumentName(message.name)
        with self.state.lock:
            result = self.state.documents.add_part(
                name, message.revision, message.offset, message.total, message.data
            )
        if isinstance(result, Document):
            self.install_document(name, result)
        elif result is not None:
            self.transport.send(sender, DocumentPull(message.name, message.revision, result))

    def _on_lookup_request(self, message: LookupRequest, sender: str) -> None:
        with self.state.lock:
            matched = self.state.index.match(message.block_keys)
        self.transport.send(sender, LookupReply(message.nonce, matched))

    def _on_explain_request(self, message: ExplainRequest, sender: str) -> None:
        steps = self.explain_locally(message.request_id)
        self.transport.send(sender, ExplainReply(message.nonce, steps))

    def explain_locally(self, request_id: str) -> str:
        """Return this daemon's decision log of a request as JSON text; empty when unknown."""
        with self.state.lock:
            steps = self.state.decisions.explain(request_id)
        return json.dumps(steps) if steps else ""

    def _on_cache_update(self, message: CacheUpdate, sender: str) -> None:
        with self.state.lock:
            index = self.state.index
            if message.reset and index.fence(message.replica_id, message.incarnation):
                index.forget(message.replica_id)
            if message.removed:
                index.drop_uncached(message.replica_id, message.incarnation, message.removed, 0)
            if message.cached:
                index.assume_stored(message.replica_id, message.incarnation, message.cached)

    def _on_replica_update(self, message: ReplicaUpdate, sender: str) -> None:
        with self.state.lock:
            replica = self.state.fleet.get(message.replica_id)
            if replica is None:
                return
            known = replica.identity
            if known is not None and message.incarnation < known.incarnation:
                return
            replica.identity = ReplicaIdentity(message.incarnation, message.weights_version)
            replica.load = dataclasses.replace(
                replica.load,
                prefill_tokens_per_s=message.prefill_tokens_per_s,
                import_tokens_per_s=message.import_tokens_per_s,
            )
            self.state.index.fence(message.replica_id, message.incarnation)

    def _on_vote_request(self, message: VoteRequest, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            reply = voter.on_vote_request(message, time.time()) if voter else None
        if reply is not None:
            self._reply(sender, reply)

    def _reply(self, address: str, message: Any) -> None:
        if address == self.transport.address:
            self.on_message(message, address)
        else:
            self.transport.send(address, message)

    def _on_vote_reply(self, message: VoteReply, sender: str) -> None:
        listener = self._vote_listeners.get(message.attempt)
        if listener is not None:
            listener(message)

    def _on_vote_release(self, message: VoteRelease, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            if voter is not None:
                voter.on_release(message)

    def _on_outcome(self, message: OutcomeRecord, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            if voter is not None:
                voter.on_outcome(message)

    def _on_seal_request(self, message: SealRequest, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            reply = voter.on_seal_request(message) if voter else None
        if reply is not None:
            self._reply(sender, reply)

    def _on_seal_reply(self, message: SealReply, sender: str) -> None:
        listener = self._seal_listeners.get(message.panel_id)
        if listener is not None:
            listener(message)

    def _on_vouch_request(self, message: VouchRequest, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            reply = voter.on_vouch_request(message) if voter else None
        if reply is not None:
            self._reply(sender, reply)

    def _on_vouch_reply(self, message: VouchReply, sender: str) -> None:
        with self.state.lock:
            voter = self.state.voters.get(message.panel_id)
            if voter is not None:
                voter.on_vouch_reply(message)

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            self.transport.send(item.address, item.message)
