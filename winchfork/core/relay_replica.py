"""The state that a relaying daemon holds for one replica.

The listing comes from the platform and is replaced by
:class:`winchfork.core.relay_fleet.RelayFleet`. Everything else is measured or received by this
daemon: requests in flight, latency, failures, weights versions. Id and start time together identify
one incarnation. Of a former incarnation with the same id it is only known whether it has answered.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping

import msgspec

from winchfork.core.rendezvous import member_hash
from winchfork.core.replica_notice import ReplicaNotice

#: Weight of a new sample in the exponential moving average of latency.
_SAMPLE_WEIGHT = 0.25
#: Consecutive failures after which a replica is ejected.
FAILURES_TO_EJECT = 3
#: Seconds of a first ejection; doubled with each consecutive ejection.
EJECTION_S = 1.0
#: Upper bound of an ejection, in seconds.
MAX_EJECTION_S = 8.0
#: Peers that must report a failure before the replica is ejected here; a single peer may itself be
#: partitioned.
REPORTERS_TO_EJECT = 2
#: Seconds for which a peer's failure report counts.
FAILURE_REPORT_TTL_S = 2.0


class IncarnationState(enum.Enum):
    """Whether an incarnation is assumed to be the one that answers at its address."""

    CURRENT = "in_place"
    #: Another one was listed or has answered there more recently.
    SUSPECT = "doubted"
    #: Another one has answered a request to this one, which has therefore ended.
    ENDED = "ended"


class ReplicaListing(msgspec.Struct, frozen=True):
    """The platform's entry for one replica.

    ``versions`` maps each model to the version of its weights. ``software`` is the version of the
    replica's own program; empty if the platform gives none. ``started_at_ms`` is its start time in
    milliseconds since 1970 by its own clock; 0 if not given.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    accepting: bool
    versions: Mapping[str, int] = msgspec.field(default_factory=dict)
    software: str = ""
    started_at_ms: int = 0

    @property
    def incarnation(self) -> int:
        """The 64-bit hash of id and start time that identifies this incarnation among peers."""
        return member_hash(
            f"{self.replica_id}@{self.started_at_ms}" if self.started_at_ms else self.replica_id
        )

    def is_restart_of(self, earlier: ReplicaListing) -> bool:
        """Whether it started after ``earlier``, which has the same id; False without start time."""
        return self.started_at_ms > earlier.started_at_ms

    def is_older_incarnation_of(self, later: ReplicaListing) -> bool:
        """Whether it started before ``later``, which has the same id; False without start time."""
        return 0 < self.started_at_ms < later.started_at_ms


class RelayReplica(msgspec.Struct):
    """One replica with this daemon's measurements and peer reports. Times are monotonic seconds."""

    listing: ReplicaListing
    versions: dict[str, int]
    #: Identifies the incarnation, see :attr:`ReplicaListing.incarnation`.
    incarnation_hash: int
    in_flight: int = 0
    pending_prefill_tokens: int = 0
    #: Largest number of prompt and answer tokens of this daemon's requests in flight.
    memory_tokens: int = 0
    peer_in_flight: int = 0
    peer_pending_prefill_tokens: int = 0
    peer_memory_tokens: int = 0
    latency_s: float = 0.0
    latency_at_s: float = 0.0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = 0.0
    loading_until_s: float = 0.0
    incarnation_state: IncarnationState = IncarnationState.CURRENT
    #: Sequence number of its first listing, or of the latest answer that showed it to be current;
    #: the highest one at an address wins.
    recency: int = 0
    #: Until then a load of weights is expected soon, and long requests should be placed elsewhere.
    load_upcoming_until_s: float = 0.0
    peer_busy_until_s: float = 0.0
    #: The notice from this incarnation's answers: draining, backoff, request limit.
    notice: ReplicaNotice = msgspec.field(default_factory=ReplicaNotice)
    #: The hash of its id, which orders the replicas for placement. It outlasts a restart, so that
    #: the replica and the prompt families keep their places.
    placement_hash: int = 0
    #: Whether a former incarnation with its id has answered this daemon.
    answered_before_restart: bool = False
    #: When this daemon last received a part of an answer from it; minus infinity if never.
    last_received_at_s: float = -math.inf
    #: Start of the last call that proved this incarnation to answer at its address.
    proven_at_s: float = -math.inf
    #: When such a call last failed or proved nothing.
    proof_failed_at_s: float = -math.inf
    #: Whether it has begun a stream for this daemon.
    has_begun_stream: bool = False
    _expected_ends_s: dict[int, float] = msgspec.field(default_factory=dict)
    _failure_reported_at_s: dict[str, float] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.placement_hash = member_hash(self.listing.replica_id)

    @property
    def replica_id(self) -> str:
        """The replica's id."""
        return self.listing.replica_id

    def is_proven_for(self, opened_at_s: float) -> bool:
        """Whether a connection opened at that time leads to this incarnation, or to none.

        An incarnation that answers a later call has listened at its address ever since the
        connection was opened. Without a start time nothing can be proven, and it is assumed.
        """
        return not self.listing.started_at_ms or opened_at_s <= self.proven_at_s

    @property
    def superseded(self) -> bool:
        """Whether another incarnation is assumed or known to answer at its address."""
        return self.incarnation_state is not IncarnationState.CURRENT

    @property
    def is_in_service(self) -> bool:
        """Whether neither its entry nor its own notice says that it is draining."""
        return self.listing.accepting and not self.notice.draining

    def has_announced_end(self, now_s: float) -> bool:
        """Whether its entry, its notice or a peer's report says that it drains before its end."""
        return not self.listing.accepting or self.notice.is_draining(now_s)

    @property
    def accepting(self) -> bool:
        """Whether it is in service and not superseded, regardless of temporary pauses."""
        return self.is_in_service and not self.superseded

    def accepts_requests(self, now_s: float) -> bool:
        """Whether it may be sent a request now; ignores ejection and weights versions.

        Applies to all attempts alike: first attempts, retries and backups.
        """
        is_open = now_s >= self.loading_until_s and self.notice.accepts_requests(now_s)
        return self.accepting and is_open and self.notice.limit.available_in_s(now_s) <= 0.0

    def available_in_s(self, now_s: float) -> float:
        """Return the seconds until an accepting replica takes requests from this daemon; 0: now.

        Infinite if its request limit currently leaves no permit to this daemon.
        """
        notice = self.notice
        waits_s = (notice.available_in_s(now_s), notice.limit.available_in_s(now_s))
        return max(0.0, self.loading_until_s - now_s, *waits_s)

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that all known daemons have sent to it and that are not yet prefilled."""
        return self.pending_prefill_tokens + self.peer_pending_prefill_tokens

    @property
    def running(self) -> int:
        """Requests in flight on it from all known daemons."""
        return self.in_flight + self.peer_in_flight

    @property
    def used_tokens(self) -> int:
        """Largest number of cache tokens that the requests in flight may hold."""
        return self.memory_tokens + self.peer_memory_tokens

    def record_sent(
        self, request_key: int, prefill_tokens: int, ends_s: float, memory_tokens: int = 0
    ) -> None:
        """Count a request sent to this replica, expected to end at ``ends_s``."""
        self.in_flight += 1
        self.pending_prefill_tokens += prefill_tokens
        self.memory_tokens += memory_tokens
        self._expected_ends_s[request_key] = ends_s

    def record_prefilled(self, prefill_tokens: int) -> None:
        """Subtract a prompt whose first token has arrived or whose request has ended."""
        self.pending_prefill_tokens -= prefill_tokens

    def record_ended(self, request_key: int, memory_tokens: int = 0) -> None:
        """Subtract a request that has ended, whatever its outcome."""
        self.in_flight -= 1
        self.memory_tokens -= memory_tokens
        self._expected_ends_s.pop(request_key, None)

    @property
    def own_busy_until_s(self) -> float:
        """When the last of this daemon's requests is expected to end; 0 with none."""
        return max(self._expected_ends_s.values(), default=0.0)

    @property
    def next_end_s(self) -> float:
        """When the first of this daemon's requests is expected to end; 0 with none."""
        return min(self._expected_ends_s.values(), default=0.0)

    @property
    def busy_until_s(self) -> float:
        """When the last request of any daemon is expected to end."""
        return max(self.own_busy_until_s, self.peer_busy_until_s)

    @property
    def counts_as_connected(self) -> bool:
        """Whether it has restarted since it answered this daemon, and has not answered since.

        Its connections ended with its former incarnation, which is no reason to prefer others.
        """
        return self.answered_before_restart and not self.latency_at_s

    def record_success(self, latency_s: float, now_s: float) -> None:
        """Record a successful answer and its latency; resets failures and ejections in a row."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        if self.latency_at_s:
            self.latency_s += _SAMPLE_WEIGHT * (latency_s - self.latency_s)
        else:
            self.latency_s = latency_s
        self.latency_at_s = now_s

    def record_failure(self, now_s: float, *, certain: bool = False) -> bool:
        """Record a failure; True when it causes an ejection.

        A ``certain`` failure (a refused or unresponsive connection) ejects at once. Failures during
        an ejection do not extend it, because one event may fail many requests.
        """
        self.consecutive_failures += 1
        if now_s < self.ejected_until_s:
            return False
        if not certain and self.consecutive_failures < FAILURES_TO_EJECT:
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.ejected_until_s = now_s + duration_s
        return True

    def record_failure_report(self, reporter: str, now_s: float) -> bool:
        """Record that a peer could not reach it; True when it is now ejected here as well.

        Reports are ignored if it has answered this daemon since the first of them.
        """
        reports = self._failure_reported_at_s
        reports[reporter] = now_s
        for peer in [key for key, at_s in reports.items() if _is_expired(at_s, now_s)]:
            del reports[peer]
        if now_s < self.ejected_until_s or len(reports) < REPORTERS_TO_EJECT:
            return False
        if self.last_received_at_s > min(reports.values()):
            return False
        self._failure_reported_at_s.clear()
        self.ejected_until_s = now_s + EJECTION_S
        return True


def _is_expired(at_s: float, now_s: float) -> bool:
    return now_s - at_s > FAILURE_REPORT_TTL_S
