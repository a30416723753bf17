"""What callers get while replicas leave or rest by their answers alone, on loopback.

    python -m benchmarks.replica_notices [--seed N] [--play NAME] [--routers N]

Three routers, or more, before four model replicas and 25 streams a second of 23 families for 20 s.
From second 4 to 16 some replicas, the busiest first, say their word: `leave`, one puts "leaving"
into its answers, which the store does not know; `rest`, `half`, `all`, one, two or four turn every
request away and ask for 3 s of rest; `short`, four for 0.4 s; `once`, four for 3 s, but only until
second 4.5. A caller that is turned away comes back once, at another router, when it was told to, if
that is within a third of the time it has left. Printed for each play: requests that reached a
replica that had told their router not to, and callers' fates.
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
#: Routers that are not ready after this long never will be.
START_S = 25.0


class Scenario(msgspec.Struct, frozen=True):
    """How many replicas say what, and for how long; ``rest_s`` None: that they leave."""

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
    """One play with one seed."""

    def __init__(self, play: Scenario, seed: int, routers: int) -> None:
        self._play = play
        self._deployment = LoopbackDeployment(routers)
        self._callers = StreamCallers(self._deployment, routers, seed)
        self._struck: list[ReplicaServer] = []

    async def run(self) -> str:
        """Play and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        await asyncio.gather(self._callers.send(STREAMS_PER_S, SECONDS), self._speak())
        line = self._line()
        await self._deployment.stop()
        return line

    async def _speak(self) -> None:
        await asyncio.sleep(NOTICE_FROM_S)
        models = self._deployment.model_replicas
        by_work = sorted(models, key=lambda model: len(model.notices.arrivals), reverse=True)
        self._struck = by_work[: self._play.replicas]
        for replica in self._struck:
            replica.notices.draining = self._play.backoff_s is None
            replica.notices.backoff_s = self._play.backoff_s
        await asyncio.sleep(self._play.duration_s)
        for replica in self._struck:
            replica.notices.backoff_s = None

    def _line(self) -> str:
        late = sum(
            len(sent_to_draining(item.notices, self._callers.senders)) for item in self._struck
        )
        rests: Counter[str] = Counter()
        for item in self._struck:
            rests.update(reached_during_backoff(item.notices, self._callers.senders))
        away = sum(len(item.notices.backoffs) for item in self._struck)
        fates = ", ".join(
            f"{fate} {count}" for fate, count in sorted(self._callers.outcomes.items())
        )
        worst = max(rests.values(), default=0)
        return f"sent to a leaving one {late}, turned away {away}, worst in a rest {worst}; {fates}"


def main() -> None:
    """Print a line for each play."""
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
