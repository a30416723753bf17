"""What router processes tell each other; the order of types is the wire."""

from __future__ import annotations

from winchfork.core.member import IndirectProbe, Probe, ProbeReply
from winchfork.core.peer_message import PeerMessage
from winchfork.core.quota_ledger import QuotaLevels, QuotaReport
from winchfork.core.software_state import StopCause


class ReplicaLoadEntry(PeerMessage, frozen=True):
    """The sender's own work on one replica, which is named by the hash of its id.

    ``memory_tokens`` is what this work may come to take of its memory; ``busy_steps`` is when the
    last of it is expected to end, from now, in steps of 50 ms.
    """

    replica_hash: int
    in_flight: int
    pending_prefill_tokens: int
    memory_tokens: int
    busy_steps: int


class CachedPartsEntry(PeerMessage, frozen=True):
    """A replica has read these parts, each named by the hash of its namespace and id."""

    replica_hash: int
    parts: tuple[int, ...]


class Activity(PeerMessage, frozen=True):
    """What the sender has done lately; ``correction`` is for a hub that guesses at the quotas."""

    sender_id: str
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    quota: QuotaReport | None = None
    correction: QuotaLevels | None = None


class WeightsEntry(PeerMessage, frozen=True):
    """A replica's weights version, and what the rollout asks for it.

    ``incarnation`` tells the replica from an earlier or a later one under the same id. It must be
    given no work for ``held_ms``, and had better be given no long work for ``next_ms``.
    """

    replica_id: str
    incarnation: int
    model: str
    version: int
    held_ms: int
    next_ms: int


class WeightsProgress(PeerMessage, frozen=True):
    """The rollout leader's notes, under its fence."""

    sender_id: str
    fence: int
    entries: tuple[WeightsEntry, ...]


class VersionAgeEntry(PeerMessage, frozen=True):
    """The sender heard this long ago that operators named a version."""

    model: str
    version: int
    age_ms: int


class VersionAges(PeerMessage, frozen=True):
    """What a daemon that has just started cannot learn from the store: the ages of versions."""

    entries: tuple[VersionAgeEntry, ...]


class Resignation(PeerMessage, frozen=True):
    """The leader under ``fence`` stops as planned and gives no more orders.

    ``last_order_ms`` is the age of its last order, ``uptime_ms`` how long it has run.
    """

    fence: int
    last_order_ms: int
    uptime_ms: int


class FailureReport(PeerMessage, frozen=True):
    """The sender has ejected a replica for failures that it has seen itself."""

    sender_id: str
    replica_hash: int


class ZoneWork(PeerMessage, frozen=True):
    """What a zone's daemons do together, from a hub of that zone to the hubs of others."""

    sender_id: str
    zone: str
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    quota: QuotaReport | None = None
    levels: QuotaLevels | None = None


class FleetWork(PeerMessage, frozen=True):
    """What all daemons do together, the receiver included, from a hub to its own zone.

    One that is not ``complete`` tells only the replicas whose work has changed.
    """

    sender_id: str
    complete: bool
    loads: tuple[ReplicaLoadEntry, ...]
    cached: tuple[CachedPartsEntry, ...]
    levels: QuotaLevels | None = None
    #: Zones that cannot be reached from this one, and whether it hears no other.
    unreachable_zones: tuple[str, ...] = ()
    is_isolated: bool = False


class ZoneQuotaUse(PeerMessage, frozen=True):
    """What a zone's daemons have used of the tenants' quotas, in the words of one of its hubs."""

    sender_id: str
    zone: str
    quota: QuotaReport | None = None
    levels: QuotaLevels | None = None


class RegionWork(PeerMessage, frozen=True):
    """What a region's daemons do together, from one of its speakers to those of other regions.

    One that is not ``complete`` tells only the replicas whose work has changed. Speakers pass it on
    to the hubs of their region.
    """

    sender_id: str
    region: str
    complete: bool
    loads: tuple[ReplicaLoadEntry, ...]
    uses: tuple[ZoneQuotaUse, ...] = ()


class Forward(PeerMessage, frozen=True):
    """A datagram that a hub is to take in and to pass on to the daemons of its zone.

    One for the ``whole_region`` is passed on to the hubs of the region's other zones as well.
    """

    datagram: bytes
    whole_region: bool = False


class DocumentPull(PeerMessage, frozen=True):
    """The sender knows the store's entries up to a revision and asks for what came after it."""

    sender_id: str
    sender_address: str
    after_revision: int


class DocumentPart(PeerMessage, frozen=True):
    """A part, from ``offset``, of a packed update of the store's entries; ``total`` in bytes."""

    sender_id: str
    base_revision: int
    at_revision: int
    complete: bool
    after_outage: bool
    offset: int
    total: int
    data: bytes


class EraDocumentPull(PeerMessage, frozen=True):
    """A pull of a daemon whose store has named an era; earlier builds do not know any."""

    era: int
    pull: DocumentPull


class EraDocumentPart(PeerMessage, frozen=True):
    """A part of an update whose revisions are of an era."""

    era: int
    part: DocumentPart


class EvidenceEntry(PeerMessage, frozen=True):
    """Answers on one route since an order was given, the route named by its hash.

    ``replica`` is the hash of one of the new version; 0: all replicas of the old one.
    """

    route: int
    replica: int
    answers: int
    failed: int
    slow: int


class VersionEvidence(PeerMessage, frozen=True):
    """All that one start of a daemon has seen of a software rollout, or that a whole zone has.

    ``zone`` is empty where one daemon speaks for itself.
    """

    sender_id: str
    start_id: int
    zone: str
    service: str
    order_revision: int
    entries: tuple[EvidenceEntry, ...]


class VersionStop(PeerMessage, frozen=True):
    """The target of an order gets nothing more, and why."""

    sender_id: str
    service: str
    order_revision: int
    cause: StopCause


class CrashReport(PeerMessage, frozen=True):
    """A replica's incarnation has ended while it ran these requests of the sender's."""

    incarnation: int
    digests: tuple[bytes, ...]


class SuspectRunReport(PeerMessage, frozen=True):
    """The sender runs a request under which two replicas have ended; 0 ms left: no longer."""

    sender_id: str
    digest: bytes
    incarnation: int
    remaining_ms: int


class ClearedRequests(PeerMessage, frozen=True):
    """Runs of these requests, under which replicas had ended, have ended well."""

    digests: tuple[bytes, ...]


class LimitEntry(PeerMessage, frozen=True):
    """A limit that an answer has named so many milliseconds ago; None: it named none any more."""

    per_s: float | None
    age_ms: int


class ReplicaNoticeEntry(PeerMessage, frozen=True):
    """What a replica has said of itself to the sender, the pause from now on."""

    incarnation: int
    draining: bool
    backoff_ms: int
    limit: LimitEntry | None = None


class ReplicaNotices(PeerMessage, frozen=True):
    """What replicas have said of themselves in the sender's own answers."""

    sender_id: str
    entries: tuple[ReplicaNoticeEntry, ...]


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
)
