"""Stores, runs and answers requests that may wait; they survive the crash of any daemon.

A request is accepted only once it is stored. The accepting daemon owns its batch under a lease;
when the lease expires, another daemon takes the batch over and runs the requests that have no
answer yet. Answers are recorded by compare-and-swap and the first one stays, so that a caller
always gets the same answer.
"""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.node import PeerNode
from winchfork.cluster.waiting_store import WaitingStore
from winchfork.core.documents import RELAYS_PER_ZONE
from winchfork.core.waiting import (
    MAX_BATCH_BYTES,
    MAX_BATCH_REQUESTS,
    WaitingAnswer,
    WaitingBatch,
    WaitingRequest,
    parse_request_id,
    split_prompt,
)
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.stores.key_value import KeyValueStore

#: Requests that arrive within this time are stored by one write.
GROUP_COMMIT_S = 0.1
LEASE_S = 6
_RENEW_PERIOD_S = 2.0
_RECORD_PERIOD_S = 0.5
_MAX_WRITE_WAIT_S = 4.0
#: Waiting requests that one daemon runs at a time.
MAX_RUNNING_REQUESTS = 8

#: Runs a stored request, given its whole prompt and its request id.
RunRequest = Callable[[WaitingRequest, str, str], WaitingAnswer | Failure]


class _PendingBatch:
    """Requests for the next batch; ``stored`` resolves once the batch is written or has failed."""

    def __init__(self) -> None:
        self.requests: list[WaitingRequest] = []
        self.tail_bytes = 0
        self.stored: Future[WaitingBatch | Failure] = Future()


class WaitingWork:
    """The waiting requests of one daemon. Thread-safe."""

    def __init__(self, node: PeerNode, store: KeyValueStore, run_request: RunRequest) -> None:
        self._node = node
        self._leases = store
        self._store = WaitingStore(store, node.state.settings.daemon.region, self._should_retry)
        self._run_request = run_request
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._pending_batch = _PendingBatch()
        self._runners = ThreadPoolExecutor(MAX_RUNNING_REQUESTS, thread_name_prefix="waiting")
        self._lease_id = 0
        self._lease_expires_at_s = 0.0
        self._write_deadline_s = 0.0
        self._owned: dict[str, WaitingBatch] = {}
        self._running: set[str] = set()
        self._answers: dict[str, dict[int, WaitingAnswer]] = {}

    # --- callers ---

    def accept(self, request: WaitingRequest, prompt: str) -> str | Failure:
        """Store a request and return its id, or why it was not accepted."""
        digest, head, tail = split_prompt(prompt)
        if digest:
            failure = self._store.put_head(digest, head)
            if failure is not None:
                return _not_accepted(failure)
        stored = WaitingRequest(
            request.tenant,
            request.traffic_class,
            request.pool,
            request.model,
            digest,
            tail,
            request.max_tokens,
            request.is_chat,
        )
        batch, number = self._join_batch(stored)
        result = batch.stored.result()
        if isinstance(result, Failure):
            return _not_accepted(result)
        return result.request_id(number)

    def find(self, request_id: str, tenant: str) -> WaitingAnswer | None | Failure:
        """Return a request's answer, or None while it waits; only its own tenant finds it."""
        parsed = parse_request_id(request_id)
        unknown = FailureKind.NOT_FOUND.because(f"there is no waiting request {request_id!r}")
        if parsed is None:
            return unknown
        batch_id, number = parsed
        if not batch_id.startswith(f"{tenant}~"):
            return unknown
        answers = self._store.get_answers(batch_id)
        if isinstance(answers, Failure):
            return answers
        if number in answers.answers:
            return answers.answers[number]
        batch = self._store.get_batch(batch_id)
        if isinstance(batch, Failure):
            return batch
        if batch is None or number >= len(batch.requests):
            return unknown
        return None

    def _join_batch(self, request: WaitingRequest) -> tuple[_PendingBatch, int]:
        with self._lock:
            current = self._pending_batch
            full = (
                len(current.requests) >= MAX_BATCH_REQUESTS
                or current.tail_bytes + len(request.tail) > MAX_BATCH_BYTES
                or (current.requests and current.requests[0].tenant != request.tenant)
            )
            if full and current.requests:
                threading.Thread(target=self._commit, args=(current,), daemon=True).start()
                current = self._pending_batch = _PendingBatch()
            current.requests.append(request)
            current.tail_bytes += len(request.tail)
            return current, len(current.requests) - 1

    def _commit(self, pending: _PendingBatch) -> None:
        tenant = pending.requests[0].tenant
        batch = WaitingBatch(f"{tenant}~{uuid.uuid4().hex}", tuple(pending.requests))
        failure = self._store.put_batch(batch)
        if failure is None:
            self._acquire_batch(batch)
        pending.stored.set_result(batch if failure is None else failure)

    # --- background work ---

    def run(self) -> None:
        """Store and run requests, and keep the lease, until stopped; the body of one thread."""
        try:
            self._work_until_stopped()
        finally:
            # Only this thread starts requests, so none is started on runners that were shut down.
            self._runners.shutdown(wait=False, cancel_futures=True)

    def _work_until_stopped(self) -> None:
        next_renewal_s = next_record_s = 0.0
        while not self._stopping.wait(GROUP_COMMIT_S):
            try:
                self._commit_pending_batch()
                now_s = boot_seconds()
                if now_s >= next_renewal_s:
                    next_renewal_s = now_s + _RENEW_PERIOD_S
                    is_relay = self._node.is_relay("waiting", RELAYS_PER_ZONE)
                    # Other daemons need no lease, which spares the store their renewals.
                    if self._owned or is_relay:
                        self._renew()
                    if is_relay:
                        self._take_over_orphans()
                if now_s >= next_record_s:
                    next_record_s = now_s + _RECORD_PERIOD_S
                    self._record()
                self._start_requests()
            except Exception as error:  # noqa: BLE001 - an error must not end the thread
                log_event("waiting_work_failed", "ERROR", error=repr(error))

    def stop(self) -> None:
        """Stop; other daemons take over the unanswered requests when the lease expires."""
        self._stopping.set()

    def _should_retry(self) -> bool:
        """Wait shortly before a retry of a write; False when stopping or past the deadline."""
        return not self._stopping.wait(0.1) and boot_seconds() < self._write_deadline_s

    def _commit_pending_batch(self) -> None:
        with self._lock:
            pending = self._pending_batch
            if not pending.requests:
                return
            self._pending_batch = _PendingBatch()
        self._write_deadline_s = boot_seconds() + _MAX_WRITE_WAIT_S
        self._commit(pending)

    def _acquire_batch(self, batch: WaitingBatch) -> None:
        if not self._has_lease():
            self._renew()
        if self._has_lease() and self._store.acquire_ownership(
            batch.batch_id, self._node.state.own_id, self._lease_id
        ):
            with self._lock:
                self._owned[batch.batch_id] = batch

    def _has_lease(self) -> bool:
        return self._lease_id != 0 and boot_seconds() < self._lease_expires_at_s

    def _renew(self) -> None:
        requested_at_s = boot_seconds()
        if self._lease_id:
            renewed = self._leases.renew_lease(self._lease_id)
            if not isinstance(renewed, Failure):
                self._lease_expires_at_s = requested_at_s + LEASE_S - _RENEW_PERIOD_S / 2
                return
            if self._has_lease() and renewed.kind is not FailureKind.NOT_FOUND:
                return
            # The lease has expired, or may have, so other daemons may own the batches now.
            with self._lock:
                self._owned.clear()
            self._lease_id = 0
        granted = self._leases.grant_lease(LEASE_S)
        if not isinstance(granted, Failure):
            self._lease_id = granted
            self._lease_expires_at_s = requested_at_s + LEASE_S - _RENEW_PERIOD_S / 2

    def _take_over_orphans(self) -> None:
        if not self._has_lease():
            return
        batches = self._store.list_batches()
        if isinstance(batches, Failure):
            return
        for batch in batches:
            if batch.batch_id in self._owned or self._store.has_owner(batch.batch_id):
                continue
            self._acquire_batch(batch)
            if batch.batch_id in self._owned:
                log_event("waiting_batch_taken_over", batch=batch.batch_id)

    def _start_requests(self) -> None:
        if not self._has_lease():
            return
        with self._lock:
            owned = list(self._owned.values())
        for batch in owned:
            if not self._start_batch(batch):
                return

    def _start_batch(self, batch: WaitingBatch) -> bool:
        """Start the batch's unanswered requests; False when every runner is busy."""
        pending = [
            number
            for number in range(len(batch.requests))
            if batch.request_id(number) not in self._running
            and number not in self._answers.get(batch.batch_id, {})
        ]
        if not pending:
            return True
        recorded = self._store.get_answers(batch.batch_id)
        if isinstance(recorded, Failure):
            return True
        for number in pending:
            if number in recorded.answers:
                self._answers.setdefault(batch.batch_id, {})[number] = recorded.answers[number]
                continue
            if len(self._running) >= MAX_RUNNING_REQUESTS:
                return False
            self._running.add(batch.request_id(number))
            self._runners.submit(self._run_one, batch, number)
        return True

    def _run_one(self, batch: WaitingBatch, number: int) -> None:
        request = batch.requests[number]
        request_id = batch.request_id(number)
        try:
            head: str | Failure = ""
            if request.head_hash:
                head = self._store.get_head(request.head_hash)
            if isinstance(head, Failure):
                return
            answer = self._run_request(request, head + request.tail, request_id)
            if isinstance(answer, Failure):
                # The request stays in its batch and is run again.
                log_event("waiting_request_failed", request=request_id, failure=answer)
                return
            with self._lock:
                self._answers.setdefault(batch.batch_id, {})[number] = answer
        except Exception as error:  # noqa: BLE001 - the request stays and is run again
            log_event("waiting_request_failed", "ERROR", request=request_id, error=repr(error))
        finally:
            self._running.discard(request_id)

    def _record(self) -> None:
        """Write the answers, with one write a batch, and remove finished batches."""
        with self._lock:
            collected = {
                batch_id: dict(answers)
                for batch_id, answers in self._answers.items()
                if batch_id in self._owned
            }
        for batch_id, answers in collected.items():
            recorded = self._store.record_answers(batch_id, answers)
            if isinstance(recorded, Failure):
                continue
            batch = self._owned.get(batch_id)
            finished = batch is not None and len(recorded.answers) == len(batch.requests)
            if finished and self._store.remove_batch(batch_id) is None:
                with self._lock:
                    self._owned.pop(batch_id, None)
                    self._answers.pop(batch_id, None)


def _not_accepted(failure: Failure) -> Failure:
    return FailureKind.STORE_UNAVAILABLE.because(
        f"the request was not accepted: {failure.reason}",
        remedy="retry after the given time",
        ran=RunState.NOT_RUN,
        retry_after_s=2.0,
    )
