"""The operator of a software rollout: starts new replicas, writes the order, follows its status."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable

from standins.answer_faults import ReplicaFault
from standins.replica_server import ReplicaServer
from standins.store_server import StoreServer

#: Time after the rollout's duration by which its status must be final.
_MAX_OVERRUN_S = 30.0
_POLL_INTERVAL_S = 0.05
#: Time between draining and stopping the replicas of a version that was rolled back.
_DRAIN_S = 1.0


@dataclasses.dataclass
class RolloutReport:
    """The outcome of one order; ``state`` is empty if the status was not final in time."""

    service: str
    target: str
    state: str
    duration_s: float
    #: Requests that ran since the order, at the target's replicas and at all replicas.
    target_requests: int
    total_requests: int
    #: Faulty answers of the target's replicas.
    faulty_answers: int


#: Creates a replica of a service from its id and software version.
ReplicaFactory = Callable[[str, str], ReplicaServer]


class RolloutOperator:
    """Rolls out successive software versions of one service."""

    def __init__(
        self, store: StoreServer, service: str, replicas: list[ReplicaServer], make: ReplicaFactory
    ) -> None:
        self._store = store
        self._service = service
        self._make = make
        #: The replicas of the current version.
        self.replicas = replicas
        self._orders = 0

    async def roll_out(self, fault: ReplicaFault, duration_s: float) -> RolloutReport:
        """Roll out the next version, whose replicas have a fault, and await the outcome.

        The replicas of the version that is not in use afterwards are stopped.
        """
        self._orders += 1
        target = f"v{self._orders + 1}"
        ids = [f"i-{self._service}-{target}-{number}" for number in range(len(self.replicas))]
        new = [self._make(replica_id, target) for replica_id in ids]
        for replica in new:
            await replica.start()
        loop = asyncio.get_running_loop()
        ordered_s = loop.time()
        for replica in new:
            replica.fault_injector.set_fault(fault)
        order = {"Service": self._service, "TargetVersion": target, "DurationS": duration_s}
        ran_before = _ran(self.replicas)
        self._store.put(f"op/rollout/{self._service}", order)
        state = await self._await_outcome(target, ordered_s + duration_s + _MAX_OVERRUN_S)
        took_s = loop.time() - ordered_s
        on_target = _ran(new)
        total = on_target + _ran(self.replicas) - ran_before
        leaving, self.replicas = (
            (self.replicas, new) if state == "completed" else (new, self.replicas)
        )
        await self._stop(leaving, drains=state != "completed")
        faulty = sum(replica.fault_injector.faulty_answers for replica in new)
        return RolloutReport(self._service, target, state, took_s, on_target, total, faulty)

    async def _await_outcome(self, target: str, until_s: float) -> str:
        while asyncio.get_running_loop().time() < until_s:
            status = self._status()
            if status.get("TargetVersion") == target and status.get("State") != "running":
                return str(status["State"])
            await asyncio.sleep(_POLL_INTERVAL_S)
        return ""

    def _status(self) -> dict[str, object]:
        value = self._store.get_text(f"status/rollout/{self._service}")
        return dict(json.loads(value)) if value else {}

    async def _stop(self, replicas: list[ReplicaServer], *, drains: bool) -> None:
        """Stop replicas, after announcing that they drain if ``drains`` is set."""
        if drains:
            for replica in replicas:
                replica.announce("draining")
            await asyncio.sleep(_DRAIN_S)
        for replica in replicas:
            await replica.stop()


def _ran(replicas: list[ReplicaServer]) -> int:
    return sum(len(replica.ran) for replica in replicas)
