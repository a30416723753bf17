"""Measures what restoring the store from a backup costs callers and routers, on loopback.

    python -m benchmarks.store_copies [--seed N] [--play NAME] [--routers N]

Three or more routers serve 32 streams a second of 23 prompt families with four model replicas for
22 s. The store is backed up in second 1; in second 5 it is down for 1 s and then restored.
Scenarios:

- `control`: nothing is written before the outage, and the store is not restored.
- `below`: the restored revision stays below the one that the routers know.
- `rewritten`: the writes lost by restoring include the replicas' entries and an API key.
- `leader`: the leader crashes after the backup, and its successor's election is lost by restoring.
- `twice`: the store is restored again after 0.5 s.
- `passed`: writes raise the restored revision above the one that the routers know before they
  read it.

After the store is back, new weights are published at 0.6 s, an API key is added at 1 s and a
replica drains at 2 s. Printed for each scenario: the routers that accept the key and when the last
one did; requests sent to the draining replica more than 3 s later; generations started on old
weights when the bound on the weights' age had passed; the longest time without a leader that may
act after the outage; and the callers' outcomes. A crashed router does not accept the key.
"""

from __future__ import annotations

import argparse
import asyncio
import math

import msgspec

from benchmarks.stream_callers import StreamCallers
from standins.deployment import LoopbackDeployment
from standins.replica_server import ReplicaServer
from winchfork.logs import configure_logs

SECONDS = 22.0
STREAMS_PER_S = 32.0
BACKUP_S = 1.0
OUTAGE_FROM_S = 5.0
OUTAGE_S = 1.0
#: Writes to an unused key that raise the store's revision, before its outage or after restoring.
CHANGES = 150
#: Seconds after which a request to the draining replica counts as late.
DRAIN_S = 3.0
#: Seconds within which all routers must become ready.
START_S = 25.0
POLL_INTERVAL_S = 0.02
EARLIER_KEY, NEW_KEY = "earlier-key", "new-key"


class Scenario(msgspec.Struct, frozen=True):
    """How often the store is restored, and which changes precede and follow that.

    ``rewrites``: replicas' entries and an API key are written after the backup. ``changes_leader``:
    the leader crashes after the backup.
    """

    restores: int = 1
    changes_before: int = CHANGES
    changes_after: int = 0
    rewrites: bool = False
    changes_leader: bool = False


SCENARIOS = {
    "control": Scenario(restores=0, changes_before=0),
    "below": Scenario(),
    "rewritten": Scenario(rewrites=True),
    "leader": Scenario(changes_leader=True),
    "twice": Scenario(restores=2),
    "passed": Scenario(changes_before=3, changes_after=CHANGES),
}


class RestoreScenarioRun:
    """One run of a scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int, routers: int) -> None:
        self._scenario = scenario
        self._deployment = LoopbackDeployment(routers)
        self._callers = StreamCallers(self._deployment, routers, seed)
        self._draining: ReplicaServer | None = None
        self._draining_s = math.inf
        self._published_s = math.inf
        self._key_s: list[float] = []
        self._without_leader_s = 0.0

    async def run(self) -> str:
        """Run the scenario and return a line of figures."""
        await self._deployment.start()
        await asyncio.wait_for(self._deployment.wait_until_ready(), START_S)
        self._deployment.allow_retries()
        while not self._has_leader():
            await asyncio.sleep(POLL_INTERVAL_S)
        watcher = asyncio.create_task(self._watch_leader())
        await asyncio.gather(self._callers.send(STREAMS_PER_S, SECONDS), self._restore_store())
        watcher.cancel()
        line = self._line()
        await self._deployment.stop()
        return line

    def _has_leader(self) -> bool:
        return any(router._leadership.may_act() for router in self._deployment.routers)

    async def _watch_leader(self) -> None:
        loop = asyncio.get_running_loop()
        led_s = loop.time()
        while True:
            led_s = loop.time() if self._has_leader() else led_s
            self._without_leader_s = max(self._without_leader_s, loop.time() - led_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _restore_store(self) -> None:
        store, scenario = self._deployment.store, self._scenario
        await asyncio.sleep(BACKUP_S)
        backup = store.back_up()
        if scenario.changes_leader:
            self._deployment.crash_leader()
        await asyncio.sleep(OUTAGE_FROM_S - BACKUP_S)
        self._write(scenario.changes_before)
        if scenario.rewrites:
            self._deployment.add_api_key(EARLIER_KEY)
            for replica in self._deployment.model_replicas:
                replica.announce("ready")
        await asyncio.sleep(0.3)
        store.down = True
        await asyncio.sleep(OUTAGE_S)
        self._without_leader_s = 0.0
        for number in range(scenario.restores):
            store.restore(backup)
            store.down = False
            self._write(scenario.changes_after)
            await asyncio.sleep(0.5 if number + 1 < scenario.restores else 0.0)
        store.down = False
        await self._make_changes()

    def _write(self, changes: int) -> None:
        for number in range(changes):
            self._deployment.store.put("operators/note", number)

    async def _make_changes(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.6)
        self._deployment.publish_weights(2)
        self._published_s = loop.time()
        await asyncio.sleep(0.4)
        self._deployment.add_api_key(NEW_KEY)
        key_poll = asyncio.create_task(self._poll_for_key(loop.time()))
        await asyncio.sleep(1.0)
        models = self._deployment.model_replicas
        self._draining = max(models, key=lambda model: len(model.notices.arrivals))
        self._draining.announce("draining")
        self._draining_s = loop.time()
        await key_poll

    async def _poll_for_key(self, added_s: float) -> None:
        loop = asyncio.get_running_loop()
        waiting = list(self._deployment.routers)
        while waiting and loop.time() < added_s + 5.0:
            for router in list(waiting):
                table = router.state.routing_table
                if table is not None and table.tenant_of(NEW_KEY) is not None:
                    waiting.remove(router)
                    self._key_s.append(loop.time() - added_s)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _line(self) -> str:
        assert self._draining is not None
        late = [
            item
            for item in self._draining.notices.arrivals
            if item.at_s > self._draining_s + DRAIN_S
        ]
        bound_s = self._deployment.weights_timing.version_bound_s
        started = [
            item for model in self._deployment.all_model_replicas for item in model.generations
        ]
        old = [
            item
            for item in started
            if item.version < 2 and item.started_at_s > self._published_s + bound_s
        ]
        last = f" (last {max(self._key_s):.2f} s)" if self._key_s else ""
        key = f"key accepted by {len(self._key_s)} of {len(self._deployment.routers)}{last}"
        outcomes = ", ".join(
            f"{outcome} {count}" for outcome, count in sorted(self._callers.outcomes.items())
        )
        return (
            f"{key}, sent late {len(late)}, on old weights {len(old)}, without a leader "
            f"{self._without_leader_s:.1f} s; {outcomes}"
        )


def main() -> None:
    """Print a line for each scenario."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seed", type=int, default=41)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--play", choices=list(SCENARIOS), action="append")
    arguments = parser.parse_args()
    configure_logs("error")
    for name in arguments.play or SCENARIOS:
        line = asyncio.run(
            RestoreScenarioRun(SCENARIOS[name], arguments.seed, arguments.routers).run()
        )
        print(f"{name} routers={arguments.routers} seed={arguments.seed}: {line}", flush=True)


if __name__ == "__main__":
    main()
