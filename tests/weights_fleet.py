"""A leading daemon and fake replicas that load weights, for scenarios in virtual time."""

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
#: Limit of the time until a daemon without peers leads.
ELECTION_S = 4.0


class FakeReplica:
    """Handles orders like the platform's replicas: sequence number, fence, loading time.

    The next ``order_answers_to_lose`` orders get no answer, and are carried out only after
    ``lost_order_delay_s``.
    """

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self.version = 1
        self.sequence = 0
        self.fence = 0
        self.loading_until_s = 0.0
        self.next_version = 1
        self.order_answers_to_lose = 0
        self.lost_order_delay_s = 0.0
        self.superseded = False
        #: Its start time in milliseconds since 1970, as listed and reported; 0: neither.
        self.started_at_ms = 0
        self.loads: list[int] = []

    def finish_load(self, now_s: float) -> None:
        if self.next_version != self.version and now_s >= self.loading_until_s:
            self.version = self.next_version
            self.loads.append(self.version)

    def handle_order(self, order: WeightsOrder, now_s: float) -> OrderOutcome:
        self.finish_load(now_s)
        if self.superseded or order.replica_id != self.replica_id:
            return OrderOutcome.OTHER_REPLICA
        if order.fence < self.fence:
            return OrderOutcome.FENCED
        if order.expected_sequence != self.sequence or self.next_version != self.version:
            return OrderOutcome.CONFLICT
        if order.version == self.version:
            return OrderOutcome.ALREADY_LOADED
        self.fence = order.fence
        self.sequence += 1
        self.next_version = order.version
        self.loading_until_s = now_s + LOAD_S
        return OrderOutcome.ACCEPTED


class FakeControl:
    """Controls the fake replicas, by address."""

    def __init__(self, replicas: list[FakeReplica]) -> None:
        self.replicas = {replica.replica_id: replica for replica in replicas}
        self.max_loading = 0
        #: Time to connect to a replica for an order.
        self.connect_s = 0.0

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        await asyncio.sleep(0.003)
        replica = self.replicas[address]
        replica.finish_load(asyncio.get_running_loop().time())
        busy = replica.next_version != replica.version
        return ReplicaReport(
            replica.sequence, busy, 0, 0, {MODEL: replica.version}, replica.started_at_ms
        )

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
        if replica.order_answers_to_lose:
            replica.order_answers_to_lose -= 1
            loop.call_later(
                replica.lost_order_delay_s, lambda: replica.handle_order(order, loop.time())
            )
            return FailureKind.BACKEND_FAILED.because("no answer")
        outcome = replica.handle_order(order, loop.time())
        loading = sum(1 for item in self.replicas.values() if item.next_version != item.version)
        self.max_loading = max(self.max_loading, loading)
        return outcome


class RecordingWeightsExchange(WeightsExchange):
    """Records the entries that are broadcast."""

    def __init__(self, state: RouterState, peers: PeerGroup) -> None:
        super().__init__(state, peers)
        self.sent: list[tuple[WeightsEntry, ...]] = []

    def broadcast_weights(self, fence: int, entries: tuple[WeightsEntry, ...]) -> None:
        self.sent.append(entries)
        super().broadcast_weights(fence, entries)


class Fleet:
    """One daemon and its fake replicas."""

    def __init__(self, replicas: list[FakeReplica]) -> None:
        loop = asyncio.get_running_loop()
        settings = RouterSettings("n1", "z1", "g", "", "", "", "")
        self.state = RouterState(settings, loop.time, random.Random(1))
        self.control = FakeControl(replicas)
        self.store = MemoryStore()
        self.leadership = Leadership(self.store, "n1", 3.0, loop.time, random.Random(2), 1.0)
        self.leadership.record_no_entry(StorePosition())
        self.peers = PeerGroup(self.state, random.Random(3))
        self.exchange = RecordingWeightsExchange(self.state, self.peers)
        self.rollout = WeightsRollout(
            self.state, self.leadership, self.control, self.peers, self.exchange
        )
        for replica in replicas:
            self.state.fleet.install(
                ReplicaListing(
                    replica.replica_id,
                    "s",
                    replica.replica_id,
                    "z1",
                    8,
                    True,
                    {MODEL: 1},
                    started_at_ms=replica.started_at_ms,
                )
            )
        self.state.weights_versions[MODEL] = VersionHistory()
        self.tasks = [
            asyncio.create_task(self.leadership.run()),
            asyncio.create_task(self.rollout.run()),
        ]

    def name_version(self, version: int) -> None:
        self.state.weights_versions[MODEL].add(version, self.state.clock())

    @classmethod
    async def with_leader(cls, replicas: list[FakeReplica]) -> Fleet:
        """Return a fleet whose daemon leads."""
        fleet = cls(replicas)
        await asyncio.sleep(ELECTION_S)
        return fleet
