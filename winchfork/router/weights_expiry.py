"""Watches a stream that has not begun when the weights of its replica expire.

It may begin later than expected, since other daemons send prompts at the same time. Shortly before
the weights expire the request's reader is asked to send it elsewhere, then told that it has to end.
"""

from __future__ import annotations

import asyncio

from winchfork.core.routing import RouteKind
from winchfork.router.attempt import Attempt
from winchfork.router.http_types import RequestEvent, WeightsExpired, WeightsExpiring
from winchfork.router.inbox import Inbox
from winchfork.router.state import RouterState

#: Seconds before the weights expire at which a stream that has not begun is withdrawn; covers the
#: delays of the withdrawal and of the announcement of the newer version.
WITHDRAWAL_LEAD_S = 0.3
#: Seconds before the weights expire at which such a stream is cancelled if it cannot be withdrawn.
CANCELLATION_LEAD_S = 0.1
#: Longest time between two checks, as a share of the bound on replaced weights.
EXPIRY_CHECK_SHARE = 0.5


class WeightsExpiryCheck:
    """Checks one attempt until its stream has begun or :meth:`cancel` is called.

    An answer that is not a stream does not show whether its run has begun, and is not checked.
    """

    def __init__(
        self, state: RouterState, kind: RouteKind, attempt: Attempt, inbox: Inbox[RequestEvent]
    ) -> None:
        self._state = state
        self._attempt = attempt
        self._inbox = inbox
        self._timer: asyncio.TimerHandle | None = None
        if kind is RouteKind.STREAMING and attempt.plan.weights_version is not None:
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
        elif left_s > CANCELLATION_LEAD_S:
            self._inbox.put(WeightsExpiring(self._attempt.number))
            self._schedule(CANCELLATION_LEAD_S)
        else:
            self._inbox.put(WeightsExpired(self._attempt.number))

    def _expires_at_s(self) -> float:
        plan = self._attempt.plan
        return self._state.replica_selector.weights_expire_at_s(plan.model, plan.weights_version)
