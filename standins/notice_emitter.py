"""What a stand-in replica says of itself in its answers, and which requests reached it since."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.http_server import Request


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a replica; time of the loop's clock."""

    request_id: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class Backoff:
    """A request that was turned away with a wait; times of the loop's clock."""

    request_id: str
    at_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class AnnouncedLimit:
    """A limit in requests a second, named since then; None: none is named since then."""

    per_s: float | None
    since_s: float


class NoticeEmitter:
    """The words of one replica, put into its answers, and a record of who had them and who came."""

    def __init__(self) -> None:
        #: Whether answers say that the replica leaves.
        self.draining = False
        #: Seconds of rest that each request is turned away with; None: none is turned away.
        self.backoff_s: float | None = None
        #: Whether such an answer proves that the request did not run.
        self.proves_not_run = True
        self.arrivals: list[Arrival] = []
        #: Answers that said that the replica leaves, as arrivals of their requests.
        self.draining_answers: list[Arrival] = []
        self.backoffs: list[Backoff] = []
        #: The limits that were named, in order.
        self.limits: list[AnnouncedLimit] = []
        #: Answers that named a limit, at the time of their heads.
        self.limited_answers: list[Arrival] = []

    def set_limit(self, per_s: float | None) -> None:
        """Name a limit from now on, or none."""
        self.limits.append(AnnouncedLimit(per_s, asyncio.get_running_loop().time()))

    @property
    def limit_per_s(self) -> float | None:
        """The limit that is named now."""
        return self.limits[-1].per_s if self.limits else None

    def headers(self, request: Request | None = None) -> dict[str, str]:
        """Return what every answer carries now; note the request that is answered with it."""
        headers = {"Server-Leaving": "1"} if self.draining else {}
        per_s = self.limit_per_s
        if per_s is not None:
            headers["Server-Limit"] = f"{per_s:g}"
            if request is not None:
                self.limited_answers.append(self._arrival(request))
        return headers

    def record_arrival(self, request: Request) -> None:
        """Note a request that the replica is to run or to turn away."""
        arrival = self._arrival(request)
        self.arrivals.append(arrival)
        if self.draining:
            self.draining_answers.append(arrival)

    def refuse_with_backoff(self, request: Request) -> dict[str, str]:
        """Return the headers of a 503 with a wait, and note it."""
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
