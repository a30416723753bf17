"""Records of refused requests and prompt parts in the store, which survive restarts of daemons.

A digest selects one of ``BUCKETS`` entries of its kind, which bounds the space used in the store; a
later digest of the same bucket replaces the earlier one. Records have no lease. Their age is
measured by wall-clock time, on which daemons agree within seconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from winchfork.core.crash_history import REPEATED_REFUSAL_S, CrashHistory
from winchfork.core.request_digest import DIGEST_BYTES
from winchfork.decoding import Count, decode_json
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event

REQUEST_PREFIX = "winchfork/refused/"
PART_PREFIX = "winchfork/refused-parts/"
#: Maximum number of store entries for refused requests.
BUCKETS = 512


class RefusalRecord(msgspec.Struct, frozen=True):
    """A refused request: its digest, when it was refused (Unix time in ms), and how many times.

    ``times`` is 0 if the request has succeeded since and is no longer refused.
    """

    digest: bytes
    refused_ms: Count
    times: Count


def bucket_key(digest: bytes, prefix: str = REQUEST_PREFIX) -> str:
    """Return the store key of a digest's bucket."""
    return f"{prefix}{int.from_bytes(digest[:4], 'big') % BUCKETS:03x}"


def is_refusal_key(key: str) -> bool:
    """Whether a store key is that of a bucket of requests."""
    return key.startswith(REQUEST_PREFIX)


def is_part_refusal_key(key: str) -> bool:
    """Whether a store key is that of a bucket of prompt parts."""
    return key.startswith(PART_PREFIX)


def decode_refusal(value: bytes) -> RefusalRecord | Failure:
    """Decode a stored record."""
    record = decode_json(value, RefusalRecord, "refusal record")
    if isinstance(record, Failure):
        return record
    if len(record.digest) != DIGEST_BYTES:
        return FailureKind.BAD_DOCUMENT.because("refusal record has a digest of wrong length")
    return record


class RefusalRecords:
    """Applies the store's refusal records to this daemon's crash history. Not thread-safe."""

    def __init__(
        self,
        history: CrashHistory,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
        prefix: str = REQUEST_PREFIX,
    ) -> None:
        self._prefix = prefix
        self._history = history
        self._clock = clock
        self._wall_clock = wall_clock
        self._records: dict[str, RefusalRecord] = {}
        self._revisions: dict[str, int] = {}

    def key_of(self, digest: bytes) -> str:
        """Return the store key of a digest's bucket."""
        return bucket_key(digest, self._prefix)

    def revision(self, key: str) -> int:
        """Return the revision of a bucket's entry; 0 if there is none."""
        return self._revisions.get(key, 0)

    def digest_at(self, key: str) -> bytes | None:
        """Return the digest of the request whose record is in a bucket, or None."""
        record = self._records.get(key)
        return record.digest if record is not None else None

    def matches_history(self, digest: bytes) -> bool:
        """Whether the stored record of a request agrees with the crash history."""
        record = self._records.get(self.key_of(digest))
        stored = record.times if record is not None and record.digest == digest else 0
        return stored == self._history.times_refused(digest)

    def encode_record(self, digest: bytes) -> bytes:
        """Return the record to store for a request, from its current state, dated now."""
        now_ms = int(self._wall_clock() * 1000)
        times = self._history.times_refused(digest)
        return msgspec.json.encode(RefusalRecord(digest, now_ms, times))

    def install(self, key: str, value: bytes | None, revision: int) -> Failure | None:
        """Apply a bucket's entry; if it was removed, its request is no longer refused.

        Returns the failure if the entry cannot be decoded. Such an entry has no effect, and may be
        overwritten.
        """
        if value is None:
            self._release(key)
            return None
        self._revisions[key] = revision
        record = decode_refusal(value)
        if isinstance(record, Failure):
            return record
        self._records[key] = record
        if record.times:
            self._install_refusal(record)
        else:
            self._history.clear(record.digest)
        return None

    def record_outdated(self, key: str, value: bytes | None, revision: int) -> bytes | None:
        """Record a bucket's entry that was restored from a backup, if a later record is known.

        The crash history stays unchanged. Returns the digest of the later record, or None if no
        later record is known.
        """
        known = self._records.get(key)
        record = decode_refusal(value) if known is not None and value is not None else None
        if known is None or not isinstance(record, RefusalRecord):
            return None
        if record.refused_ms >= known.refused_ms:
            return None
        self._revisions[key] = revision
        self._records[key] = record
        return known.digest

    def remove_lost(self, key: str) -> bytes | None:
        """Forget a record that the store has lost; return its digest, or None if there was none.

        Unlike a removed entry, a lost one does not end the refusal.
        """
        self._revisions.pop(key, None)
        record = self._records.pop(key, None)
        return record.digest if record is not None else None

    def _install_refusal(self, record: RefusalRecord) -> None:
        for_s = self._history.refusal_s(record.times)
        age_s = max(0.0, self._wall_clock() - record.refused_ms / 1000.0)
        if age_s > for_s + REPEATED_REFUSAL_S or record.times < self._history.times_refused(
            record.digest
        ):
            return
        now_s = self._clock()
        if age_s < for_s and not self._history.is_refused(record.digest, now_s):
            log_event(
                "digest_refused", digest=record.digest.hex(), times=record.times, told_by="store"
            )
        # Also recorded after the refusal has expired: the request then counts as a suspect, and is
        # refused for longer if a replica crashes again.
        self._history.refuse(record.digest, record.times, now_s + for_s - age_s)

    def _release(self, key: str) -> None:
        self._revisions.pop(key, None)
        record = self._records.pop(key, None)
        if record is not None:
            self._history.clear(record.digest)
            log_event("digest_released", digest=record.digest.hex())
