"""Relays requests to application back ends; a non-repeatable request runs at most once.

A repeatable request may be retried on another back end. A non-repeatable one is sent once, on its
own connection; if it has an idempotency key, only after its claim is won. Its failure is reported
as "not run" only when that is certain, and as "outcome unknown" otherwise.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Mapping

import cbor2

from winchfork.backends.http_client import HttpAnswer, HttpClient, HttpRequest
from winchfork.boot_clock import boot_seconds
from winchfork.cluster.claim_client import ClaimClient, ClaimRequest, RecordedOutcome, WonClaim
from winchfork.cluster.state import DaemonState
from winchfork.constants import AVOID_AFTER_FAILURE_S, CLAIM_TIMEOUT_S
from winchfork.core.configuration import Pool
from winchfork.core.fleet import Replica
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.gateway.caller import Caller
from winchfork.gateway.metrics import GatewayMetrics
from winchfork.gateway.requests import CallerContext

#: The largest answer body recorded with a claim.
MAX_RECORDED_BODY_BYTES = 8_192
_FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "traceparent")
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class RelayRequest:
    """A caller's request: method, path below the pool with query, body and headers."""

    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """The back end's answer; ``replayed`` when it was recorded for an earlier attempt."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class Relay:
    """Relays the application requests of one daemon. Thread-safe."""

    def __init__(
        self,
        state: DaemonState,
        client: HttpClient,
        claims: ClaimClient,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._client = client
        self._claims = claims
        self._metrics = metrics
        self._rotation = 0

    def run(
        self,
        request_id: str,
        pool: Pool,
        request: RelayRequest,
        context: CallerContext,
        caller: Caller,
    ) -> RelayAnswer | Failure:
        """Relay a request; retries and claims depend on ``context``."""
        if context.repeatable:
            return self._run_repeatable(request_id, pool, request, caller)
        if context.idempotency_key is None:
            return self._run_once(request_id, pool, request, caller)
        return self._run_claimed(request_id, pool, request, context, caller)

    # --- repeatable requests ---

    def _run_repeatable(
        self, request_id: str, pool: Pool, request: RelayRequest, caller: Caller
    ) -> RelayAnswer | Failure:
        with self._state.lock:
            self._state.retry_budget.record_request()
        excluded: set[str] = set()
        failure = _no_back_end(pool)
        for number in range(_MAX_ATTEMPTS):
            if number > 0 and not self._spend_retry():
                return failure
            replica = self._choose(request_id, pool, excluded)
            if replica is None:
                return failure
            answer = self._send(replica, request, caller, single_use=False)
            if not isinstance(answer, Failure):
                return answer
            failure = answer
            self._record_failure(request_id, replica, failure)
            excluded.add(replica.replica_id)
            if failure.kind in (FailureKind.CALLER_DISCONNECTED, FailureKind.DEADLINE_EXCEEDED):
                return failure
        return failure

    def _spend_retry(self) -> bool:
        with self._state.lock:
            return self._state.retry_budget.try_spend()

    # --- non-repeatable requests ---

    def _run_once(
        self, request_id: str, pool: Pool, request: RelayRequest, caller: Caller
    ) -> RelayAnswer | Failure:
        """Send the request once; try another back end only if the last one received nothing."""
        excluded: set[str] = set()
        failure = _no_back_end(pool)
        for _ in range(_MAX_ATTEMPTS):
            replica = self._choose(request_id, pool, excluded)
            if replica is None:
                return failure
            answer = self._send(replica, request, caller, single_use=True)
            if not isinstance(answer, Failure):
                return answer
            failure = answer
            self._record_failure(request_id, replica, failure)
            if failure.ran is not RunState.NOT_RUN:
                return _outcome_unknown(failure)
            excluded.add(replica.replica_id)
        return failure

    def _run_claimed(
        self,
        request_id: str,
        pool: Pool,
        request: RelayRequest,
        context: CallerContext,
        caller: Caller,
    ) -> RelayAnswer | Failure:
        assert context.idempotency_key is not None
        claim_request = ClaimRequest(
            context.tenant.name,
            context.idempotency_key,
            context.first_send,
            min(CLAIM_TIMEOUT_S, max(0.0, caller.remaining_s())),
        )
        started_s = boot_seconds()
        claim = self._claims.obtain(claim_request)
        waited_s = round(boot_seconds() - started_s, 5)
        if isinstance(claim, Failure):
            self._metrics.count_claim(claim.kind.value)
            self._state.record_decision(
                request_id, "claim_refused", claim.kind.value, detail=claim.reason
            )
            return claim
        if isinstance(claim, RecordedOutcome):
            self._metrics.count_claim("replayed")
            self._state.record_decision(request_id, "claim_replayed", "key_already_answered")
            return _decode_outcome(claim.outcome)
        self._metrics.count_claim("won")
        self._state.record_decision(request_id, "claim_won", "majority", waited_s=waited_s)
        return self._dispatch_claimed(request_id, pool, request, caller, claim)

    def _dispatch_claimed(
        self, request_id: str, pool: Pool, request: RelayRequest, caller: Caller, claim: WonClaim
    ) -> RelayAnswer | Failure:
        stopped = caller.check()
        if stopped is not None:
            refusal = stopped.with_run_state(RunState.NOT_RUN)
            claim.abandon(_encode_refusal(refusal))
            return refusal
        if not claim.dispatch():
            return FailureKind.CLAIM_HELD.because("the claim was already used")
        answer = self._run_once(request_id, pool, request, caller)
        if isinstance(answer, RelayAnswer):
            claim.finish(_encode_outcome(answer))
        elif answer.ran is RunState.NOT_RUN:
            # No back end received a byte; later retries of the key get the recorded refusal.
            claim.finish(_encode_refusal(answer))
        return answer

    # --- one exchange ---

    def _choose(self, request_id: str, pool: Pool, excluded: set[str]) -> Replica | None:
        own_zone = self._state.settings.daemon.zone
        with self._state.lock:
            candidates = self._state.fleet.candidates(pool.name, time.time(), frozenset(excluded))
            self._rotation += 1
            rotation = self._rotation
        nearby = [replica for replica in candidates if replica.zone == own_zone] or candidates
        if not nearby:
            return None
        replica = nearby[rotation % len(nearby)]
        self._state.record_decision(
            request_id, "placed", "rotation_near", replica=replica.replica_id, zone=replica.zone
        )
        return replica

    def _send(
        self, replica: Replica, request: RelayRequest, caller: Caller, *, single_use: bool
    ) -> RelayAnswer | Failure:
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() in _FORWARDED_HEADERS
        }
        answer = self._client.exchange(
            HttpRequest(
                request.method,
                replica.address + request.path,
                request.body,
                headers,
                timeout_s=max(0.001, caller.remaining_s()),
                single_use=single_use,
            )
        )
        if isinstance(answer, HttpAnswer):
            return RelayAnswer(
                answer.status,
                answer.headers.get("content-type", "application/octet-stream"),
                answer.body,
            )
        return answer

    def _record_failure(self, request_id: str, replica: Replica, failure: Failure) -> None:
        self._state.record_decision(
            request_id,
            "attempt_failed",
            failure.kind.value,
            replica=replica.replica_id,
            detail=failure.reason,
        )
        if failure.kind is FailureKind.BACKEND_UNREACHABLE:
            with self._state.lock:
                replica.avoided_until_s = time.time() + AVOID_AFTER_FAILURE_S


def _no_back_end(pool: Pool) -> Failure:
    return FailureKind.NO_REPLICA.because(
        f"pool {pool.name} has no back end that accepts work",
        remedy="retry after the given time",
        retry_after_s=2.0,
    )


def _outcome_unknown(failure: Failure) -> Failure:
    return FailureKind.OUTCOME_UNKNOWN.because(
        f"the request was sent and its answer did not arrive ({failure.reason})",
        remedy="retry with the same key; do not send the command under a new one",
        ran=RunState.UNKNOWN,
    )


def _encode_outcome(answer: RelayAnswer) -> bytes:
    fits = len(answer.body) <= MAX_RECORDED_BODY_BYTES
    return cbor2.dumps([answer.status, answer.content_type, answer.body if fits else None])


def _encode_refusal(failure: Failure) -> bytes:
    return cbor2.dumps([0, failure.kind.value, failure.reason])


def _decode_outcome(outcome: bytes) -> RelayAnswer | Failure:
    status, content_type, body = cbor2.loads(outcome)
    if status == 0:
        return FailureKind(content_type).because(
            body, remedy="send the command under a new key", ran=RunState.NOT_RUN
        )
    if body is None:
        return FailureKind.OUTCOME_UNKNOWN.because(
            f"the command ran and was answered {status}; the answer was too large to record",
            remedy="do not send the command again",
            ran=RunState.RAN,
        )
    return RelayAnswer(status, content_type, body, replayed=True)
