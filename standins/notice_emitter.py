"""The notices in a stand-in replica's answers, and a record of the answers and arrivals."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.http_server import Request


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a replica; time on the event loop's clock."""

    request_id: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Backoff:
    """A request refused with a backoff; times on the event loop's clock."""

    request_id: str
    at_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class AnnouncedLimit:
    """A limit in requests per second from ``since_s`` on; None: no limit."""

    limit_per_s: float | None
    since_s: float


class NoticeEmitter:
    """Adds the notices of one incarnation to its answers and records who received them."""

    def __init__(self) -> None:
        #: Whether answers announce that the replica drains.
        self.draining = False
        #: Backoff in seconds with which every request is refused; None: no refusals.
        self.backoff_s: float | None = None
        #: Rejections a second that answers say the replica bears; None: not said.
        self.brittle_per_s: float | None = None
        #: Whether a refusal states that the request did not run.
        self.proves_not_run = True
        self.arrivals: list[Arrival] = []
        #: Arrivals of the requests whose answers announced draining.
        self.draining_answers: list[Arrival] = []
        self.backoffs: list[Backoff] = []
        #: The announced limits, in order.
        self.limits: list[AnnouncedLimit] = []
        #: Answers that announced a limit, at the time when their headers were written.
        self.limited_answers: list[Arrival] = []

    def set_limit(self, per_s: float | None) -> None:
        """Announce a limit from now on; None ends the announcement."""
        self.limits.append(AnnouncedLimit(per_s, asyncio.get_running_loop().time()))

    @property
    def limit_per_s(self) -> float | None:
        """The limit that answers announce now."""
        return self.limits[-1].limit_per_s if self.limits else None

    def headers(self, request: Request | None = None) -> dict[str, str]:
        """Return the notice headers of an answer; record its request if a limit is announced."""
        headers = {"Server-Leaving": "1"} if self.draining else {}
        if self.brittle_per_s is not None:
            headers["Server-Brittle"] = f"{self.brittle_per_s:g}"
        limit_per_s = self.limit_per_s
        if limit_per_s is not None:
            headers["Server-Limit"] = f"{limit_per_s:g}"
            if request is not None:
                self.limited_answers.append(self._arrival(request))
        return headers

    def record_arrival(self, request: Request) -> None:
        """Record a request that the replica will run or refuse with a backoff."""
        arrival = self._arrival(request)
        self.arrivals.append(arrival)
        if self.draining:
            self.draining_answers.append(arrival)

    def refuse_with_backoff(self, request: Request) -> dict[str, str]:
        """Return the headers of a 503 with the current backoff, and record it."""
        assert self.backoff_s is not None
        now_s = asyncio.get_running_loop().time()
        name = request.headers["x-request-id"]
        self.backoffs.append(Backoff(name, now_s, now_s + self.backoff_s))
        headers = {"Retry-After": f"{self.backoff_s:g}"}
        if self.proves_not_run:
            headers["X-Not-Executed"] = "1"
        return headers

    @staticmethod
    def _arrival(request: Request) -> Arrival:
        return Arrival(request.headers["x-request-id"], asyncio.get_running_loop().time())
