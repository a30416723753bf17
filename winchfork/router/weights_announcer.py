"""Announces the rollout leader's holds and releases of replicas to all members.

Every message goes to every member, so the number of messages must not grow with the number of
replicas: entries are batched, and a hold is renewed only when half of it has passed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchfork.core.relay_replica import RelayReplica
from winchfork.router.peer_messages import WeightsEntry

#: Seconds for which one message holds work back from a replica.
HOLD_S = 1.5
#: The same once a replica has accepted an order, which it carries out even if the leader is lost.
#: Covers a load that waits for long answers.
ORDERED_HOLD_S = 4.0
#: Seconds for which one message keeps long work away from the replicas that load next.
UPCOMING_LOAD_S = 1.0
#: Seconds for which entries are collected into one message.
BATCH_WINDOW_S = 0.005
#: The same for renewals of holds.
RENEWAL_BATCH_WINDOW_S = 0.25

#: Sends the leader's fence and entries to every member.
BroadcastWeights = Callable[[int, tuple[WeightsEntry, ...]], None]


class WeightsAnnouncer:
    """Batches the leader's entries, and tracks the holds announced so far."""

    def __init__(self, broadcast: BroadcastWeights, clock: Callable[[], float]) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._pending: dict[int, WeightsEntry] = {}
        self._fence = 0
        self._flush_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        #: Until when each incarnation is held, as announced.
        self._held_until_s: dict[int, float] = {}

    def hold(
        self, replica: RelayReplica, model: str, fence: int, *, has_order: bool = False
    ) -> None:
        """Hold new work back from a replica; no-op while more than half of its hold remains."""
        now_s = self._clock()
        hold_s = ORDERED_HOLD_S if has_order else HOLD_S
        remaining_s = self._held_until_s.get(replica.incarnation_hash, 0.0) - now_s
        if remaining_s > hold_s / 2:
            return
        self._held_until_s[replica.incarnation_hash] = now_s + hold_s
        renewal = remaining_s > RENEWAL_BATCH_WINDOW_S
        self._enqueue(
            replica,
            model,
            fence,
            hold_s,
            0.0,
            RENEWAL_BATCH_WINDOW_S if renewal else BATCH_WINDOW_S,
        )

    def release(self, replica: RelayReplica, model: str, fence: int) -> None:
        """End a hold and announce the replica's version."""
        self._held_until_s.pop(replica.incarnation_hash, None)
        self._enqueue(replica, model, fence, 0.0, 0.0, BATCH_WINDOW_S)

    def prepare(self, replica: RelayReplica, model: str, fence: int) -> None:
        """Keep long work away from a replica that loads next."""
        if replica.load_upcoming_until_s - self._clock() < UPCOMING_LOAD_S / 2:
            self._enqueue(replica, model, fence, 0.0, UPCOMING_LOAD_S, BATCH_WINDOW_S)

    def flush(self) -> None:
        """Send the collected entries."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._pending:
            entries = tuple(self._pending.values())
            self._pending = {}
            self._broadcast(self._fence, entries)

    def _enqueue(
        self,
        replica: RelayReplica,
        model: str,
        fence: int,
        held_s: float,
        next_s: float,
        within_s: float,
    ) -> None:
        if fence != self._fence:
            self.flush()
            self._fence = fence
        self._pending[replica.incarnation_hash] = WeightsEntry(
            replica.replica_id,
            replica.incarnation_hash,
            model,
            replica.versions.get(model, 0),
            int(held_s * 1000),
            int(next_s * 1000),
        )
        at_s = self._clock() + within_s
        if self._timer is None or at_s < self._flush_at_s:
            if self._timer is not None:
                self._timer.cancel()
            self._flush_at_s = at_s
            self._timer = asyncio.get_running_loop().call_later(within_s, self.flush)
