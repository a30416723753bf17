"""Looks up, at the owner of a prompt's prefix family, which replicas have cached the prompt.

The owner keeps the family's index of cached blocks. When it does not reply within
``LOOKUP_TIMEOUT_S``, the lookup falls back to this daemon's own index.
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
    """The index that gave the matches."""

    OWN = "own"
    OWNER = "owner"
    FALL_BACK = "fall_back"
    NO_FULL_BLOCK = "no_full_block"


@dataclasses.dataclass(frozen=True)
class LookupResult:
    """Numbers of leading cached blocks by replica id, and where they come from."""

    matched: dict[str, int]
    source: LookupSource
    owner: str


class PlacementLookup:
    """Queries the owners of prefix families and reports dispatches to them. Thread-safe."""

    def __init__(self, node: PeerNode) -> None:
        self._node = node

    def find(self, prefix: PromptPrefix) -> LookupResult:
        """Return how many leading blocks of the prompt each replica has cached."""
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
        """Report to the owner that a replica is about to cache the prompt's blocks."""
        if not prefix.block_keys:
            return
        _, keys = keys_from_family(prefix)
        update = CacheUpdate(replica_id, identity.incarnation, tuple(keys), ())
        state = self._node.state
        with state.lock:
            state.index.assume_stored(update.replica_id, update.incarnation, update.cached)
        owner = self._node.owner_of(prefix.family)
        if owner is not None and owner.member_id != state.own_id:
            self._node.transport.send(owner.peer_address, update)
