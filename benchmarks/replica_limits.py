"""Measures requests to replicas that announce a request limit in their answers, on loopback.

    python -m benchmarks.replica_limits [--seed N] [--play NAME] [--routers N] [--streams N]

Routers, three unless ``--routers`` says otherwise, serve 31 streams a second of 23 prompt families
with four model replicas for 24 s; three a second are of an urgent tenant, ``--streams`` sets the
rate of the others. From second 4 to 18 the busiest replicas announce a
limit. Scenarios: `one`, `two` and `all` replicas; `scarce`, all of them, for less than half of the
demand; `zero`, one that accepts no requests; `wide`, one, with fifteen routers. In `restarted`,
`restarted-3`, `restarted-zero` and `restarted-free` one replica announces 0.5, 3, 0 and 1,000
requests a second, and restarts under the same id in second 9.

Printed for each scenario: the requests in the worst window of 4 s and the number allowed in it; the
share of the limit used between seconds 8 and 18, or from second 11 after a restart; the maximum
requests in one second before and after the limit; the requests in the 5 s from second 19 on; and
the callers' outcomes. Windows count requests from 3 s after the first answer that announced the
limit, and only those of routers that had received such an answer at least 0.5 s before.
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
LIMIT_FROM_S = 4.0
LIMIT_UNTIL_S = 18.0
RESTART_S = 9.0
#: Seconds for which a replica that restarts is down.
DOWN_S = 0.5
#: Second from which on the use of the limits is measured, without and after a restart.
MEASURED_FROM_S = 8.0
MEASURED_AFTER_RESTART_S = 11.0
#: Second from which on the requests after the limits are counted.
COUNTED_AFTER_S = 19.0
STREAMS_PER_S = 28.0
URGENT_PER_S = 3.0
#: Seconds within which all routers must become ready.
START_S = 25.0


class Scenario(msgspec.Struct, frozen=True):
    """The number of replicas that announce a limit, and the limit in requests a second."""

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
    "restarted-3": Scenario(1, 3.0, restarts=True),
    "restarted-zero": Scenario(1, 0.0, restarts=True),
    "restarted-free": Scenario(1, 1000.0, restarts=True),
    "zero": Scenario(1, 0.0),
    "wide": Scenario(1, 1.0, routers=15),
}


class LimitScenarioRun:
    """One run of a scenario with one seed."""

    def __init__(
        self, scenario: Scenario, seed: int, routers: int, streams_per_s: float = STREAMS_PER_S
    ) -> None:
        self._scenario = scenario
        self._streams_per_s = streams_per_s
        self._deployment = LoopbackDeployment(scenario.routers or routers)
        self._callers = StreamCallers(self._deployment, scenario.routers or routers, seed)
        self._limited: list[ReplicaServer] = []
        self._started_s = 0.0

    async def run(self) -> str:
        """Run the scenario and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        self._started_s = asyncio.get_running_loop().time()
        await asyncio.gather(
            self._callers.send(self._streams_per_s, SECONDS),
            self._callers.send(URGENT_PER_S, SECONDS, URGENT_API_KEY),
            self._announce_limits(),
        )
        line = self._line()
        await self._deployment.stop()
        return line

    async def _announce_limits(self) -> None:
        await asyncio.sleep(LIMIT_FROM_S)
        models = self._deployment.model_replicas
        busiest = sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
        self._limited = busiest[: self._scenario.replicas]
        for replica in self._limited:
            replica.notices.set_limit(self._scenario.per_s)
        if self._scenario.restarts:
            await asyncio.sleep(RESTART_S - LIMIT_FROM_S)
            for replica in self._limited:
                await self._restart(replica)
        now_s = asyncio.get_running_loop().time() - self._started_s
        await asyncio.sleep(LIMIT_UNTIL_S - now_s)
        for replica in self._limited:
            replica.notices.set_limit(None)

    async def _restart(self, replica: ReplicaServer) -> None:
        await replica.crash()
        await asyncio.sleep(DOWN_S)
        await replica.restart(keeps_id=True)
        replica.notices.set_limit(self._scenario.per_s)

    def _line(self) -> str:
        senders = self._callers.senders
        emitters = [
            notices for replica in self._limited for notices in replica.notices_by_incarnation
        ]
        windows = [worst_window(notices, senders) for notices in emitters]
        worst = max((item for item in windows if item), key=lambda item: item.excess, default=None)
        window = (
            f"worst 4 s {worst.requests} of {worst.allowed:g}" if worst else "no window counted"
        )
        counts = self._arrivals_by_second()
        from_s = MEASURED_AFTER_RESTART_S if self._scenario.restarts else MEASURED_FROM_S
        used = sum(counts[second] for second in range(int(from_s), int(LIMIT_UNTIL_S)))
        measured_s = LIMIT_UNTIL_S - from_s
        allowed = self._scenario.per_s * measured_s * len(self._limited)
        share = f"used {used / allowed:.2f}" if allowed else f"sent {used} in {measured_s:g} s"
        before = max(counts[second] for second in range(1, int(LIMIT_FROM_S)))
        after = max(counts[second] for second in range(int(LIMIT_UNTIL_S), int(SECONDS)))
        later = sum(counts[second] for second in range(int(COUNTED_AFTER_S), int(SECONDS)))
        outcomes = ", ".join(
            f"{outcome} {count}" for outcome, count in sorted(self._callers.outcomes.items())
        )
        return (
            f"{window}, {share}, max per second {before} before, {after} after, "
            f"{later} in 5 s after; {outcomes}"
        )

    def _arrivals_by_second(self) -> Counter[int]:
        return Counter(
            int(arrival.at_s - self._started_s)
            for replica in self._limited
            for notices in replica.notices_by_incarnation
            for arrival in notices.arrivals
        )


def main() -> None:
    """Print a line for each scenario."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=31)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--streams", type=float, default=STREAMS_PER_S)
    parser.add_argument("--play", choices=list(SCENARIOS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or SCENARIOS:
        run = LimitScenarioRun(
            SCENARIOS[name], arguments.seed, arguments.routers, arguments.streams
        )
        line = asyncio.run(run.run())
        print(f"{name} seed={arguments.seed}: {line}", flush=True)


if __name__ == "__main__":
    main()
