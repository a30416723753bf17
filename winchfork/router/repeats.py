"""Whether one request may be sent once more: its sends, its time, and the budget of all repeats."""

from __future__ import annotations

import enum

from winchfork.core.routing import Route
from winchfork.router.request_record import RequestRecord
from winchfork.router.state import RouterState

#: A repeat needs this much time to be worth sending.
LEAST_TIME_LEFT_S = 0.03


class RepeatDenial(enum.Enum):
    """Why a request is not sent once more."""

    #: It was sent to as many replicas as its route allows.
    SENDS = "sends"
    TIME = "time"
    BUDGET = "budget"


class Repeats:
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
        return self._state.clock() - max(self.record.received_s, self.record.sent_s)

    def time_to_begin_s(self, run_s: float) -> float:
        """Return in how many seconds a run has to begin that takes ``run_s`` and ends in time."""
        return self.time_left_s - max(LEAST_TIME_LEFT_S, run_s)

    def are_left(self, most_sends: int) -> bool:
        """Whether sends and time are left, whatever the budget says."""
        return self.record.sends < most_sends and self.time_left_s >= LEAST_TIME_LEFT_S

    def take(self, most_sends: int, reserve: float = 0.0) -> bool:
        """Spend one repeat of the budget, of which ``reserve`` is left; False if it may not be."""
        denial = self._denial(most_sends, reserve)
        self.record.repeat_denied = denial.value if denial is not None else ""
        return denial is None

    def _denial(self, most_sends: int, reserve: float) -> RepeatDenial | None:
        if self.record.sends >= most_sends:
            return RepeatDenial.SENDS
        if not self.are_left(most_sends):
            return RepeatDenial.TIME
        daemons = self._state.daemons
        if self._state.budget.try_spend(self._service, daemons, self._state.clock(), reserve):
            return None
        return RepeatDenial.BUDGET
