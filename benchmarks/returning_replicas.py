"""Measures how soon a replica gets requests again after it was out of use, on loopback.

    python -m benchmarks.returning_replicas [--seed N] [--play NAME] [--routers N] [--streams N]

Three routers serve 28 streams a second of 23 prompt families with four model replicas. From second
6 on the busiest replica is out of use for 5 or 14 s, in turn: `rests`, it refuses requests with a
backoff of 1 s; `leaves`, it announces draining in its answers, ends and restarts under its id;
`crashes`, it restarts under its id at the end of the time.

Printed for each scenario and time: the replica's requests in the 3 s before, and in the 3 s from
1 s after it can be used again; all requests in such 3 s; and the callers' outcomes.
"""

from __future__ import annotations

import argparse
import asyncio

from benchmarks.stream_callers import StreamCallers
from standins.deployment import LoopbackDeployment
from standins.replica_server import ReplicaServer
from winchfork.logs import configure_logs

STREAMS_PER_S = 28.0
OUT_FROM_S = 6.0
#: Seconds out of use: less, and more than idle connections are kept.
OUT_S = (5.0, 14.0)
BACKOFF_S = 1.0
#: Seconds for which a replica that leaves is down before its restart.
DOWN_S = 0.5
COUNTED_S = 3.0
COUNTED_AFTER_S = 1.0
#: Seconds within which all routers must become ready.
START_S = 25.0


async def rest(replica: ReplicaServer, out_s: float) -> None:
    """Refuse requests with a backoff."""
    replica.notices.backoff_s = BACKOFF_S
    await asyncio.sleep(out_s)
    replica.notices.backoff_s = None


async def leave(replica: ReplicaServer, out_s: float) -> None:
    """Announce draining, end, and restart under the same id."""
    replica.notices.draining = True
    await asyncio.sleep(out_s - DOWN_S)
    await replica.crash()
    await asyncio.sleep(DOWN_S)
    await replica.restart(keeps_id=True)


async def crash(replica: ReplicaServer, out_s: float) -> None:
    """Crash, and restart under the same id."""
    await replica.crash()
    await asyncio.sleep(out_s)
    await replica.restart(keeps_id=True)


SCENARIOS = {"rests": rest, "leaves": leave, "crashes": crash}


class ReturnRun:
    """One run of a scenario with one seed and one time out of use."""

    def __init__(self, name: str, out_s: float, seed: int, routers: int) -> None:
        self._interrupt = SCENARIOS[name]
        self._out_s = out_s
        self._deployment = LoopbackDeployment(routers)
        self._callers = StreamCallers(self._deployment, routers, seed)
        self._started_s = 0.0

    async def run(self, streams_per_s: float) -> str:
        """Run the scenario and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        self._started_s = asyncio.get_running_loop().time()
        back_s = OUT_FROM_S + self._out_s
        counted_s = back_s + COUNTED_AFTER_S
        replica, _ = await asyncio.gather(
            self._interrupt_busiest(),
            self._callers.send(streams_per_s, counted_s + COUNTED_S),
        )
        before = self._count(replica, OUT_FROM_S - COUNTED_S)
        after = self._count(replica, counted_s)
        total = int(streams_per_s * COUNTED_S)
        outcomes = ", ".join(
            f"{outcome} {count}" for outcome, count in sorted(self._callers.outcomes.items())
        )
        await self._deployment.stop()
        return f"{before} before, {after} after, of {total}; {outcomes}"

    async def _interrupt_busiest(self) -> ReplicaServer:
        await asyncio.sleep(OUT_FROM_S)
        models = self._deployment.model_replicas
        busiest = max(models, key=lambda model: len(model.notices.arrivals))
        await self._interrupt(busiest, self._out_s)
        return busiest

    def _count(self, replica: ReplicaServer, from_s: float) -> int:
        """Return the replica's requests in the ``COUNTED_S`` from a second of the run on."""
        times_s = [
            arrival.at_s - self._started_s
            for notices in replica.notices_by_incarnation
            for arrival in notices.arrivals
        ]
        return sum(from_s <= at_s < from_s + COUNTED_S for at_s in times_s)


def main() -> None:
    """Print a line for each scenario and time out of use."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=31)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--streams", type=float, default=STREAMS_PER_S)
    parser.add_argument("--play", choices=list(SCENARIOS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or SCENARIOS:
        for out_s in OUT_S:
            run = ReturnRun(name, out_s, arguments.seed, arguments.routers)
            line = asyncio.run(run.run(arguments.streams))
            print(f"{name} for {out_s:g} s, seed={arguments.seed}: {line}", flush=True)


if __name__ == "__main__":
    main()
