"""Runs one generation: admission, placement, dispatch, and what follows a failure.

The stream that the caller receives is whole and in order by construction: a piece is passed on only
if its offset is exactly the number of tokens already passed on, and only from the attempt in
force. After a break the same incarnation is asked to resume at that offset; failing that, another
attempt continues after the text already sent. A stream that cannot be completed ends in a failure.
"""

from __future__ import annotations

import dataclasses
import itertools
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future

from winchfork.backends.engine_port import (
    Dispatch,
    EnginePort,
    StreamCallbacks,
    StreamEnd,
    StreamPiece,
    StreamStart,
)
from winchfork.boot_clock import boot_seconds
from winchfork.cluster.placement_lookup import LookupResult, PlacementLookup
from winchfork.cluster.state import DaemonState
from winchfork.constants import (
    AVOID_AFTER_FAILURE_S,
    BLOCK_TOKENS,
    MAX_PLACEMENTS_PER_REQUEST,
)
from winchfork.core.admission import Ticket, Verdict
from winchfork.core.configuration import Pool
from winchfork.core.fleet import Replica, ReplicaIdentity, is_urgent
from winchfork.core.placement import PlacementDecision, PlacementRequest
from winchfork.core.prefix import CacheScope, PromptPrefix, prompt_prefix
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.gateway.caller import Waiter
from winchfork.gateway.metrics import GatewayMetrics
from winchfork.gateway.requests import CallerContext, GenerationRequest

#: Failures after which nothing more is tried: nobody waits, or time is up.
_FINAL = (FailureKind.CALLER_LEFT, FailureKind.DEADLINE_EXCEEDED)
#: Refusals of an engine that has not begun.
_REPLACEABLE = (FailureKind.FENCE_MISMATCH, FailureKind.NOT_ACCEPTING_WORK)
#: Failures after which this daemon avoids the replica for a while.
_AVOIDED = (FailureKind.BACKEND_UNREACHABLE, FailureKind.NOT_ACCEPTING_WORK)
#: Failures whose next placement costs no retry: nothing ran, and the cause is dealt with (the
#: replica is avoided, or its identity asked again), so they cannot repeat at traffic's rate.
_FREE_TO_PLACE_AGAIN = (*_AVOIDED, FailureKind.FENCE_MISMATCH)
_TICKET_POLL_S = 0.25
#: Replicas held for unavailable that one request asks at most.
_DOUBTFUL_ASKED = 3


@dataclasses.dataclass(frozen=True)
class GenerationResult:
    """A complete generation: its end and the cached tokens that its last placement reused."""

    end: StreamEnd
    cached_tokens: int


class _Progress:
    """What the caller has received so far; survives the attempts."""

    def __init__(self, deliver: Callable[[str], Failure | None]) -> None:
        self.tokens = 0
        self.parts: list[str] = []
        self.cached_tokens = 0
        self.started = False
        self._deliver = deliver

    @property
    def text(self) -> str:
        return "".join(self.parts)

    def take(self, piece: StreamPiece) -> Failure | None:
        """Pass one piece on if it continues the stream; drop a repeat; refuse a gap."""
        if piece.offset + piece.token_count <= self.tokens:
            return None
        if piece.offset != self.tokens:
            return FailureKind.STREAM_BROKEN.because(
                f"a piece at {piece.offset} does not continue the stream at {self.tokens}",
                ran=RunState.UNKNOWN,
            )
        failure = self._deliver(piece.text)
        if failure is None:
            self.tokens += piece.token_count
            self.parts.append(piece.text)
        return failure


@dataclasses.dataclass
class _Attempt:
    attempt_id: str
    replica: Replica
    identity: ReplicaIdentity
    decision: PlacementDecision
    scope: CacheScope
    prefix: PromptPrefix
    import_address: str = ""


class GenerationRouter:
    """Routes generations of this daemon. Thread-safe; one call runs on one worker thread."""

    def __init__(
        self,
        state: DaemonState,
        lookup: PlacementLookup,
        engine: EnginePort,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._lookup = lookup
        self._engine = engine
        self._metrics = metrics
        self._tickets: dict[str, Future[None]] = {}
        self._attempts = itertools.count(1)

    def run(
        self,
        request_id: str,
        pool: Pool,
        request: GenerationRequest,
        context: CallerContext,
        caller: Waiter,
        deliver: Callable[[str], Failure | None],
    ) -> GenerationResult | Failure:
        """Run a generation to its end, passing text to ``deliver`` as it comes."""
        admitted_at_s = boot_seconds()
        refusal = self._admit(request_id, context, caller)
        if refusal is not None:
            self._state.note_decision(
                request_id, "refused", refusal.kind.value, detail=refusal.reason
            )
            return refusal
        try:
            return self._run_attempts(request_id, pool, request, context, caller, deliver)
        finally:
            self._release(request_id, boot_seconds() - admitted_at_s)

    # --- admission ---

    def _admit(self, request_id: str, context: CallerContext, caller: Waiter) -> Failure | None:
        now_s = boot_seconds()
        ticket = Ticket(
            request_id,
            context.tenant.name,
            context.traffic_class.name,
            context.traffic_class.priority,
            context.may_wait,
            caller.deadline_at_s,
            now_s,
            context.tenant.weight,
        )
        admitted: Future[None] = Future()
        with self._state.lock:
            verdict = self._state.admission.offer(ticket, now_s)
            if verdict is Verdict.QUEUED:
                self._tickets[request_id] = admitted
            self._state.retry_budget.note_request()
        if isinstance(verdict, Failure):
            return verdict
        if verdict is Verdict.QUEUED:
            return self._await_turn(request_id, caller, admitted)
        return None

    def _await_turn(
        self, request_id: str, caller: Waiter, admitted: Future[None]
    ) -> Failure | None:
        self._state.note_decision(request_id, "queued", "no_free_slot")
        while True:
            try:
                admitted.result(timeout=_TICKET_POLL_S)
                return None
            except TimeoutError:
                reason = caller.check()
            if reason is None:
                continue
            with self._state.lock:
                withdrawn = self._state.admission.withdraw(request_id)
                self._tickets.pop(request_id, None)
            if withdrawn:
                return reason.with_run_state(RunState.NOT_RUN)
            # Admitted between the check and the withdrawal: give the slot back.
            self._release(request_id, 0.0)
            return reason.with_run_state(RunState.NOT_RUN)

    def _release(self, request_id: str, service_s: float) -> None:
        with self._state.lock:
            admitted = self._state.admission.release(request_id, boot_seconds(), service_s)
            futures = [self._tickets.pop(ticket.request_id, None) for ticket in admitted]
        for future in futures:
            if future is not None:
                future.set_result(None)

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
        progress = _Progress(deliver)
        excluded: set[str] = set()
        failure: Failure | None = None
        for _ in range(MAX_PLACEMENTS_PER_REQUEST):
            if failure is not None and not self._may_place_again(failure):
                self._state.note_decision(request_id, "gave_up", "retry_budget_spent")
                return _final_failure(failure, progress)
            attempt = self._place(request_id, pool, request, context, excluded)
            if isinstance(attempt, Failure):
                chosen = failure if failure is not None else attempt
                return _final_failure(chosen, progress)
            result = self._dispatch(request_id, attempt, request, context, caller, progress)
            if isinstance(result, StreamEnd):
                self._state.note_decision(
                    request_id,
                    "completed",
                    result.finish_reason.value,
                    tokens=progress.tokens,
                    cached_tokens=progress.cached_tokens,
                )
                return GenerationResult(result, progress.cached_tokens)
            failure = result
            self._state.note_decision(
                request_id,
                "attempt_failed",
                failure.kind.value,
                replica=attempt.replica.replica_id,
                detail=failure.reason,
                tokens_sent=progress.tokens,
            )
            if failure.kind in _FINAL:
                return _final_failure(failure, progress)
            excluded |= self._after_failure(attempt, failure)
        assert failure is not None
        return _final_failure(failure, progress)

    def _may_place_again(self, failure: Failure) -> bool:
        return failure.kind in _FREE_TO_PLACE_AGAIN or self._may_retry()

    def _may_retry(self) -> bool:
        with self._state.lock:
            return self._state.retry_budget.try_spend()

    def _after_failure(self, attempt: _Attempt, failure: Failure) -> set[str]:
        """Learn from a failed attempt; return the replicas to leave out of the next placement."""
        replica = attempt.replica
        with self._state.lock:
            if failure.kind is FailureKind.FENCE_MISMATCH:
                # The beliefs were about an engine that is no more; ask who it is now.
                if replica.identity == attempt.identity:
                    replica.identity = None
                return set()
            if failure.kind in _AVOIDED:
                replica.avoided_until_s = time.time() + AVOID_AFTER_FAILURE_S
        return {replica.replica_id}

    def _place(
        self,
        request_id: str,
        pool: Pool,
        request: GenerationRequest,
        context: CallerContext,
        excluded: set[str],
    ) -> _Attempt | Failure:
        replicas = self._candidates(pool, excluded)
        if not replicas:
            return FailureKind.NO_REPLICA.because(
                f"pool {pool.name} has no replica that takes work",
                remedy="come back after the given time",
                retry_after_s=2.0,
            )
        # Replicas differ in weights only during a rollout; the prompt's keys follow the version.
        version = max(replica.identity.weights_version for replica in replicas if replica.identity)
        scope = CacheScope(context.tenant.name, request.model, version)
        prefix = prompt_prefix(scope, request.prompt.encode())
        found = self._lookup.find(prefix)
        urgent = is_urgent(context.traffic_class.priority)
        placement = PlacementRequest(
            request_id,
            prefix,
            context.traffic_class.placement_weights(),
            self._state.settings.daemon.zone,
            urgent,
        )
        attempt_id = f"{request_id}.{next(self._attempts)}"
        with self._state.lock:
            decision = self._state.policy.choose(placement, replicas, found.matched)
            replica = next(item for item in replicas if item.replica_id == decision.replica_id)
            identity = replica.identity
            source = self._state.fleet.get(decision.import_from)
            replica.note_dispatch(attempt_id, decision.uncached_tokens, time.time(), urgent=urgent)
        assert identity is not None
        if identity.weights_version != version:
            scope = CacheScope(context.tenant.name, request.model, identity.weights_version)
            prefix = prompt_prefix(scope, request.prompt.encode())
        self._lookup.note_dispatch(prefix, replica.replica_id, identity)
        self._note_placement(request_id, attempt_id, decision, found, identity)
        import_address = source.address if source is not None else ""
        return _Attempt(attempt_id, replica, identity, decision, scope, prefix, import_address)

    def _candidates(self, pool: Pool, excluded: set[str]) -> list[Replica]:
        """Return the pool's replicas whose identity is known, asking those that are not.

        Notes of identities can be lost, so a replica of unknown identity must not stay out for
        good: one is asked with each request, and all of them while none is known.
        """
        with self._state.lock:
            replicas = self._state.fleet.candidates(pool.name, time.time(), frozenset(excluded))
            unknown = [replica for replica in replicas if replica.identity is None]
        if not replicas:
            return self._ask_doubtful(pool, excluded)
        known = [replica for replica in replicas if replica.identity is not None]
        for replica in unknown[:1] if known else unknown:
            if self._ask(replica):
                known.append(replica)
        known.sort(key=lambda replica: replica.replica_id)
        return known

    def _ask_doubtful(self, pool: Pool, excluded: set[str]) -> list[Replica]:
        """Ask a few replicas that are held for unavailable before a request is refused.

        That belief comes by gossip and can be a second old, which matters while replicas take turns
        at loading weights. Bounded, so that an outage of the pool costs little.
        """
        with self._state.lock:
            doubtful = self._state.fleet.doubtful(pool.name, frozenset(excluded))
        for replica in doubtful[:_DOUBTFUL_ASKED]:
            if self._ask(replica):
                return [replica]
        return []

    def _ask(self, replica: Replica) -> bool:
        """Ask a replica who it is; False when it does not answer or takes no work."""
        report = self._engine.report(replica.address, 1 << 60)
        if isinstance(report, Failure) or not report.accepting:
            return False
        with self._state.lock:
            replica.identity = report.identity
            replica.note_load(report.load, time.time())
        return True

    def _note_placement(
        self,
        request_id: str,
        attempt_id: str,
        decision: PlacementDecision,
        found: LookupResult,
        identity: ReplicaIdentity,
    ) -> None:
        self._state.note_decision(
            request_id,
            "placed",
            decision.reason.value,
            attempt=attempt_id,
            replica=decision.replica_id,
            incarnation=identity.incarnation,
            weights_version=identity.weights_version,
            predicted_cached_blocks=decision.cached_blocks,
            import_from=decision.import_from,
            import_blocks=decision.import_blocks,
            predicted_first_token_s=round(decision.expected_first_token_s, 4),
            beliefs_from=found.source.value,
            owner=found.owner,
            candidates=[
                {
                    "replica": item.replica_id,
                    "cached_blocks": item.cached_blocks,
                    "wait_s": round(item.wait_s, 4),
                    "prefill_s": round(item.prefill_s, 4),
                    "cost": round(item.cost, 4),
                }
                for item in decision.candidates
            ],
        )

    def _dispatch(
        self,
        request_id: str,
        attempt: _Attempt,
        request: GenerationRequest,
        context: CallerContext,
        caller: Waiter,
        progress: _Progress,
    ) -> StreamEnd | Failure:
        sent_at_s = boot_seconds()
        first_piece = threading.Event()

        def on_start(start: StreamStart) -> Failure | None:
            if start.identity != attempt.identity:
                return FailureKind.FENCE_MISMATCH.because(
                    f"{attempt.replica.replica_id} answered as {start.identity}",
                    ran=RunState.UNKNOWN,
                )
            progress.cached_tokens = start.cached_tokens
            self._note_start(request_id, attempt, start, boot_seconds() - sent_at_s)
            return None

        def on_piece(piece: StreamPiece) -> Failure | None:
            if not first_piece.is_set():
                first_piece.set()
                self._metrics.first_token(context, boot_seconds() - sent_at_s)
            return progress.take(piece)

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
            if _is_resumable(result) and first_piece.is_set() and self._may_retry():
                result = self._resume(request_id, attempt, dispatch, callbacks, progress)
        finally:
            with self._state.lock:
                attempt.replica.note_started(attempt.attempt_id)
        if isinstance(result, Failure) and result.kind not in _REPLACEABLE:
            self._engine.cancel(attempt.replica.address, attempt.attempt_id)
        return result

    def _resume(
        self,
        request_id: str,
        attempt: _Attempt,
        dispatch: Dispatch,
        callbacks: StreamCallbacks,
        progress: _Progress,
    ) -> StreamEnd | Failure:
        """Ask the same incarnation for the rest of the same attempt's stream."""
        self._state.note_decision(
            request_id, "resumed", "stream_broke", attempt=attempt.attempt_id, at=progress.tokens
        )
        resumed = dataclasses.replace(dispatch, resume_offset=progress.tokens)
        quiet = dataclasses.replace(callbacks, on_start=lambda start: None)
        return self._engine.generate(attempt.replica.address, resumed, quiet)

    def _note_start(
        self, request_id: str, attempt: _Attempt, start: StreamStart, waited_s: float
    ) -> None:
        with self._state.lock:
            attempt.replica.note_started(attempt.attempt_id)
        observed = start.cached_tokens // BLOCK_TOKENS
        self._metrics.reuse(attempt.prefix.prompt_tokens, start.cached_tokens)
        self._state.note_decision(
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
        FailureKind.BACKEND_BROKE,
    )


def _final_failure(failure: Failure, progress: _Progress) -> Failure:
    """Say of the whole request whether it ran: text that reached the caller proves that it did."""
    if progress.tokens:
        return failure.with_run_state(RunState.RAN)
    return failure
