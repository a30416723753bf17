"""Measures requests to replicas that announce draining or backoff in their answers, on loopback.

    python -m benchmarks.replica_notices [--seed N] [--play NAME] [--routers N]

Three or more routers serve 25 streams a second of 23 prompt families with four model replicas for
20 s. From second 4 to 16 the busiest replicas send notices. Scenarios: `leave`, one announces in
its answers that it drains, until the end, while the store lists it as ready; `rest`, `half` and
`all`, one, two or four refuse every request and ask for a backoff of 3 s; `short`, four ask for
0.4 s; `once`, four ask for 3 s, but only until second 4.5. A refused caller retries once at another
router, after the wait that the answer names, limited to a third of its remaining time.

Printed for each scenario: requests sent to a draining replica, requests refused, the maximum number
of requests of one router that reached a replica during a backoff, and the callers' outcomes.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter

import msgspec

from benchmarks.stream_callers import StreamCallers
from standins.deployment import LoopbackDeployment
from standins.notice_checks import reached_during_backoff, sent_to_draining
from standins.replica_server import ReplicaServer
from winchfork.logs import configure_logs

SECONDS = 20.0
NOTICE_FROM_S = 4.0
STREAMS_PER_S = 25
#: Seconds within which all routers must become ready.
START_S = 25.0


class Scenario(msgspec.Struct, frozen=True):
    """How many replicas send a notice, and for how many seconds.

    ``backoff_s`` is the backoff that they ask for in seconds; None if they announce draining, which
    they do until the end of the run.
    """

    replicas: int
    backoff_s: float | None
    duration_s: float = 12.0


SCENARIOS = {
    "leave": Scenario(1, None),
    "rest": Scenario(1, 3.0),
    "half": Scenario(2, 3.0),
    "all": Scenario(4, 3.0),
    "short": Scenario(4, 0.4),
    "once": Scenario(4, 3.0, duration_s=0.5),
}


class NoticeScenarioRun:
    """One run of a scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int, routers: int) -> None:
        self._scenario = scenario
        self._deployment = LoopbackDeployment(routers)
        self._callers = StreamCallers(self._deployment, routers, seed)
        self._notifying: list[ReplicaServer] = []

    async def run(self) -> str:
        """Run the scenario and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        await asyncio.gather(self._callers.send(STREAMS_PER_S, SECONDS), self._send_notices())
        line = self._line()
        await self._deployment.stop()
        return line

    async def _send_notices(self) -> None:
        await asyncio.sleep(NOTICE_FROM_S)
        models = self._deployment.model_replicas
        busiest = sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
        self._notifying = busiest[: self._scenario.replicas]
        for replica in self._notifying:
            replica.notices.draining = self._scenario.backoff_s is None
            replica.notices.backoff_s = self._scenario.backoff_s
        await asyncio.sleep(self._scenario.duration_s)
        for replica in self._notifying:
            replica.notices.backoff_s = None

    def _line(self) -> str:
        late = sum(
            len(sent_to_draining(item.notices, self._callers.senders)) for item in self._notifying
        )
        during_backoff: Counter[str] = Counter()
        for item in self._notifying:
            during_backoff.update(reached_during_backoff(item.notices, self._callers.senders))
        refused = sum(len(item.notices.backoffs) for item in self._notifying)
        outcomes = ", ".join(
            f"{outcome} {count}" for outcome, count in sorted(self._callers.outcomes.items())
        )
        worst = max(during_backoff.values(), default=0)
        return (
            f"sent to draining {late}, refused {refused}, max during a backoff {worst}; {outcomes}"
        )


def main() -> None:
    """Print a line for each scenario."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=21)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--play", choices=list(SCENARIOS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or SCENARIOS:
        line = asyncio.run(
            NoticeScenarioRun(SCENARIOS[name], arguments.seed, arguments.routers).run()
        )
        print(f"{name} seed={arguments.seed} routers={arguments.routers}: {line}", flush=True)


if __name__ == "__main__":
    main()
