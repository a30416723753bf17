"""Placement lookups at the owner of a prefix family, with a local fall-back.

The owner holds the beliefs for the family. When it is slow, dead or just restarted, the ingress
decides alone from its own beliefs and the family's rendezvous order, at once.
"""

from __future__ import annotations

import dataclasses
import enum

from winchfork.cluster.messages import CacheUpdate, LookupReply, LookupRequest
from winchfork.cluster.node import PeerNode
from winchfork.constants import LOOKUP_TIMEOUT_S
from winchfork.core.families import add_blocks_above, keys_from_family
from winchfork.core.fleet import ReplicaIdentity
from winchfork.core.prefix import PromptPrefix


class LookupSource(enum.Enum):
    """Where the matches came from."""

    OWN = "own"
    OWNER = "owner"
    FALL_BACK = "fall_back"
    NO_FULL_BLOCK = "no_full_block"


@dataclasses.dataclass(frozen=True)
class LookupResult:
    """Leading cached blocks by replica, and who said so."""

    matched: dict[str, int]
    source: LookupSource
    owner: str


class PlacementLookup:
    """Asks owners and tells them of dispatches. Thread-safe."""

    def __init__(self, node: PeerNode) -> None:
        self._node = node

    def find(self, prefix: PromptPrefix) -> LookupResult:
        """Return which replicas hold how much of the prompt."""
        if not prefix.block_keys:
            return LookupResult({}, LookupSource.NO_FULL_BLOCK, "")
        above, keys = keys_from_family(prefix)
        owner = self._node.owner_of(prefix.family)
        state = self._node.state
        if owner is not None and owner.member_id != state.own_id:
            reply = self._node.transport.request(
                owner.peer_address,
                lambda nonce: LookupRequest(nonce, tuple(keys)),
                LOOKUP_TIMEOUT_S,
            )
            if isinstance(reply, LookupReply):
                return LookupResult(
                    add_blocks_above(reply.matched, above), LookupSource.OWNER, owner.member_id
                )
        with state.lock:
            matched = state.index.match(keys)
        own = owner is not None and owner.member_id == state.own_id
        source = LookupSource.OWN if own else LookupSource.FALL_BACK
        return LookupResult(
            add_blocks_above(matched, above), source, owner.member_id if owner else ""
        )

    def report_dispatch(
        self, prefix: PromptPrefix, replica_id: str, identity: ReplicaIdentity
    ) -> None:
        """Tell the owner that a replica is about to hold the prompt's blocks."""
        if not prefix.block_keys:
            return
        _, keys = keys_from_family(prefix)
        note = CacheUpdate(replica_id, identity.incarnation, tuple(keys), ())
        state = self._node.state
        with state.lock:
            state.index.assume_stored(note.replica_id, note.incarnation, note.held)
        owner = self._node.owner_of(prefix.family)
        if owner is not None and owner.member_id != state.own_id:
            self._node.transport.send(owner.peer_address, note)
