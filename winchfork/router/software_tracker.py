"""Tracks which versions of each service's software may have begun streams that may still go on.

There are three sources: the entries that this daemon sees, the replicas that it has listed, and
the fleet's record in the store, which stands for entries that it has not seen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from winchfork.core.routing import RouteKind
from winchfork.core.software_history import DEPARTED_S, SoftwareHistory
from winchfork.core.unlisted_software import is_unlisted
from winchfork.core.version_register import VersionRecord, VersionRegister
from winchfork.logs import log_event
from winchfork.router.stream_origins import DEADLINE_MARGIN_S, LIFETIME_ATTEMPTS

if TYPE_CHECKING:
    from winchfork.core.relay_replica import RelayReplica, ReplicaListing
    from winchfork.router.state import RouterState

#: Longest time in seconds without a freshness proof for which a daemon that knew all versions
#: before counts as knowing them when a new era of the store begins.
MAX_CARRIED_GAP_S = 10.0


class SoftwareTracker:
    """The versions that one daemon knows of, and the fleet's record. Not thread-safe."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self.history = SoftwareHistory()
        self.register = VersionRegister()

    def observe(self) -> None:
        """Record which versions are listed now."""
        now_s = self._state.clock()
        for replica in self._state.fleet.replicas():
            self.observe_replica(replica, now_s)
        self.history.rename(self._state.fleet.resolve_software)
        self.history.forget_old(now_s)
        self.register.sightings.forget_old(now_s)

    def observe_replica(self, replica: RelayReplica, now_s: float) -> None:
        """Record that a replica is listed, or was until now."""
        listing = replica.listing
        if not is_unlisted(listing.software):
            self.record_listed(listing, now_s)
        elif replica.has_begun_stream:
            # Without a stream it may be a replica with a new id, which refuses what is sent to the
            # former one. The name is of use to this daemon only, and other daemons ask for it.
            self.history.record_listed(listing.service, listing.software, now_s)

    def record_listed(self, listing: ReplicaListing, now_s: float) -> None:
        """Record that a replica is listed."""
        self.history.record_listed(listing.service, listing.software, now_s)
        self.register.sightings.record_listed(listing.service, listing.software, now_s)

    def install_record(self, record: VersionRecord | None, revision: int) -> None:
        """Install the fleet's record of versions; None if it is absent or garbled.

        A version that another daemon has added may have been listed unseen by this one.
        """
        now_s = self._state.clock()
        for service, versions in self.register.install(record, revision).items():
            for software in versions:
                self.history.record_listed(service, software, now_s)

    def record_first_use(self) -> None:
        """Record that no daemon has used the store before this one: no stream has begun."""
        self.history.seed({}, self._state.clock())
        log_event("software_history_empty")

    def record_unseen(self, gap_s: float, *, is_new_era: bool) -> None:
        """Record that entries may have come and gone unseen for ``gap_s`` seconds."""
        now_s, span_s = self._state.clock(), self.span_s()
        if not is_new_era or gap_s > MAX_CARRIED_GAP_S:
            self.register.record_unseen()
        else:
            is_informed = span_s is not None and self.history.is_complete(span_s, now_s)
            self.register.begin_era(self._state.store_position.era, is_informed=is_informed)
        self.history.restart(now_s)

    def seed_history(self) -> bool:
        """Let the fleet's record stand for what this daemon has not seen; False if it is void."""
        era, record = self._state.store_position.era, self.register.record
        if record is None or not self.register.is_valid(era):
            return False
        self.history.seed(record.services, self._state.clock())
        log_event(
            "software_history_seeded",
            era=era,
            revision=self.register.revision,
            versions=self.register.count(era),
        )
        return True

    def span_s(self) -> float | None:
        """Return for how many seconds the versions matter on any route; None if it is not known.

        No question reaches back further, whatever deadlines callers name.
        """
        table = self._state.routing_table
        if table is None:
            return None
        timeouts_s = (
            route.timeout_s for route in table.routes if route.kind is RouteKind.STREAMING
        )
        return LIFETIME_ATTEMPTS * max(timeouts_s, default=0.0) + DEADLINE_MARGIN_S + DEPARTED_S
