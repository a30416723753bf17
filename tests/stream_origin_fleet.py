"""Daemons that begin streams and are asked to continue them, in virtual time."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from tests.memory_store import MemoryStore
from tests.peer_support import Daemon, Network
from winchfork.core.routing import Route, RouteKind, ServiceShare
from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure
from winchfork.router.header_codec import RequestFields
from winchfork.router.request_admission import AdmittedRequest

ZONES = ("z1", "z2", "z3")
#: Seconds in which the daemons of a new fleet come to know each other.
STABILIZATION_S = 8.0
ROUTE = Route(
    name="r",
    host="a.example",
    path_prefix="/p/",
    kind=RouteKind.STREAMING,
    timeout_s=10.0,
    target_latency_s=0.8,
    priority=1,
    shares=(ServiceShare("s", 1.0),),
    max_attempts=2,
    resumable=True,
)
VERSIONS = ("v1", "v1.1", "v1.2")


def attempt(request_id: str, origin_id: str | None = None) -> AdmittedRequest:
    """Return an attempt, which continues the stream that ``origin_id`` began if that is given."""
    resume_after = 2 if origin_id else None
    fields = RequestFields(request_id, 10.0, "key", None, resume_after, origin_id=origin_id)
    return AdmittedRequest(ROUTE, None, fields, b"", "school")


@dataclasses.dataclass
class Findings:
    """How many streams were found, not found and found with another version; longest search."""

    found: int = 0
    unknown: int = 0
    wrong: int = 0
    longest_s: float = 0.0

    @property
    def found_share(self) -> float:
        """The share of the streams that can be continued."""
        return self.found / max(1, self.found + self.unknown + self.wrong)


class StreamFleet:
    """Daemons of a fleet in three zones, with the streams that they have begun."""

    def __init__(self, daemons: int, seed: int = 1) -> None:
        self.network = Network()
        self.generator = random.Random(seed)
        self._store = MemoryStore()
        self.daemons = [self._daemon(number) for number in range(1, daemons + 1)]
        self._begun: dict[str, StreamOrigin] = {}
        self._asked = 0

    def _daemon(self, number: int) -> Daemon:
        daemon = Daemon(self.network, number, ZONES[number % len(ZONES)], self._store)
        daemon.number = number  # type: ignore[attr-defined]
        return daemon

    def begin(self, count: int, daemons: list[Daemon] | None = None) -> None:
        """Begin streams of random versions at random daemons."""
        for _ in range(count):
            daemon = self.generator.choice(daemons or self.daemons)
            name = f"stream-{len(self._begun)}"
            origin = StreamOrigin("s", self.generator.choice(VERSIONS))
            self._begun[name] = origin
            daemon.state.stream_origins.record(attempt(name), origin)

    async def continue_all(self, daemons: list[Daemon] | None = None) -> Findings:
        """Ask a random daemon for each begun stream."""
        findings = Findings()
        loop = asyncio.get_running_loop()
        for name, origin in self._begun.items():
            self._asked += 1
            daemon = self.generator.choice(daemons or self.daemons)
            asked_at_s = loop.time()
            asked = attempt(f"again-{self._asked}", name)
            found = await daemon.state.stream_origins.find(asked)
            findings.longest_s = max(findings.longest_s, loop.time() - asked_at_s)
            if isinstance(found, Failure):
                findings.unknown += 1
            elif found == origin:
                findings.found += 1
            else:
                findings.wrong += 1
        return findings

    def replace(self, daemon: Daemon) -> Daemon:
        """Kill a daemon and start one without state in its place."""
        daemon.kill(self.network)
        number: int = daemon.number  # type: ignore[attr-defined]
        started = self.daemons[self.daemons.index(daemon)] = self._daemon(number)
        return started

    def stop_as_planned(self, daemon: Daemon) -> Daemon:
        """Stop a daemon, which hands over what it knows, and start a new one in its place."""
        daemon.exchanges.stream_origins.hand_over()
        daemon.peers.leave()
        return self.replace(daemon)
