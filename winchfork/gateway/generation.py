"""Runs one generation: admission, placement, dispatch, and recovery from failed attempts.

A caller receives every token once and in order: a piece is forwarded only if its offset equals the
number of tokens already forwarded, and only from the current attempt. When a stream breaks, the
same incarnation is asked to resume at that offset; if it cannot, another attempt continues after
the text already sent. A stream that cannot be completed ends with a failure.
"""

from __future__ import annotations

import dataclasses
import threading
import time
from collections.abc import Callable

from winchfork.backends.engine_port import (
    Dispatch,
    EnginePort,
    StreamCallbacks,
    StreamEnd,
    StreamPiece,
    StreamStart,
)
from winchfork.boot_clock import boot_seconds
from winchfork.cluster.placement_lookup import PlacementLookup
from winchfork.cluster.state import DaemonState
from winchfork.constants import (
    AVOID_AFTER_FAILURE_S,
    BLOCK_TOKENS,
    MAX_PLACEMENTS_PER_REQUEST,
)
from winchfork.core.configuration import Pool
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.gateway.admission_gate import AdmissionGate
from winchfork.gateway.attempt_placement import AttemptPlacement, PlacedAttempt
from winchfork.gateway.caller import Waiter
from winchfork.gateway.metrics import GatewayMetrics
from winchfork.gateway.requests import CallerContext, GenerationRequest
from winchfork.gateway.stream_progress import StreamProgress

#: Failures after which no other attempt is made: the caller has left, or its deadline passed.
_FINAL_FAILURES = (FailureKind.CALLER_DISCONNECTED, FailureKind.DEADLINE_EXCEEDED)
#: Failures of an engine that has not started the attempt; no cancellation is sent for them.
_NOT_STARTED_FAILURES = (FailureKind.FENCE_MISMATCH, FailureKind.NOT_ACCEPTING_WORK)
#: Failures after which this daemon avoids the replica for a while.
_AVOIDANCE_FAILURES = (FailureKind.BACKEND_UNREACHABLE, FailureKind.NOT_ACCEPTING_WORK)
#: Failures whose next placement does not use the retry budget: nothing ran, and the cause cannot
#: recur with every request, since the replica is avoided or its identity is queried again.
_FREE_RETRY_FAILURES = (*_AVOIDANCE_FAILURES, FailureKind.FENCE_MISMATCH)


@dataclasses.dataclass(frozen=True)
class GenerationResult:
    """The end of a complete generation, and the cached tokens that its last attempt reused."""

    end: StreamEnd
    cached_tokens: int


class GenerationRouter:
    """Routes the generations of one daemon. Thread-safe."""

    def __init__(
        self,
        state: DaemonState,
        lookup: PlacementLookup,
        engine: EnginePort,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._engine = engine
        self._metrics = metrics
        self._gate = AdmissionGate(state)
        self._placement = AttemptPlacement(state, lookup, engine)

    def run(
        self,
        request_id: str,
        pool: Pool,
        request: GenerationRequest,
        context: CallerContext,
        caller: Waiter,
        deliver: Callable[[str], Failure | None],
    ) -> GenerationResult | Failure:
        """Run a generation to its end; ``deliver`` receives each piece of text as it arrives."""
        admitted_at_s = boot_seconds()
        refusal = self._gate.admit(request_id, context, caller)
        if refusal is not None:
            self._state.record_decision(
                request_id, "refused", refusal.kind.value, detail=refusal.reason
            )
            return refusal
        try:
            return self._run_attempts(request_id, pool, request, context, caller, deliver)
        finally:
            self._gate.release(request_id, boot_seconds() - admitted_at_s)

    # --- attempts ---

    def _run_attempts(
        self,
        request_id: str,
        pool: Pool,
        request: GenerationRequest,
        context: CallerContext,
        caller: Waiter,
        deliver: Callable[[str], Failure | None],
    ) -> GenerationResult | Failure:
        progress = StreamProgress(deliver)
        excluded: set[str] = set()
        failure: Failure | None = None
        for _ in range(MAX_PLACEMENTS_PER_REQUEST):
            if failure is not None and not self._may_place_again(failure):
                self._state.record_decision(request_id, "gave_up", "retry_budget_spent")
                return _final_failure(failure, progress)
            attempt = self._placement.place(request_id, pool, request, context, excluded)
            if isinstance(attempt, Failure):
                chosen = failure if failure is not None else attempt
                return _final_failure(chosen, progress)
            result = self._dispatch(request_id, attempt, request, context, caller, progress)
            if isinstance(result, StreamEnd):
                self._state.record_decision(
                    request_id,
                    "completed",
                    result.finish_reason.value,
                    tokens=progress.tokens,
                    cached_tokens=progress.cached_tokens,
                )
                return GenerationResult(result, progress.cached_tokens)
            failure = result
            self._state.record_decision(
                request_id,
                "attempt_failed",
                failure.kind.value,
                replica=attempt.replica.replica_id,
                detail=failure.reason,
                tokens_sent=progress.tokens,
            )
            if failure.kind in _FINAL_FAILURES:
                return _final_failure(failure, progress)
            excluded |= self._after_failure(attempt, failure)
        assert failure is not None
        return _final_failure(failure, progress)

    def _may_place_again(self, failure: Failure) -> bool:
        return failure.kind in _FREE_RETRY_FAILURES or self._spend_retry()

    def _spend_retry(self) -> bool:
        with self._state.lock:
            return self._state.retry_budget.try_spend()

    def _after_failure(self, attempt: PlacedAttempt, failure: Failure) -> set[str]:
        """Update the replica after a failed attempt; return replicas to exclude from the next."""
        replica = attempt.replica
        with self._state.lock:
            if failure.kind is FailureKind.FENCE_MISMATCH:
                # The engine has restarted or loaded other weights; its identity is queried again.
                if replica.identity == attempt.identity:
                    replica.identity = None
                return set()
            if failure.kind in _AVOIDANCE_FAILURES:
                replica.avoided_until_s = time.time() + AVOID_AFTER_FAILURE_S
        return {replica.replica_id}

    def _dispatch(
        self,
        request_id: str,
        attempt: PlacedAttempt,
        request: GenerationRequest,
        context: CallerContext,
        caller: Waiter,
        progress: StreamProgress,
    ) -> StreamEnd | Failure:
        sent_at_s = boot_seconds()
        first_piece = threading.Event()

        def on_start(start: StreamStart) -> Failure | None:
            if start.identity != attempt.identity:
                return FailureKind.FENCE_MISMATCH.because(
                    f"{attempt.replica.replica_id} reports another identity: {start.identity}",
                    ran=RunState.UNKNOWN,
                )
            progress.cached_tokens = start.cached_tokens
            self._record_start(request_id, attempt, start, boot_seconds() - sent_at_s)
            return None

        def on_piece(piece: StreamPiece) -> Failure | None:
            if not first_piece.is_set():
                first_piece.set()
                self._metrics.observe_first_token(context, boot_seconds() - sent_at_s)
            return progress.forward(piece)

        dispatch = Dispatch(
            attempt_id=attempt.attempt_id,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=context.traffic_class.priority,
            scope=attempt.scope,
            expected=attempt.identity,
            timeout_s=max(0.001, caller.remaining_s()),
            emitted_text=progress.text,
            emitted_tokens=progress.tokens,
            import_from=attempt.import_address,
            import_blocks=attempt.decision.import_blocks,
        )
        callbacks = StreamCallbacks(on_start, on_piece, caller.check)
        try:
            result = self._engine.generate(attempt.replica.address, dispatch, callbacks)
            if _is_resumable(result) and first_piece.is_set() and self._spend_retry():
                result = self._resume(request_id, attempt, dispatch, callbacks, progress)
        finally:
            with self._state.lock:
                attempt.replica.remove_dispatch(attempt.attempt_id)
        if isinstance(result, Failure) and result.kind not in _NOT_STARTED_FAILURES:
            self._engine.cancel(attempt.replica.address, attempt.attempt_id)
        return result

    def _resume(
        self,
        request_id: str,
        attempt: PlacedAttempt,
        dispatch: Dispatch,
        callbacks: StreamCallbacks,
        progress: StreamProgress,
    ) -> StreamEnd | Failure:
        """Request the rest of the attempt's stream from the same incarnation."""
        self._state.record_decision(
            request_id, "resumed", "stream_broke", attempt=attempt.attempt_id, at=progress.tokens
        )
        resumed = dataclasses.replace(dispatch, resume_offset=progress.tokens)
        resume_callbacks = dataclasses.replace(callbacks, on_start=lambda start: None)
        return self._engine.generate(attempt.replica.address, resumed, resume_callbacks)

    def _record_start(
        self, request_id: str, attempt: PlacedAttempt, start: StreamStart, waited_s: float
    ) -> None:
        with self._state.lock:
            attempt.replica.remove_dispatch(attempt.attempt_id)
        observed = start.cached_tokens // BLOCK_TOKENS
        self._metrics.count_prompt_tokens(attempt.prefix.prompt_tokens, start.cached_tokens)
        self._state.record_decision(
            request_id,
            "first_token",
            "engine_reported",
            replica=attempt.replica.replica_id,
            predicted_cached_blocks=attempt.decision.cached_blocks,
            observed_cached_blocks=observed,
            waited_s=round(waited_s, 4),
        )


def _is_resumable(result: StreamEnd | Failure) -> bool:
    return isinstance(result, Failure) and result.kind in (
        FailureKind.STREAM_BROKEN,
        FailureKind.BACKEND_FAILED,
    )


def _final_failure(failure: Failure, progress: StreamProgress) -> Failure:
    """Mark the failure as run if text has reached the caller, whichever attempt it came from."""
    if progress.tokens:
        return failure.with_run_state(RunState.RAN)
    return failure
