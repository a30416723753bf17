"""Whether one request may be sent once more: its sends, its time, and the budget of all repeats."""

from __future__ import annotations

import enum

from winchfork.core.routing import Route
from winchfork.router.request_record import RequestRecord
from winchfork.router.state import RouterState

#: A repeat needs this much time to be worth sending.
MIN_TIME_LEFT_S = 0.03


class RetryDenial(enum.Enum):
    """Why a request is not sent once more."""

    #: It was sent to as many replicas as its route allows.
    ATTEMPTS = "sends"
    TIME = "time"
    BUDGET = "budget"


class RequestRetries:
    """The repeats of one request, which is over at ``ends_at_s``."""

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
        """Seconds until the request's time is up."""
        return self.ends_at_s - self._state.clock()

    @property
    def waited_s(self) -> float:
        """Seconds since the request came, or since it was last sent."""
        return self._state.clock() - max(self.record.received_at_s, self.record.sent_at_s)

    def latest_start_in_s(self, run_s: float) -> float:
        """Return in how many seconds a run has to begin that takes ``run_s`` and ends in time."""
        return self.time_left_s - max(MIN_TIME_LEFT_S, run_s)

    def has_attempts_left(self, max_attempts: int) -> bool:
        """Whether sends and time are left, whatever the budget says."""
        return self.record.attempts < max_attempts and self.time_left_s >= MIN_TIME_LEFT_S

    def try_spend(self, max_attempts: int, reserve: float = 0.0) -> bool:
        """Spend one repeat of the budget, of which ``reserve`` is left; False if it may not be."""
        denial = self._denial(max_attempts, reserve)
        self.record.retry_denied = denial.value if denial is not None else ""
        return denial is None

    def _denial(self, max_attempts: int, reserve: float) -> RetryDenial | None:
        if self.record.attempts >= max_attempts:
            return RetryDenial.ATTEMPTS
        if not self.has_attempts_left(max_attempts):
            return RetryDenial.TIME
        daemons = self._state.daemon_count
        if self._state.retry_budget.try_spend(self._service, daemons, self._state.clock(), reserve):
            return None
        return RetryDenial.BUDGET
