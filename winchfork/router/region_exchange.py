"""Exchanges the work of regions between their region hubs.

To save bandwidth on the links between regions, which carry callers' requests as well, one hub of
each region sends the sum over its region a few times a second, mostly only what has changed. The
receiving hubs forward it to the hubs of their region. Cached prompt parts are not exchanged between
regions: a prefill takes less time than copying them.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from winchfork.core.zone_hubs import FleetView
from winchfork.router.peer_messages import RegionWork, ReplicaLoadEntry, ZoneQuotaUse, ZoneWork
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.quota_exchange import QuotaExchange
from winchfork.router.state import RouterState
from winchfork.router.work_totals import LoadsByReplica, ReceivedLoads, SentLoads

#: Seconds between two messages to another region: a few round trips. More frequent ones would
#: arrive with hardly newer data.
SEND_INTERVAL_S = 0.2
#: Seconds between two complete messages; those in between have only what has changed.
COMPLETE_PERIOD_S = 0.5
#: Seconds without a message of the first region hub after which the second one sends.
REGION_HUB_SILENCE_S = 0.7
#: Quota reports of zones that are queued for the next message; more than a region's zones send in
#: that time.
MAX_PENDING_USES = 64


class RegionExchange:
    """Sends this region's work, on a region hub, and stores the work of other regions."""

    def __init__(self, state: RouterState, peers: PeerMessenger, quotas: QuotaExchange) -> None:
        self._state = state
        self._peers = peers
        self._quotas = quotas
        self._regions: dict[str, LoadsByReplica] = {}
        self._sent_loads = SentLoads()
        self._sent_at_s = 0.0
        self._complete_sent_at_s = 0.0
        self._first_hub_received_at_s = 0.0
        self._pending_uses: list[ZoneQuotaUse] = []

    def loads(self, now_s: float) -> list[ReceivedLoads]:
        """Return the work received from other regions that has not expired."""
        return [item for region in self._regions.values() for item in region.fresh(now_s)]

    # Sending

    def record_zone(self, message: ZoneWork) -> None:
        """Queue the quota use of a zone of this region; record when the first hub has sent."""
        view = self._peers.view
        if view.region_hubs and message.sender_id == view.region_hubs[0].member_id:
            self._first_hub_received_at_s = self._state.clock()
        if not view.is_region_hub or not view.other_region_hubs:
            return
        if message.quota is not None or message.levels is not None:
            use = ZoneQuotaUse(message.sender_id, message.zone, message.quota, message.levels)
            self._pending_uses = [*self._pending_uses[-MAX_PENDING_USES + 1 :], use]

    def send_region_work(
        self, region_loads: Callable[[], tuple[ReplicaLoadEntry, ...]], now_s: float
    ) -> None:
        """Send this region's work to other regions, on the active region hub, if a message is due.

        ``region_loads`` sums the work of the region.
        """
        view = self._peers.view
        if not view.other_region_hubs or now_s - self._sent_at_s < SEND_INTERVAL_S:
            return
        if not self._is_active_hub(view, now_s):
            return
        complete = now_s - self._complete_sent_at_s >= COMPLETE_PERIOD_S
        loads = self._sent_loads.updates(region_loads(), complete=complete)
        uses, self._pending_uses = tuple(self._pending_uses), []
        self._sent_at_s = now_s
        if complete:
            self._complete_sent_at_s = now_s
        elif not loads and not uses:
            return
        own_id = self._state.settings.node_id
        region = view.regions.region_of(view.own.zone)
        message = RegionWork(own_id, region, complete, loads, uses)
        self._peers.send_each(view.other_region_hubs, message)

    def _is_active_hub(self, view: FleetView, now_s: float) -> bool:
        if not view.is_region_hub:
            return False
        first = view.region_hubs[0].member_id == view.own.member_id
        return first or now_s - self._first_hub_received_at_s > REGION_HUB_SILENCE_S

    # Receiving

    def handle_region(self, message: RegionWork) -> None:
        """Store another region's work; a region hub forwards it if it came from that region."""
        now_s = self._state.clock()
        view = self._peers.view
        if message.region == view.regions.region_of(view.own.zone):
            return
        if view.is_region_hub and view.is_in_other_region(message.sender_id):
            relayed = msgspec.structs.replace(message, sender_id=view.own.member_id)
            self._peers.send_each((*view.same_region_hubs, *view.own_hub_peers), relayed)
        known = self._regions.setdefault(message.region, LoadsByReplica())
        known.update(message.loads, now_s, complete=message.complete)
        for use in message.uses:
            self._quotas.handle_zone(use.sender_id, use.zone, use.quota, use.levels)
