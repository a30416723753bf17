"""A leased, fenced leadership held by at most one router process at a time.

The store keeps one entry under a lease; its revision is the fence, which rises with every change of
holder. A holder acts only within ``ACT_S`` of the start of its last renewal, by its own monotonic
clock, and the lease outlives that. A new holder waits until orders of the one before it are at
least the deployment's lease bound old: the time that the lease outlived the other's last possible
order already counts.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.peer_messages import Resignation
from winchfork.stores.async_key_value import AsyncKeyValueStore, ExpectedRevision, PutItem

LEADER_KEY = "winchfork/leader"
#: The lease, and how long after the start of a renewal its holder may act.
LEASE_S = 2.0
ACT_S = 0.9
RENEW_PERIOD_S = 0.4
#: Random wait before a try, so that not every daemon writes when a leader is lost.
MAX_TRY_DELAY_S = 0.5
#: The same for those that a rolling restart has already passed.
HURRY_DELAY_S = 0.05
_LONG_AGO_S = 3600.0
#: Added to the wait of a new holder, for clocks that run apart and messages on their way.
TURN_MARGIN_S = 0.25


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
        self._own_id = own_id
        self._lease_s = max(LEASE_S, min_lease_s)
        self._lease_bound_s = lease_bound_s
        self._clock = clock
        self._generator = generator
        self._vacant = asyncio.Event()
        self._lease_id = 0
        self._valid_until_s = 0.0
        self._acts_from_s = 0.0
        self._started_s = clock()
        self._last_order_s = -math.inf
        self._holder_fence = 0
        self._heard = StorePosition()
        self._resigned_order_s: float | None = None
        self._hurry = False
        self._withdrawn = False
        self.fence = 0
        #: Whether this daemon follows the store closely enough to lead; others need not campaign.
        self.eligible: Callable[[], bool] = lambda: True

    def note_entry(self, position: StorePosition) -> None:
        """Take what the store or a peer says of the leader's entry: where it was written.

        The newest of what was heard holds, not the last: a list may be older than a peer's word.
        """
        if position < self._heard:
            return
        self._heard = position
        self._vacant.clear()
        if position.revision != self._holder_fence:
            self._holder_fence = position.revision
            self._resigned_order_s = None
            self._hurry = False

    def note_no_entry(self, at: StorePosition) -> None:
        """Take what the store or a peer says: at a position there was no leader's entry."""
        if at >= self._heard:
            self._heard = at
            self._vacant.set()

    def note_order(self) -> None:
        """Record that an order leaves now."""
        self._last_order_s = self._clock()

    def note_resignation(self, message: Resignation) -> None:
        """Take a holder's word that it gives no more orders, and how old its last one is.

        In a rolling restart those that have been restarted stay: they campaign without delay.
        """
        if message.fence != self._holder_fence:
            return
        now_s = self._clock()
        self._resigned_order_s = now_s - message.last_order_ms / 1000.0
        self._hurry = now_s - self._started_s < message.uptime_ms / 1000.0

    def may_act(self) -> bool:
        """Tell, without I/O, whether an order may leave now."""
        now_s = self._clock()
        return self.fence != 0 and self._acts_from_s <= now_s < self._valid_until_s

    def may_order(self) -> bool:
        """Tell whether an order may leave now, and record that it does.

        Asked as its first byte leaves: dated before its connection is there, the order would be
        told to be older than it is.
        """
        may_act = self.may_act()
        if may_act:
            self.note_order()
        return may_act

    def leads(self) -> bool:
        """Tell, without I/O, whether this daemon may write what the leader alone writes.

        The writes name the leader's entry as a condition, so they need not wait for the orders of
        the holder before to grow old.
        """
        return self.fence != 0 and self._clock() < self._valid_until_s

    async def run(self) -> None:
        """Campaign whenever there is no leader; renew while leading."""
        while True:
            await self._vacant.wait()
            await asyncio.sleep(self._try_delay_s())
            if not self.eligible():
                await asyncio.sleep(MAX_TRY_DELAY_S)
            elif self._vacant.is_set() and not self._withdrawn and await self._take():
                await self._keep()

    def withdraw(self) -> None:
        """Campaign no more: this daemon is about to stop."""
        self._withdrawn = True

    async def resign(self) -> Resignation | None:
        """End the lease at a planned stop, so that another may lead at once."""
        fence, self.fence = self.fence, 0
        if not fence:
            return None
        # Before its own first order, a holder speaks for the one before it as well.
        holder_before_s = self._acts_from_s - self._lease_bound_s - TURN_MARGIN_S
        last_s = max(self._last_order_s, holder_before_s)
        # A successor that does not hear of this takes the lease to have run out by itself.
        outlived_s = self._lease_s - ACT_S
        await asyncio.sleep(max(0.0, outlived_s - (self._clock() - last_s)))
        now_s = self._clock()
        age_s = min(_LONG_AGO_S, now_s - last_s)
        log_event("leadership_resigned", fence=fence, last_order_s=age_s)
        await self._store.end_lease(self._lease_id)
        return Resignation(fence, int(age_s * 1000), int((now_s - self._started_s) * 1000))

    def _try_delay_s(self) -> float:
        if self._hurry:
            return self._generator.random() * HURRY_DELAY_S
        return HURRY_DELAY_S + self._generator.random() * MAX_TRY_DELAY_S

    def _turn_wait_s(self) -> float:
        """Return how long orders of the holder before may still be too fresh."""
        if self._resigned_order_s is not None:
            age_s = self._clock() - self._resigned_order_s
            return max(0.0, self._lease_bound_s + TURN_MARGIN_S - age_s)
        return max(0.0, self._lease_bound_s - (self._lease_s - ACT_S) + TURN_MARGIN_S)

    async def _take(self) -> bool:
        asked_s = self._clock()
        lease_id = await self._store.grant_lease(self._lease_s)
        if isinstance(lease_id, Failure):
            await asyncio.sleep(self._generator.random())
            return False
        taken = await self._store.transact(
            [ExpectedRevision(LEADER_KEY, 0)],
            [PutItem(LEADER_KEY, self._own_id.encode(), lease_id)],
        )
        if isinstance(taken, Failure):
            # If it took effect unheard, nobody renews the lease and it runs out by itself.
            log_event("leadership_not_taken", reason=str(taken))
            await asyncio.sleep(self._generator.random())
            return False
        if taken < self._heard:
            # Heard while the answer was under way: the entry has gone, or another came after it.
            log_event("leadership_not_taken", reason="what was written has lapsed already")
            return False
        self._heard = taken
        self._vacant.clear()
        self._lease_id = lease_id
        self._valid_until_s = asked_s + ACT_S
        wait_s = self._turn_wait_s()
        self._acts_from_s = self._clock() + wait_s
        self._holder_fence = self.fence = taken.revision
        self._resigned_order_s = None
        log_event("leadership_taken", fence=self.fence, acts_in_s=wait_s)
        return True

    async def _keep(self) -> None:
        while self.fence:
            await asyncio.sleep(RENEW_PERIOD_S)
            asked_s = self._clock()
            renewed = await self._store.renew_lease(self._lease_id)
            if renewed is True and self.fence:
                # Valid from before the question: a slow answer cannot stretch it.
                self._valid_until_s = asked_s + ACT_S
            elif renewed is False:
                log_event("leadership_lost", fence=self.fence)
                self.fence = 0
