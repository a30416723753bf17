"""Leader election with a lease and a fencing token, for tasks that one daemon performs at a time.

The lease limits the store to one leader. The fencing token is the revision at which the leadership
was acquired; it only grows, and engines refuse orders with a lower one, so that a paused leader
cannot interfere with its successor. A leader that cannot renew stops before its lease ends.
"""

from __future__ import annotations

from collections.abc import Callable

from winchfork.boot_clock import boot_seconds
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.stores.key_value import Entry, KeyValueStore

LEASE_S = 6
#: The leader stops this long before its lease can end.
_SAFETY_MARGIN_S = 2.0


class Leadership:
    """One daemon's candidacy; call :meth:`acquire_or_renew` before each step of the task."""

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        own_id: str,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self._store = store
        self._key = key
        self._own_id = own_id
        self._clock = clock
        self._lease_id = 0
        self._fence = 0
        self._valid_until_s = 0.0

    def acquire_or_renew(self) -> int:
        """Acquire or renew the leadership; return the fencing token, or 0 if not the leader."""
        sent_at_s = self._clock()
        if self._fence and sent_at_s < self._valid_until_s:
            renewed = self._store.renew_lease(self._lease_id)
            if not isinstance(renewed, Failure):
                # Counted from before the call, so that a slow answer does not extend it.
                self._valid_until_s = sent_at_s + LEASE_S - _SAFETY_MARGIN_S
            return self._fence if self._clock() < self._valid_until_s else self._lose()
        self._lose()
        return self._acquire()

    def is_valid(self) -> bool:
        """Return, without I/O, whether the lease is still valid; check before each order."""
        return self._fence != 0 and self._clock() < self._valid_until_s

    def _lose(self) -> int:
        if self._fence:
            log_event("leadership_lost", key=self._key, fence=self._fence)
        self._fence = 0
        return 0

    def _acquire(self) -> int:
        sent_at_s = self._clock()
        current = self._store.get(self._key)
        if isinstance(current, (Failure, Entry)):
            return 0
        lease_id = self._store.grant_lease(LEASE_S)
        if isinstance(lease_id, Failure):
            return 0
        revision = self._store.compare_and_swap(self._key, self._own_id.encode(), 0, lease_id)
        if isinstance(revision, Failure):
            # If the write took effect nevertheless, its lease expires.
            return 0
        self._lease_id = lease_id
        self._fence = revision
        self._valid_until_s = sent_at_s + LEASE_S - _SAFETY_MARGIN_S
        log_event("leadership_taken", key=self._key, fence=revision)
        return revision if self.is_valid() else 0
