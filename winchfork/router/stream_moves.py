"""Moves a request that is under way to another replica, where that is allowed and worth it.

A daemon that stops moves nothing: the next replica may refuse, and what is under way may be
finished in the time that it has left.
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

#: A replica that has said something more recently than this is heard, whatever others say of it.
MIN_SILENCE_S = 0.3
#: Seconds before the end of a bound at which what has not begun is withdrawn: for the withdrawal's
#: way, and for what a daemon heard of the newer version after it was named.
WITHDRAWAL_LEAD_S = 0.3
#: Part of the retry budget that streams which move away from a load leave to failures.
_FAILURE_RESERVE = 0.5


class StreamMoves:
    """The moves of one request; ``tried`` holds the replicas that it was sent to before."""

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
        #: What is under way; None between attempts.
        self.attempt: Attempt | None = None

    async def run_attempt(self, attempt: Attempt) -> Outcome:
        """Run an attempt to its end, or until it is moved away."""
        self.attempt = attempt
        withdrawal = self._schedule_withdrawal(attempt.plan)
        try:
            return await attempt.run()
        finally:
            if withdrawal is not None:
                withdrawal.cancel()
            self.attempt = None

    def replica_held(self, replica: RelayReplica) -> None:
        """Move a stream away from a replica that loads weights next, if that is worth it.

        A load waits for the runs that are under way. A move reads the prompt once more and draws on
        the retry budget, of which a part is left to failures.
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
        """Go on elsewhere at once where that is allowed: this answer will not come.

        Waiting for the connection's own time-out costs a caller some seconds of silence.
        """
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
        """Arrange for a stream to be withdrawn that has not begun when its weights' time ends.

        How long it waits at its replica is a forecast, which prompts that other daemons send at the
        same moment make too short.
        """
        due_s = self._state.replica_selector.weights_expire_at_s(plan.model, plan.weights_version)
        if not self._route.resumable or due_s >= self._retries.ends_at_s:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_at(due_s - WITHDRAWAL_LEAD_S, self._withdraw, plan.replica)

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
