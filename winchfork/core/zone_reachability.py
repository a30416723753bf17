"""Which zones cannot be reached from here, found out once for a whole zone.

When a zone is cut off, its replicas fail one after another, each after a time-out of its own, for
each daemon anew. Hubs hear the other zones' hubs many times a second, so their silence is the first
sign. Silence alone may mean that a zone's daemons have been killed while its replicas work; failed
replicas alone may be just that. Both together mean that the zone is out of reach.
"""

from __future__ import annotations

from collections.abc import Iterable

#: Seconds without a word from a zone's hubs, who speak every half second at least.
SILENCE_TIMEOUT_S = 0.7
#: Replicas of a silent zone that must have failed, and within how long.
MIN_FAILED_REPLICAS = 2
FAILURE_WINDOW_S = 3.0
#: Seconds for which the word of a hub holds; it is told anew with each of its complete messages.
HUB_REPORT_TTL_S = 1.2


class ZoneReachability:
    """One daemon's view of the other zones. Times are monotonic seconds."""

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._received_at_s: dict[str, float] = {}
        self._failed_at_s: dict[str, dict[int, float]] = {}
        self._reported_zones: frozenset[str] = frozenset()
        self._reported_isolated = False
        self._report_valid_until_s = 0.0

    def record_message(self, zone: str, now_s: float) -> None:
        """Record a word from a daemon of a zone: what had failed there may be tried again."""
        if zone != self._own_zone:
            self._received_at_s[zone] = now_s
            self._failed_at_s.pop(zone, None)

    def record_failure(self, zone: str, replica_hash: int, now_s: float) -> None:
        """Record that a replica did not even acknowledge what was sent to it."""
        if zone != self._own_zone:
            self._failed_at_s.setdefault(zone, {})[replica_hash] = now_s

    def silent_zones(self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S) -> frozenset[str]:
        """Return the zones that were heard once and are silent now."""
        return frozenset(
            zone for zone, heard_s in self._received_at_s.items() if now_s - heard_s > silence_s
        )

    def detect_unreachable(
        self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S
    ) -> frozenset[str]:
        """Return the zones that this daemon itself finds out of reach."""
        return frozenset(
            zone
            for zone in self.silent_zones(now_s, silence_s)
            if self._failures(zone, now_s) >= MIN_FAILED_REPLICAS
        )

    def _failures(self, zone: str, now_s: float) -> int:
        failed = self._failed_at_s.get(zone, {})
        return sum(1 for at_s in failed.values() if now_s - at_s <= FAILURE_WINDOW_S)

    def adopt(
        self, zones: Iterable[str], now_s: float, *, is_isolated: bool = False
    ) -> frozenset[str]:
        """Take what a hub says, or what this daemon has found; return the zones that are news."""
        before = self.unreachable(now_s)
        self._reported_zones = frozenset(zones)
        self._reported_isolated = is_isolated
        self._report_valid_until_s = now_s + HUB_REPORT_TTL_S
        return self._reported_zones - before

    def unreachable(self, now_s: float) -> frozenset[str]:
        """Return the zones to send nothing to while others take work."""
        return self._reported_zones if now_s < self._report_valid_until_s else frozenset()

    def is_isolated(self, now_s: float) -> bool:
        """Whether this zone hears no other, as told last."""
        return self._reported_isolated and now_s < self._report_valid_until_s

    def detect_isolated(self, now_s: float, silence_s: float) -> bool:
        """Whether this daemon itself finds every other zone silent."""
        known = len(self._received_at_s)
        return known > 0 and len(self.silent_zones(now_s, silence_s)) == known
