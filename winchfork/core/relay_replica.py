"""One replica as a relaying daemon sees it: what the platform lists, and what answers showed.

What the platform lists is replaced by :class:`winchfork.core.relay_fleet.RelayFleet`; everything
else is this daemon's own evidence: work in flight, latency, failures, the weights version of its
last answer. An id and a start name one incarnation, and evidence never passes to its successor,
which may have the same id.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec

from winchfork.core.rendezvous import member_hash
from winchfork.core.replica_notice import ReplicaNotice

#: Share of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.25
#: Failures in a row after which a replica is left alone for a while.
FAILURES_TO_EJECT = 3
#: First time of leaving a failing replica alone; doubled with each ejection in a row.
EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
#: Peers that must have ejected a replica, and within how long, for their word to count here: one
#: alone may be cut off itself.
REPORTERS_TO_EJECT = 2
FAILURE_REPORT_TTL_S = 2.0


class IncarnationState(enum.Enum):
    """Whether an incarnation is the one that answers at its address, as far as known."""

    CURRENT = "in_place"
    #: Another is thought to answer there, by the order in which they were listed or last answered.
    SUSPECT = "doubted"
    #: An answer has shown that it is another: whatever the list says, this one has ended.
    ENDED = "ended"


class ReplicaListing(msgspec.Struct, frozen=True):
    """What the platform's list says of one replica.

    ``versions`` maps each model to the version of its weights. ``software`` is the version of the
    replica's own program; empty where the platform does not say. ``born_ms`` is when it started, in
    milliseconds since 1970 by its own clock; 0 where it does not say.
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
        """The 64-bit hash of the id and the start, by which peers name this incarnation."""
        return member_hash(
            f"{self.replica_id}@{self.started_at_ms}" if self.started_at_ms else self.replica_id
        )

    def is_restart_of(self, earlier: ReplicaListing) -> bool:
        """Whether it is a later incarnation under the same id; one that does not say is none."""
        return self.started_at_ms > earlier.started_at_ms

    def is_older_incarnation_of(self, later: ReplicaListing) -> bool:
        """Whether it is an earlier incarnation under the same id."""
        return 0 < self.started_at_ms < later.started_at_ms


class RelayReplica(msgspec.Struct):
    """One replica with this daemon's evidence. Times are monotonic seconds."""

    listing: ReplicaListing
    versions: dict[str, int]
    order_hash: int
    in_flight: int = 0
    pending_prefill_tokens: int = 0
    #: Tokens that the memory of requests in flight may grow to: prompts and answers.
    memory_tokens: int = 0
    peer_in_flight: int = 0
    peer_pending_prefill_tokens: int = 0
    peer_memory_tokens: int = 0
    latency_s: float = 0.0
    latency_at_s: float = 0.0
    failures_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until_s: float = 0.0
    loading_until_s: float = 0.0
    incarnation_state: IncarnationState = IncarnationState.CURRENT
    #: Rises with each first listing and each answer that says who answers at an address.
    recency: int = 0
    #: Until then a rollout is about to order it: long requests had better go elsewhere.
    load_upcoming_until_s: float = 0.0
    peer_busy_until_s: float = 0.0
    #: What this incarnation has said of itself in its answers.
    notice: ReplicaNotice = msgspec.field(default_factory=ReplicaNotice)
    _expected_ends_s: dict[int, float] = msgspec.field(default_factory=dict)
    _failure_reported_at_s: dict[str, float] = msgspec.field(default_factory=dict)

    @property
    def replica_id(self) -> str:
        """The id of this incarnation."""
        return self.listing.replica_id

    @property
    def superseded(self) -> bool:
        """Whether another incarnation is thought, or was shown, to answer at its address."""
        return self.incarnation_state is not IncarnationState.CURRENT

    @property
    def is_in_service(self) -> bool:
        """Whether neither its entry nor an answer of its own has said that it leaves."""
        return self.listing.accepting and not self.notice.draining

    @property
    def accepting(self) -> bool:
        """Whether it may be given work at all."""
        return self.is_in_service and not self.superseded

    def accepts_requests(self, now_s: float) -> bool:
        """Whether it may be sent a request now, whatever it has failed and whatever weights it has.

        The one answer for everything that is sent to run: first tries, repeats and moved streams.
        """
        is_open = now_s >= self.loading_until_s and self.notice.accepts_requests(now_s)
        return self.accepting and is_open and self.notice.limit.available_in_s(now_s) <= 0.0

    def available_in_s(self, now_s: float) -> float:
        """Return in how many seconds one that is accepting takes requests; 0: now.

        Infinite: only from other daemons, as far as known.
        """
        notice = self.notice
        waits_s = (notice.available_in_s(now_s), notice.limit.available_in_s(now_s))
        return max(0.0, self.loading_until_s - now_s, *waits_s)

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens sent to it, by all daemons as far as known, that it has not read yet."""
        return self.pending_prefill_tokens + self.peer_pending_prefill_tokens

    @property
    def running(self) -> int:
        """Requests sent to it, by all daemons as far as known, that have not ended."""
        return self.in_flight + self.peer_in_flight

    @property
    def used_tokens(self) -> int:
        """Memory that these requests may come to take."""
        return self.memory_tokens + self.peer_memory_tokens

    def record_sent(
        self, request_key: int, prefill_tokens: int, ends_s: float, memory_tokens: int = 0
    ) -> None:
        """Count a request sent to this replica, which is expected to end at ``ends_s``."""
        self.in_flight += 1
        self.pending_prefill_tokens += prefill_tokens
        self.memory_tokens += memory_tokens
        self._expected_ends_s[request_key] = ends_s

    def record_prefilled(self, prefill_tokens: int) -> None:
        """The prompt has been read: its first token has arrived, or the request has ended."""
        self.pending_prefill_tokens -= prefill_tokens

    def record_ended(self, request_key: int, memory_tokens: int = 0) -> None:
        """Count a request that has ended, however it ended."""
        self.in_flight -= 1
        self.memory_tokens -= memory_tokens
        self._expected_ends_s.pop(request_key, None)

    @property
    def own_busy_until_s(self) -> float:
        """When the last of this daemon's requests is expected to end; 0 with none."""
        return max(self._expected_ends_s.values(), default=0.0)

    @property
    def busy_until_s(self) -> float:
        """When the last request of any daemon is expected to end."""
        return max(self.own_busy_until_s, self.peer_busy_until_s)

    def record_success(self, latency_s: float, now_s: float) -> None:
        """Record a good answer and how long it took."""
        self.failures_in_row = 0
        self.ejections_in_row = 0
        if self.latency_at_s:
            self.latency_s += _SAMPLE_WEIGHT * (latency_s - self.latency_s)
        else:
            self.latency_s = latency_s
        self.latency_at_s = now_s

    def record_failure(self, now_s: float, *, certain: bool = False) -> bool:
        """Record a failure; True when the replica is now left alone for a while.

        ``certain`` failures (a refused or silent connection) need no repetition. Many requests may
        fail of one event: while the replica is left alone, further failures say nothing new.
        """
        self.failures_in_row += 1
        if now_s < self.ejected_until_s:
            return False
        if not certain and self.failures_in_row < FAILURES_TO_EJECT:
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2.0**self.ejections_in_row)
        self.ejections_in_row += 1
        self.ejected_until_s = now_s + duration_s
        return True

    def record_failure_report(self, reporter: str, now_s: float) -> bool:
        """Record that a peer has ejected it; True when it is now left alone here as well."""
        self._failure_reported_at_s[reporter] = now_s
        for peer in [
            key for key, at_s in self._failure_reported_at_s.items() if _is_expired(at_s, now_s)
        ]:
            del self._failure_reported_at_s[peer]
        if now_s < self.ejected_until_s or len(self._failure_reported_at_s) < REPORTERS_TO_EJECT:
            return False
        self._failure_reported_at_s.clear()
        self.ejected_until_s = now_s + EJECTION_S
        return True


def _is_expired(at_s: float, now_s: float) -> bool:
    return now_s - at_s > FAILURE_REPORT_TTL_S
