"""Which region each zone lies in, and how far two zones are from each other.

Zones of one region are near enough to share work and kept cache. Between regions a message takes
many times as long, cache moves slower than it is read anew, and all traffic shares one link.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

import msgspec

#: The region of a zone that the settings do not name: near everything, so that nothing is withheld
#: from it.
UNKNOWN_REGION = ""


class Distance(enum.IntEnum):
    """How far apart two zones are; a greater value is further."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class RegionMap(msgspec.Struct, frozen=True):
    """The deployment's zones by name, each with its region."""

    regions: Mapping[str, str] = {}

    def region_of(self, zone: str) -> str:
        """Return a zone's region."""
        return self.regions.get(zone, UNKNOWN_REGION)

    def distance(self, zone: str, other_zone: str) -> Distance:
        """Return how far one zone is from another."""
        if zone == other_zone:
            return Distance.SAME_ZONE
        region, other_region = self.region_of(zone), self.region_of(other_zone)
        if UNKNOWN_REGION in (region, other_region) or region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def is_cross_region(self, zone: str, other_zone: str) -> bool:
        """Whether two zones lie in different regions."""
        return self.distance(zone, other_zone) is Distance.OTHER_REGION

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones, sorted."""
        return tuple(sorted(self.regions))

    def regions_among(self, zones: Iterable[str]) -> list[str]:
        """Return the regions of some zones, each once, sorted."""
        return sorted({self.region_of(zone) for zone in zones})
