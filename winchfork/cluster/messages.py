"""Every message type between daemons. The order is the wire's: add new types at the end."""

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
    """Asks a family's owner which replicas have cached a prefix of these blocks.

    ``block_keys`` start with the family's own key.
    """

    nonce: int
    block_keys: tuple[int, ...]


class LookupReply(PeerMessage, frozen=True):
    """``matched`` maps replica ids to how many leading blocks of the request are assumed cached."""

    nonce: int
    matched: dict[str, int]


class CacheUpdate(PeerMessage, frozen=True):
    """Changes of one replica's assumed cache contents, sent to the owner of the blocks' family.

    Under ``incarnation``, the ``cached`` blocks are cached and the ``removed`` ones are not. With
    ``reset``, which goes to every daemon, the receiver first drops all that it assumed cached on
    the replica.
    """

    replica_id: str
    incarnation: int
    cached: tuple[int, ...]
    removed: tuple[int, ...]
    reset: bool = False


class ReplicaUpdate(PeerMessage, frozen=True):
    """A replica's identity and speeds; its reader sends them to all daemons on a new identity."""

    replica_id: str
    incarnation: int
    weights_version: int
    prefill_tokens_per_s: float
    import_tokens_per_s: float


class DocumentAnnouncement(PeerMessage, frozen=True):
    """Announces the sender's document revisions as soon as one has changed."""

    revisions: tuple[int, ...]


class DocumentPull(PeerMessage, frozen=True):
    """Asks for the part at ``offset`` of a document whose revision is at least ``revision``."""

    name: str
    revision: int
    offset: int


class DocumentPart(PeerMessage, frozen=True):
    """One part of a document's text at one revision; ``total`` is the text's length in bytes."""

    name: str
    revision: int
    offset: int
    total: int
    data: bytes


class ExplainRequest(PeerMessage, frozen=True):
    """Asks for the peer's decision log of a request."""

    nonce: int
    request_id: str


class ExplainReply(PeerMessage, frozen=True):
    """Carries the decision log as JSON text, empty when the request is unknown."""

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
