"""The zones of a tier, the region of each, and how close two zones are."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Proximity(IntEnum):
    """How close one zone is to another; closer compares as less."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class ZoneTopology:
    """Zones in the order of the settings, each with its region.

    Attributes:
        zones: Name of each zone.
        regions: Name of the region of each zone, in the same order.
        inter_region_rtt_us: Round trip time between two regions, in microseconds; none within a region.
    """

    zones: tuple[str, ...]
    regions: tuple[str, ...]
    inter_region_rtt_us: int = 0

    def proximity(self, zone: int, other: int) -> Proximity:
        """Returns how close two zones, given by index, are to each other."""
        if zone == other:
            return Proximity.SAME_ZONE
        if self.regions[zone] == self.regions[other]:
            return Proximity.SAME_REGION
        return Proximity.OTHER_REGION
