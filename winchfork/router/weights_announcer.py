"""The rollout leader's notes to its peers, collected into few messages.

Every message goes to every member, so its number must grow neither with the replicas under order
nor with the reports that are asked for: notes that arise together share a message, and a hold is
renewed only when half of it has passed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from winchfork.core.relay_replica import RelayReplica
from winchfork.router.peer_messages import WeightsEntry

#: Peers are told to send a replica nothing for this long at a time; renewed while under order.
HOLD_S = 1.5
#: The same once a replica has taken an order, which it carries out whatever becomes of its leader:
#: as long as loads take that wait for long answers.
ORDERED_HOLD_S = 4.0
#: Peers are asked for no long work on the replicas that come next for this long at a time.
NEXT_S = 1.0
#: Notes that arise within this time share a message.
BATCH_WINDOW_S = 0.005
#: The same for renewals, which are in no hurry.
RENEWAL_BATCH_WINDOW_S = 0.25

#: Tells every member: the leader's fence and the notes.
BroadcastWeights = Callable[[int, tuple[WeightsEntry, ...]], None]


class WeightsAnnouncer:
    """What has been told of each replica, and what is about to be."""

    def __init__(self, broadcast: BroadcastWeights, clock: Callable[[], float]) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._pending: dict[int, WeightsEntry] = {}
        self._fence = 0
        self._flush_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        #: Until when each incarnation is held, as told.
        self._held_until_s: dict[int, float] = {}

    def hold(
        self, replica: RelayReplica, model: str, fence: int, *, has_order: bool = False
    ) -> None:
        """Keep new work away from a replica; tells nothing while a hold has long to run."""
        now_s = self._clock()
        hold_s = ORDERED_HOLD_S if has_order else HOLD_S
        left_s = self._held_until_s.get(replica.order_hash, 0.0) - now_s
        if left_s > hold_s / 2:
            return
        self._held_until_s[replica.order_hash] = now_s + hold_s
        renewal = left_s > RENEWAL_BATCH_WINDOW_S
        self._enqueue(
            replica,
            model,
            fence,
            hold_s,
            0.0,
            RENEWAL_BATCH_WINDOW_S if renewal else BATCH_WINDOW_S,
        )

    def release(self, replica: RelayReplica, model: str, fence: int) -> None:
        """End a hold and tell the replica's version."""
        self._held_until_s.pop(replica.order_hash, None)
        self._enqueue(replica, model, fence, 0.0, 0.0, BATCH_WINDOW_S)

    def prepare(self, replica: RelayReplica, model: str, fence: int) -> None:
        """Ask for no long work on a replica that comes next."""
        if replica.load_upcoming_until_s - self._clock() < NEXT_S / 2:
            self._enqueue(replica, model, fence, 0.0, NEXT_S, BATCH_WINDOW_S)

    def flush(self) -> None:
        """Tell what has been collected."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._pending:
            notes = tuple(self._pending.values())
            self._pending = {}
            self._broadcast(self._fence, notes)

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
        self._pending[replica.order_hash] = WeightsEntry(
            replica.replica_id,
            replica.order_hash,
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
