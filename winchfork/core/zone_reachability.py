"""Detects zones that cannot be reached from this zone, as by a network partition.

Daemons can then avoid a lost zone without a timeout on each of its replicas. A zone is unreachable
if its hubs are silent and several of its replicas have failed. Neither alone suffices: a zone's
replicas may work while its daemons are down, and replicas may fail for reasons of their own.
"""

from __future__ import annotations

from collections.abc import Iterable

#: A zone is silent after this long without a message; hubs send at least every 0.5 s.
SILENCE_TIMEOUT_S = 0.7
#: Replicas of a silent zone that must have failed within ``FAILURE_WINDOW_S``.
MIN_FAILED_REPLICAS = 2
FAILURE_WINDOW_S = 3.0
#: Validity of a hub's report, which is renewed by each of its complete messages.
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
        """Record a message from a daemon of a zone, and forget the failures of its replicas."""
        if zone != self._own_zone:
            self._received_at_s[zone] = now_s
            self._failed_at_s.pop(zone, None)

    def record_failure(self, zone: str, replica_hash: int, now_s: float) -> None:
        """Record that a replica did not acknowledge the data that was sent to it."""
        if zone != self._own_zone:
            self._failed_at_s.setdefault(zone, {})[replica_hash] = now_s

    def silent_zones(self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S) -> frozenset[str]:
        """Return the zones without a message for ``silence_s`` that had sent one before."""
        return frozenset(
            zone
            for zone, received_s in self._received_at_s.items()
            if now_s - received_s > silence_s
        )

    def detect_unreachable(
        self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S
    ) -> frozenset[str]:
        """Return the zones that are unreachable by this daemon's own observations."""
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
        """Install a hub's or this daemon's own findings; return the newly unreachable zones."""
        before = self.unreachable(now_s)
        self._reported_zones = frozenset(zones)
        self._reported_isolated = is_isolated
        self._report_valid_until_s = now_s + HUB_REPORT_TTL_S
        return self._reported_zones - before

    def unreachable(self, now_s: float) -> frozenset[str]:
        """Return the zones that get no requests while replicas in other zones accept them."""
        return self._reported_zones if now_s < self._report_valid_until_s else frozenset()

    def is_isolated(self, now_s: float) -> bool:
        """Whether this zone was last reported to be cut off from all other zones."""
        return self._reported_isolated and now_s < self._report_valid_until_s

    def detect_isolated(self, now_s: float, silence_s: float) -> bool:
        """Whether every other zone is silent by this daemon's own observations."""
        known = len(self._received_at_s)
        return known > 0 and len(self.silent_zones(now_s, silence_s)) == known
