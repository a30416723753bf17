"""A leased, fenced leadership held by at most one router process at a time.

The store keeps one entry under a lease; its revision is the fence, which rises with every change of
holder (:mod:`winchfork.core.fence_registry` over the store's returns from copies). A holder acts
only within ``ACT_S`` of the start of its last renewal, by its own monotonic clock, and the lease
outlives that. A new holder waits until orders of the one before it are at least the deployment's
lease bound old: the time that the lease outlived the other's last possible order already counts.

When the store has come back from a copy, no lease of before holds. The last holder takes the
leadership anew, by a condition on whatever entry the copy brought back; anybody else waits a whole
bound, since nothing tells how old the last holder's orders are.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.leader_entry import LeaderEntry
from winchfork.router.peer_messages import Resignation
from winchfork.stores.async_key_value import AsyncKeyValueStore, StoreLease

#: The lease, and how long after the start of a renewal its holder may act.
LEASE_S = 2.0
VALIDITY_S = 0.9
RENEW_PERIOD_S = 0.4
#: Random wait before a try, so that not every daemon writes when a leader is lost.
MAX_CAMPAIGN_DELAY_S = 0.5
#: The same for those that a rolling restart has already passed.
MAX_PRIORITY_DELAY_S = 0.05
#: Longest pause between two tries to take the leadership anew.
MAX_RECLAIM_PAUSE_S = 0.2
_MAX_REPORTED_ORDER_AGE_S = 3600.0
#: Added to the wait of a new holder, for clocks that run apart and messages on their way.
HANDOVER_MARGIN_S = 0.25


class Leadership:
    """This process's part in the election."""

    def __init__(
        self,
        store: AsyncKeyValueStore,
        own_id: str,
        lease_bound_s: float,
        clock: Callable[[], float],
        generator: random.Random,
        min_lease_s: float,
    ) -> None:
        self._store = store
        self._lease_s = max(LEASE_S, min_lease_s)
        self._lease_bound_s = lease_bound_s
        self._clock = clock
        self._generator = generator
        #: Set while this daemon is to take the leadership: there is no entry, or it was its own.
        self._campaign_needed = asyncio.Event()
        self._vacant = False
        self._is_reclaiming = False
        self._lease = StoreLease(0, 0)
        self._confirmed_s = -math.inf
        self._valid_until_s = 0.0
        self._acts_from_s = 0.0
        self._started_s = clock()
        self._last_order_s = -math.inf
        self._holder_position = StorePosition()
        self._entry = LeaderEntry(store, own_id)
        self._fences = self._entry.fences
        self._newest_position = StorePosition()
        #: Whether no entry has been written yet since the store's last return from a copy.
        self._is_restored = False
        self._resigned_last_order_s: float | None = None
        self._has_priority = False
        self._withdrawn = False
        self.fence = 0
        #: Whether this daemon follows the store closely enough to lead; others need not campaign.
        self.eligible: Callable[[], bool] = lambda: True
        #: The newest era of the store that this daemon has heard of.
        self.newest_era: Callable[[], int] = lambda: 0

    def record_entry(self, position: StorePosition) -> None:
        """Take what the store or a peer says of the leader's entry: where it was written.

        The newest of what was heard holds, not the last: a list may be older than a peer's word.
        """
        if position < self._newest_position:
            return
        if (
            self.fence
            and position.era == self._holder_position.era
            and position > self._holder_position
        ):
            self._step_down("another holder's entry")
        self._is_restored = self._is_first_of_era(position) or (
            self._is_restored and position == self._newest_position
        )
        self._set_newest_position(position, vacant=False)
        self._fences.record_entry(position)
        if position != self._holder_position:
            self._holder_position = position
            self._resigned_last_order_s = None
            self._has_priority = False

    def record_fence(self, position: StorePosition, value: bytes) -> None:
        """Take what the store or a peer says: the fence that was recorded at a position."""
        self._entry.record_fence(position, value)

    def record_no_entry(self, at: StorePosition) -> None:
        """Take what the store or a peer says: at a position there was no leader's entry."""
        if at >= self._newest_position:
            self._is_restored = self._is_restored or self._is_first_of_era(at)
            self._set_newest_position(at, vacant=True)

    def _set_newest_position(self, position: StorePosition, *, vacant: bool) -> None:
        self._newest_position = position
        self._vacant = vacant
        self._update_campaign_needed()

    def _update_campaign_needed(self) -> None:
        if self._vacant or self._is_reclaiming:
            self._campaign_needed.set()
        else:
            self._campaign_needed.clear()

    def _is_first_of_era(self, position: StorePosition) -> bool:
        """Whether nothing was heard of the position's era yet, though of an earlier one."""
        return self._newest_position != StorePosition() and position.era > self._newest_position.era

    def record_refused_fence(self, fence: int) -> None:
        """A replica has refused an order: it has seen a higher fence.

        A holder by the store's word takes the leadership anew, under a higher one.
        """
        if fence != self.fence or not self.may_act():
            return
        log_event("fence_refused", "WARNING", fence=fence)
        self._fences.record_refusal(fence)
        self._start_reclaim("a replica has seen a higher fence")

    def record_order(self) -> None:
        """Record that an order leaves now."""
        self._last_order_s = self._clock()

    def handle_resignation(self, message: Resignation) -> None:
        """Take a holder's word that it gives no more orders, and how old its last one is.

        In a rolling restart those that have been restarted stay: they campaign without delay.
        """
        if message.fence != self._fences.fence_of(self._holder_position):
            return
        now_s = self._clock()
        self._resigned_last_order_s = now_s - message.last_order_ms / 1000.0
        self._has_priority = now_s - self._started_s < message.uptime_ms / 1000.0

    def may_act(self) -> bool:
        """Tell, without I/O, whether an order may leave now."""
        return self._acts_from_s <= self._clock() and self.leads()

    def authorize_order(self) -> bool:
        """Tell whether an order may leave now, and record that it does.

        Asked as its first byte leaves: dated before its connection is there, the order would be
        told to be older than it is.
        """
        may_act = self.may_act()
        if may_act:
            self.record_order()
        return may_act

    def leads(self) -> bool:
        """Tell, without I/O, whether this daemon may write what the leader alone writes.

        The writes name the leader's entry as a condition, so they need not wait for the orders of
        the holder before to grow old.
        """
        is_current = self._lease.era == self.newest_era()
        return self.fence != 0 and is_current and self._clock() < self._valid_until_s

    @property
    def entry_revision(self) -> int:
        """The revision of the holder's entry, as a condition of what it alone writes."""
        return self._holder_position.revision

    async def run(self) -> None:
        """Campaign whenever there is no leader; renew while leading."""
        while True:
            await self._campaign_needed.wait()
            if await (self._try_reclaim() if self._is_reclaiming else self._campaign()):
                await self._renew_while_leading()

    async def _campaign(self) -> bool:
        """Take the leadership if there is none; True when this daemon leads."""
        await asyncio.sleep(self._campaign_delay_s())
        if not self.eligible():
            await asyncio.sleep(MAX_CAMPAIGN_DELAY_S)
            return False
        if not self._vacant or self._withdrawn:
            return False
        if await self._acquire(0, self._handover_wait_s):
            return True
        await asyncio.sleep(self._generator.random())
        return False

    def withdraw(self) -> None:
        """Campaign no more: this daemon is about to stop."""
        self._withdrawn = True

    async def resign(self) -> Resignation | None:
        """End the lease at a planned stop, so that another may lead at once."""
        fence, self.fence = self.fence, 0
        if not fence:
            return None
        # Before its own first order, a holder speaks for the one before it as well.
        holder_before_s = self._acts_from_s - self._lease_bound_s - HANDOVER_MARGIN_S
        last_s = max(self._last_order_s, holder_before_s)
        # A successor that does not hear of this takes the lease to have run out by itself.
        outlived_s = self._lease_s - VALIDITY_S
        await asyncio.sleep(max(0.0, outlived_s - (self._clock() - last_s)))
        now_s = self._clock()
        age_s = min(_MAX_REPORTED_ORDER_AGE_S, now_s - last_s)
        log_event("leadership_resigned", fence=fence, last_order_s=age_s)
        if self._lease.era == self.newest_era():
            await self._store.end_lease(self._lease)
        return Resignation(fence, int(age_s * 1000), int((now_s - self._started_s) * 1000))

    def _campaign_delay_s(self) -> float:
        if self._has_priority:
            return self._generator.random() * MAX_PRIORITY_DELAY_S
        return MAX_PRIORITY_DELAY_S + self._generator.random() * MAX_CAMPAIGN_DELAY_S

    def _handover_wait_s(self) -> float:
        """Return how long orders of the holder before may still be too fresh."""
        if self._resigned_last_order_s is not None:
            age_s = self._clock() - self._resigned_last_order_s
            return max(0.0, self._lease_bound_s + HANDOVER_MARGIN_S - age_s)
        if self._is_restored:
            return self._lease_bound_s + HANDOVER_MARGIN_S
        return self._takeover_wait_s

    @property
    def _takeover_wait_s(self) -> float:
        """How long a holder waits that takes over when a lease has run out."""
        return max(0.0, self._lease_bound_s - (self._lease_s - VALIDITY_S) + HANDOVER_MARGIN_S)

    # Taking and keeping

    async def _acquire(self, expected: int, wait_s: Callable[[], float]) -> bool:
        """Write the entry in the place of the one at a revision; True when this daemon leads."""
        asked_s = self._clock()
        # What is heard meanwhile, this daemon's own entry too, tells nothing of the last holder.
        acts_in_s = wait_s()
        lease = await self._store.grant_lease(self._lease_s)
        if isinstance(lease, Failure):
            return False
        taken = await self._entry.write(lease, expected, self._newest_position)
        if isinstance(taken, Failure):
            return False
        if taken < self._newest_position or taken.era != lease.era:
            # Heard while the answer was under way: the entry has gone, or another came after it.
            log_event("leadership_not_taken", reason="what was written has lapsed already")
            return False
        self._set_newest_position(taken, vacant=False)
        self._lease = lease
        self._confirmed_s = asked_s
        self._valid_until_s = asked_s + VALIDITY_S
        self._acts_from_s = self._clock() + acts_in_s
        self._holder_position = taken
        self._fences.record_entry(taken)
        self.fence = self._fences.fence_of(taken)
        self._is_restored = False
        self._resigned_last_order_s = None
        log_event(
            "leadership_taken", fence=self.fence, acts_in_s=acts_in_s, replaced=expected or None
        )
        return True

    async def _renew_while_leading(self) -> None:
        while self.fence:
            await asyncio.sleep(RENEW_PERIOD_S)
            if self.fence and self._lease.era == self.newest_era():
                await self._renew()
            if self.fence and self._lease.era != self.newest_era():
                self._start_reclaim("the store came back from a copy")

    async def _renew(self) -> None:
        asked_s = self._clock()
        renewed = await self._store.renew_lease(self._lease)
        if renewed is True and self.fence:
            # Valid from before the question: a slow answer cannot stretch it.
            self._confirmed_s = asked_s
            self._valid_until_s = asked_s + VALIDITY_S
        elif renewed is False and self.fence and self._lease.era == self.newest_era():
            self._step_down("the lease is over")

    def _step_down(self, reason: str) -> None:
        log_event("leadership_lost", fence=self.fence, reason=reason)
        self.fence = 0

    # Taking the leadership anew

    def _start_reclaim(self, reason: str) -> None:
        """Take the leadership anew, which this daemon's lease no longer shows."""
        self._step_down(reason)
        self._is_reclaiming = True
        self._update_campaign_needed()

    def _end_reclaim(self) -> None:
        self._is_reclaiming = False
        self._update_campaign_needed()

    def _may_reclaim(self) -> bool:
        """Whether nobody can have acted since this daemon's lease was last confirmed."""
        since_s = self._clock() - self._confirmed_s
        return not self._withdrawn and since_s < self._lease_s + self._takeover_wait_s

    async def _try_reclaim(self) -> bool:
        """Take the place of the entry that the copy brought back, if there is one."""
        if not self._may_reclaim():
            self._end_reclaim()
            return False
        expected = await self._entry.find_replaceable()
        if expected is None:
            self._end_reclaim()
            return False
        acts_from_s = self._acts_from_s
        if not isinstance(expected, Failure) and await self._acquire(
            expected, lambda: max(0.0, acts_from_s - self._clock())
        ):
            self._end_reclaim()
            return True
        await asyncio.sleep(self._generator.random() * MAX_RECLAIM_PAUSE_S)
        return False
