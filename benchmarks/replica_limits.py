"""What replicas get that have named a limit in their answers, and what callers get, on loopback.

    python -m benchmarks.replica_limits [--seed N] [--play NAME] [--routers N]

Three routers, or more, before four model replicas and 31 streams a second of 23 families for 24 s.
From second 4 to 18 the busiest replicas name a limit: `one`, `two`, `all` and `scarce` (all, so low
that half of the demand has no place; one stream in ten is then of a tenant that comes first);
`restarted`, one starts anew under its id in second 10 and goes on naming it; `zero`, one takes
nothing; `wide`, one before fifteen routers. Printed for each play: the window of 4 s, from 3 s
after the first answer with the limit, in which most requests of routers came that had had one
half a second before; how many came in all between seconds 8 and 18, as a share of the limit; the
most that came in a second after its end and in one before it; and callers' fates.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter

import msgspec

from benchmarks.stream_callers import StreamCallers
from standins.deployment import URGENT_API_KEY, LoopbackDeployment
from standins.limit_checks import worst_window
from standins.replica_server import ReplicaServer
from winchfork.logs import configure_logs

SECONDS = 24.0
NAMED_FROM_S = 4.0
NAMED_UNTIL_S = 18.0
RESTART_S = 10.0
#: Second from which on what is used of the limits is counted.
COUNTED_FROM_S = 8.0
STREAMS_PER_S = 28.0
URGENT_PER_S = 3.0
#: Routers that are not ready after this long never will be.
START_S = 25.0


class Scenario(msgspec.Struct, frozen=True):
    """How many replicas name which limit, in requests a second."""

    replicas: int
    per_s: float
    restarts: bool = False
    routers: int | None = None


SCENARIOS = {
    "one": Scenario(1, 3.0),
    "two": Scenario(2, 1.0),
    "all": Scenario(4, 8.0),
    "scarce": Scenario(4, 3.0),
    "restarted": Scenario(1, 0.5, restarts=True),
    "zero": Scenario(1, 0.0),
    "wide": Scenario(1, 1.0, routers=15),
}


class LimitScenarioRun:
    """One play with one seed."""

    def __init__(self, play: Scenario, seed: int, routers: int) -> None:
        self._play = play
        self._deployment = LoopbackDeployment(play.routers or routers)
        self._callers = StreamCallers(self._deployment, play.routers or routers, seed)
        self._struck: list[ReplicaServer] = []
        self._begun_s = 0.0

    async def run(self) -> str:
        """Play and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        self._begun_s = asyncio.get_running_loop().time()
        await asyncio.gather(
            self._callers.send(STREAMS_PER_S, SECONDS),
            self._callers.send(URGENT_PER_S, SECONDS, URGENT_API_KEY),
            self._name_limits(),
        )
        line = self._line()
        await self._deployment.stop()
        return line

    async def _name_limits(self) -> None:
        await asyncio.sleep(NAMED_FROM_S)
        models = self._deployment.model_replicas
        by_work = sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
        self._struck = by_work[: self._play.replicas]
        for replica in self._struck:
            replica.notices.set_limit(self._play.per_s)
        if self._play.restarts:
            await asyncio.sleep(RESTART_S - NAMED_FROM_S)
            for replica in self._struck:
                await replica.crash()
                await replica.restart(keeps_id=True)
                replica.notices.set_limit(self._play.per_s)
        await asyncio.sleep(NAMED_UNTIL_S - (RESTART_S if self._play.restarts else NAMED_FROM_S))
        for replica in self._struck:
            replica.notices.set_limit(None)

    def _line(self) -> str:
        senders = self._callers.senders
        spoken = [notices for replica in self._struck for notices in replica.notices_by_incarnation]
        windows = [worst_window(notices, senders) for notices in spoken]
        worst = max((item for item in windows if item), key=lambda item: item.excess, default=None)
        told = f"worst 4 s {worst.requests} of {worst.allowed:g}" if worst else "no limit heard"
        counts = self._arrivals_by_second()
        used = sum(counts[second] for second in range(int(COUNTED_FROM_S), int(NAMED_UNTIL_S)))
        places = self._play.per_s * (NAMED_UNTIL_S - COUNTED_FROM_S) * len(self._struck)
        share = f"used {used / places:.2f}" if places else f"sent {used} in 10 s"
        before = max(counts[second] for second in range(1, int(NAMED_FROM_S)))
        after = max(counts[second] for second in range(int(NAMED_UNTIL_S), int(SECONDS)))
        fates = ", ".join(
            f"{fate} {count}" for fate, count in sorted(self._callers.outcomes.items())
        )
        return f"{told}, {share}, most in a second {before} before, {after} after; {fates}"

    def _arrivals_by_second(self) -> Counter[int]:
        return Counter(
            int(arrival.at_s - self._begun_s)
            for replica in self._struck
            for notices in replica.notices_by_incarnation
            for arrival in notices.arrivals
        )


def main() -> None:
    """Print a line for each play."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=31)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--play", choices=list(SCENARIOS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or SCENARIOS:
        line = asyncio.run(
            LimitScenarioRun(SCENARIOS[name], arguments.seed, arguments.routers).run()
        )
        print(f"{name} seed={arguments.seed}: {line}", flush=True)


if __name__ == "__main__":
    main()
