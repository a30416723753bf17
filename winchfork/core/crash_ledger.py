"""Which requests replicas have ended under, and which are refused for it.

A request is named by its digest (:mod:`winchfork.core.request_digest`), a replica's incarnation by
its 64-bit hash. A replica that ends takes every run on it along, so an end under a request is a
suspicion and no proof. Three different incarnations have to end in a row; a run that ends well in
between acquits. Both tables are bounded: what was touched longest ago is forgotten first.

Times are seconds of one clock, given in.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

#: Incarnations that may end under a request before it is refused.
ENDS_TO_REFUSE = 3
#: A suspicion that nothing has confirmed or cleared for this long is forgotten.
SUSPICION_S = 3600.0
#: A refused request is refused for this long.
REFUSAL_S = 24 * 3600.0
#: A replica takes some 50 runs along when it ends: the suspicions of 300 such ends, 4 MB.
MOST_SUSPECTS = 16_384
#: Refused requests, each of which has ended three replicas.
MOST_REFUSED = 4_096


class _Suspicion(msgspec.Struct):
    """The incarnations that have ended under a request, and when the last of them was noted."""

    incarnations: tuple[int, ...]
    noted_s: float


class CrashLedger:
    """Suspicions and refusals by digest. Not thread-safe."""

    def __init__(
        self, most_suspects: int = MOST_SUSPECTS, most_refused: int = MOST_REFUSED
    ) -> None:
        self._most_suspects = most_suspects
        self._most_refused = most_refused
        self._suspicions: OrderedDict[bytes, _Suspicion] = OrderedDict()
        #: Until when each request is refused.
        self._refused_until_s: OrderedDict[bytes, float] = OrderedDict()

    def note_end(self, digest: bytes, incarnation: int, now_s: float) -> bool:
        """Record that an incarnation ended under a request; False if that was known."""
        known = self._known(digest, now_s)
        if known is not None and incarnation in known.incarnations:
            return False
        before = known.incarnations if known is not None else ()
        self._suspicions[digest] = _Suspicion((*before, incarnation)[-ENDS_TO_REFUSE:], now_s)
        self._suspicions.move_to_end(digest)
        if len(self._suspicions) > self._most_suspects:
            self._suspicions.popitem(last=False)
        return True

    def ends(self, digest: bytes, now_s: float) -> int:
        """Return how many incarnations have ended under a request since it last ended well."""
        known = self._known(digest, now_s)
        return len(known.incarnations) if known is not None else 0

    def acquit(self, digest: bytes) -> bool:
        """Record that a run of a request has ended well; False if it was not suspected."""
        return self._suspicions.pop(digest, None) is not None

    def refuse(self, digest: bytes, until_s: float) -> None:
        """Refuse a request until then."""
        self._refused_until_s[digest] = until_s
        self._refused_until_s.move_to_end(digest)
        if len(self._refused_until_s) > self._most_refused:
            self._refused_until_s.popitem(last=False)

    def release(self, digest: bytes) -> None:
        """Refuse a request no longer, and forget what it was suspected of."""
        self._refused_until_s.pop(digest, None)
        self._suspicions.pop(digest, None)

    def is_refused(self, digest: bytes, now_s: float) -> bool:
        """Whether a request is refused now."""
        until_s = self._refused_until_s.get(digest)
        if until_s is None:
            return False
        if now_s >= until_s:
            self.release(digest)
            return False
        return True

    @property
    def suspected(self) -> int:
        """Requests under suspicion."""
        return len(self._suspicions)

    @property
    def refused(self) -> int:
        """Requests that are refused."""
        return len(self._refused_until_s)

    def _known(self, digest: bytes, now_s: float) -> _Suspicion | None:
        known = self._suspicions.get(digest)
        if known is not None and now_s - known.noted_s > SUSPICION_S:
            del self._suspicions[digest]
            return None
        return known
