"""Waiting requests in the key-value store: batches, shared prompt heads, answers, owners."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable

from winchfork.core.waiting import BatchAnswers, WaitingAnswer, WaitingBatch
from winchfork.errors import Failure, FailureKind
from winchfork.stores.key_value import Entry, KeyValueStore, compare_and_swap_until_resolved

_MAX_KNOWN_HEADS = 2_000


class WaitingStore:
    """Reads and writes one region's waiting requests. Thread-safe."""

    def __init__(self, store: KeyValueStore, region: str, should_retry: Callable[[], bool]) -> None:
        self._store = store
        self._prefix = f"/winchfork/waiting/{region}/"
        self._should_retry = should_retry
        self._known_heads: OrderedDict[str, None] = OrderedDict()
        self._lock = threading.Lock()

    def put_head(self, digest: str, head: str) -> Failure | None:
        """Store a prompt head under the digest of its content, unless it is stored already."""
        with self._lock:
            if digest in self._known_heads:
                return None
        written = self._store.compare_and_swap(self._key("heads", digest), head.encode(), 0)
        conflict = isinstance(written, Failure) and written.kind is FailureKind.REVISION_CONFLICT
        if isinstance(written, Failure) and not conflict:
            return written
        with self._lock:
            self._known_heads[digest] = None
            while len(self._known_heads) > _MAX_KNOWN_HEADS:
                self._known_heads.popitem(last=False)
        return None

    def get_head(self, digest: str) -> str | Failure:
        """Read a prompt head."""
        entry = self._store.get(self._key("heads", digest))
        if isinstance(entry, Failure):
            return entry
        if entry is None:
            return FailureKind.NOT_FOUND.because(f"the prompt head {digest} is not stored")
        return entry.value.decode()

    def put_batch(self, batch: WaitingBatch) -> Failure | None:
        """Write a batch; None means that it is known to be stored."""
        text = batch.to_text()
        key = self._key("batches", batch.batch_id)
        result = compare_and_swap_until_resolved(
            self._store, key, text, 0, lambda value: value == text, self._should_retry
        )
        return result if isinstance(result, Failure) else None

    def list_batches(self) -> list[WaitingBatch] | Failure:
        """Return every unfinished batch."""
        entries = self._store.list(self._prefix + "batches/")
        if isinstance(entries, Failure):
            return entries
        return [WaitingBatch.from_text(entry.value) for entry in entries]

    def get_batch(self, batch_id: str) -> WaitingBatch | None | Failure:
        """Return one unfinished batch; None when it is finished or was never stored."""
        entry = self._store.get(self._key("batches", batch_id))
        return WaitingBatch.from_text(entry.value) if isinstance(entry, Entry) else entry

    def remove_batch(self, batch_id: str) -> Failure | None:
        """Remove a finished batch; its answers stay."""
        entry = self._store.get(self._key("batches", batch_id))
        if isinstance(entry, Entry):
            return self._store.delete(entry.key, entry.revision)
        return entry

    def get_answers(self, batch_id: str) -> BatchAnswers | Failure:
        """Read a batch's recorded answers."""
        entry = self._store.get(self._key("answers", batch_id))
        if isinstance(entry, Failure):
            return entry
        return BatchAnswers() if entry is None else BatchAnswers.from_text(entry.value)

    def record_answers(
        self, batch_id: str, answers: dict[int, WaitingAnswer]
    ) -> BatchAnswers | Failure:
        """Record answers and return all recorded ones; a recorded answer is never replaced."""
        key = self._key("answers", batch_id)
        while True:
            entry = self._store.get(key)
            if isinstance(entry, Failure):
                return entry
            recorded = BatchAnswers() if entry is None else BatchAnswers.from_text(entry.value)
            added = [
                number for number, answer in answers.items() if recorded.record(number, answer)
            ]
            if not added:
                return recorded
            text = recorded.to_text()
            written = self._store.compare_and_swap(key, text, entry.revision if entry else 0)
            if not isinstance(written, Failure):
                return recorded
            if written.kind is not FailureKind.REVISION_CONFLICT:
                return written

    def acquire_ownership(self, batch_id: str, owner_id: str, lease_id: int) -> bool:
        """Make a daemon the batch's owner under its lease; False when that is not confirmed."""
        key = self._key("owners", batch_id)
        written = self._store.compare_and_swap(key, owner_id.encode(), 0, lease_id)
        return not isinstance(written, Failure)

    def has_owner(self, batch_id: str) -> bool:
        """Return whether a batch has an owner; it counts as owned when the store cannot be read."""
        return self._store.get(self._key("owners", batch_id)) is not None

    def _key(self, kind: str, name: str) -> str:
        return f"{self._prefix}{kind}/{name}"
