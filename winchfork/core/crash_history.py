"""Requests or prompt parts under which replicas have crashed, and those that are refused for it.

Both are identified by a digest (:mod:`winchfork.core.request_digest`), an incarnation of a replica
by its 64-bit hash. A crash fails every run on the replica, so one crash only makes a digest
suspect. A request is refused after ``CRASHES_TO_REFUSE`` different incarnations have crashed under
it without a successful run in between.

A refusal expires, since replicas may have crashed for another cause, such as faulty weights. The
request then runs again: success clears it, and another crash refuses it for longer.

The tables are bounded; the least recently updated entry is evicted first. Times are seconds of one
clock, passed in by the caller.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

import msgspec

#: Incarnations that crash under a request before it is refused.
CRASHES_TO_REFUSE = 3
#: A suspicion expires this long after its last crash.
SUSPICION_TTL_S = 3600.0
#: Duration of a request's first refusal and of each later one.
FIRST_REFUSAL_S = 600.0
REPEATED_REFUSAL_S = 24 * 3600.0
#: Crashes under requests with a part after which these run one at a time.
CRASHES_TO_LIMIT_PART = 2
#: Durations of a part's refusals. The first only limits it; each later one follows a crash under a
#: run that was alone in the fleet with the part.
PART_REFUSALS_S = (0.0, 1.0, 1.0, 15.0, 60.0, FIRST_REFUSAL_S, REPEATED_REFUSAL_S)
#: Bounds the table of suspect requests to about 4 MB. A crash makes some 50 requests suspect, so it
#: holds those of 300 crashes.
MAX_SUSPECTS = 16_384
#: A crash this soon after a success of the request is not attributed to it: a request that many
#: callers send may be running on several replicas that crash in quick succession.
RECENT_SUCCESS_S = 3.0
#: Bounds the table of recently successful requests: those of some seconds on a busy daemon.
MAX_RECENT_SUCCESSES = 1_024
#: Bounds the table of refused requests.
MAX_REFUSED = 4_096

#: Parts that many requests share succeed more often than whole requests.
MAX_RECENT_PART_SUCCESSES = 4_096

_Entry = TypeVar("_Entry")


class RefusalPolicy(msgspec.Struct, frozen=True):
    """The bounds of a history, and the durations in seconds of successive refusals of a digest.

    ``max_crashes`` is the number of crashed incarnations that are remembered for each digest.
    """

    max_crashes: int
    refusals_s: tuple[float, ...]
    max_recent_successes: int


REQUEST_POLICY = RefusalPolicy(
    CRASHES_TO_REFUSE, (FIRST_REFUSAL_S, REPEATED_REFUSAL_S), MAX_RECENT_SUCCESSES
)
PART_POLICY = RefusalPolicy(CRASHES_TO_LIMIT_PART, PART_REFUSALS_S, MAX_RECENT_PART_SUCCESSES)


class _Suspicion(msgspec.Struct):
    """The incarnations that have crashed under a request, and the time of the last crash."""

    incarnations: tuple[int, ...]
    updated_at_s: float


class _Refusal(msgspec.Struct):
    """Number of refusals of a request and the end of the latest one."""

    times: int
    until_s: float


class CrashHistory:
    """Crashes, successes and refusals by digest. Not thread-safe."""

    def __init__(
        self,
        max_suspects: int = MAX_SUSPECTS,
        max_refused: int = MAX_REFUSED,
        policy: RefusalPolicy = REQUEST_POLICY,
    ) -> None:
        self._policy = policy
        self._max_suspects = max_suspects
        self._max_refused = max_refused
        self._suspicions: OrderedDict[bytes, _Suspicion] = OrderedDict()
        self._succeeded_at_s: OrderedDict[bytes, float] = OrderedDict()
        #: Includes expired refusals that were not cleared.
        self._refusals: OrderedDict[bytes, _Refusal] = OrderedDict()

    def record_crash(self, digest: bytes, incarnation: int, now_s: float) -> bool:
        """Record that an incarnation crashed under a request; False if that was known."""
        before = self.crashed_incarnations(digest, now_s)
        if incarnation in before:
            return False
        suspicion = _Suspicion((*before, incarnation)[-self._policy.max_crashes :], now_s)
        _put_last(self._suspicions, digest, suspicion, self._max_suspects)
        return True

    def crash_count(self, digest: bytes, now_s: float) -> int:
        """Return how many incarnations have crashed under a request since its last success.

        The count is at most the policy's ``max_crashes``; a request that was refused and not
        cleared since has that count.
        """
        if digest in self._refusals:
            return self._policy.max_crashes
        return len(self.crashed_incarnations(digest, now_s))

    def crashed_incarnations(self, digest: bytes, now_s: float) -> tuple[int, ...]:
        """Return the incarnations that have crashed under a request since its last success."""
        known = self._live_suspicion(digest, now_s)
        return known.incarnations if known is not None else ()

    def has_crash(self, digest: bytes, incarnation: int, now_s: float) -> bool:
        """Whether the crash of this incarnation still counts against a request."""
        return incarnation in self.crashed_incarnations(digest, now_s)

    def record_success(self, digest: bytes, now_s: float) -> None:
        """Record that a run of a request has succeeded."""
        _put_last(self._succeeded_at_s, digest, now_s, self._policy.max_recent_successes)

    def succeeded_recently(self, digest: bytes, now_s: float) -> bool:
        """Whether a run of a request succeeded here within ``RECENT_SUCCESS_S``."""
        succeeded_at_s = self._succeeded_at_s.get(digest)
        return succeeded_at_s is not None and now_s - succeeded_at_s <= RECENT_SUCCESS_S

    def clear(self, digest: bytes) -> bool:
        """Remove a request's suspicion and refusal; False if it had neither.

        Called after a successful run, or when an operator releases the request.
        """
        suspected = self._suspicions.pop(digest, None) is not None
        refused = self._refusals.pop(digest, None) is not None
        return suspected or refused

    def refuse(self, digest: bytes, times: int, until_s: float) -> None:
        """Refuse a request until ``until_s``; ``times`` counts its refusals, this one included."""
        _put_last(self._refusals, digest, _Refusal(times, until_s), self._max_refused)

    def is_refused(self, digest: bytes, now_s: float) -> bool:
        """Whether a request is refused now."""
        refusal = self._refusals.get(digest)
        return refusal is not None and now_s < refusal.until_s

    def times_refused(self, digest: bytes) -> int:
        """Return how often a request has been refused since its last success."""
        refusal = self._refusals.get(digest)
        return refusal.times if refusal is not None else 0

    def refusal_s(self, times: int) -> float:
        """Return the duration of a request's ``times``-th refusal."""
        durations_s = self._policy.refusals_s
        return durations_s[min(max(times, 1), len(durations_s)) - 1]

    def count_refused(self, min_times: int, now_s: float) -> int:
        """Return how many digests are refused for at least the ``min_times``-th time."""
        return sum(
            refusal.times >= min_times and now_s < refusal.until_s
            for refusal in self._refusals.values()
        )

    def refused_until_s(self, digest: bytes) -> float:
        """Return when the latest refusal of a digest ends; 0 if it has none."""
        refusal = self._refusals.get(digest)
        return refusal.until_s if refusal is not None else 0.0

    @property
    def suspected_count(self) -> int:
        """Number of suspect requests."""
        return len(self._suspicions)

    @property
    def refused_count(self) -> int:
        """Number of refused requests, expired refusals that were not cleared included."""
        return len(self._refusals)

    def _live_suspicion(self, digest: bytes, now_s: float) -> _Suspicion | None:
        known = self._suspicions.get(digest)
        if known is not None and now_s - known.updated_at_s > SUSPICION_TTL_S:
            del self._suspicions[digest]
            return None
        return known


def _put_last(
    table: OrderedDict[bytes, _Entry], digest: bytes, entry: _Entry, max_entries: int
) -> None:
    """Insert an entry as the most recent one; evict the oldest beyond ``max_entries``."""
    table[digest] = entry
    table.move_to_end(digest)
    if len(table) > max_entries:
        table.popitem(last=False)
