"""Leader election with a lease and fencing tokens; at most one process leads at a time.

The store keeps one entry under a lease. The entry's revision is the fencing token ("fence"), which
rises with every change of leader; :mod:`winchfork.core.fence_registry` keeps it rising when the
store is restored from a backup. A leader acts only within ``VALIDITY_S`` of the start of its last
renewal, by its own monotonic clock; the lease is longer than that. A new leader gives no orders
until those of its predecessor are at least ``lease_bound_s`` old, which the deployment sets. The
time between the predecessor's last possible order and the expiry of its lease counts towards that.

A restore of the store from a backup voids all earlier leases. The last leader reclaims the
leadership by a conditional write over the entry that the backup contained, if any. Any other daemon
waits the full ``lease_bound_s``, since it does not know the age of the last leader's orders; so
does one that has just started, if the store was ever restored.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from winchfork.core.store_position import FIRST_ERA, StorePosition
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.leader_entry import LeaderEntry
from winchfork.router.peer_messages import Resignation
from winchfork.stores.async_key_value import AsyncKeyValueStore, StoreLease

#: Duration of the lease, unless the shortest that the store grants is longer.
LEASE_S = 2.0
#: How long after the start of a renewal the leader may act.
VALIDITY_S = 0.9
RENEW_PERIOD_S = 0.4
#: Maximum jitter before a campaign, so that not every daemon writes when a leader is lost.
MAX_CAMPAIGN_DELAY_S = 0.5
#: The same for daemons that were already restarted in a rolling restart; the others wait longer.
MAX_PRIORITY_DELAY_S = 0.05
#: Maximum jitter between two attempts to reclaim the leadership.
MAX_RECLAIM_PAUSE_S = 0.2
_MAX_REPORTED_ORDER_AGE_S = 3600.0
#: Added to the wait of a new leader, for clock drift and messages in flight.
HANDOVER_MARGIN_S = 0.25


class Leadership:
    """Campaigns for the leadership on behalf of this process, and renews it. Not thread-safe."""

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
        #: Set while there is no leader's entry, or while this daemon reclaims its leadership.
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
        #: Whether no leader's entry has been written since the store was restored from a backup.
        self._is_restored = False
        self._resigned_last_order_s: float | None = None
        self._has_priority = False
        self._withdrawn = False
        self.fence = 0
        #: Returns whether this daemon may campaign, that is, follows the store closely enough to
        #: lead.
        self.eligible: Callable[[], bool] = lambda: True
        #: Returns the newest era of the store that this daemon knows of.
        self.newest_era: Callable[[], int] = lambda: 0

    def record_entry(self, position: StorePosition) -> None:
        """Record the position at which the leader's entry was written, from the store or a peer.

        The newest position counts, not the last received: a list may be older than a peer's report.
        """
        if position < self._newest_position:
            return
        if (
            self.fence
            and position.era == self._holder_position.era
            and position > self._holder_position
        ):
            self._step_down("another daemon has written the leader's entry")
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
        """Record the fence that was written at a position, from the store or a peer."""
        self._entry.record_fence(position, value)

    def record_no_entry(self, at: StorePosition) -> None:
        """Record that there was no leader's entry at a position, from the store or a peer."""
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
        """Whether the position begins a new era, or may, as far as this daemon knows.

        One that has just started cannot tell whether a restore, or time, has ended the lease of the
        last leader, unless the store was never restored.
        """
        known = self._newest_position
        return position.era > (FIRST_ERA if known == StorePosition() else known.era)

    def record_refused_fence(self, fence: int) -> None:
        """Record that a replica refused an order because it has seen a higher fence.

        A leader whose lease is valid reclaims the leadership under a higher fence.
        """
        if fence != self.fence or not self.may_act():
            return
        log_event("fence_refused", "WARNING", fence=fence)
        self._fences.record_refusal(fence)
        self._start_reclaim("a replica has seen a higher fence")

    def record_order(self) -> None:
        """Record that an order is being sent now."""
        self._last_order_s = self._clock()

    def handle_resignation(self, message: Resignation) -> None:
        """Record that the leader gives no more orders, and the age of its last one.

        A daemon that started after the resigning one campaigns with a shorter delay, since a
        rolling restart is unlikely to restart it again.
        """
        if message.fence != self._fences.fence_of(self._holder_position):
            return
        now_s = self._clock()
        self._resigned_last_order_s = now_s - message.last_order_ms / 1000.0
        self._has_priority = now_s - self._started_s < message.uptime_ms / 1000.0

    def may_act(self) -> bool:
        """Return whether an order may be sent now. Does no I/O."""
        return self._acts_from_s <= self._clock() and self.leads()

    def authorize_order(self) -> bool:
        """Return whether an order may be sent now, and if so, record that it is.

        Call this when the first byte is written: if it were called before the connection is open,
        a resignation would report the order as older than it is.
        """
        may_act = self.may_act()
        if may_act:
            self.record_order()
        return may_act

    def leads(self) -> bool:
        """Return whether this daemon may write what only the leader writes. Does no I/O.

        Such writes to the store are conditional on the revision of the leader's entry, so a new
        leader need not wait until the orders of its predecessor are old enough.
        """
        is_current = self._lease.era == self.newest_era()
        return self.fence != 0 and is_current and self._clock() < self._valid_until_s

    @property
    def entry_revision(self) -> int:
        """The revision of the leader's entry, a condition of writes that only a leader makes."""
        return self._holder_position.revision

    async def run(self) -> None:
        """Campaign whenever there is no leader; renew while leading."""
        while True:
            await self._campaign_needed.wait()
            if await (self._try_reclaim() if self._is_reclaiming else self._campaign()):
                await self._renew_while_leading()

    async def _campaign(self) -> bool:
        """Acquire the leadership if there is no leader; True if this daemon now leads."""
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
        """Stop campaigning, because this daemon is about to stop."""
        self._withdrawn = True

    async def resign(self) -> Resignation | None:
        """End the lease during a graceful shutdown, so that another daemon can lead at once.

        Returns the message to broadcast, or None if this daemon does not lead.
        """
        fence, self.fence = self.fence, 0
        if not fence:
            return None
        # Before its own first order, a leader reports the last possible order of its predecessor.
        predecessor_order_s = self._acts_from_s - self._lease_bound_s - HANDOVER_MARGIN_S
        last_s = max(self._last_order_s, predecessor_order_s)
        # A successor that misses the resignation assumes that the lease expired by itself, and that
        # the last order is at least this old.
        min_order_age_s = self._lease_s - VALIDITY_S
        await asyncio.sleep(max(0.0, min_order_age_s - (self._clock() - last_s)))
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
        """Return how long a new leader must wait until its predecessor's orders are old enough."""
        if self._resigned_last_order_s is not None:
            age_s = self._clock() - self._resigned_last_order_s
            return max(0.0, self._lease_bound_s + HANDOVER_MARGIN_S - age_s)
        if self._is_restored:
            return self._lease_bound_s + HANDOVER_MARGIN_S
        return self._takeover_wait_s

    @property
    def _takeover_wait_s(self) -> float:
        """How long a new leader waits before it acts if its predecessor's lease has expired."""
        return max(0.0, self._lease_bound_s - (self._lease_s - VALIDITY_S) + HANDOVER_MARGIN_S)

    # Acquiring and renewing

    async def _acquire(self, expected: int, wait_s: Callable[[], float]) -> bool:
        """Write the entry if its revision is ``expected``; True if this daemon now leads.

        ``wait_s`` returns how long the new leader has to wait before it acts.
        """
        started_s = self._clock()
        # Must precede the calls: entries received meanwhile, even the own one, change the wait.
        acts_in_s = wait_s()
        lease = await self._store.grant_lease(self._lease_s)
        if isinstance(lease, Failure):
            return False
        written = await self._entry.write(lease, expected, self._newest_position)
        if isinstance(written, Failure):
            return False
        if written < self._newest_position or written.era != lease.era:
            # Before the answer arrived, a newer position was received or a new era began.
            log_event(
                "leadership_not_taken",
                reason="the entry was removed or replaced, or the store restored, before its write"
                " was acknowledged",
            )
            return False
        self._set_newest_position(written, vacant=False)
        self._lease = lease
        self._confirmed_s = started_s
        self._valid_until_s = started_s + VALIDITY_S
        self._acts_from_s = self._clock() + acts_in_s
        self._holder_position = written
        self._fences.record_entry(written)
        self.fence = self._fences.fence_of(written)
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
                self._start_reclaim("the store was restored from a backup")

    async def _renew(self) -> None:
        started_s = self._clock()
        renewed = await self._store.renew_lease(self._lease)
        if renewed is True and self.fence:
            # Dated from the start of the call, so that a slow answer does not extend the validity.
            self._confirmed_s = started_s
            self._valid_until_s = started_s + VALIDITY_S
        elif renewed is False and self.fence and self._lease.era == self.newest_era():
            self._step_down("the lease has expired")

    def _step_down(self, reason: str) -> None:
        log_event("leadership_lost", fence=self.fence, reason=reason)
        self.fence = 0

    # Reclaiming the leadership

    def _start_reclaim(self, reason: str) -> None:
        """Step down, and start to reclaim the leadership with a new entry."""
        self._step_down(reason)
        self._is_reclaiming = True
        self._update_campaign_needed()

    def _end_reclaim(self) -> None:
        self._is_reclaiming = False
        self._update_campaign_needed()

    def _may_reclaim(self) -> bool:
        """Whether no other daemon can have acted since this daemon's lease was last confirmed."""
        since_s = self._clock() - self._confirmed_s
        return not self._withdrawn and since_s < self._lease_s + self._takeover_wait_s

    async def _try_reclaim(self) -> bool:
        """Replace the leader's entry, or write it if there is none; True if this daemon leads.

        Gives up once another daemon may have acted, or has written the entry.
        """
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
