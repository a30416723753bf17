"""Messages between router processes.

Messages are encoded as arrays, so the order of their fields is part of the wire format, as is the
order of ``PEER_MESSAGE_TYPES``.
"""

from __future__ import annotations

from winchfork.core.member import IndirectProbe, Probe, ProbeReply
from winchfork.core.peer_message import PeerMessage
from winchfork.core.quota_ledger import QuotaLevels, QuotaReport
from winchfork.core.software_state import StopCause


class ReplicaLoadEntry(PeerMessage, frozen=True):
    """The sender's own work on one replica, whose incarnation ``replica_hash`` identifies.

    ``memory_tokens`` is the most cache memory that this work may take; ``busy_steps`` is the time
    until the last of it is expected to end, in steps of 50 ms.
    """

    replica_hash: int
    in_flight: int
    pending_prefill_tokens: int
    memory_tokens: int
    busy_steps: int


class CachedPartsEntry(PeerMessage, frozen=True):
    """Prompt parts that a replica has cached, each as the hash of its namespace and id."""

    replica_hash: int
    parts: tuple[int, ...]


class Activity(PeerMessage, frozen=True):
    """The sender's current work and recent changes.

    ``correction`` has the sender's quota levels for a hub whose own are a guess.
    """

    sender_id: str
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    quota: QuotaReport | None = None
    correction: QuotaLevels | None = None


class WeightsEntry(PeerMessage, frozen=True):
    """A replica's weights version, and its restrictions during a rollout.

    ``incarnation`` distinguishes starts of the replica under the same id. It must get no work for
    ``held_ms``, and should get no long work for ``next_ms``.
    """

    replica_id: str
    incarnation: int
    model: str
    version: int
    held_ms: int
    next_ms: int


class WeightsProgress(PeerMessage, frozen=True):
    """The entries of the rollout leader that holds ``fence``."""

    sender_id: str
    fence: int
    entries: tuple[WeightsEntry, ...]


class VersionAgeEntry(PeerMessage, frozen=True):
    """How long ago a version was published at the most, as of sending, rounded up."""

    model: str
    version: int
    age_ms: int


class VersionAges(PeerMessage, frozen=True):
    """The ages of versions, which a daemon that has just started cannot learn from the store."""

    entries: tuple[VersionAgeEntry, ...]


class VersionAgeQuery(PeerMessage, frozen=True):
    """Requests a ``VersionAgeReply`` with the same nonce."""

    sender_address: str
    nonce: int


class VersionAgeReply(PeerMessage, frozen=True):
    """The ages of versions, as of some time after the query was sent."""

    nonce: int
    entries: tuple[VersionAgeEntry, ...]


class Resignation(PeerMessage, frozen=True):
    """The leader that holds ``fence`` shuts down and gives no more orders.

    ``last_order_ms`` is the age of its last order, ``uptime_ms`` the time since its start.
    """

    fence: int
    last_order_ms: int
    uptime_ms: int


class FailureReport(PeerMessage, frozen=True):
    """The sender has ejected a replica for failures of its own requests."""

    sender_id: str
    replica_hash: int


class ZoneWork(PeerMessage, frozen=True):
    """The total work of a zone's daemons, from a hub of that zone to the hubs of others."""

    sender_id: str
    zone: str
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    quota: QuotaReport | None = None
    levels: QuotaLevels | None = None


class FleetWork(PeerMessage, frozen=True):
    """The total work of all daemons, the receiver included, from a hub to its own zone.

    A message that is not ``complete`` has only the replicas whose work has changed.
    """

    sender_id: str
    complete: bool
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    levels: QuotaLevels | None = None
    #: Zones that are unreachable from this one; whether this zone is cut off from all others.
    unreachable_zones: tuple[str, ...] = ()
    is_isolated: bool = False


class ZoneQuotaUse(PeerMessage, frozen=True):
    """The use of the tenants' quotas by a zone's daemons, as one of its hubs reports it."""

    sender_id: str
    zone: str
    quota: QuotaReport | None = None
    levels: QuotaLevels | None = None


class RegionWork(PeerMessage, frozen=True):
    """The total work of a region's daemons, from one of its region hubs to those of other regions.

    A message that is not ``complete`` has only the replicas whose work has changed. The receiving
    region hubs forward it to the hubs of their region.
    """

    sender_id: str
    region: str
    complete: bool
    loads: tuple[ReplicaLoadEntry, ...]
    uses: tuple[ZoneQuotaUse, ...] = ()


class Forward(PeerMessage, frozen=True):
    """A datagram that a hub handles and forwards to the daemons of its zone.

    With ``whole_region`` the hub also forwards it to all other hubs of its region.
    """

    datagram: bytes
    whole_region: bool = False


class DocumentPull(PeerMessage, frozen=True):
    """A request for the changes of the store's entries after the given revision."""

    sender_id: str
    sender_address: str
    after_revision: int


class DocumentPart(PeerMessage, frozen=True):
    """One part of a packed update of the store's entries; ``offset`` and ``total`` are in bytes."""

    sender_id: str
    base_revision: int
    at_revision: int
    complete: bool
    after_outage: bool
    offset: int
    total: int
    data: bytes


class EraDocumentPull(PeerMessage, frozen=True):
    """A pull by a daemon whose store has an era; earlier builds ignore this message."""

    era: int
    pull: DocumentPull


class EraDocumentPart(PeerMessage, frozen=True):
    """A part of an update whose revisions belong to ``era``."""

    era: int
    part: DocumentPart


class EvidenceEntry(PeerMessage, frozen=True):
    """Counts of answers on one route, identified by its hash, since an order was given.

    ``replica`` is the hash of a replica of the new version, or 0 for all replicas of the old one.
    """

    route: int
    replica: int
    answers: int
    failed: int
    slow: int


class VersionEvidence(PeerMessage, frozen=True):
    """Evidence on a software rollout, of one start of a daemon or of a whole zone.

    ``zone`` is empty if the evidence is the sender's own.
    """

    sender_id: str
    start_id: int
    zone: str
    service: str
    order_revision: int
    entries: tuple[EvidenceEntry, ...]


class VersionStop(PeerMessage, frozen=True):
    """The target version of an order gets no more requests, for ``cause``."""

    sender_id: str
    service: str
    order_revision: int
    cause: StopCause


class CrashReport(PeerMessage, frozen=True):
    """A replica's incarnation has crashed while running these requests of the sender."""

    incarnation: int
    digests: tuple[bytes, ...]


class SuspectRunReport(PeerMessage, frozen=True):
    """The sender runs a request that has, or a prompt part of which has, crashed replicas.

    A ``remaining_ms`` of 0 means that the run is over.
    """

    sender_id: str
    digest: bytes
    incarnation: int
    remaining_ms: int


class ClearedRequests(PeerMessage, frozen=True):
    """Suspected requests or prompt parts, under which replicas had crashed, that succeeded."""

    digests: tuple[bytes, ...]


class SuspectPartsReport(PeerMessage, frozen=True):
    """A replica's incarnation has crashed while running requests with these prompt parts."""

    incarnation: int
    parts: tuple[bytes, ...]


class PartRefusalEntry(PeerMessage, frozen=True):
    """A prompt part that was refused ``times`` times since its last success.

    The latest refusal ends in ``remaining_ms``. The first only limits the part.
    """

    part: bytes
    times: int
    remaining_ms: int


class PartRefusalReport(PeerMessage, frozen=True):
    """Prompt parts that the sender has limited or refused, since they may crash replicas."""

    entries: tuple[PartRefusalEntry, ...]


class LimitEntry(PeerMessage, frozen=True):
    """The limit, in requests a second, in an answer of ``age_ms`` ago; None if it has ended."""

    per_s: float | None
    age_ms: int


class ReplicaNoticeEntry(PeerMessage, frozen=True):
    """The notice of a replica to the sender; its backoff is counted from the time of sending."""

    incarnation: int
    draining: bool
    backoff_ms: int
    limit: LimitEntry | None = None


class ReplicaNotices(PeerMessage, frozen=True):
    """The notices of replicas in answers to the sender."""

    sender_id: str
    entries: tuple[ReplicaNoticeEntry, ...]


class BrittleEntry(PeerMessage, frozen=True):
    """What the sender has heard of a replica, and so of its service.

    Answers of ``age_ms`` ago say that ``per_s`` rejections a second are borne; None: that has
    ended. ``rejected_room`` is the room that the sender knows of after a rejection, 0 without one.
    """

    incarnation: int
    per_s: float | None
    age_ms: int
    rejected_room: int = 0


class BrittleReport(PeerMessage, frozen=True):
    """Brittle replicas that the sender has heard of, or that have rejected its requests."""

    sender_id: str
    entries: tuple[BrittleEntry, ...]


class StreamOriginEntry(PeerMessage, frozen=True):
    """A begun stream, and the version of a service's software that began it.

    It may be forgotten ``remaining_ms`` after sending.
    """

    key: bytes
    service: str
    software: str
    remaining_ms: int


class StreamOriginReport(PeerMessage, frozen=True):
    """Streams that the receiver is to remember."""

    entries: tuple[StreamOriginEntry, ...]


class StreamOriginQuery(PeerMessage, frozen=True):
    """Asks which software began a stream, for a ``StreamOriginReply`` with the same nonce.

    ``service`` is the only one that may have, or empty; the stream has begun within the last
    ``max_age_ms``.
    """

    sender_address: str
    nonce: int
    key: bytes
    service: str
    max_age_ms: int


class StreamOriginReply(PeerMessage, frozen=True):
    """The origin of a stream; ``software`` is None if the sender does not know it.

    ``recorded``: the sender has the stream's record. Earlier builds also reply with what they have
    concluded from their list of replicas; that is not to be used, since the list may be old.
    """

    sender_id: str
    nonce: int
    service: str
    software: str | None
    recorded: bool


class ConfigurationQuery(PeerMessage, frozen=True):
    """Asks for the version of the installed configuration; ``version`` is the sender's own.

    A version is 0 without a configuration.
    """

    sender_id: str
    sender_address: str
    version: int


class ConfigurationReply(PeerMessage, frozen=True):
    """The version of the sender's installed configuration."""

    sender_id: str
    version: int


PEER_MESSAGE_TYPES = (
    Probe,
    ProbeReply,
    IndirectProbe,
    Activity,
    WeightsProgress,
    VersionAges,
    Resignation,
    ZoneWork,
    FleetWork,
    Forward,
    DocumentPull,
    DocumentPart,
    FailureReport,
    RegionWork,
    VersionEvidence,
    VersionStop,
    CrashReport,
    SuspectRunReport,
    ClearedRequests,
    ReplicaNotices,
    EraDocumentPull,
    EraDocumentPart,
    VersionAgeQuery,
    VersionAgeReply,
    BrittleReport,
    StreamOriginReport,
    StreamOriginQuery,
    StreamOriginReply,
    SuspectPartsReport,
    PartRefusalReport,
    ConfigurationQuery,
    ConfigurationReply,
)
