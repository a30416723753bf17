"""Simulates requests that crash replicas, with and without the crash tracker, in virtual time.

    python -m benchmarks.crashing_requests [--seeds N]

Daemons with the router's :class:`CrashTracker` place requests on replicas. Some callers repeat
fatal bodies, which crash every replica 80 ms after it starts to run them; the other callers retry
once if their answer breaks off. Printed for 1, 5 and 50 fatal bodies a minute: the maximum number
of replicas that one body crashed, and the shares of innocent (not fatal) requests that were lost,
were refused, or were served after they had been held back (as suspects, or as no replica accepted
requests).
"""

from __future__ import annotations

import argparse
import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.suspect_runs import SuspectRun
from winchfork.router.crash_tracker import CrashTracker

DAEMONS = 7
REPLICAS = 9
#: Seconds from a replica's crash to its restart, and from sending a datagram to its receipt.
RESTART_S = 4.0
DATAGRAM_DELAY_S = 0.005
#: Innocent requests: arrivals a second, mean run in seconds, number of prompt families, and share
#: of requests that go to their family's replica.
INNOCENT_PER_S = 74.0
RUN_S = 0.3
FAMILIES = 40
AFFINITY_SHARE = 0.75
#: Fatal requests: seconds from start to crash, seconds between repeats, and number of repeats.
FATAL_S = 0.08
REPEAT_S = 1.0
REPEATS = 20
#: Seconds from a crash to its detection, and from a broken answer to the caller's retry.
CRASH_DETECTION_S = 0.035
RETRY_DELAY_S = 0.2
POLL_INTERVAL_S = 0.03
DEADLINE_S = 5.0


class Request(msgspec.Struct):
    """One request with its attempts; a ``fatal`` one crashes every replica that runs it."""

    digest: bytes
    fatal: bool
    family: int
    attempts: int = 0
    was_held: bool = False


class Run(msgspec.Struct, eq=False):
    """A request that runs on a replica."""

    request: Request
    daemon: int
    replica: RelayReplica


class Fleet:
    """Daemons and replicas in virtual time.

    ``crashes`` counts the replicas that each fatal body crashed; ``innocent`` counts the innocent
    requests by outcome.
    """

    def __init__(self, seed: int, bodies_per_minute: float, *, with_tracker: bool) -> None:
        self._random = random.Random(seed)
        self._with_tracker = with_tracker
        self._bodies_per_minute = bodies_per_minute
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.trackers = [
            CrashTracker(f"n{number}", lambda: self._now_s) for number in range(DAEMONS)
        ]
        self._replicas = [self._start(number) for number in range(REPLICAS)]
        self._running: list[Run] = []
        self.crashes: Counter[bytes] = Counter()
        self.innocent: Counter[str] = Counter()
        for number in range(DAEMONS):
            self._connect(number)

    def _connect(self, number: int) -> None:
        tracker = self.trackers[number]
        others = [other for other in self.trackers if other is not tracker]
        name = f"n{number}"

        def broadcast(handle: Callable[[CrashTracker], None]) -> None:
            for other in others:
                self._after(DATAGRAM_DELAY_S, functools.partial(handle, other))

        def on_suspect_run(digest: bytes, run: SuspectRun | None) -> None:
            broadcast(lambda other: other.handle_suspect_run(name, digest, run))

        tracker.on_crash = lambda incarnation, digests: broadcast(
            lambda other: other.handle_crash_report(incarnation, digests)
        )
        tracker.on_suspect_run = on_suspect_run
        tracker.on_cleared = lambda digest, crashes: broadcast(
            lambda other: other.handle_cleared(digest)
        )

    def _start(self, number: int) -> RelayReplica:
        started_ms = int(self._now_s * 1000) + 1
        listing = ReplicaListing(f"r{number}", "s", "a:1", "z", 8, True, started_at_ms=started_ms)
        return RelayReplica(listing, {}, listing.incarnation)

    def simulate(self, seconds: float) -> None:
        """Send requests for ``seconds`` of virtual time, and run until they end.

        Requests that still run ``REPEATS * REPEAT_S`` after these seconds are not counted.
        """
        self._send_innocent(seconds)
        for number in range(round(self._bodies_per_minute * seconds / 60.0)):
            request = Request(b"fatal%d" % number, True, self._random.randrange(FAMILIES))
            first_s = self._random.uniform(0.0, seconds)
            for repeat in range(REPEATS):
                self._after(first_s + repeat * REPEAT_S, functools.partial(self._attempt, request))
        while self._due and self._now_s < seconds + REPEATS * REPEAT_S:
            self._now_s, _, action = heapq.heappop(self._due)
            action()

    def _send_innocent(self, seconds: float) -> None:
        at_s = 0.0
        while (at_s := at_s + self._random.expovariate(INNOCENT_PER_S)) < seconds:
            digest = b"%d" % next(self._numbers)
            request = Request(digest, False, self._random.randrange(FAMILIES))
            self.innocent["sent"] += 1
            self._after(at_s, functools.partial(self._attempt, request))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self._now_s + seconds, next(self._numbers), action))

    def _attempt(self, request: Request) -> None:
        request.attempts += 1
        self._place(request, self._random.randrange(DAEMONS), self._now_s + DEADLINE_S)

    def _place(self, request: Request, daemon: int, deadline_s: float) -> None:
        tracker = self.trackers[daemon]
        if self._with_tracker and tracker.refusal(request.digest) is not None:
            self._count(request, "refused")
            return
        replica = self._choose(request, tracker)
        if replica is None and self._now_s < deadline_s:
            request.was_held = True
            self._after(POLL_INTERVAL_S, lambda: self._place(request, daemon, deadline_s))
        elif replica is None:
            self._count(request, "lost")
        else:
            self._run(Run(request, daemon, replica))

    def _choose(self, request: Request, tracker: CrashTracker) -> RelayReplica | None:
        candidates = [replica for replica in self._replicas if replica.accepting]
        if self._with_tracker:
            if not tracker.may_run(request.digest):
                return None
            excluded = tracker.excluded_replicas(request.digest, candidates)
            candidates = [replica for replica in candidates if replica.replica_id not in excluded]
        preferred = self._replicas[request.family % REPLICAS]
        if preferred in candidates and self._random.random() < AFFINITY_SHARE:
            return preferred
        return self._random.choice(candidates) if candidates else None

    def _run(self, run: Run) -> None:
        self._running.append(run)
        run_s = FATAL_S if run.request.fatal else self._random.expovariate(1.0 / RUN_S)
        if self._with_tracker:
            deadline_s = self._now_s + DEADLINE_S
            self.trackers[run.daemon].begin_run(run.request.digest, run.replica, deadline_s)
        end = self._crash_replica if run.request.fatal else self._complete
        self._after(run_s, lambda: end(run))

    def _complete(self, run: Run) -> None:
        if run not in self._running:
            return
        self._running.remove(run)
        tracker = self.trackers[run.daemon]
        tracker.end_run(run.request.digest)
        tracker.record_success(run.request.digest)
        self._count(run.request, "served")

    def _crash_replica(self, run: Run) -> None:
        if run not in self._running:
            return
        replica = run.replica
        self.crashes[run.request.digest] += 1
        number = self._replicas.index(replica)
        replica.listing = msgspec.structs.replace(replica.listing, accepting=False)
        broken = [other for other in self._running if other.replica is replica]
        for other in broken:
            self._break_run(other)
        for daemon in {other.daemon for other in broken}:
            tracker = self.trackers[daemon]
            self._after(
                CRASH_DETECTION_S,
                functools.partial(tracker.record_crash, replica, CrashEvidence.PORT_CLOSED),
            )
        self._after(RESTART_S, lambda: self._restart(number))

    def _restart(self, number: int) -> None:
        self._replicas[number] = self._start(number)

    def _break_run(self, run: Run) -> None:
        self._running.remove(run)
        tracker = self.trackers[run.daemon]
        tracker.end_run(run.request.digest)
        tracker.record_broken_run(run.replica, run.request.digest, silent=False)
        if run.request.fatal:
            return
        if run.request.attempts < 2:
            self._after(RETRY_DELAY_S, lambda: self._attempt(run.request))
        else:
            self._count(run.request, "lost")

    def _count(self, request: Request, outcome: str) -> None:
        if request.fatal:
            return
        self.innocent[outcome] += 1
        self.innocent["held"] += request.was_held and outcome == "served"


def simulate(
    seed: int, bodies_per_minute: float, *, with_tracker: bool, seconds: float = 120.0
) -> Fleet:
    """Return a fleet after ``seconds`` of requests; ``with_tracker`` turns the crash tracker on."""
    fleet = Fleet(seed, bodies_per_minute, with_tracker=with_tracker)
    fleet.simulate(seconds)
    return fleet


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print("bodies/min guard  max crashes by one  innocent: lost    refused  held")
    for bodies in (1, 5, 50):
        for guarded in (False, True):
            fleets = [simulate(seed, bodies, with_tracker=guarded) for seed in range(options.seeds)]
            crashes = max((max(fleet.crashes.values(), default=0) for fleet in fleets), default=0)
            total = sum((fleet.innocent for fleet in fleets), Counter[str]())
            shares = [total[name] / total["sent"] for name in ("lost", "refused", "held")]
            figures = "  ".join(f"{share:8.5f}" for share in shares)
            print(f"{bodies:10d} {guarded!s:6} {crashes:18d}  {figures}")


if __name__ == "__main__":
    main()
