"""The crash history of one kind of digest, in agreement with its records in the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from winchfork.core.crash_history import CrashHistory
from winchfork.errors import Failure
from winchfork.router.refusal_records import RefusalRecords


class RecordListener(Protocol):
    """Called when the stored refusal of a digest has to change."""

    def __call__(self, digest: bytes, *, own: bool) -> None:
        """Handle the change; ``own``: this daemon sent the last run."""
        ...


class RefusalLedger:
    """A crash history and its records. Not thread-safe."""

    def __init__(
        self, history: CrashHistory, records: RefusalRecords, clock: Callable[[], float]
    ) -> None:
        self.history = history
        self.records = records
        self._clock = clock
        #: Called when a suspect is cleared, with its number of crashes.
        self.on_cleared: Callable[[bytes, int], None] = lambda digest, crashes: None
        self.on_record_changed: RecordListener = _ignore

    def apply_record(
        self, key: str, value: bytes | None, revision: int, *, is_restored: bool = False
    ) -> Failure | None:
        """Apply a refusal record of the store; return a failure if it cannot be decoded.

        ``is_restored``: the store may have been restored from a backup, so that the record may be
        older than the one known here.
        """
        outdated = self.records.record_outdated(key, value, revision) if is_restored else None
        if outdated is not None:
            self.on_record_changed(outdated, own=False)
            return None
        failure = self.records.install(key, value, revision)
        digest = self.records.digest_at(key)
        now_s = self._clock()
        if digest is None or not self.history.times_refused(digest):
            return failure
        if self.history.succeeded_recently(digest, now_s):
            # Refused by a daemon that had not received the success yet.
            self.clear(digest)
        return failure

    def handle_lost_record(self, key: str) -> None:
        """Handle a record that is missing from a restored store; have it rewritten if needed."""
        digest = self.records.remove_lost(key)
        if digest is not None and not self.records.matches_history(digest):
            self.on_record_changed(digest, own=False)

    def handle_cleared(self, digest: bytes) -> None:
        """Clear a suspect whose run has succeeded at a peer."""
        self.history.clear(digest)

    def clear(self, digest: bytes) -> None:
        """Clear a suspect that has succeeded here, on all daemons and in the store."""
        crashes = self.history.crash_count(digest, self._clock())
        if self.history.clear(digest):
            self.on_cleared(digest, crashes)
            if self.records.revision(self.records.key_of(digest)):
                self.on_record_changed(digest, own=True)


def _ignore(digest: bytes, *, own: bool) -> None:
    pass
