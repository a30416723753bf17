"""Handles unreachable zones, and the isolation of this process's own zone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from winchfork.logs import log_event

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: Age in seconds of an isolated zone's proof of freshness from which on it reports not ready; well
#: above the age that a slow store causes.
ISOLATED_AGE_S = 1.5


class ZoneOutageHandler:
    """Acts on changes in :class:`winchfork.core.zone_reachability.ZoneReachability`."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    @property
    def can_keep_serving(self) -> bool:
        """Whether API keys can be checked now, and will still be when new callers arrive.

        A zone that is cut off from all others and from the store loses its proof of freshness soon.
        Its daemons therefore report not ready while they still serve, since the load balancer needs
        some seconds to move callers to other zones. When only the store is unreachable, all zones
        are affected alike, so they go on serving.
        """
        if not self._state.api_keys_fresh:
            return False
        now_s = self._state.clock()
        expiring = self._state.freshness.age_s(now_s) > ISOLATED_AGE_S
        return not (expiring and self._state.zone_reachability.is_isolated(now_s))

    def update_reachability(self, zones: Iterable[str], *, is_isolated: bool) -> None:
        """Adopt the unreachable zones; clear the ejections in zones that are reachable again."""
        now_s = self._state.clock()
        before = self._state.zone_reachability.unreachable(now_s)
        lost = self._state.zone_reachability.adopt(zones, now_s, is_isolated=is_isolated)
        for zone in sorted(lost):
            log_event("zone_lost", "WARNING", zone=zone)
            self._state.on_zone_unreachable(zone)
        for zone in sorted(before - self._state.zone_reachability.unreachable(now_s)):
            log_event("zone_regained", zone=zone)
            self._clear_ejections(zone, now_s)

    def _clear_ejections(self, zone: str, now_s: float) -> None:
        """End the ejections of a zone's replicas, which failed because of the network partition."""
        for replica in self._state.fleet.replicas():
            if replica.listing.zone == zone and replica.ejected_until_s > now_s:
                replica.ejected_until_s = now_s
                replica.consecutive_ejections = 0
