"""What requests that end replicas cost the others, with and without the guard, in virtual time.

    python -m benchmarks.crashing_requests [--seeds N]

Daemons with the router's own guard place requests on replicas; some callers repeat bodies that end
each replica that runs them, 80 ms after it began. Printed for 1, 5 and 50 such bodies a minute: how
many replicas one body ended at most, the share of innocent requests broken for good, refused
wrongly, and held back as suspects. Callers try a second time when their answer broke.
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
#: Seconds that a replica is away after it has ended, and that datagrams take.
RESTART_S = 4.0
DATAGRAM_DELAY_S = 0.005
#: Innocent requests a second, their mean run, and the families whose requests share a home.
INNOCENT_PER_S = 74.0
RUN_S = 0.3
FAMILIES = 40
HOME_SHARE = 0.75
#: A body that ends replicas: after how long, and how often and for how long it is sent.
FATAL_S = 0.08
REPEAT_S = 1.0
REPEATS = 20
#: From the end of a replica to its being known, and a caller's pause before its second try.
CRASH_DETECTION_S = 0.035
SECOND_TRY_S = 0.2
POLL_INTERVAL_S = 0.03
DEADLINE_S = 5.0


class Request(msgspec.Struct):
    """One request over its tries; ``fatal`` ones end their replica."""

    digest: bytes
    fatal: bool
    family: int
    attempts: int = 0
    was_held: bool = False


class Run(msgspec.Struct, eq=False):
    """A request on a replica."""

    request: Request
    daemon: int
    replica: RelayReplica


class Fleet:
    """Daemons and replicas in virtual time."""

    def __init__(self, seed: int, bodies_per_minute: float, *, guarded: bool) -> None:
        self._random = random.Random(seed)
        self._guarded = guarded
        self._bodies_per_minute = bodies_per_minute
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.trackers = [
            CrashTracker(f"n{number}", lambda: self._now_s) for number in range(DAEMONS)
        ]
        self._replicas = [self._start(number) for number in range(REPLICAS)]
        self._running: list[Run] = []
        #: Replicas ended by each fatal body, and what became of innocent requests.
        self.crashes: Counter[bytes] = Counter()
        self.innocent: Counter[str] = Counter()
        for number in range(DAEMONS):
            self._connect(number)

    def _connect(self, number: int) -> None:
        guard = self.trackers[number]
        others = [other for other in self.trackers if other is not guard]
        name = f"n{number}"

        def tell(act: Callable[[CrashTracker], None]) -> None:
            for other in others:
                self._after(DATAGRAM_DELAY_S, functools.partial(act, other))

        def tell_run(digest: bytes, run: SuspectRun | None) -> None:
            tell(lambda other: other.handle_suspect_run(name, digest, run))

        guard.on_crash = lambda inc, digests: tell(
            lambda other: other.handle_crash_report(inc, digests)
        )
        guard.on_suspect_run = tell_run
        guard.on_cleared = lambda digest, ends: tell(lambda other: other.handle_cleared(digest))

    def _start(self, number: int) -> RelayReplica:
        born_ms = int(self._now_s * 1000) + 1
        listing = ReplicaListing(f"r{number}", "s", "a:1", "z", 8, True, started_at_ms=born_ms)
        return RelayReplica(listing, {}, listing.incarnation)

    def simulate(self, seconds: float) -> None:
        """Send requests for a while and follow them to their ends."""
        self._send_innocent(seconds)
        for number in range(round(self._bodies_per_minute * seconds / 60.0)):
            request = Request(b"fatal%d" % number, True, self._random.randrange(FAMILIES))
            first_s = self._random.uniform(0.0, seconds)
            for repeat in range(REPEATS):
                self._after(first_s + repeat * REPEAT_S, functools.partial(self._try, request))
        while self._due and self._now_s < seconds + REPEATS * REPEAT_S:
            self._now_s, _, act = heapq.heappop(self._due)
            act()

    def _send_innocent(self, seconds: float) -> None:
        at_s = 0.0
        while (at_s := at_s + self._random.expovariate(INNOCENT_PER_S)) < seconds:
            digest = b"%d" % next(self._numbers)
            request = Request(digest, False, self._random.randrange(FAMILIES))
            self.innocent["sent"] += 1
            self._after(at_s, functools.partial(self._try, request))

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self._now_s + seconds, next(self._numbers), act))

    def _try(self, request: Request) -> None:
        request.attempts += 1
        self._place(request, self._random.randrange(DAEMONS), self._now_s + DEADLINE_S)

    def _place(self, request: Request, daemon: int, deadline_s: float) -> None:
        guard = self.trackers[daemon]
        if self._guarded and guard.refusal(request.digest) is not None:
            self._count(request, "refused")
            return
        replica = self._choose(request, guard)
        if replica is None and self._now_s < deadline_s:
            request.was_held = True
            self._after(POLL_INTERVAL_S, lambda: self._place(request, daemon, deadline_s))
        elif replica is None:
            self._count(request, "lost")
        else:
            self._run(Run(request, daemon, replica))

    def _choose(self, request: Request, guard: CrashTracker) -> RelayReplica | None:
        left = [replica for replica in self._replicas if replica.accepting]
        if self._guarded:
            if not guard.may_run(request.digest):
                return None
            taken = guard.excluded_replicas(request.digest, left)
            left = [replica for replica in left if replica.replica_id not in taken]
        home = self._replicas[request.family % REPLICAS]
        if home in left and self._random.random() < HOME_SHARE:
            return home
        return self._random.choice(left) if left else None

    def _run(self, run: Run) -> None:
        self._running.append(run)
        run_s = FATAL_S if run.request.fatal else self._random.expovariate(1.0 / RUN_S)
        if self._guarded:
            ends_s = self._now_s + DEADLINE_S
            self.trackers[run.daemon].begin_run(run.request.digest, run.replica, ends_s)
        end = self._end_replica if run.request.fatal else self._end_well
        self._after(run_s, lambda: end(run))

    def _end_well(self, run: Run) -> None:
        if run not in self._running:
            return
        self._running.remove(run)
        guard = self.trackers[run.daemon]
        guard.end_run(run.request.digest)
        guard.record_success(run.request.digest)
        self._count(run.request, "served")

    def _end_replica(self, run: Run) -> None:
        if run not in self._running:
            return
        replica = run.replica
        self.crashes[run.request.digest] += 1
        number = self._replicas.index(replica)
        replica.listing = msgspec.structs.replace(replica.listing, accepting=False)
        broken = [other for other in self._running if other.replica is replica]
        for other in broken:
            self._break(other)
        for daemon in {other.daemon for other in broken}:
            guard = self.trackers[daemon]
            self._after(
                CRASH_DETECTION_S,
                functools.partial(guard.record_crash, replica, CrashEvidence.PORT_CLOSED),
            )
        self._after(RESTART_S, lambda: self._return(number))

    def _return(self, number: int) -> None:
        self._replicas[number] = self._start(number)

    def _break(self, run: Run) -> None:
        self._running.remove(run)
        guard = self.trackers[run.daemon]
        guard.end_run(run.request.digest)
        guard.record_broken_run(run.replica, run.request.digest, silent=False)
        if run.request.fatal:
            return
        if run.request.attempts < 2:
            self._after(SECOND_TRY_S, lambda: self._try(run.request))
        else:
            self._count(run.request, "lost")

    def _count(self, request: Request, outcome: str) -> None:
        if request.fatal:
            return
        self.innocent[outcome] += 1
        self.innocent["held"] += request.was_held and outcome == "served"


def simulate(
    seed: int, bodies_per_minute: float, *, guarded: bool, seconds: float = 120.0
) -> Fleet:
    """Return a fleet after some time of requests."""
    fleet = Fleet(seed, bodies_per_minute, guarded=guarded)
    fleet.simulate(seconds)
    return fleet


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print("bodies/min guard  most ended by one  innocent: lost    refused  held")
    for bodies in (1, 5, 50):
        for guarded in (False, True):
            fleets = [simulate(seed, bodies, guarded=guarded) for seed in range(options.seeds)]
            most = max((max(fleet.crashes.values(), default=0) for fleet in fleets), default=0)
            total = sum((fleet.innocent for fleet in fleets), Counter[str]())
            shares = [total[name] / total["sent"] for name in ("lost", "refused", "held")]
            figures = "  ".join(f"{share:8.5f}" for share in shares)
            print(f"{bodies:10d} {guarded!s:6} {most:18d}  {figures}")


if __name__ == "__main__":
    main()
