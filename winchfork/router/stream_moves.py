"""Moves a request in progress to another replica, if its route allows that and it is worthwhile.

A daemon that is stopping moves nothing: the next replica may refuse, while the attempt in progress
may still complete.
"""

from __future__ import annotations

import asyncio

from winchfork.core.relay_replica import RelayReplica
from winchfork.logs import log_event
from winchfork.router.attempt import Attempt, AttemptPlan
from winchfork.router.attempt_planner import AttemptPlanner
from winchfork.router.http_types import MoveRequested
from winchfork.router.inbox import Inbox
from winchfork.router.outcomes import Outcome
from winchfork.router.request_retries import RequestRetries
from winchfork.router.state import RouterState

#: Seconds without data after which an attempt at a replica reported as unreachable is given up.
MIN_SILENCE_S = 0.3
#: Seconds before the weights expire at which a stream that has not begun is withdrawn; covers the
#: delays of the withdrawal and of the announcement of the newer version.
WITHDRAWAL_LEAD_S = 0.3
#: Share of the retry budget that is reserved for failures: :meth:`StreamMoves.replica_held` does
#: not spend it.
_FAILURE_RESERVE = 0.5


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

    async def run_attempt(self, attempt: Attempt) -> Outcome:
        """Run an attempt until it ends or is moved."""
        self.attempt = attempt
        withdrawal = self._schedule_withdrawal(attempt.plan)
        try:
            return await attempt.run()
        finally:
            if withdrawal is not None:
                withdrawal.cancel()
            self.attempt = None

    def replica_held(self, replica: RelayReplica) -> None:
        """Move a resumable stream away from a replica that loads weights next, if worthwhile.

        The load waits for the runs in progress. A move repeats the prefill and spends a retry.
        """
        if not self._is_at(replica) or not self._route.resumable or self._state.stopping:
            return
        if not self._retries.has_attempts_left(self._route.max_attempts):
            return
        elapsed_s = self._state.clock() - self._retries.record.sent_at_s
        if not self._planner.worth_moving(elapsed_s, self._attempted | {replica.replica_id}):
            return
        if self._retries.try_spend(self._route.max_attempts, _FAILURE_RESERVE):
            self._move("stream_moves", replica)

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

    def _schedule_withdrawal(self, plan: AttemptPlan) -> asyncio.TimerHandle | None:
        """Schedule the withdrawal of a stream that has not begun shortly before its weights expire.

        It may begin later than expected, since other daemons send prompts at the same time. Return
        None if the stream cannot be resumed or its weights do not expire before its deadline.
        """
        expires_at_s = self._state.replica_selector.weights_expire_at_s(
            plan.model, plan.weights_version
        )
        if not self._route.resumable or expires_at_s >= self._retries.ends_at_s:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(expires_at_s - WITHDRAWAL_LEAD_S, self._withdraw, plan.replica)

    def _withdraw(self, replica: RelayReplica) -> None:
        attempt = self.attempt
        if attempt is None or not self._is_at(replica) or attempt.has_first_event:
            return
        if self._state.stopping or not self._planner.has_candidates(self._attempted):
            return
        if self._retries.try_spend(self._route.max_attempts):
            self._move("stream_withdrawn", replica)

    def _is_at(self, replica: RelayReplica) -> bool:
        return self.attempt is not None and self.attempt.replica is replica

    def _move(self, event: str, replica: RelayReplica) -> None:
        log_event(event, id=self._retries.record.request_id, replica=replica.replica_id)
        self._inbox.put(MoveRequested(replica.replica_id))
