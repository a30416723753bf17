"""After a drill of the store and a kill of all daemons the next leader acts too soon.

It also uses a lower fencing token than its predecessor.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
from pathlib import Path
from typing import Any

from review.harness import TROUBLE, CannotRunError, Deployment, Record, Replica, Store, main
from standins.http_server import Request, write_answer
from standins.store_server import StoreBackup
from winchfork.boot_clock import boot_seconds

MODEL = "m0"
SERVICE = "screen-models"
LEADER_KEY = "winchfork/leader"
#: How often the operator changes the configuration in the storm.
STORM_GAP_S = 0.08
DAEMONS = 8
#: When the copy is made, in seconds before the lease of the killed leader expires.
COPIED_BEFORE_EXPIRY_S = 0.35
AWAY_S = 0.15
#: ``LeaseMs`` in seconds.
LEASE_S = 3.0
#: When the operator and the replicas write again, in seconds after the store's return.
REWRITTEN_AFTER_S = 1.0
LOAD_S = 0.3


class ModelReplica:
    """A model replica that takes orders; like those of the deployment it checks no fences."""

    def __init__(self, record: Record, store: Store, replica_id: str) -> None:
        self.replica_id = replica_id
        self.replica = Replica(store, replica_id, SERVICE, "ghala-a", self._run)
        #: The holder and the fencing token of each order, as they came.
        self.orders: list[tuple[str, int]] = []
        self._ordered_at_s: list[float] = []
        self._record = record
        self._version = 1
        self._sequence = 0
        self._busy = False
        self._loading: asyncio.Task[None] | None = None

    @property
    def models(self) -> list[dict[str, Any]]:
        """The models as the replica's entry and its report list them."""
        return [{"Name": MODEL, "Version": self._version, "Adapters": []}]

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/report":
            report = {
                "Stage": "both",
                "Models": self.models,
                "Busy": self._busy,
                "Sequence": self._sequence,
                "Waiting": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 99487,
                "Handles": 0,
                "born": 1_790_000_000_000,
            }
            write_answer(writer, 200, json.dumps(report).encode())
        elif request.path == "/order":
            write_answer(writer, self._take(json.loads(request.body)))
        else:
            write_answer(writer, 503, headers={"X-Not-Executed": "1"})
        return True

    def _take(self, order: dict[str, Any]) -> int:
        holder, token = order["Holder"], order["FencingToken"]
        self.orders.append((holder, token))
        self._ordered_at_s.append(boot_seconds())
        status = self._status(order)
        self._record.write(
            f"{self.replica_id} is ordered version {order['Version']} by {holder}"
            f" with fencing token {token}: {status}"
        )
        return status

    def _status(self, order: dict[str, Any]) -> int:
        if self._busy or order.get("Expected", self._sequence) != self._sequence:
            return 409
        if order["Version"] == self._version:
            return 200
        self._sequence += 1
        self._busy = True
        self._loading = asyncio.create_task(self._load(order["Version"]))
        return 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self._version, self._busy = version, False
        self.replica.announce(self.models)

    def lower_tokens(self) -> list[str]:
        """Return the orders whose token is lower than one before."""
        found, highest, by = [], 0, ""
        for holder, token in self.orders:
            if token < highest:
                found.append(
                    f"{self.replica_id}: token {token} of {holder} after {highest} of {by}"
                )
            if token > highest:
                highest, by = token, holder
        return found

    def early_turns(self) -> list[str]:
        """Return the orders that came within ``LeaseMs`` of another holder's."""
        found = []
        orders = list(zip(self.orders, self._ordered_at_s, strict=True))
        for (before, before_s), (after, after_s) in itertools.pairwise(orders):
            if before[0] != after[0] and after_s - before_s < LEASE_S:
                found.append(
                    f"{self.replica_id}: {after[0]} (token {after[1]}) ordered"
                    f" {after_s - before_s:.3f} s after {before[0]} (token {before[1]})"
                )
        return found


def _configuration(version: int, timeout_ms: int) -> dict[str, Any]:
    route = {
        "Name": "screen",
        "Host": "bank.example",
        "PathPrefix": "/screen/",
        "Kind": "streaming",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 600,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 1,
        "StickySessions": True,
        "GapTargetMs": 500,
    }
    engine = {
        "Slots": 64,
        "KvCapacityTokens": 99487,
        "KvTokenBytes": 18432,
        "LinkMbps": 550000.0,
        "MaxInFlight": 4,
        "Models": [{"Name": MODEL}],
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": SERVICE, "MaxConnections": 370, "Engine": engine}],
        "Limits": limits,
        "Tenants": [{"Name": "bank", "ApiKeys": ["key-1"]}],
    }


def _name_version(deployment: Deployment, version: int) -> None:
    entry = {"Model": MODEL, "Version": version}
    revision = deployment.store.put(f"op/version/{MODEL}", entry)
    deployment.record.write(f"weights {version} are named, revision {revision}")


async def _wait_for_leader(deployment: Deployment, after_revision: int = 0) -> str:
    """Wait until the store holds a leader's entry of after a revision; return the leader's node."""
    until_s = boot_seconds() + 15.0
    while boot_seconds() < until_s:
        leader = deployment.store.get_text(LEADER_KEY)
        if leader and deployment.store.revision_of(LEADER_KEY) > after_revision:
            return leader
        await asyncio.sleep(0.02)
    raise CannotRunError("no daemon leads")


async def _wait_for_orders(replicas: list[ModelReplica], counts: list[int]) -> None:
    """Wait until each replica got more orders than before."""
    until_s = boot_seconds() + 15.0
    while any(len(item.orders) <= count for item, count in zip(replicas, counts, strict=True)):
        if boot_seconds() > until_s:
            raise CannotRunError("the replicas got no orders")
        await asyncio.sleep(0.05)


async def _change_configurations(deployment: Deployment) -> None:
    """Change the configuration again and again, as the operator does in a storm."""
    version = 1
    while True:
        version += 1
        timeout_ms = 4000 + 100 * (version % 2)
        configuration = _configuration(version, timeout_ms)
        revision = deployment.store.put("op/config", configuration)
        deployment.record.write(f"configuration {version} is acknowledged, revision {revision}")
        await asyncio.sleep(STORM_GAP_S)


async def _copy_before_expiry(deployment: Deployment) -> StoreBackup:
    """Copy the store shortly before the lease of the leader's entry expires."""
    until_s = boot_seconds() + 5.0
    while boot_seconds() < until_s:
        if deployment.store.lease_left_s(LEADER_KEY) <= COPIED_BEFORE_EXPIRY_S:
            copy = deployment.store.back_up()
            deployment.record.write(f"the store is copied, revision {copy.revision}")
            return copy
        await asyncio.sleep(0.005)
    raise CannotRunError("the lease of the killed leader did not expire")


async def case(deployment: Deployment) -> bool:
    """Return whether the replica got no order that breaks the rule."""
    record, store = deployment.record, deployment.store
    model = ModelReplica(record, store, "i-model-1")
    deployment.replicas.append(model.replica)
    deployment.put_configuration(_configuration(1, 4000), "the first")
    _name_version(deployment, 1)
    await model.replica.start(model.models)
    await deployment.start_daemons(DAEMONS)
    first_leader = await _wait_for_leader(deployment)
    record.write(f"{first_leader} leads")
    await asyncio.sleep(3.0)

    killed = next(item for item in deployment.daemons if item.node == first_leader)
    killed.signal(signal.SIGKILL)
    await killed.wait()
    await killed.start()
    storm = asyncio.create_task(_change_configurations(deployment))
    copy = await _copy_before_expiry(deployment)
    record.write(f"{await _wait_for_leader(deployment, after_revision=copy.revision)} leads")
    _name_version(deployment, 2)
    await _wait_for_orders([model], [0])
    storm.cancel()

    for daemon in deployment.daemons:
        daemon.signal(signal.SIGKILL)
    for daemon in deployment.daemons:
        await daemon.wait()
    for daemon in deployment.daemons:
        await daemon.start()
    if TROUBLE:
        record.write(f"the store is away for {AWAY_S} s and comes back from its copy")
        await store.drill(copy, AWAY_S)
        record.write(f"the store is back, era {store.era}, revision {store.revision}")
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(REWRITTEN_AFTER_S + 0.1)
    _name_version(deployment, 3)
    await _wait_for_orders([model], [len(model.orders)])
    for daemon in deployment.daemons:
        for line in daemon.log_lines("leadership_taken"):
            record.write(f"log of {daemon.node}: {line}")
    broken = model.lower_tokens() + model.early_turns()
    for text in broken:
        record.write(text)
    return not broken


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent, REWRITTEN_AFTER_S)
