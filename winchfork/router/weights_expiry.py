"""Watches a stream that has not begun when the weights of its replica expire.

It may begin later than expected, since other daemons send prompts at the same time. It is sent
elsewhere, or cancelled if that is not possible.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchfork.core.routing import RouteKind
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt
from winchfork.router.http_types import RequestEvent, WeightsExpired, WithdrawalRequested
from winchfork.router.inbox import Inbox
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState

#: Seconds before the weights expire at which a stream that has not begun is withdrawn; covers the
#: delays of the withdrawal and of the announcement of the newer version.
WITHDRAWAL_LEAD_S = 0.3
#: Seconds before the weights expire at which such a stream is cancelled if it cannot be withdrawn.
CANCELLATION_LEAD_S = 0.1
#: Longest time between two checks, as a share of the bound on replaced weights.
EXPIRY_CHECK_SHARE = 0.5


class WeightsExpiryCheck:
    """Checks one attempt until it has begun or :meth:`cancel` is called."""

    def __init__(
        self,
        state: RouterState,
        retries: RequestRetries,
        attempt: Attempt,
        inbox: Inbox[RequestEvent],
    ) -> None:
        self._state = state
        self._record = retries.record
        self._is_stream = retries.route.kind is RouteKind.STREAMING
        self._attempt = attempt
        self._inbox = inbox
        self._may_withdraw: Callable[[Attempt], bool] = lambda attempt: False
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, may_withdraw: Callable[[Attempt], bool]) -> None:
        """Begin to check; ``may_withdraw`` tells, and then commits to, a withdrawal.

        An answer that is not a stream does not show whether its run has begun, and is not checked.
        """
        self._may_withdraw = may_withdraw
        if self._is_stream and self._attempt.plan.weights_version is not None:
            self._schedule(WITHDRAWAL_LEAD_S)

    def cancel(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, lead_s: float) -> None:
        """Check ``lead_s`` before the weights expire, or earlier while no newer ones are known."""
        latest_s = self._state.clock() + EXPIRY_CHECK_SHARE * self._state.settings.bounds.weights_s
        at_s = min(latest_s, self._expires_at_s() - lead_s)
        self._timer = asyncio.get_running_loop().call_at(at_s, self._check)

    def _check(self) -> None:
        if self._attempt.has_first_event:
            return
        left_s = self._expires_at_s() - self._state.clock()
        if left_s > WITHDRAWAL_LEAD_S:
            self._schedule(WITHDRAWAL_LEAD_S)
        elif self._may_withdraw(self._attempt):
            self._log("stream_withdrawn")
            self._inbox.put(WithdrawalRequested(self._attempt.number))
        elif left_s > CANCELLATION_LEAD_S:
            self._schedule(CANCELLATION_LEAD_S)
        else:
            self._log("stream_cancelled")
            self._inbox.put(WeightsExpired(self._attempt.number))

    def _expires_at_s(self) -> float:
        plan = self._attempt.plan
        return self._state.replica_selector.weights_expire_at_s(plan.model, plan.weights_version)

    def _log(self, event: str) -> None:
        replica_id = self._attempt.replica.replica_id
        log_event(event, id=self._record.request_id, replica=replica_id)
