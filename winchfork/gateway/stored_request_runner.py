"""Runs stored requests through the same routing as those of connected callers."""

from __future__ import annotations

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.state import DaemonState
from winchfork.core.configuration import Tenant
from winchfork.core.waiting import WaitingAnswer, WaitingRequest
from winchfork.errors import Failure, FailureKind
from winchfork.gateway.caller import StoredRequestWaiter
from winchfork.gateway.generation import GenerationRouter
from winchfork.gateway.requests import CallerContext, GenerationRequest

#: Bounds one run of a stored request, which is run again if it exceeds this.
RUN_DEADLINE_S = 600.0


class StoredRequestRunner:
    """Provides ``run_request`` of :class:`winchfork.cluster.waiting_work.WaitingWork`."""

    def __init__(self, state: DaemonState, generations: GenerationRouter) -> None:
        self._state = state
        self._generations = generations

    def run(self, stored: WaitingRequest, prompt: str, request_id: str) -> WaitingAnswer | Failure:
        """Run one request to its end; a failure leaves it waiting."""
        configuration = self._state.configuration.current
        pool = configuration.pools.get(stored.pool)
        if pool is None:
            return FailureKind.NO_REPLICA.because(f"pool {stored.pool} is not configured")
        traffic_class = configuration.traffic_class(stored.traffic_class)
        if isinstance(traffic_class, Failure):
            return traffic_class
        tenants = configuration.configuration.tenants
        tenant = next((item for item in tenants if item.name == stored.tenant), None)
        context = CallerContext(
            tenant or Tenant(name=stored.tenant, api_key_sha256=()),
            traffic_class,
            "",
            RUN_DEADLINE_S,
            may_wait=True,
            repeatable=True,
            idempotency_key=None,
            first_send=False,
        )
        parts: list[str] = []
        result = self._generations.run(
            request_id,
            pool,
            GenerationRequest(stored.model, prompt, stored.max_tokens, False, stored.is_chat),
            context,
            StoredRequestWaiter(boot_seconds() + RUN_DEADLINE_S),
            parts.append,
        )
        if isinstance(result, Failure):
            return result
        return WaitingAnswer(
            "".join(parts),
            result.end.finish_reason.value,
            result.end.completion_tokens,
            result.cached_tokens,
        )
