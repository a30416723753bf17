"""A leading daemon before fake replicas that load weights, for scenarios in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tests.memory_store import MemoryStore
from winchfork.backends.replica_control import (
    OnNotice,
    OrderOutcome,
    ReplicaReport,
    WeightsOrder,
    ignore_notice,
)
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure, FailureKind
from winchfork.router.leadership import Leadership
from winchfork.router.peer_messages import WeightsEntry
from winchfork.router.peers import PeerGroup
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.weights_exchange import WeightsExchange
from winchfork.router.weights_rollout import WeightsRollout

LOAD_S = 0.6
MODEL = "m"
PROMPT = Prompt(MODEL, (), 400)
#: Seconds in which a daemon that starts alone comes to lead.
LEAD_S = 4.0


class FakeReplica:
    """Takes orders as the platform's replicas do: sequence, fence, loading, late execution."""

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self.version = 1
        self.sequence = 0
        self.fence = 0
        self.loading_until_s = 0.0
        self.next_version = 1
        self.lose_next = 0
        self.late_s = 0.0
        self.superseded = False
        self.loads: list[int] = []

    def settle(self, now_s: float) -> None:
        if self.next_version != self.version and now_s >= self.loading_until_s:
            self.version = self.next_version
            self.loads.append(self.version)

    def take(self, order: WeightsOrder, now_s: float) -> OrderOutcome:
        self.settle(now_s)
        if self.superseded or order.replica_id != self.replica_id:
            return OrderOutcome.OTHER_REPLICA
        if order.fence < self.fence:
            return OrderOutcome.FENCED
        if order.expected_sequence != self.sequence or self.next_version != self.version:
            return OrderOutcome.CONFLICT
        if order.version == self.version:
            return OrderOutcome.ALREADY_SO
        self.fence = order.fence
        self.sequence += 1
        self.next_version = order.version
        self.loading_until_s = now_s + LOAD_S
        return OrderOutcome.TAKEN


class FakeControl:
    """The port to the fake replicas, by address."""

    def __init__(self, replicas: list[FakeReplica]) -> None:
        self.replicas = {replica.replica_id: replica for replica in replicas}
        self.most_loading = 0
        #: How long a connection takes to come up for an order.
        self.connect_s = 0.0

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        await asyncio.sleep(0.003)
        replica = self.replicas[address]
        replica.settle(asyncio.get_running_loop().time())
        busy = replica.next_version != replica.version
        return ReplicaReport(replica.sequence, busy, 0, 0, {MODEL: replica.version})

    async def order(
        self,
        address: str,
        order: WeightsOrder,
        allowed: Callable[[], bool],
        on_notice: OnNotice = ignore_notice,
    ) -> OrderOutcome | Failure:
        await asyncio.sleep(0.003 + self.connect_s)
        if not allowed():
            return FailureKind.NOT_ACCEPTING_WORK.because("no longer allowed")
        loop = asyncio.get_running_loop()
        replica = self.replicas[address]
        if replica.lose_next:
            replica.lose_next -= 1
            loop.call_later(replica.late_s, lambda: replica.take(order, loop.time()))
            return FailureKind.BACKEND_BROKE.because("no answer")
        outcome = replica.take(order, loop.time())
        loading = sum(1 for item in self.replicas.values() if item.next_version != item.version)
        self.most_loading = max(self.most_loading, loading)
        return outcome


class CountingNews(WeightsExchange):
    """Keeps what has been told."""

    def __init__(self, state: RouterState, peers: PeerGroup) -> None:
        super().__init__(state, peers)
        self.told: list[tuple[WeightsEntry, ...]] = []

    def tell_weights(self, fence: int, notes: tuple[WeightsEntry, ...]) -> None:
        self.told.append(notes)
        super().broadcast_weights(fence, notes)


class Fleet:
    """A leading daemon before fake replicas."""

    def __init__(self, replicas: list[FakeReplica]) -> None:
        loop = asyncio.get_running_loop()
        settings = RouterSettings("n1", "z1", "g", "", "", "", "")
        self.state = RouterState(settings, loop.time, random.Random(1))
        self.control = FakeControl(replicas)
        self.store = MemoryStore()
        self.leadership = Leadership(self.store, "n1", 3.0, loop.time, random.Random(2), 1.0)
        self.leadership.note_no_entry(StorePosition())
        self.peers = PeerGroup(self.state, random.Random(3))
        self.news = CountingNews(self.state, self.peers)
        self.rollout = WeightsRollout(
            self.state, self.leadership, self.control, self.peers, self.news
        )
        for replica in replicas:
            self.state.fleet.install(
                ReplicaListing(
                    replica.replica_id, "s", replica.replica_id, "z1", 8, True, {MODEL: 1}
                )
            )
        self.state.versions[MODEL] = VersionHistory()
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self.rollout.run()),
        ]

    def name(self, version: int) -> None:
        self.state.versions[MODEL].add(version, self.state.clock())

    @classmethod
    async def led(cls, replicas: list[FakeReplica]) -> Fleet:
        """Return a fleet whose daemon has had the time to take the lead."""
        fleet = cls(replicas)
        await asyncio.sleep(LEAD_S)
        return fleet
