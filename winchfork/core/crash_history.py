"""Which requests replicas have ended under, and which are refused for it.

A request is named by its digest (:mod:`winchfork.core.request_digest`), a replica's incarnation by
its 64-bit hash. A replica that ends takes every run on it along, so an end under a request is a
suspicion and no proof. Three different incarnations have to end in a row; a run that ends well in
between clears it.

A refused request is tried once more after some minutes: where replicas ended for another reason,
such as weights that end them under any request, many are refused that did nothing. If that run ends
well, the request is cleared; if its replica ends, it is refused for long.

Both tables are bounded: what was touched longest ago is forgotten first.

Times are seconds of one clock, given in.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

import msgspec

#: Incarnations that may end under a request before it is refused.
CRASHES_TO_REFUSE = 3
#: A suspicion that nothing has confirmed or cleared for this long is forgotten.
SUSPICION_TTL_S = 3600.0
#: For how long a request is refused the first time, and each time after that.
FIRST_REFUSAL_S = 600.0
REPEATED_REFUSAL_S = 24 * 3600.0
#: A replica takes some 50 runs along when it ends: the suspicions of 300 such ends, 4 MB.
MAX_SUSPECTS = 16_384
#: A request that many send may be on every replica of a small service when they end one after the
#: other, with no time for a run that ends well in between. One that ended well so shortly before is
#: no request that ends its replica each time.
RECENT_SUCCESS_S = 3.0
#: Requests that ended well lately and are remembered: some seconds of a busy daemon.
MAX_RECENT_SUCCESSES = 1_024
#: Refused requests, each of which has ended three replicas.
MAX_REFUSED = 4_096

_Entry = TypeVar("_Entry")


class _Suspicion(msgspec.Struct):
    """The incarnations that have ended under a request, and when the last of them was noted."""

    incarnations: tuple[int, ...]
    updated_at_s: float


class _Refusal(msgspec.Struct):
    """How often a request has been refused, and until when it is."""

    times: int
    until_s: float


class CrashHistory:
    """Suspicions and refusals by digest. Not thread-safe."""

    def __init__(self, max_suspects: int = MAX_SUSPECTS, max_refused: int = MAX_REFUSED) -> None:
        self._max_suspects = max_suspects
        self._max_refused = max_refused
        self._suspicions: OrderedDict[bytes, _Suspicion] = OrderedDict()
        #: When each of the last requests that ended well did so.
        self._succeeded_at_s: OrderedDict[bytes, float] = OrderedDict()
        #: Requests that are refused, or have been and were not cleared since.
        self._refusals: OrderedDict[bytes, _Refusal] = OrderedDict()

    def record_crash(self, digest: bytes, incarnation: int, now_s: float) -> bool:
        """Record that an incarnation ended under a request; False if that was known."""
        known = self._live_suspicion(digest, now_s)
        if known is not None and incarnation in known.incarnations:
            return False
        before = known.incarnations if known is not None else ()
        suspicion = _Suspicion((*before, incarnation)[-CRASHES_TO_REFUSE:], now_s)
        _put_last(self._suspicions, digest, suspicion, self._max_suspects)
        return True

    def crash_count(self, digest: bytes, now_s: float) -> int:
        """Return how many incarnations have ended under a request since it last ended well."""
        if digest in self._refusals:
            return CRASHES_TO_REFUSE
        known = self._live_suspicion(digest, now_s)
        return len(known.incarnations) if known is not None else 0

    def has_crash(self, digest: bytes, incarnation: int, now_s: float) -> bool:
        """Whether this very end still counts against a request."""
        known = self._live_suspicion(digest, now_s)
        return known is not None and incarnation in known.incarnations

    def record_success(self, digest: bytes, now_s: float) -> None:
        """Record that a run of a request has ended well."""
        _put_last(self._succeeded_at_s, digest, now_s, MAX_RECENT_SUCCESSES)

    def succeeded_recently(self, digest: bytes, now_s: float) -> bool:
        """Whether a run of a request ended well here a short time ago."""
        ended_s = self._succeeded_at_s.get(digest)
        return ended_s is not None and now_s - ended_s <= RECENT_SUCCESS_S

    def clear(self, digest: bytes) -> bool:
        """Forget what a request was suspected of, and refuse it no longer; False if nothing was.

        For a run of it that ended well, or an operator who releases it.
        """
        suspected = self._suspicions.pop(digest, None) is not None
        refused = self._refusals.pop(digest, None) is not None
        return suspected or refused

    def refuse(self, digest: bytes, times: int, until_s: float) -> None:
        """Refuse a request, for the ``times``-th time, until then."""
        _put_last(self._refusals, digest, _Refusal(times, until_s), self._max_refused)

    def is_refused(self, digest: bytes, now_s: float) -> bool:
        """Whether a request is refused now."""
        refusal = self._refusals.get(digest)
        return refusal is not None and now_s < refusal.until_s

    def times_refused(self, digest: bytes) -> int:
        """Return how often a request has been refused since it last ended well."""
        refusal = self._refusals.get(digest)
        return refusal.times if refusal is not None else 0

    @staticmethod
    def refusal_s(times: int) -> float:
        """Return for how long a request is refused the ``times``-th time."""
        return FIRST_REFUSAL_S if times <= 1 else REPEATED_REFUSAL_S

    @property
    def suspected_count(self) -> int:
        """Requests under suspicion."""
        return len(self._suspicions)

    @property
    def refused_count(self) -> int:
        """Requests that are refused, or have been and were not cleared since."""
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
    """Enter what was touched just now; of more than ``most``, the longest untouched goes."""
    table[digest] = entry
    table.move_to_end(digest)
    if len(table) > max_entries:
        table.popitem(last=False)
