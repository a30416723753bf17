"""What a router process does when zones cannot be reached, and when it cannot reach any."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from winchfork.logs import log_event

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: A zone that hears no other asks for no more callers when its proof is this old: well above what a
#: slow store brings about.
ISOLATED_AGE_S = 1.5


class ZoneOutageHandler:
    """Acts on what :class:`winchfork.core.zone_reachability.ZoneReach` finds."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    @property
    def can_keep_serving(self) -> bool:
        """Whether keys can be checked, and will be when callers that are sent here now arrive.

        A zone that is cut off from all others and from the store cannot check keys for much longer.
        Its daemons know that at the same time and ask for no more callers while they still serve:
        the entry needs some seconds to send callers elsewhere. When only the store is away, there
        is no elsewhere.
        """
        if not self._state.api_keys_fresh:
            return False
        now_s = self._state.clock()
        expiring = self._state.freshness.age_s(now_s) > ISOLATED_AGE_S
        return not (expiring and self._state.zone_reachability.is_isolated(now_s))

    def update_reachability(self, zones: Iterable[str], *, is_isolated: bool) -> None:
        """Take in which zones cannot be reached; those that can be again start afresh."""
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
        """Use the replicas of a zone that is back at once: they failed because of the cut."""
        for replica in self._state.fleet.replicas():
            if replica.listing.zone == zone and replica.ejected_until_s > now_s:
                replica.ejected_until_s = now_s
                replica.ejections_in_row = 0
