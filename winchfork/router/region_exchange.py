"""The speakers of regions tell each other of their regions' work.

The link between two regions is narrow and long, and all callers' requests that cross share it. So
one speaker tells the speakers of other regions the sum over its region, a few times a second and
mostly only what has changed, and they pass it on to the hubs of theirs. Which parts of prompts a
replica keeps is not told: they are read again in less time than they are copied between regions.
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

#: Seconds between two messages to another region: some round trips, in which news of it would be
#: no newer.
SEND_INTERVAL_S = 0.2
#: All of a region's work is told this often, and what has changed in between.
COMPLETE_PERIOD_S = 0.5
#: A successor speaks when the first speaker has been silent for this long.
REGION_HUB_SILENCE_S = 0.7
#: Uses of quotas kept for the next message: more than the zones of a region tell in its time.
MAX_PENDING_USES = 64


class RegionExchange:
    """This daemon's part in the exchange between regions; only speakers send anything."""

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
        """Return what other regions are known to do."""
        return [item for region in self._regions.values() for item in region.fresh(now_s)]

    # Telling

    def record_zone(self, message: ZoneWork) -> None:
        """Keep what a zone of this region has used of the quotas, and that its hub lives."""
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
        """Tell other regions of this one, where this daemon is the one to do so and it is time.

        ``region_loads`` adds up the work of the region.
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

    # Hearing

    def handle_region(self, message: RegionWork) -> None:
        """Take in what another region does; from there itself, pass it on in this region."""
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
