"""Limits on the retries of one request: attempts, time left and the retry budget."""

from __future__ import annotations

import enum

from winchfork.core.routing import Route
from winchfork.router.request_record import RequestRecord
from winchfork.router.state import RouterState

#: Shortest time to the deadline for a retry, in seconds.
MIN_TIME_LEFT_S = 0.03


class RetryDenial(enum.Enum):
    """Why a request is not retried."""

    ATTEMPTS = "sends"
    TIME = "time"
    BUDGET = "budget"


class RequestRetries:
    """The retries of one request, whose deadline is ``ends_at_s`` on the state's clock."""

    def __init__(
        self,
        state: RouterState,
        service: str,
        route: Route,
        record: RequestRecord,
        ends_at_s: float,
    ) -> None:
        self._state = state
        self._service = service
        self.route = route
        self.record = record
        self.ends_at_s = ends_at_s

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.ends_at_s - self._state.clock()

    @property
    def last_sent_at_s(self) -> float:
        """When the request was last sent, or when it was received if it was not sent."""
        return max(self.record.received_at_s, self.record.sent_at_s)

    @property
    def answer_begun(self) -> bool:
        """Whether the caller has received events, so that it can no longer be refused."""
        return self.record.first_event_s is not None

    def latest_start_in_s(self, expected_run_s: float) -> float:
        """Return within how many seconds a run has to begin to end before the deadline."""
        return self.time_left_s - max(MIN_TIME_LEFT_S, expected_run_s)

    def has_attempts_left(self, max_attempts: int) -> bool:
        """Whether attempts and time are left; the retry budget is not checked."""
        return self.record.attempts < max_attempts and self.time_left_s >= MIN_TIME_LEFT_S

    def try_spend(self, max_attempts: int) -> bool:
        """Spend one retry of the budget; return False if it is denied."""
        denial = self._denial(max_attempts)
        self.record.retry_denied = denial.value if denial is not None else ""
        return denial is None

    def _denial(self, max_attempts: int) -> RetryDenial | None:
        if self.record.attempts >= max_attempts:
            return RetryDenial.ATTEMPTS
        if not self.has_attempts_left(max_attempts):
            return RetryDenial.TIME
        daemons = self._state.daemon_count
        if self._state.retry_budget.try_spend(self._service, daemons, self._state.clock()):
            return None
        return RetryDenial.BUDGET
