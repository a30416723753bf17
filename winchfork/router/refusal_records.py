"""Refused requests as entries of the store: what is left of them when every daemon has restarted.

Each entry is one of a fixed number of places, which the request's digest picks, so that the store
holds no more than that whatever callers send; a later request in the same place takes it over.
Records are without a lease and age by the time of day, which all daemons share within seconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from winchfork.core.crash_history import REPEATED_REFUSAL_S, CrashHistory
from winchfork.core.request_digest import DIGEST_BYTES
from winchfork.errors import Failure, FailureKind
from winchfork.logs import log_event

_PREFIX = "winchfork/refused/"
#: Entries that refused requests may take of the store.
BUCKETS = 512


class RefusalRecord(msgspec.Struct, frozen=True):
    """A refused request: when, in milliseconds since 1970, and for the how many-th time.

    0 times: it has ended well since, and is refused no longer.
    """

    digest: bytes
    refused_ms: int
    times: int


def bucket_key(digest: bytes) -> str:
    """Return the key of a request's place."""
    return f"{_PREFIX}{int.from_bytes(digest[:4], 'big') % BUCKETS:03x}"


def is_refusal_key(key: str) -> bool:
    """Whether an entry is such a place."""
    return key.startswith(_PREFIX)


def decode_refusal(value: bytes) -> RefusalRecord | Failure:
    """Read a stored record."""
    try:
        record = msgspec.json.decode(value, type=RefusalRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        return FailureKind.BAD_DOCUMENT.because(f"record of a refused request: {error}")
    if len(record.digest) != DIGEST_BYTES:
        return FailureKind.BAD_DOCUMENT.because("record of a refused request: no digest")
    return record


class RefusalRecords:
    """The places as this daemon knows them, and what they mean to its ledger."""

    def __init__(
        self,
        ledger: CrashHistory,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._wall_clock = wall_clock
        self._records: dict[str, RefusalRecord] = {}
        self._revisions: dict[str, int] = {}

    def revision(self, key: str) -> int:
        """Return the revision of a place; 0 while it is free."""
        return self._revisions.get(key, 0)

    def digest_at(self, key: str) -> bytes | None:
        """Return the request whose record is in a place, if there is one."""
        record = self._records.get(key)
        return record.digest if record is not None else None

    def matches_ledger(self, digest: bytes) -> bool:
        """Whether the store says of a request what the ledger does."""
        record = self._records.get(bucket_key(digest))
        stored = record.times if record is not None and record.digest == digest else 0
        return stored == self._ledger.times_refused(digest)

    def encode_record(self, digest: bytes) -> bytes:
        """Return what is to be stored of a request that is refused from now on, or no longer."""
        now_ms = int(self._wall_clock() * 1000)
        times = self._ledger.times_refused(digest)
        return msgspec.json.encode(RefusalRecord(digest, now_ms, times))

    def install(self, key: str, value: bytes | None, revision: int) -> Failure | None:
        """Take in what the store holds in a place; an entry that was removed releases.

        Returns why an entry cannot be read; it means nothing, and is overwritten when need be.
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
            self._ledger.clear(record.digest)
        return None

    def install_outdated(self, key: str, value: bytes | None, revision: int) -> bytes | None:
        """Remember what a copy of the store holds in a place, if a later record is known.

        It means nothing to the ledger. Returns the request of the later one; None without one.
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
        """A place is free again though nobody has released it; return whose it was."""
        self._revisions.pop(key, None)
        record = self._records.pop(key, None)
        return record.digest if record is not None else None

    def _install_refusal(self, record: RefusalRecord) -> None:
        for_s = self._ledger.refusal_s(record.times)
        age_s = max(0.0, self._wall_clock() - record.refused_ms / 1000.0)
        if age_s > for_s + REPEATED_REFUSAL_S or record.times < self._ledger.times_refused(
            record.digest
        ):
            return
        now_s = self._clock()
        if age_s < for_s and not self._ledger.is_refused(record.digest, now_s):
            log_event(
                "digest_refused", digest=record.digest.hex(), times=record.times, told_by="store"
            )
        # One whose time is over is still tried alone, and refused for long if a replica ends.
        self._ledger.refuse(record.digest, record.times, now_s + for_s - age_s)

    def _release(self, key: str) -> None:
        self._revisions.pop(key, None)
        record = self._records.pop(key, None)
        if record is not None:
            self._ledger.clear(record.digest)
            log_event("digest_released", digest=record.digest.hex())
