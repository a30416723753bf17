"""Every message between daemons, in wire order. New types go at the end."""

from __future__ import annotations

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
from winchfork.core.member import IndirectProbe, Probe, ProbeReply
from winchfork.core.peer_message import PeerMessage


class LookupRequest(PeerMessage, frozen=True):
    """An ingress asks a family's owner which replicas hold these blocks, and until which.

    ``block_keys`` start with the family's own key.
    """

    nonce: int
    block_keys: tuple[int, ...]


class LookupReply(PeerMessage, frozen=True):
    """``matched`` maps replica ids to leading blocks believed held."""

    nonce: int
    matched: dict[str, int]


class CacheUpdate(PeerMessage, frozen=True):
    """Beliefs about one replica for their owner: from a dispatch, a reply or folded events.

    ``held`` blocks are there, ``gone`` blocks are not, both under ``incarnation``. ``reset`` drops
    every earlier belief about the replica first.
    """

    replica_id: str
    incarnation: int
    held: tuple[int, ...]
    removed: tuple[int, ...]
    reset: bool = False


class ReplicaUpdate(PeerMessage, frozen=True):
    """A replica's identity as its reader saw it, passed to the region's daemons on change."""

    replica_id: str
    incarnation: int
    weights_version: int
    prefill_tokens_per_s: float
    import_tokens_per_s: float


class DocumentAnnouncement(PeerMessage, frozen=True):
    """Tells the sender's document revisions at once when one has changed."""

    revisions: tuple[int, ...]


class DocumentPull(PeerMessage, frozen=True):
    """Asks for a part of a document, at least at ``revision``."""

    name: str
    revision: int
    offset: int


class DocumentPart(PeerMessage, frozen=True):
    """One part of a document's text at one revision."""

    name: str
    revision: int
    offset: int
    total: int
    data: bytes


class ExplainRequest(PeerMessage, frozen=True):
    """Asks whether the peer knows a request's decisions."""

    nonce: int
    request_id: str


class ExplainReply(PeerMessage, frozen=True):
    """``steps`` is the decision log's JSON text, empty when unknown."""

    nonce: int
    steps: str


MESSAGE_TYPES: tuple[type, ...] = (
    Probe,
    ProbeReply,
    IndirectProbe,
    VoteRequest,
    VoteReply,
    VoteRelease,
    OutcomeRecord,
    SealRequest,
    SealReply,
    VouchRequest,
    VouchReply,
    LookupRequest,
    LookupReply,
    CacheUpdate,
    ReplicaUpdate,
    DocumentAnnouncement,
    DocumentPull,
    DocumentPart,
    ExplainRequest,
    ExplainReply,
)
