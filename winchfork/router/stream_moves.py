"""Moves a request in progress to another replica, if its route allows that.

A stream at a replica that loads weights next stays there, since the load waits for it. A daemon
that is stopping moves nothing: the next replica may refuse, while the attempt in progress may still
complete. A stream that has not begun shortly before its replica's weights expire is moved, or
cancelled if it cannot be.
"""

from __future__ import annotations

import asyncio

from winchfork.core.relay_replica import RelayReplica
from winchfork.core.routing import RouteKind
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.http_types import MoveRequested, WeightsExpired
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import Outcome
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState

#: Seconds without data after which an attempt at a replica reported as unreachable is given up.
MIN_SILENCE_S = 0.3
#: Seconds before the weights expire at which a stream that has not begun is withdrawn; covers the
#: delays of the withdrawal and of the announcement of the newer version.
WITHDRAWAL_LEAD_S = 0.3
#: Seconds before the weights expire at which such a stream is cancelled if it cannot be moved.
CANCELLATION_LEAD_S = 0.1
#: Longest time between two checks, as a share of the bound on replaced weights.
EXPIRY_CHECK_SHARE = 0.5


class StreamMoves:
    """The moves of one request; ``attempted`` holds the replicas that it was sent to before."""

    def __init__(
        self,
        state: RouterState,
        planner: AttemptPlanner,
        retries: RequestRetries,
        attempted: set[str],
        inbox: Inbox,
    ) -> None:
        self._state = state
        self._planner = planner
        self._retries = retries
        self._route = retries.route
        self._attempted = attempted
        self._inbox = inbox
        #: The attempt in progress; None between attempts.
        self.attempt: Attempt | None = None
        self._expiry_check: asyncio.TimerHandle | None = None

    async def run_attempt(self, attempt: Attempt) -> Outcome:
        """Run an attempt until it ends or is moved."""
        self.attempt = attempt
        self._schedule_expiry_check(WITHDRAWAL_LEAD_S)
        try:
            return await attempt.run()
        finally:
            if self._expiry_check is not None:
                self._expiry_check.cancel()
                self._expiry_check = None
            self.attempt = None

    def replica_unreachable(self, replica: RelayReplica) -> None:
        """Move a repeatable request without waiting for the connection to time out."""
        attempt = self.attempt
        if attempt is None or not self._is_at(replica) or not self._route.repeatable:
            return
        if self._state.stopping or attempt.silent_s < MIN_SILENCE_S:
            return
        if not self._planner.has_candidates(self._attempted | {replica.replica_id}):
            return
        if self._retries.try_spend(self._route.max_attempts):
            self._move("answer_given_up", replica)

    # Streams that have not begun when their replica's weights expire

    def _schedule_expiry_check(self, lead_s: float) -> None:
        """Check the attempt ``lead_s`` before its weights expire.

        Until a newer version is known they do not expire, so the check is repeated. An answer that
        is not a stream does not show whether its run has begun, and is not checked.
        """
        attempt = self.attempt
        if attempt is None or attempt.plan.weights_version is None:
            return
        if self._route.kind is not RouteKind.STREAMING:
            return
        latest_s = self._state.clock() + EXPIRY_CHECK_SHARE * self._state.settings.bounds.weights_s
        at_s = min(latest_s, self._expires_at_s(attempt) - lead_s)
        loop = asyncio.get_running_loop()
        self._expiry_check = loop.call_at(at_s, self._check_expiry)

    def _check_expiry(self) -> None:
        """Move a stream that has not begun, or cancel it if that is not possible.

        It may begin later than expected, since other daemons send prompts at the same time.
        """
        attempt = self.attempt
        if attempt is None or attempt.has_first_event:
            return
        left_s = self._expires_at_s(attempt) - self._state.clock()
        if left_s > WITHDRAWAL_LEAD_S:
            self._schedule_expiry_check(WITHDRAWAL_LEAD_S)
        elif self._may_withdraw():
            self._move("stream_withdrawn", attempt.replica)
        elif left_s > CANCELLATION_LEAD_S:
            self._schedule_expiry_check(CANCELLATION_LEAD_S)
        else:
            self._cancel(attempt)

    def _expires_at_s(self, attempt: Attempt) -> float:
        return self._state.replica_selector.weights_expire_at_s(
            attempt.plan.model, attempt.plan.weights_version
        )

    def _may_withdraw(self) -> bool:
        if not self._route.resumable or self._state.stopping:
            return False
        if not self._planner.has_candidates(self._attempted):
            return False
        return self._retries.try_spend(self._route.max_attempts)

    def _cancel(self, attempt: Attempt) -> None:
        replica_id = attempt.replica.replica_id
        log_event("stream_cancelled", id=self._retries.record.request_id, replica=replica_id)
        self._inbox.put(WeightsExpired(replica_id))

    def _is_at(self, replica: RelayReplica) -> bool:
        return self.attempt is not None and self.attempt.replica is replica

    def _move(self, event: str, replica: RelayReplica) -> None:
        log_event(event, id=self._retries.record.request_id, replica=replica.replica_id)
        self._inbox.put(MoveRequested(replica.replica_id))
