"""The region of each zone, and the distance between two zones.

Zones of one region share work and cached blocks. Between regions messages take much longer,
transferring cached blocks is slower than prefilling them again, and all traffic shares one link.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

import msgspec

#: The region of a zone that the settings do not list. Such a zone counts as in the same region as
#: every other zone.
UNKNOWN_REGION = ""


class Distance(enum.IntEnum):
    """Distance between two zones; a greater value is farther."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class RegionMap(msgspec.Struct, frozen=True):
    """Maps each zone of the deployment to its region."""

    regions: Mapping[str, str] = {}

    def region_of(self, zone: str) -> str:
        """Return a zone's region."""
        return self.regions.get(zone, UNKNOWN_REGION)

    def distance(self, zone: str, other_zone: str) -> Distance:
        """Return the distance between two zones."""
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
        """Return the regions of the given zones, sorted and without duplicates."""
        return sorted({self.region_of(zone) for zone in zones})
